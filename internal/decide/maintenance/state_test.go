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

// testSettings are the settings of the states in the tests of this file.
var testSettings = Settings{
	MaxOut: 2, MaxOutPerZone: 1, MaxOutPerCell: 1, MaxAnnounced: 4, Headroom: 0.1,
	LeaseDuration: monotime.Second, InFlightGrace: monotime.Second, Warmup: 2 * monotime.Second,
}

// eightMachines returns the status of a fleet of eight healthy machines of capacity 1, two in each of four
// zones and two in each of four cells, with the given present and peak usage.
func eightMachines(usage float64) *FleetStatus {
	status := &FleetStatus{Usage: usage, PeakUsage: usage}
	for i := range 8 {
		status.Machines = append(status.Machines, MachineStatus{
			Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%4), Kind: "k", Cell: i / 2, Capacity: 1, Healthy: true,
		})
	}
	return status
}

// stateWith returns a state to which a fleet's status was applied, and then each of the requests, one microsecond
// apart.
func stateWith(tb testing.TB, status *FleetStatus, requests ...Request) *State {
	tb.Helper()
	state, err := NewState(testSettings)
	if err != nil {
		tb.Fatal(err)
	}
	apply(tb, state, Command{FleetStatus: status})
	for i := range requests {
		if requests[i].Duration == 0 {
			requests[i].Duration = 60 * monotime.Second
		}
		if _, err := state.Apply(Command{Time: monotime.Micros(i + 1), Request: &requests[i]}); err != nil {
			tb.Fatal(err)
		}
	}
	return state
}

// apply applies a command, and fails the test if it returns an error.
func apply(tb testing.TB, state *State, c Command) {
	tb.Helper()
	if _, err := state.Apply(c); err != nil {
		tb.Fatal(err)
	}
}

// acknowledge repeatedly acknowledges all announced machines until the plan no longer changes.
func acknowledge(tb testing.TB, state *State) {
	tb.Helper()
	for version := ^uint64(0); version != state.PlanVersion; {
		version = state.PlanVersion
		apply(tb, state, Command{Acknowledged: state.Plan().Announced})
	}
}

// machinesIn returns the names of the machines in a phase, sorted and joined without a separator.
func machinesIn(state *State, phase Phase) string {
	var names []string
	for _, m := range state.Machines {
		if m.Phase == phase {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, "")
}

// TestDrainsAreWithinTheBounds verifies that drains stay within each bound of the settings, and that a machine that
// must not be drained has a wait reason.
func TestDrainsAreWithinTheBounds(t *testing.T) {
	machineNames := []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}
	for _, tc := range []struct {
		name       string
		change     func(status *FleetStatus)
		drained    string // names of the machines that start to drain, joined
		waitReason string // part of the wait reason of at least one machine
	}{
		{
			name:    "eight healthy machines: two drain, in different zones and cells",
			change:  func(*FleetStatus) {},
			drained: "m0m2", waitReason: "2 are out, 2 may be",
		}, {
			name:    "one machine is already unhealthy",
			change:  func(s *FleetStatus) { s.Machines[7].Healthy = false },
			drained: "m0", waitReason: "are out",
		}, {
			name:    "the other machine in the cell of m1 is unhealthy",
			change:  func(s *FleetStatus) { s.Machines[0].Healthy = false },
			drained: "m0m2", waitReason: "2 are out",
		}, {
			name:    "the remaining capacity would be too small",
			change:  func(s *FleetStatus) { s.Usage = 5.5 },
			drained: "m0", waitReason: "would not do",
		}, {
			name:    "the expected peak usage is high",
			change:  func(s *FleetStatus) { s.PeakUsage = 7 },
			drained: "", waitReason: "would not do",
		}, {
			name: "a zone is lost",
			change: func(s *FleetStatus) {
				s.Machines[3].Healthy = false
				s.Machines[7].Healthy = false
			},
			drained: "", waitReason: "zone z3",
		},
	} {
		status := eightMachines(2)
		tc.change(status)
		state := stateWith(t, status, Request{ID: "a", Machines: machineNames, Requester: "ana"})
		for range 3 {
			acknowledge(t, state)
		}
		if got := machinesIn(state, Draining); got != tc.drained {
			t.Errorf("%s: %q are draining, want %q", tc.name, got, tc.drained)
		}
		found := false
		for _, m := range state.Machines {
			found = found || strings.Contains(m.WaitReason, tc.waitReason)
		}
		if !found {
			t.Errorf("%s: no machine has the wait reason %q; m1: %v", tc.name, tc.waitReason, state.Machines["m1"])
		}
	}
}

// TestMachinesAreDrainedInQueueOrder verifies that urgent machines are drained first, then machines of the
// requester with the fewest drains, and then machines of the oldest request.
func TestMachinesAreDrainedInQueueOrder(t *testing.T) {
	state := stateWith(t, eightMachines(1),
		Request{ID: "a", Machines: []string{"m0", "m2", "m4"}, Requester: "ana"},
		Request{ID: "b", Machines: []string{"m6"}, Requester: "ben"},
		Request{ID: "c", Machines: []string{"m5"}, Requester: "ana", Urgent: true})
	state.settings.MaxOut = 1
	var drained []string
	for len(state.Machines) > 0 {
		acknowledge(t, state)
		name := machinesIn(state, Draining)
		drained = append(drained, name)
		apply(t, state, Command{Drained: []string{name}})
		apply(t, state, Command{Complete: &Completion{Request: state.Machines[name].Requests[0], Machine: name}})
		apply(t, state, Command{Time: state.Now + 3*monotime.Second})
	}
	if fmt.Sprint(drained) != "[m5 m6 m0 m2 m4]" {
		t.Errorf("machines are drained in the order %v", drained)
	}
}

// TestMachineOfTwoRequestsIsOutUntilBothAreComplete verifies that a machine that two requests need stays out
// until both are complete, and that a duplicate of a request is ignored.
func TestMachineOfTwoRequestsIsOutUntilBothAreComplete(t *testing.T) {
	state := stateWith(t, eightMachines(1),
		Request{ID: "a", Machines: []string{"m0"}, Requester: "ana"},
		Request{ID: "b", Machines: []string{"m0"}, Requester: "ben", Duration: 90 * monotime.Second},
		Request{ID: "a", Machines: []string{"m0", "m1"}, Requester: "ana"})
	if len(state.Requests) != 2 || len(state.Machines) != 1 {
		t.Fatalf("%d requests and %d machines in the plan, want 2 and 1", len(state.Requests), len(state.Machines))
	}
	acknowledge(t, state)
	apply(t, state, Command{Drained: []string{"m0"}})
	if m := state.Machines["m0"]; m.Phase != UnderMaintenance || m.DueAt != state.Now+90*monotime.Second {
		t.Fatalf("%+v", m)
	}
	apply(t, state, Command{Complete: &Completion{Request: "a"}})
	if state.Machines["m0"].Phase != UnderMaintenance || state.Requests["a"] != nil {
		t.Error("the machine returns although one of two requests is not complete")
	}
	apply(t, state, Command{Complete: &Completion{Request: "b"}})
	if state.Machines["m0"].Phase != Returning {
		t.Error("the machine does not return although both requests are complete")
	}
}

// TestCancelInEachPhase cancels a request in each phase of its machine. A machine under maintenance must return and
// warm up, a machine in another phase must stay in service, and nothing of the request must be left in the plan.
func TestCancelInEachPhase(t *testing.T) {
	for stepCount := range 5 {
		state := stateWith(t, eightMachines(1), Request{ID: "a", Machines: []string{"m0"}, Requester: "ana"})
		if stepCount > 0 {
			acknowledge(t, state)
		}
		if stepCount > 1 {
			apply(t, state, Command{Drained: []string{"m0"}})
		}
		if stepCount > 2 {
			apply(t, state, Command{Time: state.Now + 2*60*monotime.Second})
			if !state.Machines["m0"].Overdue {
				t.Error("the machine is not overdue although its due time has passed")
			}
		}
		apply(t, state, Command{CancelRequest: "a"})
		if m := state.Machines["m0"]; (m != nil) != (stepCount > 1) || m != nil && m.Phase != Returning {
			t.Errorf("step %d: after the cancellation the machine is %+v", stepCount, m)
		}
		if stepCount > 3 {
			checkUnhealthyMachineKeepsReturning(t, state)
		}
		apply(t, state, Command{Time: state.Now + 3*monotime.Second})
		plan := state.Plan()
		if len(state.Machines) != 0 || len(state.Requests) != 0 || len(plan.Excluded)+len(plan.Announced) != 0 {
			t.Errorf("step %d: %d machines and %d requests are left",
				stepCount, len(state.Machines), len(state.Requests))
		}
	}
}

// checkUnhealthyMachineKeepsReturning checks that the returning machine m0 stays in the plan while it is unhealthy.
func checkUnhealthyMachineKeepsReturning(t *testing.T, state *State) {
	t.Helper()
	status := eightMachines(1)
	status.Machines[0].Healthy = false
	apply(t, state, Command{FleetStatus: status})
	apply(t, state, Command{Time: state.Now + 10*monotime.Second})
	if m := state.Machines["m0"]; m == nil || !strings.Contains(m.WaitReason, "not well") {
		t.Errorf("%+v", m)
	}
	apply(t, state, Command{FleetStatus: eightMachines(1)})
}

// TestCapacityThatIsNeededBackIsRecalled verifies that, if capacity is needed back, a draining machine goes back into
// service and a machine under maintenance is recalled.
func TestCapacityThatIsNeededBackIsRecalled(t *testing.T) {
	state := stateWith(t, eightMachines(1), Request{ID: "a", Machines: []string{"m0", "m2"}, Requester: "ana"})
	acknowledge(t, state)
	apply(t, state, Command{Drained: []string{"m0"}})
	apply(t, state, Command{FleetStatus: eightMachines(7)})
	if machinesIn(state, Draining) != "" || state.Machines["m2"].Phase != Acknowledged ||
		state.Machines["m0"].RecallReason == "" {
		t.Errorf("%+v %+v", state.Machines["m0"], state.Machines["m2"])
	}
	apply(t, state, Command{FleetStatus: eightMachines(1)})
	if state.Machines["m0"].RecallReason != "" || state.Machines["m2"].Phase != Draining {
		t.Errorf("%+v %+v", state.Machines["m0"], state.Machines["m2"])
	}
	apply(t, state, Command{Hold: &Hold{On: true}})
	apply(t, state, Command{Drained: []string{"m2"}})
	laterRequest := Request{ID: "b", Machines: []string{"m4"}, Duration: monotime.Second, Requester: "ben"}
	apply(t, state, Command{Request: &laterRequest})
	apply(t, state, Command{Complete: &Completion{Request: "a"}})
	apply(t, state, Command{Time: state.Now + 10*monotime.Second})
	acknowledge(t, state)
	if state.Machines["m4"].Phase != Acknowledged || state.Machines["m4"].WaitReason != "all is held" {
		t.Errorf("%+v", state.Machines["m4"])
	}
}

// TestInvariantsHoldForAnyLog verifies for random logs that the bounds of the settings are kept, and that two plans of
// the same version have the same content. A state that is stored and restored after each entry must not differ from a
// state that is not.
func TestInvariantsHoldForAnyLog(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		direct := stateWith(t, eightMachines(1))
		restored := stateWith(t, eightMachines(1))
		planContents := map[uint64]string{} // content of each plan seen so far, by version
		var now monotime.Micros
		for range rapid.IntRange(1, 60).Draw(r, "entries") {
			now += rapid.Int64Range(0, 5*monotime.Second).Draw(r, "later")
			command := drawCommand(r)
			command.Time = now
			reply, err := direct.Apply(command)
			replyRestored, errRestored := restored.Apply(command)
			if reply != replyRestored || fmt.Sprint(err) != fmt.Sprint(errRestored) {
				r.Fatalf("reply %q, error %v; of the stored and restored state %q, %v",
					reply, err, replyRestored, errRestored)
			}
			restored = storeAndRestore(r, restored)
			directState := fmt.Sprint(direct.Plan(), direct.Events)
			if got := fmt.Sprint(restored.Plan(), restored.Events); got != directState {
				r.Fatalf("plan and events\n%s\nof the stored and restored state\n%s", directState, got)
			}
			checkPlan(r, direct, planContents)
		}
	})
}

// drawCommand draws a random command, without its time.
func drawCommand(r *rapid.T) (command Command) {
	machineNameGenerator := rapid.SampledFrom([]string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"})
	requestIDGenerator := rapid.SampledFrom([]string{"a", "b", "c"})
	switch rapid.IntRange(0, 8).Draw(r, "command") {
	case 0, 1:
		command.Request = &Request{
			ID:        requestIDGenerator.Draw(r, "id"),
			Machines:  rapid.SliceOfN(machineNameGenerator, 1, 4).Draw(r, "machines"),
			Duration:  monotime.Second,
			Requester: "x",
			Urgent:    rapid.Bool().Draw(r, "urgent"),
		}
	case 2:
		command.CancelRequest = requestIDGenerator.Draw(r, "id")
	case 3:
		command.Complete = &Completion{Request: requestIDGenerator.Draw(r, "id")}
	case 4:
		command.FleetStatus = eightMachines(float64(rapid.IntRange(0, 8).Draw(r, "usage")))
	case 5, 6:
		command.Acknowledged = []string{machineNameGenerator.Draw(r, "acknowledged")}
	case 7:
		command.Drained = []string{machineNameGenerator.Draw(r, "drained")}
	case 8:
		command.Hold = &Hold{
			Request: rapid.SampledFrom([]string{"", "a"}).Draw(r, "request"),
			On:      rapid.Bool().Draw(r, "on"),
		}
	}
	return command
}

// storeAndRestore returns the state that is decoded from the JSON encoding of a state, as from a raft snapshot.
func storeAndRestore(r *rapid.T, state *State) *State {
	encodedState, err := json.Marshal(state)
	if err != nil {
		r.Fatal(err)
	}
	restored, err := NewState(testSettings)
	if err != nil {
		r.Fatal(err)
	}
	if err := json.Unmarshal(encodedState, restored); err != nil {
		r.Fatal(err)
	}
	restored.UseSettings(testSettings)
	return restored
}

// checkPlan checks that the plan is within the bounds of testSettings, and that plans of the same version have the same
// content. contents has the content of each plan in earlier calls, by version.
func checkPlan(r *rapid.T, state *State, contents map[uint64]string) {
	plan := state.Plan()
	content := fmt.Sprint(plan.Announced, plan.Excluded)
	if earlier, ok := contents[plan.Version]; ok && earlier != content {
		r.Fatalf("plan version %d has two contents: %s and %s", plan.Version, earlier, content)
	}
	contents[plan.Version] = content
	if len(plan.Excluded) > testSettings.MaxOut || len(plan.Announced) > testSettings.MaxAnnounced {
		r.Fatalf("the plan exceeds the bounds: %v", plan)
	}
	outByZone := map[string]int{}
	for _, m := range state.Machines {
		if m.Phase == Draining || m.Phase == UnderMaintenance {
			outByZone[state.Fleet.Machines[state.Fleet.machineIndex(m.Name)].Zone]++
		}
	}
	for zone, count := range outByZone {
		if count > testSettings.MaxOutPerZone {
			r.Fatalf("%d machines of zone %s are out", count, zone)
		}
	}
}
