package balancer

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// Timer tokens below firstRequestToken are the balancer's own; others name the slot of a request in their low bits.
const (
	tokenProbe = iota
	tokenDiscovery
	tokenRecheck
	firstRequestToken = 16
	slotBits          = 20
)

// request is the record of a request and its attempts.
type request struct {
	Request
	timerToken   uint32
	arrivedAt    monotime.Micros // at the host
	work         float64
	logHintRatio float64 // logarithm of its hint over the mean of its class
	attempts     []attempt
	inflight     int     // attempts without outcome
	queued       bool    // waits for probes
	finished     bool    // the final answer is out
	streaming    bool    // an answer has begun: the client has that attempt
	onTime       float64 // 1 once answered within its latency objective
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	endpoint        *endpoint
	zone            uint8 // of the endpoint when sent: it may move
	cell            uint16
	sentAt          monotime.Micros
	expectedLatency float64
	workFactor      float64 // work times the queue delay factor when sent
	inflight        bool    // no outcome yet
	streaming       bool    // bytes of its request or answer flow
	mayHaveRun      bool    // it may have had its effect, or may have it yet
}

// newRequest returns a record in the table of requests.
func (b *Balancer) newRequest(now monotime.Micros, in Request) *request {
	var r *request
	if last := len(b.freeRequests) - 1; last >= 0 {
		r = b.freeRequests[last]
		b.freeRequests = b.freeRequests[:last]
	} else {
		r = &request{timerToken: uint32(len(b.timerSlots) + firstRequestToken)}
		b.timerSlots = append(b.timerSlots, r)
	}
	*r = request{
		Request:    in,
		timerToken: r.timerToken + 1<<slotBits, // the high bits count uses: an old timer finds nothing
		arrivedAt:  now - max(0, in.QueueTime),
		attempts:   r.attempts[:0],
	}
	b.requests[in.ID] = r
	b.openRequests++
	return r
}

// removeFromQueue takes r off the requests that wait for probes.
func (b *Balancer) removeFromQueue(r *request) {
	b.queued = slices.DeleteFunc(b.queued, func(other *request) bool { return other == r })
	r.queued = false
}

// requestOfToken returns the request that a timer was started for, nil if its record was used again since.
func (b *Balancer) requestOfToken(token uint32) *request {
	slot := int(token&(1<<slotBits-1)) - firstRequestToken
	if slot < 0 || slot >= len(b.timerSlots) || b.timerSlots[slot].timerToken != token {
		return nil
	}
	return b.timerSlots[slot]
}

// findAttempt returns an attempt of a request by the numbers that the host has, nil for none.
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

func (r *request) hasAttempted(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// markStreaming notes that bytes flow on an attempt: its endpoint is not silent, however long that takes.
func (a *attempt) markStreaming() {
	if a.inflight && !a.streaming {
		a.streaming = true
		a.endpoint.streaming++
	}
}

// end notes that an attempt has its outcome.
func (a *attempt) end(now monotime.Micros) {
	a.inflight = false
	a.endpoint.inflight--
	if a.streaming {
		a.endpoint.streaming--
	}
	a.endpoint.silentSince = now
}
