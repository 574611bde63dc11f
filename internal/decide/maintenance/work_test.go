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

var bounds = Settings{Most: 2, Zone: 1, Cell: 1, Ahead: 4, Room: 0.1, Lease: second, Quiet: second, Warm: 2 * second}

// facts are of so many machines in four zones, two to a cell.
func facts(n int, use float64) *Facts {
	f := &Facts{Use: use, Peak: use}
	for i := range n {
		f.Machines = append(f.Machines, Machine{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%4), Kind: "k", Cell: i / 2, Share: 1, Well: true})
	}
	return f
}

func order(t testing.TB, f *Facts, jobs ...Job) *State {
	t.Helper()
	x, err := New(bounds)
	if err != nil {
		t.Fatal(err)
	}
	x.Apply(Command{Facts: f})
	for i := range jobs {
		if jobs[i].For == 0 {
			jobs[i].For = 60 * second
		}
		if _, err := x.Apply(Command{At: monotime.Micros(i + 1), Ask: &jobs[i]}); err != nil {
			t.Fatal(err)
		}
	}
	return x
}

// known has all that is ahead be known, again and again, as long as something comes of it.
func known(x *State) {
	for v := ^uint64(0); v != x.Version; {
		v = x.Version
		x.Apply(Command{Known: x.Order().Ahead})
	}
}

func in(x *State, p Phase) (names string) {
	for _, i := range x.Items {
		if i.Phase == p {
			names += i.Machine
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
		change func(f *Facts)
		out    string // drained at first
		waits  string // of one that is not
	}{
		{"two of eight, of zones and cells of their own", func(*Facts) {}, "m0m2", "2 are out, 2 may be"},
		{"one is down already", func(f *Facts) { f.Machines[7].Well = false }, "m0", "are out"},
		{"the other of its cell is down", func(f *Facts) { f.Machines[0].Well = false }, "m0m2", "2 are out"},
		{"what is left would not do", func(f *Facts) { f.Use = 5.5 }, "m0", "would not do"},
		{"the hour ahead is busy", func(f *Facts) { f.Peak = 7 }, "", "would not do"},
		{"a zone is lost", func(f *Facts) { f.Machines[3].Well, f.Machines[7].Well = false, false }, "", "zone z3"},
	} {
		f := facts(8, 2)
		c.change(f)
		x := order(t, f, Job{ID: "a", Machines: all, By: "ana"})
		for range 3 {
			known(x)
		}
		if got := in(x, Draining); got != c.out {
			t.Errorf("%s: %q are drained, not %q", c.name, got, c.out)
		}
		found := false
		for _, i := range x.Items {
			found = found || strings.Contains(i.Waits, c.waits)
		}
		if !found {
			t.Errorf("%s: nobody is said to wait for %q: %v", c.name, c.waits, x.Items["m1"])
		}
	}
}

// Urgent work goes first, then who has had least, then who has waited longest.
func TestTurns(t *testing.T) {
	x := order(t, facts(8, 1), Job{ID: "a", Machines: []string{"m0", "m2", "m4"}, By: "ana"}, Job{ID: "b", Machines: []string{"m6"}, By: "ben"},
		Job{ID: "c", Machines: []string{"m5"}, By: "ana", Urgent: true})
	x.s.Most = 1
	var got []string
	for len(x.Items) > 0 {
		known(x)
		name := in(x, Draining)
		got = append(got, name)
		x.Apply(Command{Free: []string{name}})
		x.Apply(Command{Done: &Done{Job: x.Items[name].Jobs[0], Machine: name}})
		x.Apply(Command{At: x.Now + 3*second})
	}
	if fmt.Sprint(got) != "[m5 m6 m0 m2 m4]" {
		t.Errorf("%v", got)
	}
}

// Two who ask for the same have it out until both are done; asking twice is asking once.
func TestTwoAskers(t *testing.T) {
	x := order(t, facts(8, 1), Job{ID: "a", Machines: []string{"m0"}, By: "ana"}, Job{ID: "b", Machines: []string{"m0"}, By: "ben", For: 90 * second},
		Job{ID: "a", Machines: []string{"m0", "m1"}, By: "ana"})
	if len(x.Jobs) != 2 || len(x.Items) != 1 {
		t.Fatalf("%d jobs, %d machines", len(x.Jobs), len(x.Items))
	}
	known(x)
	x.Apply(Command{Free: []string{"m0"}})
	if i := x.Items["m0"]; i.Phase != Working || i.Until != x.Now+90*second {
		t.Fatalf("%+v", i)
	}
	x.Apply(Command{Done: &Done{Job: "a"}})
	if x.Items["m0"].Phase != Working || x.Jobs["a"] != nil {
		t.Error("one of two is done, and it returns")
	}
	x.Apply(Command{Done: &Done{Job: "b"}})
	if x.Items["m0"].Phase != Returning {
		t.Error("both are done, and it does not return")
	}
}

// Cancelled at each step: what was worked on returns cold, what was not stays in; nothing is left.
func TestCancel(t *testing.T) {
	for step := range 5 {
		x := order(t, facts(8, 1), Job{ID: "a", Machines: []string{"m0"}, By: "ana"})
		if step > 0 {
			known(x)
		}
		if step > 1 {
			x.Apply(Command{Free: []string{"m0"}})
		}
		if step > 2 {
			x.Apply(Command{At: x.Now + 2*60*second})
			if !x.Items["m0"].Overdue {
				t.Error("its time is over, and nobody is told")
			}
		}
		x.Apply(Command{Cancel: "a"})
		if i := x.Items["m0"]; (i != nil) != (step > 1) || i != nil && i.Phase != Returning {
			t.Errorf("step %d: %+v", step, i)
		}
		if step > 3 { // it comes back, and is not well for a while
			f := facts(8, 1)
			f.Machines[0].Well = false
			x.Apply(Command{Facts: f})
			x.Apply(Command{At: x.Now + 10*second})
			if i := x.Items["m0"]; i == nil || !strings.Contains(i.Waits, "not well") {
				t.Errorf("%+v", i)
			}
			x.Apply(Command{Facts: facts(8, 1)})
		}
		x.Apply(Command{At: x.Now + 3*second})
		if len(x.Items) != 0 || len(x.Jobs) != 0 || len(x.Order().Stop)+len(x.Order().Ahead) != 0 {
			t.Errorf("step %d: %d machines and %d jobs are left", step, len(x.Items), len(x.Jobs))
		}
	}
}

// What can no longer be spared stays in if it only drains, and is wanted back if it is at work.
func TestRecall(t *testing.T) {
	x := order(t, facts(8, 1), Job{ID: "a", Machines: []string{"m0", "m2"}, By: "ana"})
	known(x)
	x.Apply(Command{Free: []string{"m0"}})
	x.Apply(Command{Facts: facts(8, 7)})
	if in(x, Draining) != "" || x.Items["m2"].Phase != Known || x.Items["m0"].Wanted == "" {
		t.Errorf("%+v %+v", x.Items["m0"], x.Items["m2"])
	}
	x.Apply(Command{Facts: facts(8, 1)})
	if x.Items["m0"].Wanted != "" || x.Items["m2"].Phase != Draining {
		t.Errorf("%+v %+v", x.Items["m0"], x.Items["m2"])
	}
	x.Apply(Command{Hold: &Hold{On: true}})
	x.Apply(Command{Free: []string{"m2"}})
	x.Apply(Command{Ask: &Job{ID: "b", Machines: []string{"m4"}, For: second, By: "ben"}})
	x.Apply(Command{Done: &Done{Job: "a"}})
	x.Apply(Command{At: x.Now + 10*second})
	known(x)
	if x.Items["m4"].Phase != Known || x.Items["m4"].Waits != "all is held" {
		t.Errorf("%+v", x.Items["m4"])
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
			c := Command{At: now}
			switch rapid.IntRange(0, 8).Draw(r, "what") {
			case 0, 1:
				c.Ask = &Job{ID: job.Draw(r, "job"), Machines: rapid.SliceOfN(name, 1, 4).Draw(r, "machines"), For: second, By: "x", Urgent: rapid.Bool().Draw(r, "urgent")}
			case 2:
				c.Cancel = job.Draw(r, "job")
			case 3:
				c.Done = &Done{Job: job.Draw(r, "job")}
			case 4:
				c.Facts = facts(8, float64(rapid.IntRange(0, 8).Draw(r, "use")))
			case 5, 6:
				c.Known = []string{name.Draw(r, "known")}
			case 7:
				c.Free = []string{name.Draw(r, "free")}
			case 8:
				c.Hold = &Hold{Job: rapid.SampledFrom([]string{"", "a"}).Draw(r, "of"), On: rapid.Bool().Draw(r, "on")}
			}
			x.Apply(c)
			y.Apply(c)
			text, err := json.Marshal(y)
			z, _ := New(bounds)
			if err != nil || json.Unmarshal(text, z) != nil {
				r.Fatal(err)
			}
			z.Restored(bounds)
			y = z
			if a, b := fmt.Sprint(x.Order(), x.Events), fmt.Sprint(y.Order(), y.Events); a != b {
				r.Fatalf("%s\nand kept and restored\n%s", a, b)
			}
			o := x.Order()
			key := fmt.Sprint(o.Ahead, o.Stop)
			if was, ok := told[o.Version]; ok && was != key {
				r.Fatalf("version %d is %s and %s", o.Version, was, key)
			}
			told[o.Version] = key
			zones := map[string]int{}
			for _, i := range x.Items {
				if i.Phase == Draining || i.Phase == Working {
					zones[x.Facts.Machines[slices.IndexFunc(x.Facts.Machines, func(m Machine) bool { return m.Name == i.Machine })].Zone]++
				}
			}
			if len(o.Stop) > bounds.Most || len(o.Ahead) > bounds.Ahead {
				r.Fatalf("%v", o)
			}
			for zone, n := range zones {
				if n > bounds.Zone {
					r.Fatalf("%d of zone %s", n, zone)
				}
			}
		}
	})
}
