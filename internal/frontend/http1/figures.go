package http1

import (
	"net/http"
	"sync"
)

// Counts are how requests of one class ended for their clients.
type Counts struct{ Fulfilled, Throttled, Faulted uint64 }

// counts counts them; every request that has its final answer comes by settle, once.
type counts struct {
	mu      sync.Mutex
	classes []Counts
}

func newCounts(classes int) counts { return counts{classes: make([]Counts, classes)} }

// settle counts a final answer by the status that its client was told, 0 for none: its client had left.
func (k *counts) settle(class uint8, status int) {
	if status == 0 || int(class) >= len(k.classes) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch to := &k.classes[class]; {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		to.Throttled++
	case status >= 200 && status < 400:
		to.Fulfilled++
	default:
		to.Faulted++
	}
}

// Figures returns how requests ended since the start, by class as in the settings, and how many are open now.
func (f *Front) Figures() (classes []Counts, open int) {
	f.counts.mu.Lock()
	classes = append(classes, f.counts.classes...)
	f.counts.mu.Unlock()
	_, open = f.Conns()
	return classes, open
}
