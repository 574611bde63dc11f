package overload

import (
	"dunlinsail/internal/monotime"
)

// jointDown is down of a joint level. What it is told is up to half a second old, and the queues answer to what it lets in at
// once: beyond a gain of about three a second it would swing.
const sharedDecreasePerSecond = 2.0

// Joint is the level of all instances together, kept by one of them from what all tell it. What many ask for is met by it as one
// instance's is by its own level, and no instance's few requests move it. Make one with NewJoint.
type SharedLevel struct {
	value     float64
	updatedAt monotime.Micros
}

// NewJoint returns one that begins at what instances are at.
func NewSharedLevel(now monotime.Micros, level float64) *SharedLevel {
	return &SharedLevel{value: min(1, max(minLevel, level)), updatedAt: now}
}

// Move moves the level by the requests that came since it was moved last, of which a part went on in vain, and returns it.
func (j *SharedLevel) Update(now monotime.Micros, requests, failed, load float64) float64 {
	weight := min(1, float64(max(0, now-j.updatedAt))/float64(second))
	j.updatedAt = now
	rise := increasePerSecond
	if load < idleLoad {
		rise = idleIncreasePerSecond
	}
	j.value = min(1, j.value+weight*rise)
	if requests > 0 {
		j.value = max(minLevel, j.value-weight*sharedDecreasePerSecond*j.value*min(1, failed/requests))
	}
	return j.value
}
