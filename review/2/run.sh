#!/bin/bash
# A sidecar in front of twenty endpoints. A client sends a keyed request with a large body. While the body comes, the endpoint
# that receives it hangs (SIGSTOP; not with TROUBLE=0). The client writes the rest of its body, to the last byte, and waits.
# How much of a body the buffers of the kernel take depends on the machine: the sizes below are tried until one is too large
# for those between sidecar and endpoint, and small enough for the client to write its last byte.
source "$(dirname "$0")/../lib.sh"

try() { # try BYTES: exits with the code of the client: 0 answered in time, 1 rule broken, 2 the last byte was not written
	ports 22
	local endpoints=() pids=() client at
	for i in $(seq 20); do
		endpoints+=("127.0.0.1:${port[$((i + 1))]}")
		start "e$i" "$tool" endpoint -name "e$i" -address "${endpoints[-1]}" -record "$record" -work 40ms
		pids+=("$pid")
	done
	cat >"$work/config.json" <<END
{"name":"n1","listen":"127.0.0.1:${port[0]}","discovery":"127.0.0.1:${port[1]}","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "settings":{"areas":["heredia","san-jose","cartago"],"zone":0,"skus":["std-2c","slow-2c"],"stages":["agenda-api"],"tier":0,
  "callers":{"marks-retry":false},"discovery":"automatic","family-info":{"warm-keys":false},
  "classes":[
   {"name":"open-slots","credit":2.0,"give-up":500000,"target":250000,"group":"all","late-value":0.0,"repeat":"pure","stream":false,"window":5000000},
   {"name":"patient-card","credit":1.0,"give-up":800000,"target":200000,"group":"all","late-value":0.0,"repeat":"pure","stream":false,"window":5000000},
   {"name":"chair-status","credit":3.0,"give-up":800000,"target":200000,"group":"all","late-value":0.0,"repeat":"pure","stream":false,"window":5000000},
   {"name":"book","credit":5.0,"give-up":600000,"target":300000,"group":"cell","late-value":0.0,"repeat":"token","stream":false,"window":400000}],
  "contract":{"answer-slack":16000,"ask-within":10000000,"cold-from":0.14,"drain-grace":250000,"fall-multiple":2.5,"overload-for":2000000,"ramp-time":23000000},
  "goal":{"whole":0.6,"worst-class":0.2,"worst-tenant":0.1,"worst-window":0.1},"kind-of-service":"mesh",
  "limits":{"cancel":true,"cpu-us-per-request":0.0,"cpu-us-per-s":80000,"dial-timeout":100000,"keepalive":15000000,"max-retry-after":400000,
   "may-tell":false,"most-held":20000,"most-tries":3,"multiplex":1,"probes":false,"retry-after":true,"second-copies":true},
  "over-share-worth":0.05,"peers-total":3,"position":0,
  "prices":{"connection":0.0,"cross-zone":0.01,"discovery":0.0,"handshake":0.0,"late-fail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.002,"waste":0.1},
  "reporting":{"how":"none","fields":[]},
  "tenants":[{"name":"sonrisa-norte","allowance-per-s":137.0,"share":0.58},{"name":"clinicas-rio","allowance-per-s":100.0,"share":0.42}],
  "tick":4000,"value-by":"request","weight-kind":"nominal"}}
END
	start discovery "$tool" discovery -address "127.0.0.1:${port[1]}" -endpoints "$(IFS=, && echo "${endpoints[*]}")"
	start sidecar env "ROUTER_CONFIG=$work/config.json" bin/dunlinsail
	"$tool" ready "http://127.0.0.1:${port[0]}/-/ready" || cannot_run "the sidecar is not ready"

	"$tool" upload -address "127.0.0.1:${port[0]}" -record "$record" -id "b00c$1" -size "$1" -first 200000 -pause 1s \
		-expires 600 -wait 30s >"$work/result" 2>/dev/null &
	client=$!
	sleep 0.5
	at=$(sed -n "s/.* endpoint e\\([0-9]*\\) receives b00c$1\$/\\1/p" "$record")
	[ -n "$at" ] || cannot_run "no endpoint receives the request"
	if [ "$trouble" != 0 ]; then
		say "endpoint e$at hangs"
		kill -STOP "${pids[$((at - 1))]}"
	fi
	wait "$client"
	code=$?
	[ -s "$work/result" ] && say "$(cat "$work/result")"
	for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	started=()
	return "$code"
}

held=
for size in 6000000 7000000 5000000 4000000 3000000 2000000 1000000; do
	try "$size"
	case $? in
	0) held=1 ;;
	1)
		sed 's/^/sidecar: /' "$work/sidecar.log" >>"$record"
		grep "script broken" "$record"
		exit 1
		;;
	esac
done
[ -n "$held" ] || cannot_run "the client could write no last byte"
say "held: each request whose last byte was written was answered in time"
tail -1 "$record"
