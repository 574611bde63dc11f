package consensus

import (
	"errors"
	"testing"
)

// All machines must be taken out of service and return, without more machines out at a time than the settings
// allow. A repeated request must have no further effect, and an unknown machine must be rejected.
func TestAllMachinesAreTakenOutAndReturn(t *testing.T) {
	c := newCluster(t, 3, 1)
	if reply := c.requestMaintenance("night", c.machineNames()...); reply.Error != "" {
		t.Fatal(reply.Error)
	}
	reply := c.requestMaintenance("night", c.machineNames()...)
	if requests := c.mostApplied.node.State().Requests; reply.Error != "" || len(requests) != 1 {
		t.Errorf("a repeated request: reply %+v, %d requests in the plan", reply, len(requests))
	}
	if reply := c.requestMaintenance("more", "m99"); reply.Error == "" {
		t.Error("a request for an unknown machine is accepted")
	}
	if remaining := c.completeMaintenance(60e6); remaining != 0 || c.sentRequests == 0 {
		t.Fatalf("%d machines remain in the plan: %+v", remaining, c.mostApplied.node.State().Machines)
	}
}

// While processes are killed or paused, messages are lost and instances are isolated, no request may be in flight
// at a machine under maintenance, and not too many machines may be out of service. After the last fault the plan
// must complete.
func TestSafetyHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		c := newCluster(t, 3, seed)
		c.requestMaintenance("night", c.machineNames()...)
		c.injectFaults(12)
		c.healNetwork()
		c.runFor(12e6)
		if remaining := c.completeMaintenance(120e6); remaining != 0 {
			mostAppliedNode := c.mostApplied.node
			t.Fatalf("seed %d: %d machines remain in the plan: %+v, %v", seed, remaining,
				mostAppliedNode.State().Machines, mostAppliedNode.waitReasons)
		}
	}
}

// A voter that has lost its log, or cannot read it, must have no vote, but must still apply the plan and report.
// Committed entries must survive while a majority of the voters has its logs, even if all processes are killed.
func TestVotersWithoutTheirLogs(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.requestMaintenance("night", "m0")
	voterWithoutLog := c.instances[0]
	c.killProcess(voterWithoutLog)
	*voterWithoutLog.store = memoryStore{}
	c.runFor(3e6)
	c.startProcess(voterWithoutLog)
	c.runFor(4e6)
	if !voterWithoutLog.node.LogMissing() || !voterWithoutLog.node.PlanFollower().HasPlan() {
		t.Errorf("a voter that has lost its log: missing %v, has a plan %v",
			voterWithoutLog.node.LogMissing(), voterWithoutLog.node.PlanFollower().HasPlan())
	}
	if c.mostApplied.node.State().Requests["night"] == nil {
		t.Fatal("a committed request is lost")
	}
	if c.completeMaintenance(60e6) != 0 {
		t.Errorf("two of three voters do not complete the maintenance: %+v", c.mostApplied.node.State().Machines)
	}
	c.requestMaintenance("other", "m1")
	for _, inst := range c.instances {
		c.killProcess(inst)
		if inst == c.instances[1] {
			inst.store.failing = true
		}
	}
	c.mostApplied = nil
	for _, inst := range c.instances {
		c.startProcess(inst)
	}
	c.runFor(8e6)
	if c.instances[1].node.VoterError() == nil || !c.instances[1].running {
		t.Error("a voter whose store cannot be read has no error")
	}
	if state := c.instances[2].node.State(); state.Requests["other"] == nil {
		t.Error("a committed request is lost after all processes were killed")
	}
	// A voter whose log was restored from an older copy must return an error from VoterError, and its process must
	// continue.
	voterWithOldLog := c.instances[2]
	c.killProcess(voterWithOldLog)
	voterWithOldLog.store.entries = voterWithOldLog.store.entries[:len(voterWithOldLog.store.entries)/2]
	c.startProcess(voterWithOldLog)
	c.runFor(2e6)
	if err := voterWithOldLog.node.VoterError(); !errors.Is(err, ErrLogInconsistent) || !voterWithOldLog.running {
		t.Errorf("a voter with an old log: error %v", err)
	}
}

// checkSafety must detect each planted fault with at least one seed. Otherwise the tests above would pass although
// instances break the rules.
func TestChecksFindPlantedFaults(t *testing.T) {
	faults := []fault{faultIgnoresPlan, faultSendsUnplanned, faultSlowClock, faultIgnoresAnnounce}
	for _, plantedFault := range faults {
		violation := ""
		for seed := uint64(0); seed < 40 && violation == ""; seed++ {
			c := newCluster(t, 3, seed)
			c.plantedFault = plantedFault
			c.requestMaintenance("night", c.machineNames()...)
			c.injectFaults(10)
			if c.firstViolation == "" {
				c.healNetwork()
				c.runFor(6e6)
				c.completeMaintenance(20e6)
			}
			violation = c.firstViolation
		}
		if violation == "" {
			t.Errorf("%s: not detected", plantedFault)
		}
	}
}
