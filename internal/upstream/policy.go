package upstream

import (
	"net/http"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/http1msg"
)

// ResponsePolicy determines how responses of endpoints are classified, buffered and bounded. It must not be
// changed while requests use it.
type ResponsePolicy struct {
	FailureStatus  [600]bool // by status code: the response counts as an error of the endpoint
	RejectedStatus [600]bool // by status code: a response with Retry-After means that the request did not run
	ReplaceErrors  bool      // an error response is replaced by a local response, and its body is not forwarded
	NonIdempotent  bool      // a request that may have run must not be retried; RejectedStatus counts as an error

	MaxBuffered         int64         // in bytes; larger responses, and responses that arrive slowly, are streamed
	BufferSlowResponses bool          // slow responses of known length up to MaxBuffered are buffered nevertheless
	MaxBytes            int64         // larger responses are aborted; 0: no limit
	IdleTimeout         time.Duration // maximum time between two bytes of a streaming request or response
	BodyTimeout         time.Duration // maximum time for the streamed rest of a response body; 0: no limit
	DeadlineHeader      string        // request header field with the remaining milliseconds; "": not sent
	ResponseTimeout     time.Duration // maximum time from the last byte of a streaming body to the response head
}

// classify returns the status of an attempt that received a response.
func (p *ResponsePolicy) classify(response *Response) balancer.Status {
	code := min(response.StatusCode, len(p.FailureStatus)-1)
	unavailable := code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout
	switch {
	case unavailable && statesNeverRan(response):
		return balancer.Rejected
	case p.RejectedStatus[code] && response.Header.Get("Retry-After") != "":
		if p.NonIdempotent {
			return balancer.Error // by convention the request did not run, but this is not guaranteed
		}
		return balancer.Rejected
	case p.FailureStatus[code]:
		return balancer.Error
	}
	return balancer.OK
}

// promisesHarmlessRetry reports whether a response tells its client that a retry is harmless: by the status 429 or
// 503, or by the header field that states that the request never ran.
func promisesHarmlessRetry(response *Response) bool {
	return response.StatusCode == http.StatusTooManyRequests ||
		response.StatusCode == http.StatusServiceUnavailable || statesNeverRan(response)
}

// statesNeverRan reports whether a response has the header field with which an endpoint states that it did not run
// the request.
func statesNeverRan(response *Response) bool {
	return response.Header.Get(http1msg.FieldNeverRan) == "1"
}
