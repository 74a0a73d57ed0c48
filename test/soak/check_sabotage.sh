#!/usr/bin/env bash
# usage: check_sabotage.sh SOAK SABOTAGE PROMISE[,PROMISE] SECONDS SEED LOAD
# Passes where a soak with the sabotage ends with each promise broken: a check that can't fail is none.
set -euo pipefail
soak=$1
sabotage=$2
promises=$3
status=0
report=$("$soak" --seconds "$4" --seed "$5" --load "$6" --sabotage "$sabotage") || status=$?
echo "$report"
if [ "$status" -ne 1 ]; then
  echo "the soak ended with $status, not with a broken promise" >&2
  exit 1
fi
for promise in ${promises//,/ }; do
  if ! tail -n 1 <<<"$report" | grep -q "\"broken\":{[^}]*\"$promise\":"; then
    echo "the promise $promise was not found broken" >&2
    exit 1
  fi
done
