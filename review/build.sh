#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, into target/review/. Needs only g++.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/world.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -O2 -std=c++20 -Wall -Wextra -pthread "$source" -o "target/review/world-$number"
done
