package maintenance

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

var bounds = Settings{MaxOut: 2, MaxOutPerZone: 1, MaxOutPerCell: 1, MaxAnnounced: 4, Headroom: 0.1, LeaseDuration: second, InFlightGrace: second, Warmup: 2 * second}

// facts are of so many machines in four zones, two to a cell.
func facts(n int, use float64) *FleetStatus {
	f := &FleetStatus{Usage: use, PeakUsage: use}
	for i := range n {
		f.Machines = append(f.Machines, MachineStatus{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%4), Kind: "k", Cell: i / 2, Capacity: 1, Healthy: true})
	}
	return f
}

func order(t testing.TB, f *FleetStatus, jobs ...Request) *State {
	t.Helper()
	x, err := NewState(bounds)
	if err != nil {
		t.Fatal(err)
	}
	x.Apply(Command{FleetStatus: f})
	for i := range jobs {
		if jobs[i].Duration == 0 {
			jobs[i].Duration = 60 * second
		}
		if _, err := x.Apply(Command{Time: monotime.Micros(i + 1), Request: &jobs[i]}); err != nil {
			t.Fatal(err)
		}
	}
	return x
}

// known has all that is ahead be known, again and again, as long as something comes of it.
func known(x *State) {
	for v := ^uint64(0); v != x.PlanVersion; {
		v = x.PlanVersion
		x.Apply(Command{Acknowledged: x.Plan().Announced})
	}
}

func in(x *State, p Phase) (names string) {
	for _, i := range x.Machines {
		if i.Phase == p {
			names += i.Name
		}
	}
	all := strings.Split(names, "m")
	slices.Sort(all)
	return strings.Join(all, "m")
}

// What is taken out is within each bound, and the reason is said for what waits.
func TestBounds(t *testing.T) {
	all := []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}
	for _, c := range []struct {
		name   string
		change func(f *FleetStatus)
		out    string // drained at first
		waits  string // of one that is not
	}{
		{"two of eight, of zones and cells of their own", func(*FleetStatus) {}, "m0m2", "2 are out, 2 may be"},
		{"one is down already", func(f *FleetStatus) { f.Machines[7].Healthy = false }, "m0", "are out"},
		{"the other of its cell is down", func(f *FleetStatus) { f.Machines[0].Healthy = false }, "m0m2", "2 are out"},
		{"what is left would not do", func(f *FleetStatus) { f.Usage = 5.5 }, "m0", "would not do"},
		{"the hour ahead is busy", func(f *FleetStatus) { f.PeakUsage = 7 }, "", "would not do"},
		{"a zone is lost", func(f *FleetStatus) { f.Machines[3].Healthy, f.Machines[7].Healthy = false, false }, "", "zone z3"},
	} {
		f := facts(8, 2)
		c.change(f)
		x := order(t, f, Request{ID: "a", Machines: all, Requester: "ana"})
		for range 3 {
			known(x)
		}
		if got := in(x, Draining); got != c.out {
			t.Errorf("%s: %q are drained, not %q", c.name, got, c.out)
		}
		found := false
		for _, i := range x.Machines {
			found = found || strings.Contains(i.WaitReason, c.waits)
		}
		if !found {
			t.Errorf("%s: nobody is said to wait for %q: %v", c.name, c.waits, x.Machines["m1"])
		}
	}
}

// Urgent work goes first, then who has had least, then who has waited longest.
func TestTurns(t *testing.T) {
	x := order(t, facts(8, 1), Request{ID: "a", Machines: []string{"m0", "m2", "m4"}, Requester: "ana"}, Request{ID: "b", Machines: []string{"m6"}, Requester: "ben"},
		Request{ID: "c", Machines: []string{"m5"}, Requester: "ana", Urgent: true})
	x.settings.MaxOut = 1
	var got []string
	for len(x.Machines) > 0 {
		known(x)
		name := in(x, Draining)
		got = append(got, name)
		x.Apply(Command{Drained: []string{name}})
		x.Apply(Command{Complete: &Completion{Request: x.Machines[name].Requests[0], Machine: name}})
		x.Apply(Command{Time: x.Now + 3*second})
	}
	if fmt.Sprint(got) != "[m5 m6 m0 m2 m4]" {
		t.Errorf("%v", got)
	}
}

// Two who ask for the same have it out until both are done; asking twice is asking once.
func TestTwoAskers(t *testing.T) {
	x := order(t, facts(8, 1), Request{ID: "a", Machines: []string{"m0"}, Requester: "ana"}, Request{ID: "b", Machines: []string{"m0"}, Requester: "ben", Duration: 90 * second},
		Request{ID: "a", Machines: []string{"m0", "m1"}, Requester: "ana"})
	if len(x.Requests) != 2 || len(x.Machines) != 1 {
		t.Fatalf("%d jobs, %d machines", len(x.Requests), len(x.Machines))
	}
	known(x)
	x.Apply(Command{Drained: []string{"m0"}})
	if i := x.Machines["m0"]; i.Phase != UnderMaintenance || i.DueAt != x.Now+90*second {
		t.Fatalf("%+v", i)
	}
	x.Apply(Command{Complete: &Completion{Request: "a"}})
	if x.Machines["m0"].Phase != UnderMaintenance || x.Requests["a"] != nil {
		t.Error("one of two is done, and it returns")
	}
	x.Apply(Command{Complete: &Completion{Request: "b"}})
	if x.Machines["m0"].Phase != Returning {
		t.Error("both are done, and it does not return")
	}
}

// Cancelled at each step: what was worked on returns cold, what was not stays in; nothing is left.
func TestCancel(t *testing.T) {
	for step := range 5 {
		x := order(t, facts(8, 1), Request{ID: "a", Machines: []string{"m0"}, Requester: "ana"})
		if step > 0 {
			known(x)
		}
		if step > 1 {
			x.Apply(Command{Drained: []string{"m0"}})
		}
		if step > 2 {
			x.Apply(Command{Time: x.Now + 2*60*second})
			if !x.Machines["m0"].Overdue {
				t.Error("its time is over, and nobody is told")
			}
		}
		x.Apply(Command{CancelRequest: "a"})
		if i := x.Machines["m0"]; (i != nil) != (step > 1) || i != nil && i.Phase != Returning {
			t.Errorf("step %d: %+v", step, i)
		}
		if step > 3 { // it comes back, and is not well for a while
			f := facts(8, 1)
			f.Machines[0].Healthy = false
			x.Apply(Command{FleetStatus: f})
			x.Apply(Command{Time: x.Now + 10*second})
			if i := x.Machines["m0"]; i == nil || !strings.Contains(i.WaitReason, "not well") {
				t.Errorf("%+v", i)
			}
			x.Apply(Command{FleetStatus: facts(8, 1)})
		}
		x.Apply(Command{Time: x.Now + 3*second})
		if len(x.Machines) != 0 || len(x.Requests) != 0 || len(x.Plan().Excluded)+len(x.Plan().Announced) != 0 {
			t.Errorf("step %d: %d machines and %d jobs are left", step, len(x.Machines), len(x.Requests))
		}
	}
}

// What can no longer be spared stays in if it only drains, and is wanted back if it is at work.
func TestRecall(t *testing.T) {
	x := order(t, facts(8, 1), Request{ID: "a", Machines: []string{"m0", "m2"}, Requester: "ana"})
	known(x)
	x.Apply(Command{Drained: []string{"m0"}})
	x.Apply(Command{FleetStatus: facts(8, 7)})
	if in(x, Draining) != "" || x.Machines["m2"].Phase != Acknowledged || x.Machines["m0"].RecallReason == "" {
		t.Errorf("%+v %+v", x.Machines["m0"], x.Machines["m2"])
	}
	x.Apply(Command{FleetStatus: facts(8, 1)})
	if x.Machines["m0"].RecallReason != "" || x.Machines["m2"].Phase != Draining {
		t.Errorf("%+v %+v", x.Machines["m0"], x.Machines["m2"])
	}
	x.Apply(Command{Hold: &Hold{On: true}})
	x.Apply(Command{Drained: []string{"m2"}})
	x.Apply(Command{Request: &Request{ID: "b", Machines: []string{"m4"}, Duration: second, Requester: "ben"}})
	x.Apply(Command{Complete: &Completion{Request: "a"}})
	x.Apply(Command{Time: x.Now + 10*second})
	known(x)
	if x.Machines["m4"].Phase != Acknowledged || x.Machines["m4"].WaitReason != "all is held" {
		t.Errorf("%+v", x.Machines["m4"])
	}
}

// Whatever the log holds: bounds hold, no version is told twice for other orders, and a state that was kept goes on as one that was not.
func TestAnyLog(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		x, y := order(t, facts(8, 1)), order(t, facts(8, 1))
		told := map[uint64]string{}
		var now monotime.Micros
		name := rapid.SampledFrom([]string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"})
		job := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 60).Draw(r, "entries") {
			now += rapid.Int64Range(0, 5*second).Draw(r, "later")
			c := Command{Time: now}
			switch rapid.IntRange(0, 8).Draw(r, "what") {
			case 0, 1:
				c.Request = &Request{ID: job.Draw(r, "job"), Machines: rapid.SliceOfN(name, 1, 4).Draw(r, "machines"), Duration: second, Requester: "x", Urgent: rapid.Bool().Draw(r, "urgent")}
			case 2:
				c.CancelRequest = job.Draw(r, "job")
			case 3:
				c.Complete = &Completion{Request: job.Draw(r, "job")}
			case 4:
				c.FleetStatus = facts(8, float64(rapid.IntRange(0, 8).Draw(r, "use")))
			case 5, 6:
				c.Acknowledged = []string{name.Draw(r, "known")}
			case 7:
				c.Drained = []string{name.Draw(r, "free")}
			case 8:
				c.Hold = &Hold{Request: rapid.SampledFrom([]string{"", "a"}).Draw(r, "of"), On: rapid.Bool().Draw(r, "on")}
			}
			x.Apply(c)
			y.Apply(c)
			text, err := json.Marshal(y)
			z, _ := NewState(bounds)
			if err != nil || json.Unmarshal(text, z) != nil {
				r.Fatal(err)
			}
			z.UseSettings(bounds)
			y = z
			if a, b := fmt.Sprint(x.Plan(), x.Events), fmt.Sprint(y.Plan(), y.Events); a != b {
				r.Fatalf("%s\nand kept and restored\n%s", a, b)
			}
			o := x.Plan()
			key := fmt.Sprint(o.Announced, o.Excluded)
			if was, ok := told[o.Version]; ok && was != key {
				r.Fatalf("version %d is %s and %s", o.Version, was, key)
			}
			told[o.Version] = key
			zones := map[string]int{}
			for _, i := range x.Machines {
				if i.Phase == Draining || i.Phase == UnderMaintenance {
					zones[x.Fleet.Machines[slices.IndexFunc(x.Fleet.Machines, func(m MachineStatus) bool { return m.Name == i.Name })].Zone]++
				}
			}
			if len(o.Excluded) > bounds.MaxOut || len(o.Announced) > bounds.MaxAnnounced {
				r.Fatalf("%v", o)
			}
			for zone, n := range zones {
				if n > bounds.MaxOutPerZone {
					r.Fatalf("%d of zone %s", n, zone)
				}
			}
		}
	})
}
