#!/usr/bin/env bash
# Builds and runs all google-benchmark programs. usage: ./dev bench [--filter REGEX]
set -euo pipefail
cd "$(dirname "$0")/.."
filter=.
[ "${1:-}" = --filter ] && filter=$2
./dev build >/dev/null
for program in build/bench/*_benchmark; do
  [ -x "$program" ] || continue
  echo "== $(basename "$program")"
  "$program" --benchmark_filter="$filter" --benchmark_min_time=0.2 2>/dev/null
done
