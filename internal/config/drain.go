package config

import (
	"time"

	"dunlinsail/internal/stricttoml"
)

const (
	minDefaultDrain = 5 * time.Second        // least default of Takeover.DrainTimeout
	drainMargin     = 500 * time.Millisecond // for requests that arrive after the drain has started
	closeMargin     = 500 * time.Millisecond // for what is written and closed after Takeover.DrainTimeout
)

// unsetDrainTimeout is the value of Takeover.DrainTimeout before setDrainTimeout, in a file without the key.
var unsetDrainTimeout = stricttoml.Duration{Duration: -1}

// setDrainTimeout sets the default of Takeover.DrainTimeout, with which all requests end within their own time. With a
// maintenance plan all is closed within Maintenance.maxDrain, also where a new generation takes over in the process.
func (c *Config) setDrainTimeout() {
	if c.Takeover.DrainTimeout != unsetDrainTimeout {
		return
	}
	_, timeout := c.longestClientTimeout()
	drain := timeout + drainMargin
	if c.Maintenance.On {
		drain = min(drain, c.Maintenance.maxDrain()-closeMargin)
	}
	c.Takeover.DrainTimeout.Duration = max(minDefaultDrain, drain)
}

// longestClientTimeout returns the class whose clients wait longest, and how long they wait.
func (c *Config) longestClientTimeout() (class string, timeout time.Duration) {
	for i := range c.Classes {
		if t := c.Classes[i].ClientTimeout.Duration; t > timeout {
			class = c.Classes[i].Name
			timeout = t
		}
	}
	return class, timeout
}

// maxDrain returns the time within which a process or generation that is replaced must end: the coordinator of the
// plan waits no longer for it before it reports a machine as at work.
func (m *Maintenance) maxDrain() time.Duration { return m.Lease.Duration + m.InFlightGrace.Duration }
