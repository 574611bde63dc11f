package core

import (
	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/monotime"
)

const (
	// maxCatchUpTime and catchUpDivisor bound how long the core catches up after a stall: at most
	// maxCatchUpTime, and at most the length of the stall divided by catchUpDivisor. Catching up delays new
	// requests by up to that time.
	maxCatchUpTime = 20 * monotime.Millisecond
	catchUpDivisor = 4

	// maxOpenTime is the time for which stalls during the catch-up prolong it.
	maxOpenTime = 150 * monotime.Millisecond

	// quietTime is the time without any event after which the core ends its catch-up.
	quietTime = 2 * monotime.Millisecond
)

// catchUp is the period directly after a stall. Responses that endpoints sent during the stall are still in
// this process's socket buffers. They are handled first, while new requests are deferred and no timer fires.
// Otherwise the core would decide on new requests as if attempts were in flight whose responses arrived long
// ago.
type catchUp struct {
	openedAt  monotime.Micros // instant at which the catch-up was opened
	open      bool            // the catch-up has started, and its deferred events have not been handled
	endsAt    monotime.Micros // instant at which the catch-up ends
	latestEnd monotime.Micros // latest instant to which endsAt may be extended
	// deferred holds the events that wait for the end of the catch-up, in order.
	deferred []queuedEvent
}

// stalled records a stall that has just ended. It starts a catch-up, or prolongs the open one: where stalls recur, the
// responses that arrived during each of them are still to be read. A catch-up that has been open for maxOpenTime keeps
// its latest end, so that recurring stalls delay no event and no timer without bound.
func (c *catchUp) stalled(interval stall.Interval) {
	if c.open && interval.To-c.openedAt >= maxOpenTime {
		c.endsAt = min(c.latestEnd, interval.To+quietTime)
		return
	}
	if !c.open {
		c.openedAt = interval.To
	}
	c.start(interval)
}

// start starts the catch-up at the end of a stall.
func (c *catchUp) start(interval stall.Interval) {
	c.open = true
	c.latestEnd = interval.To + min(maxCatchUpTime, interval.Length()/catchUpDivisor)
	c.endsAt = min(c.latestEnd, interval.To+quietTime)
}

// end ends the catch-up, and returns the deferred events.
func (c *catchUp) end() (deferred []queuedEvent) {
	deferred = c.deferred
	c.deferred = nil
	c.open = false
	return deferred
}

// active reports whether the core is catching up at the instant now.
func (c *catchUp) active(now monotime.Micros) bool { return now < c.endsAt }

// extend records that an event was received at the instant now. An active catch-up is extended to now plus
// quietTime, but not beyond latestEnd.
func (c *catchUp) extend(now monotime.Micros) {
	if c.active(now) {
		c.endsAt = min(c.latestEnd, now+quietTime)
	}
}
