#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. Needs only packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra)
echo "building the stand-ins"
g++ "${flags[@]}" -c -o target/review/json.o review/standin/json.cc
for source in review/[1-5]/*.cc; do
  program=target/review/$(basename "$source" .cc)
  echo "building $program"
  g++ "${flags[@]}" -o "$program" "$source" target/review/json.o -pthread
done
