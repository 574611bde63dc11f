package simendpoint

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// DedupGroup is the deduplication state that a group of endpoints shares: the idempotency keys that any of
// them has received.
type DedupGroup struct {
	window    monotime.Micros
	firstSeen map[uint64]monotime.Micros // when a key was first received, by key
	order     []uint64                   // known keys, oldest first
}

// NewDedupGroup returns a group that keeps each key for a window of time after it was first received.
func NewDedupGroup(window monotime.Micros) *DedupGroup {
	return &DedupGroup{window: window, firstSeen: map[uint64]monotime.Micros{}}
}

// seenBefore reports whether a key is known, and records an unknown key.
func (g *DedupGroup) seenBefore(now monotime.Micros, key uint64) bool {
	for len(g.order) > 0 && now-g.firstSeen[g.order[0]] >= g.window {
		delete(g.firstSeen, g.order[0])
		g.order = g.order[1:]
	}
	if _, known := g.firstSeen[key]; known {
		return true
	}
	g.firstSeen[key] = now
	g.order = append(g.order, key)
	return false
}

// forget removes the key of a request that did not complete.
func (g *DedupGroup) forget(key uint64) {
	if _, known := g.firstSeen[key]; known {
		delete(g.firstSeen, key)
		g.order = slices.DeleteFunc(g.order, func(seenKey uint64) bool { return seenKey == key })
	}
}
