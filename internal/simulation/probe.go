package simulation

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/measure"
)

// probeTimeout is the time after which a probe without a reply fails. It is also the dial timeout of settings
// without one.
const probeTimeout = second / 4

// probe is a probe that an instance has sent to an endpoint.
type probe struct {
	instance       *instance
	engineEndpoint *engine.Endpoint
	endpoint       *endpoint
	pool           *engine.Pool
	incarnation    uint32               // incarnation of the instance that sent the probe
	number         uint64               // number of the probe among those of its instance, from 1
	sentAt         monotime.Micros      // time on the instance's clock
	reply          engine.AttemptResult // result of the probe, which includes the load report
}

// newProbe sends a probe to an endpoint.
func newProbe(in *instance, engineEndpoint *engine.Endpoint) {
	r := in.run
	in.probeCount++
	p := &probe{
		instance:       in,
		engineEndpoint: engineEndpoint,
		endpoint:       engineEndpoint.Target.(upstreamTarget).endpoint,
		pool:           in.pool,
		incarnation:    in.incarnation,
		number:         in.probeCount,
		sentAt:         in.localTime(),
	}
	if p.endpoint.unreachable || r.dialBlocked(in, p.endpoint) {
		p.reply.Status = balancer.Timeout
		r.events.push(r.now+probeTimeout, probeReplied, 0, p)
		return
	}
	r.events.push(r.now+in.overhead()+p.delay(0), probeAtEndpoint, 0, p)
}

// delay returns the network delay of a message between the instance and the endpoint. step numbers the
// probe's messages.
func (p *probe) delay(step uint64) monotime.Micros {
	r := p.instance.run
	return r.network.endpointDelay(p.instance.zone, p.endpoint.zone(), uint64(p.instance.index)|1<<63, p.number,
		step) + r.plan.ExtraDelay(r.now, p.instance.index, p.endpoint.index)
}

// arriveAtEndpoint handles the probe at the endpoint, which replies with its load report.
func (p *probe) arriveAtEndpoint() {
	r := p.instance.run
	switch {
	case !p.endpoint.model.Up():
		p.reply.Status = balancer.ConnectFailed
	default:
		r.meter.RecordArrival(r.now, p.endpoint.index, measure.ProbeArrival)
		r.meter.Costs.Probes++ // only probes that reach a running endpoint are counted
		load := p.endpoint.model.Probe(r.now, r.reportRand.For(uint64(p.instance.index), p.number))
		for _, metric := range p.instance.site.Settings.LoadMetrics {
			var value float64
			switch metric {
			case balancer.MetricInflight:
				value = load.Inflight
			case balancer.MetricQueueLength:
				value = load.Queue
			case balancer.MetricUtilization:
				value = load.Util
			case balancer.MetricLatency:
				value = load.LatencyMS
			case balancer.MetricServedRate:
				value = load.Served
			case balancer.MetricErrorRate:
				value = load.Errors
			}
			p.reply.Load = append(p.reply.Load, float32(value))
		}
	}
	r.events.push(r.now+p.delay(1)+p.instance.overhead(), probeReplied, 0, p)
}

// replyArrived passes the probe's result to the engine.
func (p *probe) replyArrived() {
	if p.incarnation != p.instance.incarnation || p.instance.down {
		return
	}
	p.reply.ObservedAt = p.instance.localTime()
	p.instance.run.meter.Costs.Decisions++
	p.instance.engine.ProbeEnded(p.instance.localTime(), p.pool, p.engineEndpoint, p.sentAt, p.reply)
	p.instance.advanceEngine()
}
