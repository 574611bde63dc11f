package overload

import "dunlinsail/internal/monotime"

// sharedDecreasePerSecond is the decreasePerSecond of a SharedLevel. Its evidence is up to half a second old, while
// queues respond at once to what it admits: beyond a gain of about three a second it would oscillate.
const sharedDecreasePerSecond = 2.0

// SharedLevel is the admission level of all instances together, computed by one of them from the observations of all.
// It follows the fleet's demand as an instance's own level follows its own demand, and does not change with the few
// requests of one instance. Make one with NewSharedLevel.
type SharedLevel struct {
	value     float64
	updatedAt monotime.Micros
}

// NewSharedLevel returns a level that starts at the one that instances have.
func NewSharedLevel(now monotime.Micros, level float64) *SharedLevel {
	return &SharedLevel{value: min(1, max(minLevel, level)), updatedAt: now}
}

// Update decides the level by all instances' requests since the last update and the failed ones among them, and returns
// it. load is as in Bounds.Load. The level rises as admissionLevel does, and falls by sharedDecreasePerSecond times the
// failed part of the requests, both by the time since the last update.
func (l *SharedLevel) Update(now monotime.Micros, requests, failed, load float64) float64 {
	seconds := min(1, float64(max(0, now-l.updatedAt))/float64(second))
	l.updatedAt = now
	rise := increasePerSecond
	if load < idleLoad {
		rise = idleIncreasePerSecond
	}
	l.value = min(1, l.value+seconds*rise)
	if requests > 0 {
		l.value = max(minLevel, l.value-seconds*sharedDecreasePerSecond*l.value*min(1, failed/requests))
	}
	return l.value
}

// TakeObservations returns this instance's observations for a shared level: the local level, the load as in
// Bounds.Load, and the requests since the last call, with the failed ones among them.
func (c *Controller) TakeObservations() (level, load float64, requests, failedRequests int) {
	l := &c.level
	requests = l.requests
	failedRequests = min(l.failedRequests, l.requests)
	l.requests = 0
	l.failedRequests = 0
	return l.value, l.load, requests, failedRequests
}

const (
	sharedLevelTTL   = 2 * second // time for which a shared level is in force after it was received
	sharedLoadWeight = 0.5        // weight of the shared load; the rest is that of the local one
)

// ApplySharedLevel sets the level of all instances together (SharedLevel), and moves the load towards the one that they
// observe by sharedLoadWeight. The shared
// level is in force for sharedLevelTTL; without a further call the instance then controls a level of its own again.
// Values out of range are ignored.
func (c *Controller) ApplySharedLevel(now monotime.Micros, level, load float64) {
	if level >= minLevel && level <= 1 {
		c.level.value = level
		c.level.sharedUntil = now + sharedLevelTTL
	}
	if load >= 0 && load <= 1 {
		c.level.load += sharedLoadWeight * (load - c.level.load)
	}
}
