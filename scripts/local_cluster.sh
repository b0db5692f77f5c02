# Functions that run a small cluster on the loopback interface: the platform's stand-ins, three entry
# instances and four workers. Sourced by scripts after they have set `build` to a build directory.

work=$(mktemp -d)
pids=()
failed=0

finish() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  if [[ ${KEEP:-0} == 1 ]]; then
    echo "settings and logs: $work"
  else
    rm -r "$work"
  fi
}
trap finish EXIT

# Process ids of started programs, by name, so that a script can stop one of them.
declare -A pid_of

say() { printf '\n== %s\n' "$*"; }

fail() {
  echo "FAILED: $*"
  failed=1
}

# Starts a program with its output in NAME.log. usage: start NAME PROGRAM ARGUMENTS...
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

# Repeats a command until it succeeds, at most 20 s.
wait_for() {
  local n
  for ((n = 0; n < 100; ++n)); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.2
  done
  return 1
}

# Prints the first match of a pattern's group in a log. usage: find_in NAME PATTERN
find_in() { sed -nE "s/.*$2.*/\\1/p" "$work/$1.log" | head -1 | grep .; }

# Waits until a log matches a pattern and prints its group.
port_of() {
  wait_for find_in "$1" "$2" || { cat "$work/$1.log" >&2; return 1; }
  find_in "$1" "$2"
}

# One HTTP exchange; prints the response. usage: http PORT METHOD TARGET BODY [HEADER...]
http() {
  local port=$1 method=$2 target=$3 body=$4 header
  shift 4
  exec 3<>"/dev/tcp/127.0.0.1/$port"
  {
    printf '%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n' "$method" "$target"
    for header in "$@"; do
      printf '%s\r\n' "$header"
    done
    printf 'Content-Length: %d\r\n\r\n%s' "${#body}" "$body"
  } >&3
  cat <&3
  exec 3<&- 3>&-
}

ctl() { "$build/loomctl" --scheduler "127.0.0.1:${rpc[1]}" "$@"; }

json_field() { sed -nE "s/.*\"$1\":\"?([^\",}]*)\"?.*/\\1/p" | head -1; }

build_programs() {
  export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
  cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
  cmake --build "$build" --target loom-gateway loom-scheduler loomctl fake-log fake-instances \
    fake-worker >"$work/build.log" || { tail -20 "$work/build.log"; exit 1; }
}

# usage: write_settings FILE INSTANCE DATA_CENTRE EXTRA_LINES
write_settings() {
  cat >"$1" <<END
{
  "instance": "$2",
  "region": "demo",
  "data_centre": "$3",
  "admin": "127.0.0.1:0",
  "log_service": ["127.0.0.1:$log_port"],
  "instance_list": "127.0.0.1:$list_port",
  $4
}
END
}

write_cluster() {
  cat >"$work/cluster.json" <<'END'
{
  "region": "demo",
  "data_centres": [
    {"name": "north", "region": "demo"},
    {"name": "south", "region": "demo"}
  ],
  "worker_shapes": [
    {"data_centre": "north", "racks": 1, "workers_per_rack": 2, "accelerators": 8},
    {"data_centre": "south", "racks": 1, "workers_per_rack": 2, "accelerators": 8}
  ],
  "teams": [
    {"name": "audit", "guarantees": [
      {"accelerators_per_worker": 8, "workers": 2, "adjacency": "rack", "count": 1}]},
    {"name": "readiness", "guarantees": [
      {"accelerators_per_worker": 2, "workers": 1, "adjacency": "worker", "count": 2}]}
  ]
}
END
}

worker_entry() {
  printf '{"name":"w%d","role":"worker","state":"live","address":"127.0.0.1:%d","data_centre":"%s"' \
    "$1" "${worker_port[$1]}" "$2"
  printf ',"rack":"%s-1","accelerators":8,"slots":8,"connections":64}' "$2"
}

entry_entry() {
  printf '{"name":"e%d","role":"entry","state":"live","address":"127.0.0.1:%d","rpc":"127.0.0.1:%d"' \
    "$1" "${gateway_port[$1]}" "${rpc[$1]}"
  printf ',"data_centre":"%s"}' "$2"
}

put_instances() {
  local list
  list="$(worker_entry 1 north),$(worker_entry 2 north),$(worker_entry 3 south)"
  list+=",$(worker_entry 4 south),$(entry_entry 1 north),$(entry_entry 2 north)"
  list+=",$(entry_entry 3 south)"
  http "$list_port" PUT /v1/instances "{\"instances\":[$list]}" | head -1
}

# Starts all programs and publishes the instance list.
start_cluster() {
  say "platform: log, instance list, four workers"
  start fake-log "$build/tests/fake-log"
  start fake-instances "$build/tests/fake-instances"
  log_port=$(port_of fake-log 'listening 127.0.0.1:([0-9]+)')
  list_port=$(port_of fake-instances 'listening 127.0.0.1:([0-9]+)')
  worker_port=(0)
  for n in 1 2 3 4; do
    start "worker-$n" "$build/tests/fake-worker" --name "w$n"
    worker_port+=("$(port_of "worker-$n" 'listening 127.0.0.1:([0-9]+)')")
  done
  echo "log 127.0.0.1:$log_port, instance list 127.0.0.1:$list_port, workers ${worker_port[*]:1}"

  say "three entry instances"
  rpc=(0)
  gateway_port=(0)
  sites=(none north north south)
  for n in 1 2 3; do
    write_settings "$work/scheduler-$n.json" "e$n" "${sites[$n]}" '"rpc": "127.0.0.1:0"'
    start "scheduler-$n" "$build/loom-scheduler" --settings "$work/scheduler-$n.json"
    rpc+=("$(port_of "scheduler-$n" 'rpc_port=([0-9]+)')")
    write_settings "$work/gateway-$n.json" "e$n" "${sites[$n]}" \
      "\"listen\": \"127.0.0.1:0\", \"scheduler_rpc\": \"127.0.0.1:${rpc[$n]}\""
    start "gateway-$n" "$build/loom-gateway" --settings "$work/gateway-$n.json"
    gateway_port+=("$(port_of "gateway-$n" 'listening port=([0-9]+)')")
  done
  put_instances
  echo "schedulers ${rpc[*]:1}, gateways ${gateway_port[*]:1}"
}

job_has_phase() { ctl job show "$1" | grep -Eq "^phase +$2\$"; }

has_workers() { [[ $(ctl workers | grep -c ' live ') == "$1" ]]; }

# Plans with the given verb, shows the plan and confirms it by its id.
plan_and_confirm() {
  local answer
  answer=$(ctl "$@") || return 1
  echo "$answer"
  ctl confirm "$(sed -nE 's/.*`loomctl confirm ([^`]*)`.*/\1/p' <<<"$answer")"
}

publish_configuration() {
  say "publish the configuration"
  write_cluster
  ctl config check "$work/cluster.json"
  wait_for ctl status || fail "no status"
  plan_and_confirm config publish "$work/cluster.json" || fail "publish"
  wait_for has_workers 4 || fail "four live workers"
}
