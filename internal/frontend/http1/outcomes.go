package http1

import (
	"net/http"
	"sync"
)

// Counts are how requests of one class ended for their clients.
type OutcomeCounts struct{ Fulfilled, Throttled, Faulted uint64 }

// counts counts them; every request that has its final answer comes by settle, once.
type outcomeCounter struct {
	mu      sync.Mutex
	classes []OutcomeCounts
}

func newOutcomeCounter(classes int) outcomeCounter {
	return outcomeCounter{classes: make([]OutcomeCounts, classes)}
}

// settle counts a final answer by the status that its client was told, 0 for none: its client had left.
func (c *outcomeCounter) record(class uint8, status int) {
	if status == 0 || int(class) >= len(c.classes) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch counts := &c.classes[class]; {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		counts.Throttled++
	case status >= 200 && status < 400:
		counts.Fulfilled++
	default:
		counts.Faulted++
	}
}

// Figures returns how requests ended since the start, by class as in the settings, and how many are open now.
func (s *Server) RequestStats() (classes []OutcomeCounts, open int) {
	s.outcomes.mu.Lock()
	classes = append(classes, s.outcomes.classes...)
	s.outcomes.mu.Unlock()
	_, open = s.ConnectionCounts()
	return classes, open
}
