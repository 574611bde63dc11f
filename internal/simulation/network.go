package simulation

import (
	"math"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/scenario"
)

// network gives the delay of each message. A delay depends on the message's sender and purpose only, so that it is the
// same in all runs of a plan whatever else differs.
type network struct {
	plan            *scenario.Plan
	stream          *randstream.Stream
	cuts            [][2]int // pairs of zones without a connection; -1 stands for all other zones
	jitter          float64
	loss            float64
	retransmitAfter float64
	meanDelay       [3]float64 // microseconds: to a client, within a zone, between zones
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

// delay draws the delay of one message in microseconds; key identifies it.
func (n *network) delay(mean float64, key ...uint64) monotime.Micros {
	r := n.stream.For(key...)
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

// clientDelay is the delay of a request from a client to its instance, or of the response back.
func (n *network) clientDelay(operation uint64, request int, back bool) monotime.Micros {
	message := uint64(request) << 1
	if back {
		message |= 1
	}
	return n.delay(n.meanDelay[0], 0, operation, message)
}

// endpointDelay is the delay of a message between zones a and b: of an attempt, a probe or a fleet message, which who
// and which identify. step numbers its messages.
func (n *network) endpointDelay(a, b int, who, which, step uint64) monotime.Micros {
	mean := n.meanDelay[2]
	if a == b {
		mean = n.meanDelay[1]
	}
	return n.delay(mean, 1, who, which, step)
}

// pathBlocked reports whether messages from an instance to an endpoint are lost, or with back those of the endpoint to
// the instance.
func (r *run) pathBlocked(in *instance, e *endpoint, back bool) bool {
	for _, i := range r.blockingEvents {
		if r.plan.PlannedEvents[i].BlocksPath(r.now, in.index, e.index, back) {
			return true
		}
	}
	return r.network.zonesCut(in.zone, e.zone())
}

// dialBlocked reports whether no connection can be opened: a handshake needs both directions.
func (r *run) dialBlocked(in *instance, e *endpoint) bool {
	return r.pathBlocked(in, e, false) || r.pathBlocked(in, e, true)
}

// zonesCut reports whether two zones have no connection.
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
