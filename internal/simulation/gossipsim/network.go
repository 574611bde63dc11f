package gossipsim

import (
	"slices"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/monotime"
)

// transmit sends a message of a member over the simulated network.
func (sim *simulation) transmit(from *member, outgoing coordination.Outgoing) {
	from.messagesSent++
	if sim.settings.MessageSize != nil {
		from.bytesSent += sim.settings.MessageSize(outgoing.Message)
	}
	if outgoing.Message.Request != nil && from.demandFactor != 1 {
		for i := range outgoing.Message.Request.Demands {
			outgoing.Message.Request.Demands[i].Requested *= from.demandFactor
		}
	}
	to := sim.byName[outgoing.To]
	if to == nil {
		return
	}
	delay, copies := sim.drawTransmission(from)
	for range copies {
		sim.schedule(delay+sim.rng.Int64N(maxCopyJitter), func() { sim.deliver(from, to, outgoing.Message) })
	}
}

// Delays of messages in microseconds.
const (
	minDelay      = 200
	meanDelay     = 1000 // mean of the exponentially distributed delay in addition to minDelay
	maxCopyJitter = 100  // largest difference between the delays of two copies of a message
)

// drawTransmission draws a message's delay, and the number of copies that arrive. Lossy faults drop, duplicate
// and delay messages; slow faults delay the messages of their members.
func (sim *simulation) drawTransmission(from *member) (delay monotime.Micros, copies int) {
	delay = monotime.Micros(minDelay + meanDelay*sim.rng.ExpFloat64())
	copies = 1
	leaseDuration := float64(sim.settings.Coordination.Quota.LeaseDuration)
	for _, fault := range sim.activeFaults {
		switch fault.Kind {
		case faultLossy:
			if sim.rng.Float64() < fault.Factor {
				copies--
			}
			if sim.rng.Float64() < fault.Factor {
				copies++
			}
			if sim.rng.Float64() < fault.Factor {
				delay += monotime.Micros(sim.rng.Float64() * 2 * leaseDuration)
			}
		case faultSlow:
			if slices.Contains(fault.Members, from.index) {
				delay += monotime.Micros(fault.Factor * leaseDuration)
			}
		}
	}
	return delay, copies
}

// partitioned reports whether an active fault blocks the messages from one member to another.
func (sim *simulation) partitioned(from, to *member) bool {
	return slices.ContainsFunc(sim.activeFaults, func(fault *Fault) bool { return sim.faultBlocks(fault, from, to) })
}

// faultBlocks reports whether a fault now blocks the messages from one member to another.
func (sim *simulation) faultBlocks(fault *Fault, from, to *member) bool {
	fromAffected := slices.Contains(fault.Members, from.index)
	toAffected := slices.Contains(fault.Members, to.index)
	switch fault.Kind {
	case faultPartition:
		return fromAffected != toAffected
	case faultFlappingPartition:
		return fromAffected != toAffected && (sim.now-fault.Start)/second%2 == 0
	case faultReceiveBlocked:
		return toAffected
	case faultSendBlocked:
		return fromAffected
	case faultPairPartition:
		firstMember := fault.Members[0]
		lastMember := fault.Members[len(fault.Members)-1]
		return from.index == firstMember && to.index == lastMember ||
			from.index == lastMember && to.index == firstMember
	}
	return false
}

// deliver passes a message to its recipient. A stopped member receives the message when it resumes.
func (sim *simulation) deliver(from, to *member, message coordination.Message) {
	if !to.running || sim.partitioned(from, to) {
		return
	}
	if to.stoppedUntil > sim.now {
		incarnation := to.incarnation
		sim.schedule(to.stoppedUntil-sim.now, func() {
			if to.incarnation == incarnation {
				sim.deliver(from, to, message)
			}
		})
		return
	}
	to.coordinator.Receive(to.localTime(sim.now), from.name, message)
	sim.processOutgoing(to)
}
