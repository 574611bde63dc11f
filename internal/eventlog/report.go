package eventlog

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// ReadFleet reads the logs of a fleet. Each file in the folder must contain the standard error of the programs of
// one instance. A file without events counts as an instance without activity.
func ReadFleet(dir string) ([][]Event, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var fleet [][]Event
	for _, file := range files {
		if file.IsDir() {
			continue
		}
		events, err := readLogFile(filepath.Join(dir, file.Name()))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file.Name(), err)
		}
		fleet = append(fleet, events)
	}
	return fleet, nil
}

// readLogFile returns the events in the log file of one instance.
func readLogFile(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return Read(file)
}

// Write prints the statistics as text, one line for each quantity.
func (stats FleetStats) Write(output io.Writer) error {
	var err error
	printLine := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(output, format+"\n", args...)
		}
	}
	printDistribution := func(name string, distribution Distribution) {
		printLine("  %-58s %7d %9.2f %9.2f %9.2f", name, distribution.Count, distribution.Mean, distribution.Median,
			distribution.Max)
	}
	printLine("%d instances, %d endpoints, %.1f s: %d attempts, %d of them failed; %d connections could not be opened",
		stats.Instances, stats.Endpoints, stats.DurationSeconds, stats.Attempts, stats.Failures, stats.FailedDials)
	printLine("discovery: %d successful polls, %d failed polls, %d polls in the busiest second",
		stats.SuccessfulPolls, stats.FailedPolls, stats.MaxPollsPerSecond)
	printLine("  %-58s %7s %9s %9s %9s", "", "n", "mean", "median", "most")
	printDistribution("attempts at one endpoint in one second", stats.EventsPerSecond[AttemptStarted])
	printDistribution("probes at one endpoint in one second", stats.EventsPerSecond[ProbeEnded])
	printDistribution("new connections at one endpoint in one second", stats.EventsPerSecond[ConnOpened])
	printDistribution("peak open connections of all instances at one endpoint", stats.MaxOpenConns)
	printLine("%d endpoints were added:", stats.Added.Endpoints)
	printDistribution("seconds until notified, after the first notified instance", stats.Added.NotificationDelay)
	printDistribution("seconds until an instance's first attempt there", stats.Added.FirstUseDelay)
	printDistribution("instances with an attempt at the endpoint", stats.Added.InstancesWithAttempts)
	printLine("%d endpoints were removed from the list:", stats.Removed.Endpoints)
	printDistribution("seconds until notified, after the first notified instance", stats.Removed.NotificationDelay)
	printDistribution("failures at one endpoint before instances were notified", stats.Removed.StaleFailures)
	printLine("%d endpoints had %d fault episodes:", stats.Faults.FaultyEndpoints, stats.Faults.Episodes)
	printDistribution("seconds from the first failure to the last", stats.Faults.DurationSeconds)
	printDistribution("failures in one episode", stats.Faults.Failures)
	printDistribution("failures in one episode later than 2 s after its first", stats.Faults.LateFailures)
	printDistribution("instances with a failure in one episode", stats.Faults.AffectedInstances)
	printDistribution("failures of one instance in one episode", stats.Faults.FailuresPerInstance)
	return err
}
