package gossipsim

import (
	"slices"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/monotime"
)

// transmit sends a member's message over the network.
func (sim *simulation) transmit(from *member, o coordination.Outgoing) {
	from.messagesSent++
	if sim.settings.MessageSize != nil {
		from.bytesSent += sim.settings.MessageSize(o.Message)
	}
	if o.Message.Request != nil && from.demandFactor != 1 {
		for i := range o.Message.Request.Demands {
			o.Message.Request.Demands[i].Requested *= from.demandFactor
		}
	}
	to := sim.byName[o.To]
	if to == nil {
		return
	}
	delay, copies := sim.drawTransmission(from)
	for range copies {
		sim.schedule(delay+sim.rng.Int64N(copyJitter), func() { sim.deliver(from, to, o.Message) })
	}
}

// Delays of messages in microseconds.
const (
	minDelay   = 200
	meanDelay  = 1000 // beyond minDelay, exponentially distributed
	copyJitter = 100  // upper bound of the difference between copies
)

// drawTransmission draws a message's delay, and how often it arrives: lossy faults drop, repeat and delay messages,
// slow ones delay those of some members.
func (sim *simulation) drawTransmission(from *member) (delay monotime.Micros, copies int) {
	delay = monotime.Micros(minDelay + meanDelay*sim.rng.ExpFloat64())
	copies = 1
	leaseDuration := float64(sim.settings.Coordination.Quota.LeaseDuration)
	for _, f := range sim.activeFaults {
		switch f.Kind {
		case faultLossy:
			if sim.rng.Float64() < f.Factor {
				copies--
			}
			if sim.rng.Float64() < f.Factor {
				copies++
			}
			if sim.rng.Float64() < f.Factor {
				delay += monotime.Micros(sim.rng.Float64() * 2 * leaseDuration)
			}
		case faultSlow:
			if slices.Contains(f.Members, from.index) {
				delay += monotime.Micros(f.Factor * leaseDuration)
			}
		}
	}
	return delay, copies
}

// partitioned reports whether no message passes from one member to another now.
func (sim *simulation) partitioned(from, to *member) bool {
	return slices.ContainsFunc(sim.activeFaults, func(f *Fault) bool { return sim.cutsOff(f, from, to) })
}

// cutsOff reports whether a fault lets no message pass from one member to another now.
func (sim *simulation) cutsOff(f *Fault, from, to *member) bool {
	ofFrom := slices.Contains(f.Members, from.index)
	ofTo := slices.Contains(f.Members, to.index)
	switch f.Kind {
	case faultSplit:
		return ofFrom != ofTo
	case faultFlap:
		return ofFrom != ofTo && (sim.now-f.Start)/second%2 == 0
	case faultDeaf:
		return ofTo
	case faultDumb:
		return ofFrom
	case faultUnseen:
		first := f.Members[0]
		last := f.Members[len(f.Members)-1]
		return from.index == first && to.index == last || from.index == last && to.index == first
	}
	return false
}

// deliver hands a message to its recipient. One that is stopped receives it once it goes on.
func (sim *simulation) deliver(from, to *member, m coordination.Message) {
	if !to.running || sim.partitioned(from, to) {
		return
	}
	if to.stoppedUntil > sim.now {
		incarnation := to.incarnation
		sim.schedule(to.stoppedUntil-sim.now, func() {
			if to.incarnation == incarnation {
				sim.deliver(from, to, m)
			}
		})
		return
	}
	to.coordinator.Receive(to.localTime(sim.now), from.name, m)
	sim.processOutgoing(to)
}
