package overload

import "dunlinsail/internal/monotime"

// sharedDecreasePerSecond is decreasePerSecond of a SharedLevel. What it goes by is up to half a second old,
// while queues respond at once to what it admits: it would oscillate beyond a gain of about three a second.
const sharedDecreasePerSecond = 2.0

// SharedLevel is the admission level of all instances together, computed by one of them from what all report.
// It answers the demand of the fleet as an instance's own level answers its own, and is not moved by the few
// requests of one instance. Make one with NewSharedLevel.
type SharedLevel struct {
	value     float64
	updatedAt monotime.Micros
}

// NewSharedLevel returns a level that starts at the one that instances have.
func NewSharedLevel(now monotime.Micros, level float64) *SharedLevel {
	return &SharedLevel{value: min(1, max(minLevel, level)), updatedAt: now}
}

// Update moves the level by the requests of all instances since the last update, and the failed ones among them, and
// returns it. load is as in Bounds.
func (l *SharedLevel) Update(now monotime.Micros, requests, failed, load float64) float64 {
	weight := min(1, float64(max(0, now-l.updatedAt))/float64(second))
	l.updatedAt = now
	rise := increasePerSecond
	if load < idleLoad {
		rise = idleIncreasePerSecond
	}
	l.value = min(1, l.value+weight*rise)
	if requests > 0 {
		l.value = max(minLevel, l.value-weight*sharedDecreasePerSecond*l.value*min(1, failed/requests))
	}
	return l.value
}
