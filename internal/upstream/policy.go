package upstream

import (
	"net/http"
	"time"

	"dunlinsail/balancer"
)

// ResponsePolicy says how responses of endpoints are classified, buffered and bounded. It must not change while it is
// used.
type ResponsePolicy struct {
	FailureStatus  [600]bool // these count as an error of the endpoint
	RejectedStatus [600]bool // these, with Retry-After, count as rejected before they ran
	ReplaceErrors  bool      // the client gets a local response in place of an error, whose body is not needed
	NonIdempotent  bool      // no retry of what may have run: rejections by RejectedStatus count as errors

	MaxBuffered         int64         // a response up to so many bytes that arrives at once is forwarded in one piece
	BufferSlowResponses bool          // one of known length up to MaxBuffered is buffered however slow it is
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
	never := unavailable && response.Header.Get("X-Never-Ran") == "1"
	switch {
	case never:
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
