package upstream

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"dunlinsail/internal/http1msg"
)

// ErrResponseTooLong means that a response is larger than ResponsePolicy.MaxBytes.
var ErrResponseTooLong = errors.New("the response is larger than allowed")

// Response is a response of an endpoint whose head is complete. Its body is Buffered, followed by the bytes of
// Stream if that is not nil.
type Response struct {
	StatusCode int
	Interim    []InterimResponse // interim responses before this one
	Header     http.Header
	Framing    http1msg.Framing
	Buffered   []byte
	Trailer    http.Header // trailer fields of a completely buffered body
	Stream     *ResponseStream
}

// InterimResponse is an interim (1xx) response (RFC 9110, section 15.2).
type InterimResponse struct {
	StatusCode int
	Header     http.Header
}

// ResponseStream is the part of a response body that is streamed. A single goroutine reads it, and calls Finish
// when it does not need more of it.
type ResponseStream struct {
	conn       *Conn
	body       *http1msg.Body
	digest     *streamDigest // digest of the response, as far as it has been read
	policy     *ResponsePolicy
	deadline   time.Time // when BodyTimeout expires; zero: no limit
	remaining  int64     // number of bytes that may still be read
	err        error
	finished   chan error // receives the error that ended reading, or nil, from Finish
	finishOnce sync.Once
}

// Read reads bytes that have arrived, and otherwise waits for them within the idle and body timeouts of the
// policy.
func (r *ResponseStream) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	until := time.Now().Add(r.policy.IdleTimeout)
	if !r.deadline.IsZero() && r.deadline.Before(until) {
		until = r.deadline
	}
	r.conn.SetReadDeadline(until)
	n, err := r.body.Read(p)
	r.digest.body.Write(p[:n])
	r.remaining -= int64(n)
	if err == nil && r.remaining < 0 {
		n = 0
		err = ErrResponseTooLong
	}
	if err != nil {
		r.err = err
	}
	return n, err
}

// Buffered returns the number of bytes that can be read without waiting.
func (r *ResponseStream) Buffered() int { return r.body.Buffered() }

// Trailer returns the trailer fields. It is valid once Read has returned io.EOF.
func (r *ResponseStream) Trailer() http.Header { return r.body.Trailer() }

// Finish ends reading, either after the complete response or because the client has closed its connection. Only
// the first call has an effect.
func (r *ResponseStream) Finish() {
	r.finishOnce.Do(func() { r.finished <- r.err })
}
