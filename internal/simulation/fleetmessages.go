package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/monotime"
)

// This file carries the messages between instances.

// instanceName is how instances call one another, and how a file names those that lend.
func instanceName(n int) string { return fmt.Sprint("instance-", n) }

// QuotaCandidates returns of those that a file names as many as there are in a run of so many instances, an odd number.
func QuotaCandidates(names []string, instances int) []string {
	n := min(len(names), instances)
	return names[:max(0, n-1+n%2)]
}

// fleetMessage is on its way from one instance to another.
type fleetMessage struct {
	from, to    *instance
	incarnation uint32 // of the one that it is for
	message     coordination.Message
}

// joinFleet has an engine decide together with the others, where that is set.
func (in *instance) joinFleet() error {
	if in.run.settings.Coordination == nil {
		return nil
	}
	t := *in.run.settings.Coordination
	t.Settings.Candidates = QuotaCandidates(t.Settings.Candidates, len(in.run.plan.Instances))
	t.Settings.Self = instanceName(in.index)
	t.Settings.Seed = in.seed + uint64(in.incarnation)
	t.Settings.Quota.MaxInstances = len(in.run.plan.Instances)
	lives := uint64(in.incarnation) << 8
	t.NextIncarnation = func() uint64 {
		lives++
		return lives
	}
	t.Send = in.sendFleetMessage
	return in.engine.JoinFleet(t)
}

// sendFleetMessage sends a message on its way. What is said while a process is stopped was said before: it goes out.
func (in *instance) sendFleetMessage(to string, w coordination.Message) {
	r := in.run
	text, ok := strings.CutPrefix(to, "instance-")
	n, err := strconv.Atoi(text)
	if !ok || err != nil || n < 0 || n >= len(r.instances) {
		return // one that this run does not have
	}
	if times := r.plan.DemandOverstatement(r.now); times != 1 && w.Request != nil && in.index == len(r.instances)-1 {
		for i := range w.Request.Demands {
			w.Request.Demands[i].Requested *= times
			w.Request.Demands[i].Contributed *= times
		}
	}
	r.fleetMessages++
	r.meter.Costs.FleetMessages++
	lots := r.faultRand.For(^r.fleetMessages, uint64(in.index))
	more, twice := r.plan.MessageDelay(r.now, in.index, [3]float64{lots.Float64(), lots.Float64(), lots.Float64()})
	at := r.now + r.network.endpointDelay(in.zone, r.plan.Instances[n].Zone, r.fleetMessages, uint64(in.index), 9)
	out := &fleetMessage{in, r.instances[n], r.instances[n].incarnation, w}
	r.events.push(at+more, fleetMessageArrives, 0, out)
	if twice {
		r.events.push(at+monotime.Micros(lots.Float64()*float64(more)), fleetMessageArrives, 0, out)
	}
}

// upgrade has another process take over from the instance's while it serves. Of that only the place among the others
// is played: it is given away, and begun anew with what was given.
func (in *instance) upgrade() {
	now := in.localTime()
	if s := in.engine.HandOverCoordination(now); s != nil {
		in.engine.RestoreCoordination(now, 0, s)
	}
	in.advanceEngine()
}

// arrive hands a message over, unless nothing passes or its instance has begun anew.
func (w *fleetMessage) arrive() {
	to := w.to
	r := w.to.run
	if to.down || to.incarnation != w.incarnation || r.plan.Partitioned(r.now, w.from.index, to.index) ||
		r.network.zonesCut(w.from.zone, to.zone) {
		return
	}
	to.engine.ReceiveFleetMessage(to.localTime(), instanceName(w.from.index), w.message)
	to.advanceEngine()
}
