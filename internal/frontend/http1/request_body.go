package http1

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strings"
	"time"

	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/upstream"
)

// bodyBufferTimeout is how long a body of unknown length is buffered. A body that is not complete by then is
// streamed.
const bodyBufferTimeout = 20 * time.Millisecond

// bufferBody reserves bytes of the client's buffer limit for the request's body, and reads the part of the body
// that is buffered (readBody). It returns the error with which the request is rejected.
func (x *exchange) bufferBody(rt *Route, out *upstream.Request, framing http1msg.Framing) error {
	if framing.Kind == http1msg.FixedLength && rt.MaxBodyBytes > 0 && framing.Length > rt.MaxBodyBytes {
		return rt.bodyTooLarge()
	}
	if !x.server.conns.reserveBytes(x.conn, rt.bytesToReserve(framing), false) {
		return &requestError{
			status:     http.StatusServiceUnavailable,
			reason:     "refused: too many bytes of requests are held",
			retryAfter: byteLimitRetryAfter,
			proxyError: proxyErrConnectionLimit,
		}
	}
	if err := x.readBody(rt, out, framing); err != nil {
		return err
	}
	pipelined, _ := x.conn.buffer.Peek(x.conn.buffer.Buffered())
	if x.byClass && out.Stream == nil && !canStartRequest(pipelined) {
		return requestErrorf(http.StatusBadRequest, surplusBytesReason)
	}
	return nil
}

// streamedBodyBytes is how many bytes of memory a body takes that streams, with its buffers and goroutines.
const streamedBodyBytes = 48 << 10

// bytesToReserve returns the largest number of bytes of memory that a request's body may take.
func (rt *Route) bytesToReserve(framing http1msg.Framing) int64 {
	switch {
	case framing.Kind == http1msg.NoBody:
		return 0
	case framing.Kind == http1msg.FixedLength && framing.Length <= rt.MaxBufferedBytes:
		return framing.Length
	case framing.Kind == http1msg.FixedLength:
		return streamedBodyBytes
	}
	return max(rt.MaxBufferedBytes, streamedBodyBytes)
}

func (rt *Route) bodyTooLarge() error {
	return requestErrorf(http.StatusRequestEntityTooLarge, "the body is over %d bytes", rt.MaxBodyBytes)
}

// readBody reads the part of the body that is buffered, and prepares streaming the rest. A client that expects
// 100 (Continue) gets it from this process, without waiting for an endpoint: the request has been routed and the
// client is within its limits.
func (x *exchange) readBody(rt *Route, out *upstream.Request, framing http1msg.Framing) error {
	if err := x.handleExpect(framing); err != nil {
		return err
	}
	out.ExplicitLength = x.request.Header.Get("Content-Length") != ""
	if framing.Kind == http1msg.NoBody {
		return nil
	}
	x.conn.readLimit.N = math.MaxInt64
	body := http1msg.NewBody(x.conn.buffer, framing)
	length := int64(-1)
	if framing.Kind == http1msg.FixedLength {
		length = framing.Length
	}
	if length < 0 || length <= rt.MaxBufferedBytes {
		complete, err := x.readBuffered(rt, out, body, framing, length)
		if complete || err != nil {
			return err
		}
	}
	return x.streamRequestBody(rt, out, body, length)
}

// handleExpect sends the 100 (Continue) response that an Expect field requests (RFC 9110 section 10.1.1). It
// returns an error for any other expectation.
func (x *exchange) handleExpect(framing http1msg.Framing) error {
	expect := x.request.Header.Get("Expect")
	if strings.EqualFold(expect, "100-continue") {
		if framing.Kind != http1msg.NoBody && x.request.ProtoAtLeast(1, 1) {
			_, _ = io.WriteString(x.conn, "HTTP/1.1 100 Continue\r\n\r\n") // if it fails, reading the body fails
		}
	} else if expect != "" {
		return requestErrorf(http.StatusExpectationFailed, "Expect makes no sense")
	}
	return nil
}

// readBuffered reads the body into out.Body, up to the route's MaxBufferedBytes. It reports whether the body is
// complete. length is the body's length in bytes, or -1 if it is not known.
func (x *exchange) readBuffered(
	rt *Route, out *upstream.Request, body *http1msg.Body, framing http1msg.Framing, length int64,
) (complete bool, err error) {
	deadline := time.Now().Add(RequestTimeout)
	switch {
	case x.byClass: // an endpoint starts work at the last byte, so streaming gains nothing
		deadline = deadline.Add(time.Duration(rt.bytesToReserve(framing)) * time.Second / minBodyBytesPerSecond)
	case length < 0:
		deadline = time.Now().Add(bodyBufferTimeout)
	}
	x.conn.SetReadDeadline(deadline)
	out.Body, err = readBodyUpTo(body, length, rt.MaxBufferedBytes)
	if errors.Is(err, io.EOF) {
		out.Trailer = body.Trailer()
		if rt.MaxBodyBytes > 0 && int64(len(out.Body)) > rt.MaxBodyBytes {
			return false, rt.bodyTooLarge()
		}
		return true, nil
	}
	if err != nil && !(length < 0 && errors.Is(err, os.ErrDeadlineExceeded)) {
		return false, bodyReadError(err)
	}
	return false, nil
}

// streamRequestBody sets out.Stream, from which the attempt that sends the request reads the rest of the body.
func (x *exchange) streamRequestBody(rt *Route, out *upstream.Request, body *http1msg.Body, length int64) error {
	maxBytes := int64(-1)
	if rt.MaxBodyBytes > 0 {
		maxBytes = rt.MaxBodyBytes - int64(len(out.Body))
		if maxBytes < 0 {
			return rt.bodyTooLarge()
		}
	}
	c := x.conn
	idleTimeout := rt.UnsafePolicy.IdleTimeout
	deadline := time.Now().Add(rt.StreamTimeout)
	receivedBefore := c.input.arrival().Read
	extendReadDeadline := func() {
		received := c.input.arrival().Read
		c.input.turn.Transfer(int(received - receivedBefore))
		receivedBefore = received
		readDeadline := time.Now().Add(idleTimeout)
		if deadline.Before(readDeadline) {
			readDeadline = deadline
		}
		c.SetReadDeadline(x.server.boundByProcessEnd(readDeadline))
	}
	interruptRead := func() { c.SetReadDeadline(expiredDeadline) }
	out.Stream = upstream.NewRequestStream(body, length, extendReadDeadline, interruptRead)
	out.Stream.MaxBytes = maxBytes
	out.Stream.Client = newBodyClient(c)
	out.Stream.ObserveArrival(x.server.options.Clock.Now())
	return nil
}

// initialBodyBuffer is the initial size in bytes of the buffer for a body of unknown length.
const initialBodyBuffer = 4 << 10

// readBodyUpTo reads a body into memory. length is the body's length in bytes, or -1 if it is not known; a body
// of unknown length is read up to maxBytes. The error is io.EOF if the body is complete, and nil if maxBytes was
// reached first.
func readBodyUpTo(body *http1msg.Body, length, maxBytes int64) ([]byte, error) {
	size := min(maxBytes, initialBodyBuffer)
	if length >= 0 {
		size = length
	}
	buffer := make([]byte, 0, size)
	for {
		if len(buffer) == cap(buffer) {
			if int64(len(buffer)) >= maxBytes && length < 0 {
				return buffer, nil
			}
			buffer = growBodyBuffer(buffer, length, maxBytes)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err != nil || body.Done() {
			if err == nil {
				err = io.EOF
			}
			return buffer, err
		}
	}
}

// growBodyBuffer returns a larger copy of a full buffer. For a body of known length it adds one byte, which is
// needed to detect the end of the body. For a body of unknown length (-1) it doubles the buffer, up to maxBytes.
func growBodyBuffer(buffer []byte, length, maxBytes int64) []byte {
	size := max(1, min(2*int64(cap(buffer)), maxBytes))
	if length >= 0 {
		size = int64(len(buffer)) + 1
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	return grown
}
