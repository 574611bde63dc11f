package eventlog

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// ReadFleet reads the logs of a fleet: each file of a folder is an instance's, as its programs wrote them to standard
// error. A file without an event is counted as an instance that did nothing.
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

func readFile(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return Read(f)
}

// Write tells the counts, a line for each.
func (c Counts) Write(w io.Writer) error {
	var err error
	say := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format+"\n", args...)
		}
	}
	row := func(name string, s Spread) {
		say("  %-58s %7d %9.2f %9.2f %9.2f", name, s.N, s.Mean, s.Half, s.Most)
	}
	say("%d instances, %d endpoints, %.1f s: %d attempts, %d of them failed; %d connections not opened", c.Instances, c.Endpoints,
		c.Seconds, c.Attempts, c.Failures, c.DialsFailed)
	say("discovery: %d calls that went well, %d that failed, %d in the busiest second", c.Asked, c.AskedFailed, c.AskedMost)
	say("  %-58s %7s %9s %9s %9s", "", "n", "mean", "median", "most")
	row("attempts at one endpoint in one second", c.PerSecond[Sent])
	row("probes at one endpoint in one second", c.PerSecond[Probed])
	row("new connections at one endpoint in one second", c.PerSecond[Dialed])
	row("connections of all instances at one endpoint, at once", c.Held)
	say("%d endpoints came:", c.New.Endpoints)
	row("seconds until an instance was told, after the first was", c.New.Told)
	row("seconds until its first attempt there", c.New.Used)
	row("instances that used such an endpoint", c.New.Users)
	say("%d endpoints left the list:", c.Lost.Endpoints)
	row("seconds until an instance was told, after the first was", c.Lost.Told)
	row("failed attempts by those not yet told, at one endpoint", c.Lost.Unknowing)
	say("%d endpoints were bad in %d stretches of time:", c.Bad.Endpoints, c.Bad.Stretches)
	row("seconds from the first failure to the last", c.Bad.Length)
	row("failures in one stretch", c.Bad.Failures)
	row("of them later than 2 s after the fleet's first", c.Bad.Late)
	row("instances that met it", c.Bad.Met)
	row("failures that one instance met", c.Bad.Each)
	return err
}
