package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/monotime"
)

// This file carries the messages between instances.

// instanceName is an instance's name among the fleet, as configuration files name lease candidates.
func instanceName(n int) string { return fmt.Sprint("instance-", n) }

// QuotaCandidates returns the lease candidates of a run of so many instances, out of those that a file names. Their
// number is odd.
func QuotaCandidates(names []string, instances int) []string {
	n := min(len(names), instances)
	return names[:max(0, n-1+n%2)]
}

// fleetMessage is on its way from one instance to another.
type fleetMessage struct {
	from, to    *instance
	incarnation uint32 // of the recipient
	message     coordination.Message
}

// joinFleet turns the engine's fleet coordination on, if the settings have it.
func (in *instance) joinFleet() error {
	if in.run.settings.Coordination == nil {
		return nil
	}
	t := *in.run.settings.Coordination
	t.Settings.Candidates = QuotaCandidates(t.Settings.Candidates, len(in.run.plan.Instances))
	t.Settings.Self = instanceName(in.index)
	t.Settings.Seed = in.seed + uint64(in.incarnation)
	t.Settings.Quota.MaxInstances = len(in.run.plan.Instances)
	incarnation := uint64(in.incarnation) << 8 // a process takes part several times, each as another incarnation
	t.NextIncarnation = func() uint64 {
		incarnation++
		return incarnation
	}
	t.Send = in.sendFleetMessage
	return in.engine.JoinFleet(t)
}

// sendFleetMessage sends a message to another instance. A message of a process that is now frozen was sent before that,
// and is delivered.
func (in *instance) sendFleetMessage(to string, w coordination.Message) {
	r := in.run
	text, ok := strings.CutPrefix(to, "instance-")
	n, err := strconv.Atoi(text)
	if !ok || err != nil || n < 0 || n >= len(r.instances) {
		return // this run has no such instance
	}
	misreports := w.Request != nil && in.index == len(r.instances)-1
	if factor := r.plan.DemandOverstatement(r.now); misreports && factor != 1 {
		for i := range w.Request.Demands {
			w.Request.Demands[i].Requested *= factor
			w.Request.Demands[i].Contributed *= factor
		}
	}
	r.fleetMessages++
	r.meter.Costs.FleetMessages++
	random := r.faultRand.For(^r.fleetMessages, uint64(in.index))
	draws := [3]float64{random.Float64(), random.Float64(), random.Float64()}
	more, twice := r.plan.MessageDelay(r.now, in.index, draws)
	at := r.now + r.network.endpointDelay(in.zone, r.plan.Instances[n].Zone, r.fleetMessages, uint64(in.index), 9)
	out := &fleetMessage{in, r.instances[n], r.instances[n].incarnation, w}
	r.events.push(at+more, fleetMessageArrives, 0, out)
	if twice {
		r.events.push(at+monotime.Micros(random.Float64()*float64(more)), fleetMessageArrives, 0, out)
	}
}

// upgrade replaces the instance's process by a hot restart. Only fleet coordination is simulated: its state is handed
// over and restored.
func (in *instance) upgrade() {
	now := in.localTime()
	if s := in.engine.HandOverCoordination(now); s != nil {
		in.engine.RestoreCoordination(now, 0, s)
	}
	in.advanceEngine()
}

// arrive delivers a message, unless the network is partitioned or the recipient has restarted.
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
