package upstream

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"dunlinsail/internal/http1msg"
)

// ErrResponseTooLong means that a response is larger than ResponsePolicy.MaxBytes.
var ErrResponseTooLong = errors.New("the answer is larger, or takes longer, than it may")

// Response is the response of an endpoint with a complete head. Its body is in Buffered, followed by Stream if that is
// not nil.
type Response struct {
	StatusCode int
	Interim    []InterimResponse // that preceded it
	Header     http.Header
	Framing    http1msg.Framing
	Buffered   []byte
	Trailer    http.Header // of a buffered body
	Stream     *ResponseStream
}

// InterimResponse is an informational (1xx) response (RFC 9110, section 15.2).
type InterimResponse struct {
	StatusCode int
	Header     http.Header
}

// ResponseStream is the remainder of a response body that is streamed. One goroutine reads it to its end, or calls
// Finish.
type ResponseStream struct {
	conn      *Conn
	body      *http1msg.Body
	digest    *streamDigest // of what has been read
	policy    *ResponsePolicy
	deadline  time.Time // zero is no bound
	remaining int64     // bytes allowed
	err       error
	ended     chan error
	once      sync.Once
}

// Read reads what has arrived, and waits for some of it within the idle and body timeouts of the policy.
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

// Buffered returns how many bytes can be read without waiting.
func (r *ResponseStream) Buffered() int { return r.body.Buffered() }

// Trailer returns the trailers, once Read has returned io.EOF.
func (r *ResponseStream) Trailer() http.Header { return r.body.Trailer() }

// Finish ends the reading, of a complete response or for a client that has closed its connection.
func (r *ResponseStream) Finish() {
	r.once.Do(func() { r.ended <- r.err })
}
