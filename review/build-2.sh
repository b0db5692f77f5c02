#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -pthread review/standin-2/world.cc -o target/review-2/review-world
g++ -std=c++20 -O1 -pthread review/standin-3/reclaim.cc -o target/review-2/review-reclaim
g++ -std=c++20 -O1 -pthread review/standin-3/lasting_task.cc -o target/review-2/review-lasting-task
