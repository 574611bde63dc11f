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
func instanceName(index int) string { return fmt.Sprint("instance-", index) }

// QuotaCandidates returns the lease candidates of a run of so many instances, out of those that a file names. Their
// number is odd.
func QuotaCandidates(names []string, instances int) []string {
	usable := min(len(names), instances)
	return names[:max(0, usable-1+usable%2)]
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
	config := *in.run.settings.Coordination
	config.Settings.Candidates = QuotaCandidates(config.Settings.Candidates, len(in.run.plan.Instances))
	config.Settings.Self = instanceName(in.index)
	config.Settings.Seed = in.seed + uint64(in.incarnation)
	config.Settings.Quota.MaxInstances = len(in.run.plan.Instances)
	incarnation := uint64(in.incarnation) << 8 // a process takes part several times, each as another incarnation
	config.NextIncarnation = func() uint64 {
		incarnation++
		return incarnation
	}
	config.Send = in.sendFleetMessage
	return in.engine.JoinFleet(config)
}

// sendFleetMessage sends a message to another instance. A message of a process that is now frozen was sent before that,
// and is delivered.
func (in *instance) sendFleetMessage(to string, message coordination.Message) {
	r := in.run
	indexText, ok := strings.CutPrefix(to, "instance-")
	index, err := strconv.Atoi(indexText)
	if !ok || err != nil || index < 0 || index >= len(r.instances) {
		return // this run has no such instance
	}
	overstates := message.Request != nil && in.index == len(r.instances)-1
	if factor := r.plan.DemandOverstatement(r.now); overstates && factor != 1 {
		for demand := range message.Request.Demands {
			message.Request.Demands[demand].Requested *= factor
			message.Request.Demands[demand].Contributed *= factor
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

// upgrade replaces the instance's process by a hot restart. Only fleet coordination is simulated: its state is handed
// over and restored.
func (in *instance) hotRestart() {
	now := in.localTime()
	if state := in.engine.HandOverCoordination(now); state != nil {
		in.engine.RestoreCoordination(now, 0, state)
	}
	in.advanceEngine()
}

// arrive delivers a message, unless the network is partitioned or the recipient has restarted.
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
