#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. Needs only packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cc; do
  program=target/review/$(basename "$source" .cc)
  echo "building $program"
  g++ -std=c++20 -O1 -Wall -Wextra -o "$program" "$source" review/standin/json.cc -pthread
done
