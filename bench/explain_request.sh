#!/usr/bin/env bash
# Prints the history of one request from the collected logs of all nodes: its own lines, the lines of the
# flows that carried it (without other requests), and the events of the hosts of these flows.
#   bench/explain_request.sh LOG ID
set -euo pipefail
if [ $# -ne 2 ] || [ ! -r "$1" ]; then
  echo "usage: ./dev explain LOG ID (LOG: a readable file with the lines of all nodes)" >&2
  exit 2
fi
awk -v id="$2" '
  function field(name,    index_, parts) {
    for (index_ = 1; index_ <= NF; ++index_) {
      split($index_, parts, "=")
      if (parts[1] == name) return substr($index_, length(name) + 2)
    }
    return ""
  }
  NR == FNR {
    if (field("request") == id) flows[field("flow")] = 1
    next
  }
  # The first pass collects the flows of the request, the second the hosts of the flows; the third prints.
  pass == 2 {
    if (field("flow") in flows && field("flow") != "" && field("host") != "") hosts[field("host")] = 1
    next
  }
  {
    flow = field("flow")
    event = field("event")
    if (event == "request" && field("request") != id) next
    if ((flow != "" && flow in flows) || (event ~ /^host_/ && field("host") in hosts)) {
      print
      ++found
    }
  }
  END { if (!found) { print "no line names request " id > "/dev/stderr"; exit 1 } }
' "$1" pass=2 "$1" pass=3 "$1"
