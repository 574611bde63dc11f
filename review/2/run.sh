#!/bin/bash
# A daemon on routes, with room for 40 requests in flight, in front of ten endpoints. Endpoint e1 is full and turns each request
# away, unrun (503, X-Never-Ran: 1). The others run requests. One of them, at work on a request that e1 turned away before, is
# killed (not with TROUBLE=0) and started again some 2 s later. Clients send POST requests with no key. A client that was refused
# (429, 503) sends its request once more. Which endpoint a request goes to first is chance, so there are up to three rounds, each
# with a new daemon.
source "$(dirname "$0")/../lib.sh"

round() { # round R
	local sender refused pid url victim='' pids=() addresses=()
	ports 11
	say "round $1"
	for i in $(seq 10); do
		addresses+=("127.0.0.1:${port[$i]}")
		full=()
		[ "$i" = 1 ] && full=(-turn-away)
		start "e$i" "$tool" endpoint -name "e$i" -address "${addresses[-1]}" -record "$record" -work 2500ms "${full[@]}"
		pids+=("$pid")
	done
	cat >"$work/app.toml" <<END
[[listener]]
address = "127.0.0.1:${port[0]}"
[requests]
in_flight = 40
[[pool]]
name = "app"
endpoints = [$(printf '"%s", ' "${addresses[@]}" | sed 's/, $//')]
[[route]]
pool = "app"
END
	start daemon bin/dunlinsaild --config "$work/app.toml"
	"$tool" ready "http://127.0.0.1:${port[0]}/-/ready" || cannot_run "the daemon is not ready"

	url=http://127.0.0.1:${port[0]}/visits
	"$tool" send -url "$url" -record "$record" -ids "$(seq -f "visit-$1-%02g" -s, 1 40)" -every 30ms &
	sender=$!
	if [ "$trouble" != 0 ]; then
		sleep 1.5
		victim=$(awk -v round="visit-$1-" 'index($5, round) != 1 || $2 != "endpoint" { next }
			$4 == "turned-away" { away[$5] = 1 }
			$4 == "run" && away[$5] { print substr($3, 2); exit }' "$record")
		if [ -n "$victim" ]; then
			say "kills endpoint e$victim, which is at work"
			kill -KILL "${pids[$((victim - 1))]}"
		fi
	fi
	wait "$sender" || cannot_run "the client failed"
	if [ -n "$victim" ]; then
		say "endpoint e$victim is started again"
		start "e$victim" "$tool" endpoint -name "e$victim" -address "${addresses[$((victim - 1))]}" -record "$record" -work 50ms
	fi
	sleep 0.5
	refused=$("$tool" check -record "$record" -rule refused | tr , '\n' | grep "^visit-$1-" | paste -sd,)
	if [ -n "$refused" ]; then
		say "clients that were refused send once more"
		"$tool" send -url "$url" -record "$record" -ids "$refused" -every 30ms || cannot_run "the client failed"
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
