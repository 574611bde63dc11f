package simendpoint

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// DedupGroup is the deduplication state of endpoints that share the idempotency keys which they have seen.
type DedupGroup struct {
	window    monotime.Micros
	firstSeen map[uint64]monotime.Micros // by key, when it was first seen
	order     []uint64                   // keys, the oldest first
}

// NewDedupGroup returns a group that drops repeats of a key within a window.
func NewDedupGroup(window monotime.Micros) *DedupGroup {
	return &DedupGroup{window: window, firstSeen: map[uint64]monotime.Micros{}}
}

// seenBefore reports whether a key is known, and records it.
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

// forget removes a key whose request never ran.
func (g *DedupGroup) forget(key uint64) {
	if _, known := g.firstSeen[key]; known {
		delete(g.firstSeen, key)
		g.order = slices.DeleteFunc(g.order, func(seenKey uint64) bool { return seenKey == key })
	}
}
