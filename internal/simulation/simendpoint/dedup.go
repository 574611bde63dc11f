package simendpoint

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// DedupGroup is a set of endpoints that share which keys they have seen.
type DedupGroup struct {
	window    monotime.Micros
	firstSeen map[uint64]monotime.Micros // keys, by when each was first taken
	order     []uint64                   // the oldest first
}

// NewDedupGroup returns a group that drops a key's repeats for so long.
func NewDedupGroup(window monotime.Micros) *DedupGroup {
	return &DedupGroup{window: window, firstSeen: map[uint64]monotime.Micros{}}
}

// seenBefore says whether a key is known, and notes it.
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

// forget takes back that a key was seen: what was seen of it never ran.
func (g *DedupGroup) forget(key uint64) {
	if _, known := g.firstSeen[key]; known {
		delete(g.firstSeen, key)
		g.order = slices.DeleteFunc(g.order, func(k uint64) bool { return k == key })
	}
}
