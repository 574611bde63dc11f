package balancer

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// Timer tokens. Those below firstRequestToken are the balancer's own. Others are of requests: the low
// slotBits hold the slot of the request's record, the high bits count the uses of the record.
const (
	tokenProbe        = 0 // probe round
	tokenDiscovery    = 1 // poll
	tokenRecheck      = 2 // second probe of an endpoint (recheckReport)
	firstRequestToken = 16
	slotBits          = 20
)

// request is the record of a request and its attempts.
type request struct {
	Request
	timerToken          uint32
	arrivedAt           monotime.Micros // instant of its arrival at the host
	work                float64         // microseconds, as estimated
	logHintRatio        float64         // logarithm of its hint over the mean work of its class; 0 without a hint
	attempts            []attempt
	inflight            int     // attempts without outcome
	queued              bool    // waits for probes
	waiting             bool    // waits for answers to its class (queueForResponses)
	hasAwaitedResponses bool    // it waits for answers only once
	finished            bool    // has its final answer
	streaming           bool    // an answer is being streamed: the client has that attempt
	onTime              float64 // 1 once answered within the latency objective, else 0
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	endpoint        *endpoint
	zone            uint8           // of the endpoint when sent: it may move
	cell            uint16          // of the endpoint when sent
	sentAt          monotime.Micros // instant
	expectedLatency float64         // microseconds, when sent
	workFactor      float64         // microseconds: work times the queue delay factor when sent
	inflight        bool            // no outcome yet
	streaming       bool            // its request or answer is being streamed
	mayHaveRun      bool            // it may have had its effect, or may still have it
}

// newRequest returns a record for a request that is not open, and adds it to the open requests.
func (b *Balancer) newRequest(now monotime.Micros, incoming Request) *request {
	var r *request
	if last := len(b.freeRequests) - 1; last >= 0 {
		r = b.freeRequests[last]
		b.freeRequests = b.freeRequests[:last]
	} else {
		r = &request{timerToken: uint32(len(b.timerSlots) + firstRequestToken)}
		b.timerSlots = append(b.timerSlots, r)
	}
	*r = request{
		Request:    incoming,
		timerToken: r.timerToken + 1<<slotBits, // one more use: an old timer finds nothing
		arrivedAt:  now - max(0, incoming.QueueTime),
		attempts:   r.attempts[:0],
	}
	b.requests[incoming.ID] = r
	b.openRequests++
	return r
}

// removeFromQueue removes r from the requests that wait for probes.
func (b *Balancer) removeFromQueue(r *request) {
	b.queued = slices.DeleteFunc(b.queued, func(other *request) bool { return other == r })
	r.queued = false
}

// requestOfToken returns the request that a timer was set for, nil if its record has been used again since.
func (b *Balancer) requestOfToken(token uint32) *request {
	slot := int(token&(1<<slotBits-1)) - firstRequestToken
	if slot < 0 || slot >= len(b.timerSlots) || b.timerSlots[slot].timerToken != token {
		return nil
	}
	return b.timerSlots[slot]
}

// findAttempt returns a request by its ID and an attempt by its number (Outcome.Attempt), nil for none.
func (b *Balancer) findAttempt(id uint64, number int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil, nil
	}
	return r, &r.attempts[number]
}

// firstMayHaveRun returns the first attempt that may have run, nil for none.
func (r *request) firstMayHaveRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// hasAttempted reports whether r was sent to e before.
func (r *request) hasAttempted(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// markStreaming notes that an attempt's request or answer is being streamed: its endpoint is not silent,
// however long that takes.
func (a *attempt) markStreaming() {
	if a.inflight && !a.streaming {
		a.streaming = true
		a.endpoint.streaming++
	}
}

// markEnded notes that an attempt has its outcome. The endpoint is no longer silent.
func (a *attempt) markEnded(now monotime.Micros) {
	a.inflight = false
	a.endpoint.inflight--
	if a.streaming {
		a.endpoint.streaming--
	}
	a.endpoint.silentSince = now
}
