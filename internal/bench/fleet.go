package bench

import (
	"io"

	"dunlinsail/internal/events"
)

// Fleet counts the events in the logs of a fleet's instances.
func Fleet(out io.Writer, dir string) error {
	fleet, err := events.ReadFleet(dir)
	if err != nil {
		return err
	}
	return events.Count(fleet).Write(out)
}
