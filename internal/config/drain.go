package config

import (
	"time"

	"dunlinsail/internal/stricttoml"
)

const (
	minDefaultDrain = 5 * time.Second        // least default of Takeover.DrainTimeout
	drainMargin     = 500 * time.Millisecond // for requests that arrive after the drain has started
)

// unsetDrainTimeout is the value of Takeover.DrainTimeout before setDrainTimeout, in a file without the key.
var unsetDrainTimeout = stricttoml.Duration{Duration: -1}

// setDrainTimeout sets the default of Takeover.DrainTimeout, with which all requests end within their own time. With a
// maintenance plan the default is not over the limit that the plan sets (validator.maintenance).
func (c *Config) setDrainTimeout() {
	if c.Takeover.DrainTimeout != unsetDrainTimeout {
		return
	}
	_, timeout := c.longestClientTimeout()
	drain := timeout + drainMargin
	if c.Maintenance.On && c.Takeover.Socket != "" {
		drain = min(drain, c.Maintenance.maxDrain())
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

// maxDrain returns the time within which a process that is replaced must end.
func (m *Maintenance) maxDrain() time.Duration { return m.Lease.Duration + m.InFlightGrace.Duration }
