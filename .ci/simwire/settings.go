package main

import "fmt"

// settingsText is the config text of an instance, with what differs between scripts and instances left open.
const settingsText = `peers-total=%d
position=%d
zone=%d
areas=a,b,c
skus=std,big
discovery=%s
tick=%d
value-by=%s
over-share-worth=0.4
limits.cancel=true
limits.probes=true
limits.second-copies=%t
limits.retry-after=true
limits.most-tries=3
limits.most-held=400
limits.max-retry-after=5000000
contract.drain-grace=500000
contract.cold-from=0.2
contract.ramp-time=4000000
contract.fall-multiple=2
contract.overload-for=1000000
contract.ask-within=3000000
contract.answer-slack=1000
prices.cross-zone=0.02
prices.probe=0.001
prices.waste=0.1
prices.late-fail=0.2
goal.whole=0.5
goal.worst-window=0.2
goal.worst-class=0.2
goal.worst-tenant=0.1
reporting.how=%s
reporting.fields=busy_reqs,pending,cpu_share,svc_ms,served_ps,failed_ps
classes.count=%d
classes.0.name=read
classes.0.repeat=pure
classes.0.target=120000
classes.0.give-up=900000
classes.0.credit=1
classes.0.late-value=0.5
classes.1.name=book
classes.1.repeat=token
classes.1.group=zone
classes.1.window=10000000
classes.1.target=250000
classes.1.give-up=1200000
classes.1.credit=8
classes.1.late-value=0.2
classes.2.name=pay
classes.2.repeat=token
classes.2.group=cell
classes.2.window=3000000
classes.2.target=400000
classes.2.give-up=2000000
classes.2.credit=3
classes.3.name=write
classes.3.repeat=side_effect
classes.3.target=200000
classes.3.give-up=1500000
classes.3.credit=2
classes.4.name=stream
classes.4.repeat=pure
classes.4.target=300000
classes.4.give-up=3000000
classes.4.credit=0.5
classes.4.late-value=0.9
classes.4.stream=true
tenants.count=%d
tenants.0.name=north
tenants.0.allowance-per-s=200
tenants.0.share=0.5
tenants.1.name=south
tenants.1.allowance-per-s=60
tenants.1.share=0.3
tenants.2.name=other
tenants.2.share=0.2
`

// settings returns the config text of an instance of the script with this seed. Odd seeds have load reports with each
// answer and discovery that sends by itself; even ones have probes and a subscription.
func settings(seed uint64, instance uint32) string {
	reporting := "answers"
	discovery := "automatic"
	valueBy := "request"
	tick := 0
	if seed%2 == 0 {
		reporting = "probe"
		discovery = "subscribe"
		valueBy = "work"
		tick = millisecond
	}
	return fmt.Sprintf(settingsText, instances, instance, instance%3, discovery, tick, valueBy, seed%3 != 0, reporting,
		classCount, tenantCount)
}
