#!/usr/bin/env bash
# Tests bench/explain_request.sh ($1) with a log of two nodes: it prints the history of the request and no
# lines of other requests, flows or hosts.
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cat >"$folder/log" <<'LOG'
1.0 node-1 level=info event=host_added pool=p host=h-1 endpoint=10.0.0.1:80 zone=a
1.0 node-1 level=info event=host_added pool=p host=h-2 endpoint=10.0.0.2:80 zone=a
2.0 node-1 level=info event=flow_placed flow=1.1.1.1:5>2.2.2.2:80 service=s pool=p host=h-1
2.1 node-1 level=info event=request request=q-1 flow=1.1.1.1:5>2.2.2.2:80 pool=p host=h-1
2.2 node-1 level=info event=request request=q-2 flow=1.1.1.1:5>2.2.2.2:80 pool=p host=h-1
2.3 node-1 level=info event=flow_placed flow=1.1.1.1:6>2.2.2.2:80 service=s pool=p host=h-2
3.0 node-2 level=warning event=packet_dropped reason=host_gone flow=1.1.1.1:5>2.2.2.2:80 phase=closing request=-
4.0 node-1 level=info event=host_left pool=p host=h-1 endpoint=10.0.0.1:80 zone=a
LOG
cat >"$folder/expected" <<'LOG'
1.0 node-1 level=info event=host_added pool=p host=h-1 endpoint=10.0.0.1:80 zone=a
2.0 node-1 level=info event=flow_placed flow=1.1.1.1:5>2.2.2.2:80 service=s pool=p host=h-1
2.1 node-1 level=info event=request request=q-1 flow=1.1.1.1:5>2.2.2.2:80 pool=p host=h-1
3.0 node-2 level=warning event=packet_dropped reason=host_gone flow=1.1.1.1:5>2.2.2.2:80 phase=closing request=-
4.0 node-1 level=info event=host_left pool=p host=h-1 endpoint=10.0.0.1:80 zone=a
LOG
"$1" "$folder/log" q-1 >"$folder/told"
diff "$folder/expected" "$folder/told"
status=0
"$1" "$folder/log" q-3 2>"$folder/error" || status=$?
[ "$status" -eq 1 ]
grep -q 'no line names request q-3' "$folder/error"
status=0
"$1" "$folder/none" q-1 2>/dev/null || status=$?
[ "$status" -eq 2 ]
echo "explain_request: 1 passed, 0 failed"
