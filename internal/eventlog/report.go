package eventlog

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// ReadFleet reads the logs of a fleet: each file of a folder is the standard error of one instance's programs. A file
// without an event counts as an instance without activity.
func ReadFleet(dir string) ([][]Event, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var fleet [][]Event
	for _, f := range files {
		if f.IsDir() {
			continue
		}
		events, err := readFile(filepath.Join(dir, f.Name()))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f.Name(), err)
		}
		fleet = append(fleet, events)
	}
	return fleet, nil
}

// readFile reads the log of one instance.
func readFile(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return Read(f)
}

// Write prints the statistics, a line for each.
func (c FleetStats) Write(w io.Writer) error {
	var err error
	printLine := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format+"\n", args...)
		}
	}
	row := func(name string, s Distribution) {
		printLine("  %-58s %7d %9.2f %9.2f %9.2f", name, s.Count, s.Mean, s.Median, s.Max)
	}
	printLine("%d instances, %d endpoints, %.1f s: %d attempts, %d of them failed; %d connections not opened",
		c.Instances, c.Endpoints, c.Seconds, c.Attempts, c.Failures, c.FailedDials)
	printLine("discovery: %d calls that went well, %d that failed, %d in the busiest second",
		c.Polls, c.FailedPolls, c.MaxPollsPerSecond)
	printLine("  %-58s %7s %9s %9s %9s", "", "n", "mean", "median", "most")
	row("attempts at one endpoint in one second", c.PerSecond[AttemptStarted])
	row("probes at one endpoint in one second", c.PerSecond[ProbeEnded])
	row("new connections at one endpoint in one second", c.PerSecond[ConnOpened])
	row("connections of all instances at one endpoint, at once", c.OpenConns)
	printLine("%d endpoints came:", c.Added.Endpoints)
	row("seconds until an instance was told, after the first was", c.Added.Notified)
	row("seconds until its first attempt there", c.Added.FirstUse)
	row("instances that used such an endpoint", c.Added.Users)
	printLine("%d endpoints left the list:", c.Removed.Endpoints)
	row("seconds until an instance was told, after the first was", c.Removed.Notified)
	row("failed attempts by those not yet told, at one endpoint", c.Removed.StaleFailures)
	printLine("%d endpoints were bad in %d stretches of time:", c.Faults.Endpoints, c.Faults.Episodes)
	row("seconds from the first failure to the last", c.Faults.Length)
	row("failures in one stretch", c.Faults.Failures)
	row("of them later than 2 s after the fleet's first", c.Faults.Late)
	row("instances that met it", c.Faults.Instances)
	row("failures that one instance met", c.Faults.PerInstance)
	return err
}
