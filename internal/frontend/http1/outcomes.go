package http1

import (
	"net/http"
	"sync"
)

// OutcomeCounts are the numbers of requests of one class, by the HTTP status of the final response.
type OutcomeCounts struct {
	Fulfilled uint64 // status 200 to 399
	Throttled uint64 // status 429 or 503
	Faulted   uint64 // any other status
}

// outcomeCounter counts final responses by class and status.
type outcomeCounter struct {
	mu      sync.Mutex
	byClass []OutcomeCounts
}

func newOutcomeCounter(classCount int) outcomeCounter {
	return outcomeCounter{byClass: make([]OutcomeCounts, classCount)}
}

// record counts a final response with a status. Status 0 means that there was no response, and is not counted.
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

// RequestStats returns the outcomes of requests since the server started, by class in the order of the settings,
// and the number of requests in flight.
func (s *Server) RequestStats() (classes []OutcomeCounts, open int) {
	s.outcomes.mu.Lock()
	classes = append(classes, s.outcomes.byClass...)
	s.outcomes.mu.Unlock()
	_, open = s.ConnectionCounts()
	return classes, open
}
