package http1

import (
	"sync"
	"time"

	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

const (
	// minLogLateness is how late a final response is at least to be logged: the limit for responses to arrive in time
	// (page PROTOCOL).
	minLogLateness = 50 * monotime.Millisecond
	// lateLogInterval is the shortest time between two log lines about late responses.
	lateLogInterval = time.Second
)

// lateResponses counts and logs the final responses that come after their requests' deadlines. It is safe for
// concurrent use.
type lateResponses struct {
	mu         sync.Mutex
	count      uint64
	unlogged   int // late responses since the last log line
	nextLogDue monotime.Micros
}

// LateResponses returns how many final responses came late.
func (s *Server) LateResponses() uint64 {
	s.late.mu.Lock()
	defer s.late.mu.Unlock()
	return s.late.count
}

// observeLateness counts the final response to a request if it is late, and logs it, at most once in lateLogInterval.
// The log line states where the time went: before the request was admitted (queue_ms), or behind that.
func (s *Server) observeLateness(call *core.Call, response *engine.Response) {
	now := s.options.Clock.Now()
	lateness := now - call.Request.Deadline
	if lateness < minLogLateness {
		return
	}
	late := &s.late
	late.mu.Lock()
	defer late.mu.Unlock()
	late.count++
	if now < late.nextLogDue {
		late.unlogged++
		return
	}
	more := late.unlogged
	late.unlogged = 0
	late.nextLogDue = now + monotime.Micros(lateLogInterval/time.Microsecond)
	// The line is logged in a goroutine, so that a slow reader of the log does not delay responses.
	go s.options.Log.Warn("response late", "id", call.ID, "class", s.options.Site.Classes[call.Request.Class],
		"verdict", response.Verdict.String(), "late_ms", lateness/monotime.Millisecond,
		"queue_ms", response.QueueTime/monotime.Millisecond, "attempts", response.Attempts,
		"endpoint", response.Endpoint, "more", more)
}
