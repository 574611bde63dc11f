package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// microsPerSecond is the number of microseconds in a second, for the times of maintenance events.
const microsPerSecond = 1e6

// printMaintenanceView prints the leader's view of the maintenance plan as text.
func printMaintenanceView(out io.Writer, view *consensus.View) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s leads; %d instances obey", view.Leader, len(view.Instances))
	if view.OnHold {
		fmt.Fprint(w, "; all is held")
	}
	fmt.Fprintln(w)
	for _, instance := range view.SilentInstances {
		fmt.Fprintf(w, "%s has not been heard for long: no further machine can be told ahead."+
			" If its process is dead for certain: work forget %s\n", instance.Name, instance.Name)
	}
	if len(view.Machines) > 0 {
		fmt.Fprintln(w, "MACHINE\tIS\tSINCE\tJOBS\tWAITS FOR")
	}
	for i := range view.Machines {
		machine := &view.Machines[i]
		timeInPhase := microsToDuration(view.Now - machine.PhaseSince).Round(time.Second)
		requests := strings.Join(machine.Requests, " ")
		fmt.Fprintf(w, "%s\t%v\t%v ago\t%s\t%s\n",
			machine.Name, machine.Phase, timeInPhase, requests, waitsForText(machine))
	}
	for _, request := range view.Requests {
		duration := microsToDuration(request.Duration)
		fmt.Fprintf(w, "%s by %s: %s, for %v\n", request.ID, request.Requester, request.Reason, duration)
	}
	return w.Flush()
}

// waitsForText returns the text of the column WAITS FOR: the reason why a machine waits, or the action that an
// operator has to take.
func waitsForText(machine *maintenance.Machine) string {
	switch {
	case machine.Overdue:
		return "overdue: work done, or ask for longer"
	case machine.RecallReason != "":
		return "wanted back: " + machine.RecallReason
	}
	return machine.WaitReason
}

// printEventsAfter prints the events that occurred after lastTime. It returns the time of the last event, or
// lastTime if there is none.
func printEventsAfter(out io.Writer, events []maintenance.Event, lastTime monotime.Micros) monotime.Micros {
	for _, event := range events {
		if event.Time > lastTime {
			fmt.Fprintf(out, "%8.1f s  %s\n", float64(event.Time)/microsPerSecond, event.Text)
		}
	}
	if len(events) == 0 {
		return lastTime
	}
	return events[len(events)-1].Time
}
