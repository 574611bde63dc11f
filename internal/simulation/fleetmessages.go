package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/monotime"
)

// This file simulates the messages between instances.

// instanceName returns the name of an instance in the fleet, in the form that configuration files use for
// lease candidates.
func instanceName(index int) string { return fmt.Sprint("instance-", index) }

// QuotaCandidates returns the lease candidates of a run with the given number of instances: the first of the
// configured names, at most one for each instance, and an odd number of them.
func QuotaCandidates(names []string, instances int) []string {
	usable := min(len(names), instances)
	return names[:max(0, usable-1+usable%2)]
}

// fleetMessage is a message that is being sent from one instance to another.
type fleetMessage struct {
	from, to    *instance
	incarnation uint32 // incarnation of the recipient when the message was sent
	message     coordination.Message
}

// joinFleet turns the engine's fleet coordination on, if the settings include it.
func (in *instance) joinFleet() error {
	if in.run.settings.Coordination == nil {
		return nil
	}
	config := *in.run.settings.Coordination
	config.Settings.Candidates = QuotaCandidates(config.Settings.Candidates, len(in.run.plan.Instances))
	config.Settings.Self = instanceName(in.index)
	config.Settings.Seed = in.seed + uint64(in.incarnation)
	config.Settings.Quota.MaxInstances = len(in.run.plan.Instances)
	incarnation := uint64(in.incarnation) << 8 // a process may join several times, each time as a new incarnation
	config.NextIncarnation = func() uint64 {
		incarnation++
		return incarnation
	}
	config.Send = in.sendFleetMessage
	return in.engine.JoinFleet(config)
}

// sendFleetMessage sends a message to another instance. A message that a process sent before it was frozen is
// still delivered. While a planned event overstates demand, the last instance of the fleet reports multiplied
// demands.
func (in *instance) sendFleetMessage(to string, message coordination.Message) {
	r := in.run
	indexText, ok := strings.CutPrefix(to, "instance-")
	index, err := strconv.Atoi(indexText)
	if !ok || err != nil || index < 0 || index >= len(r.instances) {
		return // the run has fewer instances than the configuration names
	}
	mayOverstate := message.Request != nil && in.index == len(r.instances)-1
	if factor := r.plan.DemandOverstatement(r.now); mayOverstate && factor != 1 {
		for demandIndex := range message.Request.Demands {
			message.Request.Demands[demandIndex].Requested *= factor
			message.Request.Demands[demandIndex].Contributed *= factor
		}
	}
	r.fleetMessageCount++
	r.meter.Costs.FleetMessages++
	random := r.faultRand.For(^r.fleetMessageCount, uint64(in.index))
	draws := [3]float64{random.Float64(), random.Float64(), random.Float64()}
	extraDelay, duplicated := r.plan.MessageDelay(r.now, in.index, draws)
	arrivesAt := r.now + r.network.endpointDelay(in.zone, r.plan.Instances[index].Zone,
		r.fleetMessageCount, uint64(in.index), 9)
	delivery := &fleetMessage{in, r.instances[index], r.instances[index].incarnation, message}
	r.events.push(arrivesAt+extraDelay, fleetMessageArrives, 0, delivery)
	if duplicated {
		r.events.push(arrivesAt+monotime.Micros(random.Float64()*float64(extraDelay)), fleetMessageArrives, 0, delivery)
	}
}

// hotRestart replaces the instance's process. Only fleet coordination is simulated: its state is handed over
// and restored.
func (in *instance) hotRestart() {
	now := in.localTime()
	if state := in.engine.HandOverCoordination(now); state != nil {
		in.engine.RestoreCoordination(now, 0, state)
	}
	in.advanceEngine()
}

// arrive delivers a message, unless a partition separates the two instances or the recipient is down or has
// restarted.
func (m *fleetMessage) arrive() {
	to := m.to
	r := m.to.run
	if to.down || to.incarnation != m.incarnation || r.plan.Partitioned(r.now, m.from.index, to.index) ||
		r.network.zonesPartitioned(m.from.zone, to.zone) {
		return
	}
	to.engine.ReceiveFleetMessage(to.localTime(), instanceName(m.from.index), m.message)
	to.advanceEngine()
}
