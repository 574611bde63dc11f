package upstream

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/upload"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/monotime"
)

// ErrRequestBodyTooLong means that a request body is larger than RequestStream.MaxBytes allows.
var ErrRequestBodyTooLong = errors.New("the request body is larger than allowed")

// bodyOwner is who may read a streamed body.
type bodyOwner = int32

const (
	unclaimed bodyOwner = iota // the first attempt that claims the body
	claimed                    // the attempt that has claimed it
	withheld                   // no attempt
)

// RequestStream is a request body that is forwarded while it arrives. The first attempt that claims the body
// owns it permanently, since the body cannot be sent a second time.
type RequestStream struct {
	Body     *http1msg.Body
	Length   int64 // of the complete body, including Request.Body; -1: unknown
	MaxBytes int64 // maximum number of bytes after Request.Body; -1: no limit
	// BeforeRead is called before each read of Body, and sets the read deadline.
	BeforeRead func()
	// Abort interrupts a read of Body that waits for the client.
	Abort  func()
	Client BodyClient // may be nil

	awaitsClient atomic.Bool  // a read of Body is pending
	received     atomic.Int64 // bytes that have been read from Body
	forwarded    atomic.Int64 // bytes of the body that have been written to the endpoint

	mu            sync.Mutex
	tracker       *upload.Tracker
	socketUnknown bool // Client.Socket has returned upload.UnknownSocket, and is not called again
	end           bodyEnd

	owner   atomic.Int32  // bodyOwner
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
		tracker:    upload.NewTracker(length),
		done:       make(chan struct{}),
	}
}

// Claimed reports whether an attempt has claimed the body.
func (s *RequestStream) Claimed() bool { return s.owner.Load() == claimed }

// Claim claims the body for an attempt. It reports whether the attempt may read it: only the first one may, unless the
// body is withheld.
func (s *RequestStream) Claim() bool { return s.owner.CompareAndSwap(unclaimed, claimed) }

// Withhold prevents that an attempt reads the body. It reports false if an attempt has claimed it before.
func (s *RequestStream) Withhold() bool {
	return s.owner.CompareAndSwap(unclaimed, withheld) || s.owner.Load() == withheld
}

// ObserveArrival records at the instant now whether the last byte of the body has arrived, as long as no attempt has
// claimed the body. The frontend calls it repeatedly, since the request's time counts while it waits for an attempt.
func (s *RequestStream) ObserveArrival(now monotime.Micros) {
	if !s.Claimed() {
		s.observe(now, upload.Unknown)
	}
}

// WithholdIfExpired withholds the body of a request whose time, Request.ResponseTimeout, is over at the instant now, as
// far as its body has been observed. It reports whether no attempt has claimed the body, nor will.
func (s *RequestStream) WithholdIfExpired(now monotime.Micros, request *Request) bool {
	if request.ResponseTimeout == 0 {
		return false
	}
	due := s.startOfTime(request.Policy.TimeFromLastByte) + clock.Micros(request.ResponseTimeout)
	return now >= due && s.Withhold()
}

// read waits for bytes of Body if none have arrived, and reads all that have arrived, so that they are written to the
// endpoint at once.
func (s *RequestStream) read(b []byte) (n int, err error) {
	s.awaitsClient.Store(true)
	n, err = s.Body.Read(b)
	s.awaitsClient.Store(false)
	for err == nil && n < len(b) && s.Body.Buffered() > 0 {
		var count int
		count, err = s.Body.Read(b[n:])
		n += count
	}
	s.received.Add(int64(n))
	return n, err
}

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
