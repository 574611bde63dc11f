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
	// TimeFromLastByte is set if Request.ResponseTimeout counts from the last byte of a streaming body, even while the
	// endpoint is still taking the body. Otherwise it counts from when the endpoint last took a part of it.
	TimeFromLastByte bool
}

// classify returns the status of an attempt that received a response.
func (p *ResponsePolicy) classify(response *Response) balancer.Status {
	code := min(response.StatusCode, len(p.FailureStatus)-1)
	switch {
	case provesNeverRan(response.StatusCode, response.Header):
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
		response.StatusCode == http.StatusServiceUnavailable || statesNeverRan(response.Header)
}

// provesNeverRan reports whether a response with the given status code and header proves that the request never ran
// (page PROTOCOL, "Sidecars to endpoints").
func provesNeverRan(statusCode int, header http.Header) bool {
	unavailable := statusCode == http.StatusServiceUnavailable || statusCode == http.StatusGatewayTimeout
	return unavailable && statesNeverRan(header)
}

// statesNeverRan reports whether a response's header has the field with which an endpoint states that it did not run
// the request.
func statesNeverRan(header http.Header) bool { return header.Get(http1msg.FieldNeverRan) == "1" }
