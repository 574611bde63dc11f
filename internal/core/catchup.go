package core

import (
	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/monotime"
)

const (
	// maxCatchUpTime bounds the time after a stall for which the core catches up. A stall delays requests by up to a
	// catchUpDivisor of its length more.
	maxCatchUpTime = 20 * monotime.Millisecond
	catchUpDivisor = 4

	// quietTime is the time without any event after which the core has caught up.
	quietTime = 2 * monotime.Millisecond
)

// catchUp is the time right after a stall. What endpoints sent meanwhile is still in this process's socket buffers: it
// is handled first, while new requests are deferred and no timer fires. Otherwise requests would be decided by attempts
// in flight that have long been answered.
type catchUp struct {
	endsAt    monotime.Micros // instant at which it ends
	latestEnd monotime.Micros // instant up to which until may be extended
	deferred  []queuedEvent
}

// start begins to catch up at the end of a stall.
func (c *catchUp) start(interval stall.Interval) {
	c.latestEnd = interval.To + min(maxCatchUpTime, interval.Length()/catchUpDivisor)
	c.endsAt = min(c.latestEnd, interval.To+quietTime)
}

// active reports whether the core catches up at an instant.
func (c *catchUp) active(now monotime.Micros) bool { return now < c.endsAt }

// extend notes that an event has come at an instant.
func (c *catchUp) extend(now monotime.Micros) {
	if c.active(now) {
		c.endsAt = min(c.latestEnd, now+quietTime)
	}
}
