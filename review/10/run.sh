#!/usr/bin/env bash
# Two start orders without an answer, and their worker leaves for good: the job waits for over 20 s beside idle workers.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 plays without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../standin-2/run.sh" left-worker "$folder"
