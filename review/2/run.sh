#!/bin/bash
# A daemon with the eight lines of its README, and room for 20 requests in flight, in front of two endpoints. Endpoint a is full and turns each request away,
# unrun (503, X-Never-Ran: 1). Endpoint b runs requests, and its process is killed while it works (not with TROUBLE=0).
# Clients send POST requests with no key. A client that was refused (429, 503) sends its request once more.
source "$(dirname "$0")/../lib.sh"
ports 3
cat >"$work/app.toml" <<END
[[listener]]
address = "127.0.0.1:${port[0]}"
[requests]
in_flight = 20
[[pool]]
name = "app"
endpoints = ["127.0.0.1:${port[1]}", "127.0.0.1:${port[2]}"]
[[route]]
pool = "app"
END
start a "$tool" endpoint -name a -address "127.0.0.1:${port[1]}" -record "$record" -turn-away
start b "$tool" endpoint -name b -address "127.0.0.1:${port[2]}" -record "$record" -work 2500ms
b=$pid
start daemon bin/dunlinsaild --config "$work/app.toml"
"$tool" ready "http://127.0.0.1:${port[0]}/-/ready" || cannot_run "the daemon is not ready"

url=http://127.0.0.1:${port[0]}/visits
ids=$(seq -f 'visit-%02g' -s, 1 12)
"$tool" send -url "$url" -record "$record" -ids "$ids" -every 50ms &
sender=$!
if [ "$trouble" != 0 ]; then
	sleep 1.4
	say "kills endpoint b, which is at work"
	kill -KILL "$b"
fi
wait "$sender" || cannot_run "the client failed"
if [ "$trouble" != 0 ]; then
	say "endpoint b is started again"
	start b2 "$tool" endpoint -name b -address "127.0.0.1:${port[2]}" -record "$record" -work 50ms
	sleep 1
fi
refused=$("$tool" check -record "$record" -rule refused)
if [ -n "$refused" ]; then
	say "clients that were refused send once more"
	"$tool" send -url "$url" -record "$record" -ids "$refused" -every 50ms || cannot_run "the client failed"
fi
say "$("$tool" check -record "$record" -rule refused-though-run 2>/dev/null)"
tail -1 "$record"
"$tool" check -record "$record" -rule refused-though-run >/dev/null 2>&1
