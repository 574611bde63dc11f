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

// microsPerSecond converts the times of events.
const microsPerSecond = 1e6

// printView prints the leader's view of the maintenance plan for people.
func printView(out io.Writer, v *consensus.View) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s leads; %d instances obey", v.Leader, len(v.Instances))
	if v.OnHold {
		fmt.Fprint(w, "; all is held")
	}
	fmt.Fprintln(w)
	for _, instance := range v.SilentInstances {
		fmt.Fprintf(w, "%s has not been heard for long: no further machine can be told ahead."+
			" If its process is dead for certain: work forget %s\n", instance.Name, instance.Name)
	}
	if len(v.Machines) > 0 {
		fmt.Fprintln(w, "MACHINE\tIS\tSINCE\tJOBS\tWAITS FOR")
	}
	for i := range v.Machines {
		m := &v.Machines[i]
		since := micros(v.Now - m.PhaseSince).Round(time.Second)
		requests := strings.Join(m.Requests, " ")
		fmt.Fprintf(w, "%s\t%v\t%v ago\t%s\t%s\n", m.Name, m.Phase, since, requests, attentionFor(m))
	}
	for _, request := range v.Requests {
		duration := micros(request.Duration)
		fmt.Fprintf(w, "%s by %s: %s, for %v\n", request.ID, request.Requester, request.Reason, duration)
	}
	return w.Flush()
}

// attentionFor returns what a machine waits for, or what an operator has to do about it.
func attentionFor(m *maintenance.Machine) string {
	switch {
	case m.Overdue:
		return "overdue: work done, or ask for longer"
	case m.RecallReason != "":
		return "wanted back: " + m.RecallReason
	}
	return m.WaitReason
}

// printEventsAfter prints the events after an instant, and returns the instant of the last one.
func printEventsAfter(out io.Writer, events []maintenance.Event, last monotime.Micros) monotime.Micros {
	for _, event := range events {
		if event.Time > last {
			fmt.Fprintf(out, "%8.1f s  %s\n", float64(event.Time)/microsPerSecond, event.Text)
		}
	}
	if len(events) == 0 {
		return last
	}
	return events[len(events)-1].Time
}
