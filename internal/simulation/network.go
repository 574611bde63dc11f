package simulation

import (
	"math"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/scenario"
)

// network draws the delay of each message. A delay depends only on the message's sender, purpose and number,
// so that it is the same in all runs of a plan.
type network struct {
	plan             *scenario.Plan
	delayRand        *randstream.Stream // random numbers of all delays
	partitionedZones [][2]int           // pairs of zones that cannot reach each other; -1 stands for all other zones
	jitter           float64            // mean of the exponential jitter, relative to the mean delay
	loss             float64            // probability that a segment is lost
	retransmitAfter  float64            // microseconds until a lost segment is retransmitted the first time
	meanDelays       [3]float64         // microseconds: to a client, within a zone, between zones
	schedulingSlack  float64            // mean scheduling delay of a host in microseconds
}

// newNetwork returns the network that a plan describes.
func newNetwork(plan *scenario.Plan) network {
	settings := &plan.Network
	return network{
		plan:            plan,
		delayRand:       randstream.New(plan.Seed, "network"),
		jitter:          settings.Jitter,
		loss:            settings.Loss,
		retransmitAfter: float64(settings.Retransmit.Micros()),
		meanDelays: [3]float64{float64(settings.ClientDelay.Micros()), float64(settings.SameZoneDelay.Micros()),
			float64(settings.CrossZoneDelay.Micros())},
		schedulingSlack: float64(plan.Host.SchedulingDelay.Micros()),
	}
}

// delay draws the delay of the message that key identifies. mean is in microseconds.
func (n *network) delay(mean float64, key ...uint64) monotime.Micros {
	random := n.delayRand.For(key...)
	total := mean * (1 + n.jitter*random.ExpFloat64())
	if n.schedulingSlack > 0 {
		total += n.schedulingSlack * random.ExpFloat64()
	}
	// A lost segment is retransmitted after a timeout that doubles each time (RFC 6298, 5.5).
	for wait := n.retransmitAfter; n.loss > 0 && random.Float64() < n.loss; wait *= 2 {
		total += wait
	}
	return max(1, monotime.Micros(math.Round(total)))
}

// clientDelay returns the delay of a request from a client to its instance or, with toClient, of the
// response.
func (n *network) clientDelay(operation uint64, request int, toClient bool) monotime.Micros {
	message := uint64(request) << 1
	if toClient {
		message |= 1
	}
	return n.delay(n.meanDelays[0], 0, operation, message)
}

// endpointDelay returns the delay of a message of an attempt, a probe or a fleet message between two zones.
// senderKey and messageKey identify the attempt, probe or fleet message; step numbers its messages.
func (n *network) endpointDelay(fromZone, toZone int, senderKey, messageKey, step uint64) monotime.Micros {
	mean := n.meanDelays[2]
	if fromZone == toZone {
		mean = n.meanDelays[1]
	}
	return n.delay(mean, 1, senderKey, messageKey, step)
}

// pathBlocked reports whether messages from an instance to an endpoint are lost or, with toInstance, those
// from the endpoint to the instance.
func (r *run) pathBlocked(in *instance, e *endpoint, toInstance bool) bool {
	for _, eventIndex := range r.pathBlockingEvents {
		if r.plan.PlannedEvents[eventIndex].BlocksPath(r.now, in.index, e.index, toInstance) {
			return true
		}
	}
	return r.network.zonesPartitioned(in.zone, e.zone())
}

// dialBlocked reports whether the network prevents a new connection: a handshake needs both directions.
func (r *run) dialBlocked(in *instance, e *endpoint) bool {
	return r.pathBlocked(in, e, false) || r.pathBlocked(in, e, true)
}

// zonesPartitioned reports whether two zones cannot reach each other.
func (n *network) zonesPartitioned(a, b int) bool {
	if a == b {
		return false
	}
	for _, pair := range n.partitionedZones {
		if pair[0] == a && (pair[1] < 0 || pair[1] == b) || pair[0] == b && (pair[1] < 0 || pair[1] == a) {
			return true
		}
	}
	return false
}
