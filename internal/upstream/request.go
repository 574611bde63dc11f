package upstream

import (
	"cmp"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunlinsail/internal/http1msg"
)

// Request is an HTTP/1.1 request of any form, as it is forwarded to an endpoint. It may be sent in several attempts,
// unless its body streams.
type Request struct {
	Method, URI, Host string
	Header            http.Header    // end-to-end headers
	Body              []byte         // complete, or the buffered part of one that streams
	Trailer           http.Header    // of a complete body that came in chunks
	ExplicitLength    bool           // Content-Length is sent even without a body
	Stream            *RequestStream // the rest of the body; nil is none
	Policy            *ResponsePolicy
	ResponseTimeout   time.Duration // after the last byte of a streaming body; 0 is that of Policy
}

// responseTimeout is how long the response is waited for once a streaming body has been sent.
func (r *Request) responseTimeout() time.Duration {
	return cmp.Or(r.ResponseTimeout, r.Policy.ResponseTimeout)
}

// encode returns the head and the buffered part of the body, which are written in one piece.
func (r *Request) encode(remainingMs int64) []byte {
	buffered := BufferedRequest{Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body}
	b := buffered.encodeHead(r.Policy.DeadlineHeader, remainingMs)
	stream := r.Stream
	switch {
	case stream != nil && stream.Length >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(stream.Length, 10) + "\r\n\r\n")
		b.Write(r.Body)
	case stream != nil || len(r.Trailer) > 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if len(r.Body) > 0 {
			b.Write(http1msg.AppendChunkHeader(nil, len(r.Body)))
			b.Write(r.Body)
			b.WriteString("\r\n")
		}
		if stream == nil {
			b.Write(http1msg.AppendLastChunk(nil, r.Trailer))
		}
	default:
		if len(r.Body) > 0 || r.ExplicitLength {
			b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
		}
		b.WriteString("\r\n")
		b.Write(r.Body)
	}
	return b.Bytes()
}

// streamBufferSize is the size in bytes of the buffer of one direction of a stream.
const streamBufferSize = 16 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// ErrRequestBodyTooLong means that a request body is larger than RequestStream.MaxBytes.
var ErrRequestBodyTooLong = errors.New("the body is larger than it may be")

// RequestStream is a request body that is forwarded as it arrives. The first attempt that claims it owns it for good:
// it cannot be sent again.
type RequestStream struct {
	Body     *http1msg.Body
	Length   int64 // of the complete body, Request.Body included; -1 is unknown
	MaxBytes int64 // that may follow Request.Body; -1 is no bound
	// BeforeRead is called before each read, to set its deadline.
	BeforeRead func()
	// Abort ends a read that waits for the client.
	Abort func()

	claimed atomic.Bool
	aborted atomic.Bool   // by finish: the rest of the body is not needed
	done    chan struct{} // closed once nothing reads Body any more, if it was claimed
	err     error         // that ended reading, other than io.EOF; set before done is closed
}

// NewRequestStream returns a stream of a body of length bytes (-1: unknown). beforeRead is called before each read,
// and abort ends a read that waits for the client.
func NewRequestStream(b *http1msg.Body, length int64, beforeRead, abort func()) *RequestStream {
	return &RequestStream{
		Body:       b,
		Length:     length,
		MaxBytes:   -1,
		BeforeRead: beforeRead,
		Abort:      abort,
		done:       make(chan struct{}),
	}
}

// Claimed reports whether the body has been claimed.
func (s *RequestStream) Claimed() bool { return s.claimed.Load() }

// Claim claims the body, for an attempt, or for no attempt to read it any more. It reports whether this call did.
func (s *RequestStream) Claim() bool { return s.claimed.CompareAndSwap(false, true) }

// Done returns a channel that is closed once a claimed body is not read any more.
func (s *RequestStream) Done() <-chan struct{} { return s.done }

// Err returns the error that ended reading from the client. It is valid once Done is closed; nil is the end of the
// body, or that no more of it was needed.
func (s *RequestStream) Err() error { return s.err }

// finish waits until nothing reads from the client any more.
func (s *RequestStream) finish(e *exchange) {
	if e.bodyWritten != nil {
		select {
		case <-e.bodyWritten:
		default:
			s.aborted.Store(true)
			e.conn.SetWriteDeadline(time.Unix(1, 0))
			s.Abort()
			<-e.bodyWritten
			s.err = nil // not the client's failure: Abort ended the read
		}
	}
	close(s.done)
}

// clientFailed reports whether reading the body from the client failed. written is exchange.bodyWritten.
func (s *RequestStream) clientFailed(bodyWritten <-chan struct{}) bool {
	select {
	case <-bodyWritten:
		return s.err != nil
	default:
		return false
	}
}
