#!/usr/bin/env bash
# Shows when a day lost requests: reads the output of `fleetbench run` and prints the time windows in which
# at least 1% of the requests missed their target ("not in aim"), each with the faults that were active, and
# the share of the loss since the closing fault began.
# usage: bench/account_loss.sh REPORT... [--plot FILE.png]
#   REPORT: a file with the output of one run. The plot (gnuplot) shows the share of the requests of the last
#   report that met their target.
set -euo pipefail

plot=
reports=()
while [ $# -gt 0 ]; do
  case "$1" in
    --plot) plot=$2; shift ;;
    *) reports+=("$1") ;;
  esac
  shift
done
[ ${#reports[@]} -gt 0 ] || { echo "usage: bench/account_loss.sh REPORT... [--plot FILE.png]" >&2; exit 2; }

# Prints one line per window: start (s), requests, requests that met their target, late ones, and the sum of
# refused and failed ones.
windows() {
  awk '/^from second/ {table = 1; next} table && NF < 8 {exit} table {print $1, $2, $3, $4, $5 + $6}' "$1"
}

# Prints one line per fault: begin (s), end (s), description.
troubles() {
  awk '/^what happened/ {list = 1; next} list && !/ s to / {exit}
       list {begin = $1; end = $4; sub(/^.* s to +[0-9.]+ s +/, ""); print begin, end, $0}' "$1"
}

account() {
  local closing
  closing=$(troubles "$1" | awk '/closing/ {print $1; exit}')
  awk -v closing="${closing:-1e9}" -v report="$1" '
    FNR == NR {begin[FNR] = $1; end[FNR] = $2; $1 = $2 = ""; text[FNR] = substr($0, 3, 40); count = FNR; next}
    {
      lost = $2 - $3
      asked += $2; total += lost; late += $4; failed += $5
      if ($1 + 2 > closing) after += lost
      if (lost * 100 < $2) next
      under = ""
      for (i = 1; i <= count; i++)
        if (begin[i] < $1 + 2 && end[i] > $1) under = under (under == "" ? "" : "; ") text[i]
      printf "  %5s s  %5d asked  %5d late  %5d not served  %s\n", $1, $2, $4, $5, under
    }
    END {
      printf "%s: %d of %d not in aim (%d late, %d not served)", report, total, asked, late, failed
      if (closing < 1e9) printf "; from the closing fault on %d (%.0f%%)", after, total ? 100 * after / total : 0
      print ""
    }' <(troubles "$1") <(windows "$1")
}

for report in "${reports[@]}"; do
  account "$report"
done
if [ -n "$plot" ]; then
  data=$(mktemp)
  trap 'rm -f "$data"' EXIT
  windows "${reports[-1]}" > "$data"
  labels=$(troubles "${reports[-1]}" | awk '{printf "set arrow from %s, graph 0 to %s, graph 1 nohead dt 2\n", $1, $1}')
  gnuplot <<EOF
set terminal png size 1000,400
set output "$plot"
set xlabel "seconds of traffic"
set ylabel "part of the requests"
set yrange [0:1.05]
$labels
plot "$data" using 1:(\$3/\$2) with linespoints title "in aim", "" using 1:((\$3+\$4)/\$2) with lines title "served"
EOF
fi
