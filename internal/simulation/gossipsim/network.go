package gossipsim

import (
	"slices"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/monotime"
)

// carry takes a word to whom it is for.
func (w *simulation) transmit(from *member, o coordination.Outgoing) {
	from.messagesSent++
	if w.settings.MessageSize != nil {
		from.bytesSent += w.settings.MessageSize(o.Message)
	}
	if o.Message.Request != nil && from.demandFactor != 1 {
		for i := range o.Message.Request.Demands {
			o.Message.Request.Demands[i].Requested *= from.demandFactor
		}
	}
	to := w.byName[o.To]
	if to == nil {
		return
	}
	delay, copies := monotime.Micros(200+1000*w.rng.ExpFloat64()), 1
	for _, f := range w.activeFaults {
		switch f.Kind {
		case "lossy":
			if w.rng.Float64() < f.Factor {
				copies--
			}
			if w.rng.Float64() < f.Factor {
				copies++
			}
			if w.rng.Float64() < f.Factor {
				delay += monotime.Micros(w.rng.Float64() * 2 * float64(w.settings.Coordination.Quota.LeaseDuration))
			}
		case "slow":
			if slices.Contains(f.Members, from.index) {
				delay += monotime.Micros(f.Factor * float64(w.settings.Coordination.Quota.LeaseDuration))
			}
		}
	}
	for range copies {
		w.schedule(delay+w.rng.Int64N(100), func() { w.deliver(from, to, o.Message) })
	}
}

// cut says whether nothing passes from one member to another now.
func (w *simulation) partitioned(from, to *member) bool {
	for _, f := range w.activeFaults {
		a, b := slices.Contains(f.Members, from.index), slices.Contains(f.Members, to.index)
		switch f.Kind {
		case "split":
			if a != b {
				return true
			}
		case "flap":
			if a != b && (w.now-f.Start)/second%2 == 0 {
				return true
			}
		case "deaf":
			if b {
				return true
			}
		case "dumb":
			if a {
				return true
			}
		case "unseen":
			first, last := f.Members[0], f.Members[len(f.Members)-1]
			if from.index == first && to.index == last || from.index == last && to.index == first {
				return true
			}
		}
	}
	return false
}

func (w *simulation) deliver(from, to *member, word coordination.Message) {
	if !to.running || w.partitioned(from, to) {
		return
	}
	if to.stoppedUntil > w.now {
		life := to.incarnation
		w.schedule(to.stoppedUntil-w.now, func() {
			if to.incarnation == life {
				w.deliver(from, to, word)
			}
		})
		return
	}
	to.coordinator.Receive(to.localTime(w.now), from.name, word)
	w.processOutgoing(to)
}
