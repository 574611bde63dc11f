package consensus

import (
	"testing"
)

// All machines are taken out and come back, one wave after another, within the bounds.
func TestAll(t *testing.T) {
	w := newWorld(t, 3, 3, 1)
	if r := w.ask("night", w.names()...); r.Error != "" {
		t.Fatal(r.Error)
	}
	if r := w.ask("night", w.names()...); r.Error != "" || len(w.best.node.State().Requests) != 1 {
		t.Errorf("asking twice: %+v", r)
	}
	if r := w.ask("more", "m99"); r.Error == "" {
		t.Error("a machine that nobody has is taken")
	}
	if left := w.finish(60e6); left != 0 || w.sends == 0 {
		t.Fatalf("%d are left: %+v", left, w.best.node.State().Machines)
	}
}

// Whatever is killed, stopped or cut off: nothing is open at a machine that is at work, no bound is broken, and once faults stop the order finishes.
func TestFaults(t *testing.T) {
	for seed := range uint64(12) {
		w := newWorld(t, 3, 3, seed)
		w.ask("night", w.names()...)
		w.faults(12)
		clear(w.cut)
		w.loss = 0
		w.run(12e6)
		if left := w.finish(120e6); left != 0 {
			t.Fatalf("seed %d: %d are left: %+v, %v", seed, left, w.best.node.State().Machines, w.best.node.waitReasons)
		}
	}
}

// A voter that has lost its disk, or cannot write to it, has no vote, obeys and reports on; what was settled is there, and goes on while a majority
// has it. All killed with their disks go on.
func TestDisks(t *testing.T) {
	w := newWorld(t, 3, 1, 3)
	w.ask("night", "m0")
	lost := w.all[0]
	w.kill(lost)
	*lost.disk = memory{}
	w.run(3e6)
	w.start(lost)
	w.run(4e6)
	if !lost.node.LogMissing() || !lost.node.Follower().HasPlan() {
		t.Errorf("one that has lost its log: blank %v, obeys %v", lost.node.LogMissing(), lost.node.Follower().HasPlan())
	}
	if w.best.node.State().Requests["night"] == nil {
		t.Fatal("what was settled is lost")
	}
	if w.finish(60e6) != 0 {
		t.Errorf("two of three voters do not finish: %+v", w.best.node.State().Machines)
	}
	w.ask("other", "m1")
	for _, p := range w.all {
		w.kill(p)
		if p == w.all[1] {
			p.disk.broken = true
		}
	}
	w.best = nil
	for _, p := range w.all {
		w.start(p)
	}
	w.run(8e6)
	if w.all[1].node.VoterError() == nil || !w.all[1].up {
		t.Error("a voter whose disk cannot be read is not told")
	}
	if x := w.all[2].node.State(); x.Requests["other"] == nil {
		t.Error("what was settled is lost with all processes")
	}
	// One whose log was put back from an older copy is told, and its process goes on.
	back := w.all[2]
	w.kill(back)
	back.disk.entries = back.disk.entries[:len(back.disk.entries)/2]
	w.start(back)
	w.run(2e6)
	if back.node.VoterError() == nil || !back.up {
		t.Error("an old log is gone on from")
	}
}

// Each planted error is found.
func TestPlants(t *testing.T) {
	for _, plant := range []string{"does not obey", "sends before it hears", "leases outlive their time", "only what is out"} {
		found := ""
		for seed := uint64(0); seed < 40 && found == ""; seed++ {
			w := newWorld(t, 3, 3, seed)
			w.plant = plant
			w.ask("night", w.names()...)
			w.faults(10)
			if w.bad == "" {
				clear(w.cut)
				w.loss = 0
				w.run(6e6)
				w.finish(20e6)
			}
			found = w.bad
		}
		if found == "" {
			t.Errorf("%s: not found", plant)
		}
	}
}
