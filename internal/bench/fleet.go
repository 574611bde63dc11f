package bench

import (
	"io"

	"dunlinsail/internal/eventlog"
)

// Fleet counts the events in the logs of a fleet's instances.
func Fleet(out io.Writer, dir string) error {
	fleet, err := eventlog.ReadFleet(dir)
	if err != nil {
		return err
	}
	return eventlog.Analyze(fleet).Write(out)
}
