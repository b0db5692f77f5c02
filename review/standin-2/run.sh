#!/usr/bin/env bash
# Plays a scenario of review-world with three entry instances, each started with the command of the deploy file.
# usage: run.sh SCENARIO FOLDER    (FOLDER gets record.txt; TROUBLE=0 plays without the disruption)
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
set -uo pipefail
case_folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
for program in target/loom-entry target/review-2/review-world; do
  if [[ ! -x $program ]]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
  fi
done
folder=$(mktemp -d)
pids=()
end_all() {
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  rm -rf "$folder"
}
trap end_all EXIT
target/review-2/review-world "$1" "${TROUBLE:-1}" "$folder" "$case_folder/record.txt" &
world=$!
pids+=("$world")
for ((n = 0; n < 100; ++n)); do
  [[ -f $folder/instances ]] && break
  sleep 0.1
done
[[ -f $folder/instances ]] || exit 2
while read -r settings; do
  CLEMENTINELOOM_BOOT=$settings target/loom-entry >"$settings.log" 2>&1 &
  pids+=("$!")
done <"$folder/instances"
# Ends the case in any event before 120 s.
for ((n = 0; n < 1000; ++n)); do
  kill -0 "$world" 2>/dev/null || break
  sleep 0.1
done
kill -KILL "$world" 2>/dev/null
wait "$world" 2>/dev/null
status=$?
if [[ -n ${KEEP:-} ]]; then
  mkdir -p "$KEEP" && cp "$folder"/*.log "$KEEP"/
fi
((status <= 2)) || status=2
exit "$status"
