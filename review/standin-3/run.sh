#!/usr/bin/env bash
# Plays a case whose program starts the entry instances itself, with the command of the deploy file.
# usage: run.sh PROGRAM FOLDER    (FOLDER gets record.txt; TROUBLE=0 plays without the disruption)
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
set -uo pipefail
case_folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/$1
for it in target/loom-entry "$program"; do
  if [[ ! -x $it ]]; then
    echo "$it is missing: run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
  fi
done
folder=$(mktemp -d) || exit 2
# The program ends its instances when it ends; should it be ended itself, the instances get SIGKILL from the kernel.
timeout --signal=KILL 110 "$program" "$case_folder/record.txt" "$folder"
status=$?
if [[ -n ${KEEP:-} ]]; then
  mkdir -p "$KEEP" && cp "$folder"/*.log "$KEEP"/
fi
rm -rf "$folder"
((status <= 2)) || status=2
exit "$status"
