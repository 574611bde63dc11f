package overload

import "dunlinsail/internal/monotime"

// sharedDecreasePerSecond replaces decreasePerSecond for a SharedLevel. The evidence of a shared level is up to
// half a second old, while queues respond at once to the admitted work: with a gain of more than about three
// per second the level would oscillate.
const sharedDecreasePerSecond = 2.0

// SharedLevel is the common admission level of all instances. One instance computes it from the observations of
// all. It follows the fleet's demand as the level of a single instance follows its own demand, and does not
// vary with the few requests of one instance. Create it with NewSharedLevel.
type SharedLevel struct {
	value     float64
	updatedAt monotime.Micros
}

// NewSharedLevel returns a shared level that starts at the given admission level, limited to minLevel to 1.
func NewSharedLevel(now monotime.Micros, level float64) *SharedLevel {
	return &SharedLevel{value: min(1, max(minLevel, level)), updatedAt: now}
}

// Update computes and returns the new level. requests is the number of all instances' requests since the last
// update, failed the number of failed ones among them, and load the mean load (Bounds.Load). In the time since
// the last update the level rises at the same rate as an admissionLevel, and falls by sharedDecreasePerSecond
// times the failed fraction of the requests.
func (l *SharedLevel) Update(now monotime.Micros, requests, failed, load float64) float64 {
	seconds := min(1, float64(max(0, now-l.updatedAt))/float64(second))
	l.updatedAt = now
	increaseRate := increasePerSecond
	if load < idleLoad {
		increaseRate = idleIncreasePerSecond
	}
	l.value = min(1, l.value+seconds*increaseRate)
	if requests > 0 {
		l.value = max(minLevel, l.value-seconds*sharedDecreasePerSecond*l.value*min(1, failed/requests))
	}
	return l.value
}

// TakeObservations returns this instance's observations for a shared level: its admission level, the load as in
// Bounds.Load, and the numbers of requests and of failed requests since the last call.
func (c *Controller) TakeObservations() (level, load float64, requests, failedRequests int) {
	l := &c.level
	requests = l.requests
	failedRequests = min(l.failedRequests, l.requests)
	l.requests = 0
	l.failedRequests = 0
	return l.value, l.load, requests, failedRequests
}

const (
	sharedLevelTTL   = 2 * second // time for which a received shared level is in force
	sharedLoadWeight = 0.5        // weight of the shared load in the new local load
)

// ApplySharedLevel applies the common admission level of all instances (SharedLevel), and moves the local load
// towards the shared load by the fraction sharedLoadWeight. The shared level is in force for sharedLevelTTL.
// After that, without a further call, the instance controls its own level again. Values out of range are
// ignored.
func (c *Controller) ApplySharedLevel(now monotime.Micros, level, load float64) {
	if level >= minLevel && level <= 1 {
		c.level.value = level
		c.level.sharedUntil = now + sharedLevelTTL
	}
	if load >= 0 && load <= 1 {
		c.level.load += sharedLoadWeight * (load - c.level.load)
	}
}
