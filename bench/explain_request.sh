#!/usr/bin/env bash
# Prints the story of one request from the collected logs of all nodes: its own lines, those of every
# flow that it went by (without other requests), and what became of the hosts that these flows went to.
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
  # The second pass knows the flows; the third, the hosts.
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
