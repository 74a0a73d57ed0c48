#!/usr/bin/env bash
# Tests bench/account_loss.sh ($1) with a small report: windows, active faults, and the loss since the closing
# fault.
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

cat > "$folder/report" <<'REPORT'
clients' zone        asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
muc-a                  300     250     30       5     15        0  0.900     48.4   1262.3

from second          asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
0                      100     100      0       0      0        0  1.000     50.3    147.5
2                      100      90      8       0      2        0  0.949     51.5   1041.6
4                      100      60     22       5     13        0  0.700     51.5   1041.6

how tries ended: 200: 250

what happened
     1.0 s to      3.0 s  srv_slow 3 servers
    4.5 s to     9.0 s  closing (kill_all) front-a-1, front-a-2

seen
REPORT

expected='      2 s    100 asked      8 late      2 not served  srv_slow 3 servers
      4 s    100 asked     22 late     18 not served  closing (kill_all) front-a-1, front-a-2
report: 50 of 300 not in aim (30 late, 20 not served); from the closing fault on 40 (80%)'
found=$(cd "$folder" && "$1" report)
[ "$found" = "$expected" ] || { diff <(echo "$expected") <(echo "$found"); exit 1; }

if "$1" 2> "$folder/usage"; then
  echo "no report: status 0"
  exit 1
fi
grep -q '^usage: ' "$folder/usage"
echo "1 passed, 0 failed"
