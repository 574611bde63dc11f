#!/bin/bash
# A daemon with the eight lines of its README, and room for 40 requests in flight, in front of two endpoints. Endpoint a is
# full and turns each request away, unrun (503, X-Never-Ran: 1). Endpoint b runs requests, and its process is killed while it
# works (not with TROUBLE=0). Clients send POST requests with no key. A client that was refused (429, 503) sends its request
# once more. Which endpoint a request goes to first is chance, so there are up to three rounds, each with a new daemon.
source "$(dirname "$0")/../lib.sh"

round() { # round R
	local b sender refused pid
	ports 3
	cat >"$work/app.toml" <<END
[[listener]]
address = "127.0.0.1:${port[0]}"
[requests]
in_flight = 40
[[pool]]
name = "app"
endpoints = ["127.0.0.1:${port[1]}", "127.0.0.1:${port[2]}"]
[[route]]
pool = "app"
END
	say "round $1"
	start a "$tool" endpoint -name a -address "127.0.0.1:${port[1]}" -record "$record" -turn-away
	start b "$tool" endpoint -name b -address "127.0.0.1:${port[2]}" -record "$record" -work 2500ms
	b=$pid
	start daemon bin/dunlinsaild --config "$work/app.toml"
	"$tool" ready "http://127.0.0.1:${port[0]}/-/ready" || cannot_run "the daemon is not ready"

	url=http://127.0.0.1:${port[0]}/visits
	"$tool" send -url "$url" -record "$record" -ids "$(seq -f "visit-$1-%02g" -s, 1 24)" -every 50ms &
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
	refused=$("$tool" check -record "$record" -rule refused | tr , '\n' | grep "^visit-$1-" | paste -sd,)
	if [ -n "$refused" ]; then
		say "clients that were refused send once more"
		"$tool" send -url "$url" -record "$record" -ids "$refused" -every 50ms || cannot_run "the client failed"
	fi
	for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	started=()
}

for r in 1 2 3; do
	round "$r"
	"$tool" check -record "$record" -rule refused-though-run >"$work/verdict" 2>/dev/null
	code=$?
	[ "$code" = 0 ] || break
done
say "$(cat "$work/verdict")"
tail -1 "$record"
exit "$code"
