package config

import (
	"fmt"
	"slices"
	"time"
)

// Warning reports a valid setting with a cost that is not evident from the file.
type Warning struct {
	Key    string // key of the setting, as in an error
	Reason string // what the setting costs, and what avoids it
}

// String returns the key and the reason.
func (w Warning) String() string { return w.Key + ": " + w.Reason }

// Warnings returns the warnings for a valid configuration, those of its classes in their order.
func (c *Config) Warnings() (warnings []Warning) {
	if class, timeout := c.longestClientTimeout(); c.Takeover.DrainTimeout.Duration < timeout {
		warnings = append(warnings, c.drainWarning(class, timeout))
	}
	if c.Maintenance.On && c.Takeover.DrainTimeout.Duration > c.Maintenance.maxDrain() {
		warnings = append(warnings, c.maintenanceWarning())
	}
	for i := range c.Classes {
		for j := range c.Pools {
			if c.lacksGroups(&c.Classes[i], &c.Pools[j]) {
				warnings = append(warnings, groupWarning(i, c.Classes[i].IdempotencyGroup, c.Pools[j].Name))
			}
		}
	}
	return warnings
}

// drainWarning returns the warning that clients of a class may wait for longer than a process that ends.
func (c *Config) drainWarning(class string, timeout time.Duration) Warning {
	const reason = "%v: clients of class %q wait for %v; a request that is open for longer after SIGTERM, a hot " +
		"restart or a SIGHUP that needs a new generation is answered 503 or 504"
	return Warning{
		Key:    "takeover.drain_within",
		Reason: fmt.Sprintf(reason, c.Takeover.DrainTimeout, class, timeout),
	}
}

// maintenanceWarning returns the warning that a generation that is replaced may outlast the coordinator's wait for it.
func (c *Config) maintenanceWarning() Warning {
	const reason = "%v: longer than work.lease and work.quiet together, %v: after a SIGHUP that needs a new " +
		"generation, a machine may be reported as at work while the generation before has a request open there"
	return Warning{
		Key:    "takeover.drain_within",
		Reason: fmt.Sprintf(reason, c.Takeover.DrainTimeout, c.Maintenance.maxDrain()),
	}
}

// groupWarning returns the warning that a pool's list does not state the group in which a class is retried.
func groupWarning(classIndex int, group, pool string) Warning {
	const reason = "%[1]q: pool %[2]q has a list of addresses, which names no %[1]s: a request that may have run is " +
		"not sent again there; set \"all\" if all its endpoints drop repeats, or list them in a file or at discovery " +
		"with their %[1]s"
	return Warning{Key: fmt.Sprintf("class.%d.group", classIndex), Reason: fmt.Sprintf(reason, group, pool)}
}

// lacksGroups reports whether requests of a keyed class are routed to a pool and retried within a zone or cell, but
// the pool's list states neither.
func (c *Config) lacksGroups(class *Class, pool *Pool) bool {
	isPartial := class.IdempotencyGroup == "zone" || class.IdempotencyGroup == "cell"
	if !isPartial || pool.Endpoints == nil || c.Attempts.MaxAttempts == 1 {
		return false
	}
	return slices.ContainsFunc(c.Routes, func(r Route) bool {
		return r.Pool == pool.Name && r.MaxAttempts != 1 && r.hasClass(class.Name)
	})
}

// hasClass reports whether requests of the route may be of a class.
func (r *Route) hasClass(name string) bool {
	if r.Class == "" {
		return name == ReadClass || name == WriteClass
	}
	return r.Class == name
}
