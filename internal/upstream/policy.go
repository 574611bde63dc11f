package upstream

import (
	"net/http"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/http1msg"
)

// ResponsePolicy determines how responses of endpoints are classified, buffered and bounded. It must not change
// while it is used.
type ResponsePolicy struct {
	FailureStatus  [600]bool // by status code: the response counts as an error of the endpoint
	RejectedStatus [600]bool // by status code: the response, if it has Retry-After, counts as rejected before it ran
	ReplaceErrors  bool      // the client receives a local response in place of an error, whose body is not read
	NonIdempotent  bool      // requests must not be retried once they may have run: RejectedStatus counts as an error

	MaxBuffered         int64         // bytes: a larger response, or one that arrives slowly, is streamed
	BufferSlowResponses bool          // a slow response of known length up to MaxBuffered is buffered nevertheless
	MaxBytes            int64         // a larger response is aborted; 0 is no bound
	IdleTimeout         time.Duration // between bytes of a streaming request or response
	BodyTimeout         time.Duration // for the rest of a streaming response; 0 is no bound
	DeadlineHeader      string        // header with the remaining milliseconds; "" is none
	ResponseTimeout     time.Duration // for a response, after the last byte of a streaming body
}

// classify returns the status of an attempt by its response.
func (p *ResponsePolicy) classify(response *Response) balancer.Status {
	code := min(response.StatusCode, len(p.FailureStatus)-1)
	unavailable := code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout
	neverRan := unavailable && response.Header.Get(http1msg.FieldNeverRan) == "1"
	switch {
	case neverRan:
		return balancer.Rejected
	case p.RejectedStatus[code] && response.Header.Get("Retry-After") != "":
		if p.NonIdempotent {
			return balancer.Error // by convention it did not run, but this is not guaranteed
		}
		return balancer.Rejected
	case p.FailureStatus[code]:
		return balancer.Error
	}
	return balancer.OK
}
