#!/usr/bin/env bash
# usage: test/fuzz/run_fuzzers.sh [--seconds N] [--seed N]
# Builds the fuzzers and runs each for N seconds (default 30) with a fixed seed and fresh corpora. An input
# that violates a checked property is stored in build-fuzz/artifacts. Then runs the property tests of
# simulated clusters (ClusterFuzzing) for N seconds, 100 sequences per seed, with ascending seeds; a failure
# prints the seed, the shrunk steps and RC_PARAMS.
set -euo pipefail
cd "$(dirname "$0")/../.."

seconds=30
seed=20261202
jobs=${UMBERHOLD_JOBS:-$(nproc)}
while [ $# -gt 0 ]; do
  case "$1" in
    --seconds) seconds=$2; shift 2 ;;
    --seed) seed=$2; shift 2 ;;
    *) echo "usage: $0 [--seconds N] [--seed N]" >&2; exit 2 ;;
  esac
done

export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
fuzzers=()
for source in test/fuzz/*_fuzzer.cc; do
  fuzzers+=("$(basename "$source" .cc)")
done
cmake --preset fuzz >/dev/null
cmake --build --preset fuzz -j "$jobs" --target "${fuzzers[@]}" fuzz_seeds

rm -rf build-fuzz/corpus
mkdir -p build-fuzz/artifacts
build-fuzz/test/fuzz/fuzz_seeds build-fuzz/corpus
status=0
for fuzzer in "${fuzzers[@]}"; do
  log=build-fuzz/$fuzzer.log
  if "build-fuzz/test/fuzz/$fuzzer" "build-fuzz/corpus/$fuzzer" -seed="$seed" \
    -max_total_time="$seconds" -max_len=1500 -timeout=5 -rss_limit_mb=1024 \
    -artifact_prefix="build-fuzz/artifacts/$fuzzer-" -print_final_stats=1 >"$log" 2>&1; then
    echo "$fuzzer: passed seed=$seed $(grep -E '^Done' "$log")"
  else
    echo "$fuzzer: FAILED seed=$seed"
    tail -40 "$log"
    status=1
  fi
done

cmake --preset default >/dev/null
cmake --build --preset default -j "$jobs" --target test_common_node
log=build-fuzz/whole_cores.log
first=$seed
end=$((SECONDS + seconds))
while [ "$SECONDS" -lt "$end" ]; do
  if ! RC_PARAMS="seed=$seed max_success=100" build/test/test_common_node -g ClusterFuzzing >"$log" 2>&1; then
    echo "whole cores: FAILED seed=$seed"
    tail -60 "$log"
    exit 1
  fi
  seed=$((seed + 1))
done
echo "whole cores: passed seeds $first to $((seed - 1))"
exit $status
