package balancer

import "dunlinsail/internal/monotime"

// reject gives the final answer "rejected" with a Retry-After, or "failed" where a rejection would promise
// wrongly that a retry is harmless (mayReject).
func (b *Balancer) reject(r *request) {
	if r.finished || !b.mayReject(r) {
		b.failRequest(r)
		return
	}
	b.actions.Reject(r.ID, b.retryAfter(b.classOf(r)))
	b.finishRequest(r)
}

// failRequest gives the final answer "failed", which promises nothing, unless r has its final answer.
func (b *Balancer) failRequest(r *request) {
	if !r.finished {
		b.actions.Fail(r.ID)
		b.finishRequest(r)
	}
}

const (
	minRetryAfter    = 0.1 // of the latency objective: the shortest Retry-After
	retryAfterSpread = 0.2 // of the latency objective: the random part that is added to it
)

// retryAfter returns the Retry-After of a rejection (microseconds), 0 for none without Limits.RetryAfter. It
// is drawn from 0.1 to 0.3 of the class's latency objective, up to Limits.MaxRetryAfter: rejected clients do
// not retry together, and an answer to the retry is still of use.
func (b *Balancer) retryAfter(c *Class) monotime.Micros {
	if !b.settings.Limits.RetryAfter {
		return 0
	}
	wait := monotime.Micros((minRetryAfter + retryAfterSpread*b.random.float()) * float64(c.LatencyObjective))
	return min(wait, b.settings.Limits.MaxRetryAfter)
}
