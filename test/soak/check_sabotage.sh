#!/usr/bin/env bash
# usage: check_sabotage.sh SOAK SABOTAGE PROMISE[,PROMISE] SECONDS SEED LOAD
# Passes if a soak with the sabotage reports every given promise as broken. This verifies that the
# checks of these promises can fail.
set -euo pipefail
soak=$1
sabotage=$2
promises=$3
status=0
report=$("$soak" --seconds "$4" --seed "$5" --load "$6" --sabotage "$sabotage") || status=$?
echo "$report"
if [ "$status" -ne 1 ]; then
  echo "soak exited with status $status; expected 1, a broken promise" >&2
  exit 1
fi
for promise in ${promises//,/ }; do
  if ! tail -n 1 <<<"$report" | grep -q "\"broken\":{[^}]*\"$promise\":"; then
    echo "soak did not report the promise $promise as broken" >&2
    exit 1
  fi
done
