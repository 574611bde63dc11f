package simulation

import (
	"math"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/scenario"
)

// network says how long messages take. What one takes follows from who sends it for what, so that it is the same
// whatever else goes on.
type network struct {
	plan            *scenario.Plan
	stream          *randstream.Stream
	cuts            [][2]int // pairs of zones between which nothing comes through; a zone of -1 is each
	jitter          float64
	loss            float64
	retransmitAfter float64
	meanDelay       [3]float64 // client, within, between
	schedulingSlack float64
}

func newNetwork(p *scenario.Plan) network {
	n := &p.Network
	return network{
		plan:            p,
		stream:          randstream.New(p.Seed, "network"),
		jitter:          n.Jitter,
		loss:            n.Loss,
		retransmitAfter: float64(n.Retransmit.Micros()),
		meanDelay: [3]float64{float64(n.Client.Micros()), float64(n.Within.Micros()),
			float64(n.Between.Micros())},
		schedulingSlack: float64(p.Host.Slack.Micros()),
	}
}

// delay draws how long one message takes.
func (n *network) delay(mean float64, who ...uint64) monotime.Micros {
	r := n.stream.For(who...)
	d := mean * (1 + n.jitter*r.ExpFloat64())
	if n.schedulingSlack > 0 {
		d += n.schedulingSlack * r.ExpFloat64()
	}
	// A lost segment is sent again after a while that doubles (RFC 6298, 5.5).
	for wait := n.retransmitAfter; n.loss > 0 && r.Float64() < n.loss; wait *= 2 {
		d += wait
	}
	return max(1, monotime.Micros(math.Round(d)))
}

// clientDelay is the way between a client and its instance, there or back.
func (n *network) clientDelay(operation uint64, request int, back bool) monotime.Micros {
	way := uint64(request) << 1
	if back {
		way |= 1
	}
	return n.delay(n.meanDelay[0], 0, operation, way)
}

// endpointDelay is the way between an instance and an endpoint; what is 0, 1, 2 for the steps of one attempt or probe.
func (n *network) endpointDelay(a, b int, who, which, what uint64) monotime.Micros {
	mean := n.meanDelay[2]
	if a == b {
		mean = n.meanDelay[1]
	}
	return n.delay(mean, 1, who, which, what)
}

// pathBlocked says whether nothing comes through between an instance and an endpoint, towards the endpoint or back.
func (r *run) pathBlocked(in *instance, e *endpoint, back bool) bool {
	for _, i := range r.blockingEvents {
		if r.plan.PlannedEvents[i].BlocksPath(r.now, in.index, e.index, back) {
			return true
		}
	}
	return r.network.zonesCut(in.zone, e.zone())
}

// dialBlocked says whether a connection cannot be opened: words of both ways are needed for it.
func (r *run) dialBlocked(in *instance, e *endpoint) bool {
	return r.pathBlocked(in, e, false) || r.pathBlocked(in, e, true)
}

// zonesCut says whether nothing comes through between two zones.
func (n *network) zonesCut(a, b int) bool {
	if a == b {
		return false
	}
	for _, c := range n.cuts {
		if c[0] == a && (c[1] < 0 || c[1] == b) || c[0] == b && (c[1] < 0 || c[1] == a) {
			return true
		}
	}
	return false
}
