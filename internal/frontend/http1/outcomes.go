package http1

import (
	"net/http"
	"sync"
)

// OutcomeCounts are the numbers of requests of one class by the status of their final response.
type OutcomeCounts struct {
	Fulfilled uint64 // status 200 to 399
	Throttled uint64 // status 429 or 503
	Faulted   uint64 // any other
}

// outcomeCounter counts final responses by class.
type outcomeCounter struct {
	mu      sync.Mutex
	byClass []OutcomeCounts
}

func newOutcomeCounter(classes int) outcomeCounter {
	return outcomeCounter{byClass: make([]OutcomeCounts, classes)}
}

// record counts a final response by its status; 0 is no response, to a client that has closed its connection.
func (c *outcomeCounter) record(class uint8, status int) {
	if status == 0 || int(class) >= len(c.byClass) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch counts := &c.byClass[class]; {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		counts.Throttled++
	case status >= 200 && status < 400:
		counts.Fulfilled++
	default:
		counts.Faulted++
	}
}

// RequestStats returns how requests ended since the start, by class in the order of the settings, and how many are
// open.
func (s *Server) RequestStats() (classes []OutcomeCounts, open int) {
	s.outcomes.mu.Lock()
	classes = append(classes, s.outcomes.byClass...)
	s.outcomes.mu.Unlock()
	_, open = s.ConnectionCounts()
	return classes, open
}
