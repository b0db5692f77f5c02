#!/usr/bin/env bash
# Plays the case of claim.txt: exits with 1 if the rule was broken, with 0 if it held, with 2 if it could not run.
# TROUBLE=0 plays the same without the disruption. Needs the build of the deploy file and review/build-10.sh.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
program=target/review-10/reclaim
if [[ ! -x $program || ! -x target/loom-entry ]]; then
  echo "not built: run the build of deploy/system.toml, then review/build-10.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$program" review/10/record.txt "$folder"
status=$?
((status == 0 || status == 1)) && exit "$status"
exit 2
