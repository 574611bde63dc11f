package consensus

import (
	"errors"
	"testing"
)

// All machines are taken out of service and return, some at a time, within the bounds.
func TestAllMachinesAreTakenOutAndReturn(t *testing.T) {
	c := newCluster(t, 3, 1)
	if reply := c.request("night", c.machineNames()...); reply.Error != "" {
		t.Fatal(reply.Error)
	}
	reply := c.request("night", c.machineNames()...)
	if requests := c.furthest.node.State().Requests; reply.Error != "" || len(requests) != 1 {
		t.Errorf("a request that comes twice: %+v, %d requests", reply, len(requests))
	}
	if reply := c.request("more", "m99"); reply.Error == "" {
		t.Error("a machine that does not exist is accepted")
	}
	if left := c.finish(60e6); left != 0 || c.sent == 0 {
		t.Fatalf("%d are left: %+v", left, c.furthest.node.State().Machines)
	}
}

// Whatever is killed, paused or cut off, nothing is in flight at a machine under maintenance and no bound is broken.
// After the last fault the plan completes.
func TestSafetyHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		c := newCluster(t, 3, seed)
		c.request("night", c.machineNames()...)
		c.injectFaults(12)
		c.heal()
		c.run(12e6)
		if left := c.finish(120e6); left != 0 {
			node := c.furthest.node
			t.Fatalf("seed %d: %d are left: %+v, %v", seed, left, node.State().Machines, node.waitReasons)
		}
	}
}

// A voter that has lost its log, or cannot read it, has no vote, but still applies the plan and reports. Committed
// entries stay as long as a majority has its logs, also when all processes are killed.
func TestVotersWithoutTheirLogs(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.request("night", "m0")
	lost := c.instances[0]
	c.kill(lost)
	*lost.store = memoryStore{}
	c.run(3e6)
	c.start(lost)
	c.run(4e6)
	if !lost.node.LogMissing() || !lost.node.PlanFollower().HasPlan() {
		t.Errorf("a voter that has lost its log: missing %v, has a plan %v",
			lost.node.LogMissing(), lost.node.PlanFollower().HasPlan())
	}
	if c.furthest.node.State().Requests["night"] == nil {
		t.Fatal("what was committed is lost")
	}
	if c.finish(60e6) != 0 {
		t.Errorf("two of three voters do not finish: %+v", c.furthest.node.State().Machines)
	}
	c.request("other", "m1")
	for _, p := range c.instances {
		c.kill(p)
		if p == c.instances[1] {
			p.store.broken = true
		}
	}
	c.furthest = nil
	for _, p := range c.instances {
		c.start(p)
	}
	c.run(8e6)
	if c.instances[1].node.VoterError() == nil || !c.instances[1].running {
		t.Error("a voter whose store cannot be read has no error")
	}
	if state := c.instances[2].node.State(); state.Requests["other"] == nil {
		t.Error("what was committed is lost with all processes")
	}
	// A voter whose log was restored from an older copy has an error, and its process goes on.
	restored := c.instances[2]
	c.kill(restored)
	restored.store.entries = restored.store.entries[:len(restored.store.entries)/2]
	c.start(restored)
	c.run(2e6)
	if err := restored.node.VoterError(); !errors.Is(err, ErrLogInconsistent) || !restored.running {
		t.Errorf("a voter goes on from an old log: %v", err)
	}
}

// The cluster's checks find each planted fault.
func TestChecksFindPlantedFaults(t *testing.T) {
	faults := []fault{faultIgnoresPlan, faultSendsUnplanned, faultSlowClock, faultIgnoresAnnounce}
	for _, planted := range faults {
		found := ""
		for seed := uint64(0); seed < 40 && found == ""; seed++ {
			c := newCluster(t, 3, seed)
			c.fault = planted
			c.request("night", c.machineNames()...)
			c.injectFaults(10)
			if c.violation == "" {
				c.heal()
				c.run(6e6)
				c.finish(20e6)
			}
			found = c.violation
		}
		if found == "" {
			t.Errorf("%s: not found", planted)
		}
	}
}
