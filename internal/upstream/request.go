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

// Request is an HTTP/1.1 request that is forwarded to an endpoint. It may be sent in several attempts, unless
// its body is streamed.
type Request struct {
	Method, URI, Host string
	Header            http.Header    // end-to-end header fields
	Body              []byte         // the complete body, or the buffered part of a streaming body
	Trailer           http.Header    // trailer fields of a complete body that arrived in chunks
	ExplicitLength    bool           // Content-Length is sent even if there is no body
	Stream            *RequestStream // the part of the body that follows Body; nil if Body is complete
	Policy            *ResponsePolicy
	ResponseTimeout   time.Duration // after the last byte of a streaming body; 0: ResponseTimeout of Policy
}

// responseTimeout returns the maximum time from the last byte of a streaming body to the response head.
func (r *Request) responseTimeout() time.Duration {
	return cmp.Or(r.ResponseTimeout, r.Policy.ResponseTimeout)
}

// encode encodes the head and the buffered part of the body, which are written in one piece. The head states
// remainingMs, the milliseconds that are left for the request.
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

// streamBufferSize is the size in bytes of the buffer for one direction of a stream.
const streamBufferSize = 16 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// ErrRequestBodyTooLong means that a request body is larger than RequestStream.MaxBytes allows.
var ErrRequestBodyTooLong = errors.New("the request body is larger than allowed")

// RequestStream is a request body that is forwarded while it arrives. The first attempt that claims the body
// owns it permanently, since the body cannot be sent a second time.
type RequestStream struct {
	Body     *http1msg.Body
	Length   int64 // of the complete body, including Request.Body; -1: unknown
	MaxBytes int64 // maximum number of bytes after Request.Body; -1: no limit
	// BeforeRead is called before each read of Body, and sets the read deadline.
	BeforeRead func()
	// Abort interrupts a read of Body that waits for the client.
	Abort func()

	claimed atomic.Bool
	aborted atomic.Bool   // set by finish when the rest of the body is not needed
	done    chan struct{} // closed once a claimed body is no longer read
	err     error         // error other than io.EOF that ended reading; set before done is closed
}

// NewRequestStream returns a stream that reads a body of length bytes (-1: unknown) from b. beforeRead is
// called before each read, and abort interrupts a read that waits for the client.
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

// Claim claims the body, either for an attempt or to prevent that an attempt reads it. It reports whether this
// call claimed the body, which only the first call does.
func (s *RequestStream) Claim() bool { return s.claimed.CompareAndSwap(false, true) }

// Done returns a channel that is closed once a claimed body is no longer read.
func (s *RequestStream) Done() <-chan struct{} { return s.done }

// Err returns the error that ended reading from the client. It is valid once Done is closed. nil means that the
// body was read to its end, or that the rest of it was not needed.
func (s *RequestStream) Err() error { return s.err }

// finish aborts forwarding of the body, if it has not ended, and waits until the body is no longer read.
func (s *RequestStream) finish(e *exchange) {
	if e.bodyWritten != nil {
		select {
		case <-e.bodyWritten:
		default:
			s.aborted.Store(true)
			e.conn.SetWriteDeadline(time.Unix(1, 0))
			s.Abort()
			<-e.bodyWritten
			s.err = nil // the read was ended by Abort, not by the client
		}
	}
	close(s.done)
}

// clientFailed reports whether reading the body from the client failed. bodyWritten is that of the exchange;
// the result is false until it is closed.
func (s *RequestStream) clientFailed(bodyWritten <-chan struct{}) bool {
	select {
	case <-bodyWritten:
		return s.err != nil
	default:
		return false
	}
}
