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

const (
	// holdTime is how long a body of unknown length is waited for to be held: one that comes in parts over a longer
	// time goes on as it comes.
	bodyBufferTimeout = 20 * time.Millisecond
	// copyBuffer is what is held of an answer that streams.
	copyBufferSize = 48 << 10
)

// hold takes in what is held of a request's body, if it may be.
func (x *exchange) bufferBody(rt *Route, out *upstream.Request, framing http1msg.Framing) error {
	switch {
	case framing.Kind == http1msg.FixedLength && rt.MaxBodyBytes > 0 && framing.Length > rt.MaxBodyBytes:
		return requestErrorf(http.StatusRequestEntityTooLarge, "the body is over %d bytes", rt.MaxBodyBytes)
	case !x.server.conns.reserveBytes(x.conn, rt.reservedBytes(framing), false):
		return &requestError{status: http.StatusServiceUnavailable, retryAfter: byteLimitRetryAfter, proxyError: "connection_limit_reached",
			reason: "refused: too many bytes of this client's requests are held"}
	}
	if err := x.readBody(rt, out, framing); err != nil {
		return err
	}
	if pipelined, _ := x.conn.buffer.Peek(x.conn.buffer.Buffered()); x.byClass && out.Stream == nil && !mayStartRequest(pipelined) {
		return requestErrorf(http.StatusBadRequest, surplusBytes)
	}
	return nil
}

// held is how many bytes of a request's body are held at most.
func (rt *Route) reservedBytes(framing http1msg.Framing) int64 {
	switch {
	case framing.Kind == http1msg.NoBody:
		return 0
	case framing.Kind == http1msg.FixedLength && framing.Length <= rt.BufferBytes:
		return framing.Length
	case framing.Kind == http1msg.FixedLength:
		return 0
	}
	return rt.BufferBytes
}

// body reads what is held of the body, and prepares what is not to be passed on as it comes. A 100 (Continue) is sent
// as soon as the request has been routed and its client is within its bounds, and no endpoint is asked for it.
func (x *exchange) readBody(rt *Route, out *upstream.Request, framing http1msg.Framing) error {
	c := x.conn
	if expect := x.request.Header.Get("Expect"); strings.EqualFold(expect, "100-continue") {
		if framing.Kind != http1msg.NoBody && x.request.ProtoAtLeast(1, 1) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // that it failed shows when reading
		}
	} else if expect != "" {
		return requestErrorf(http.StatusExpectationFailed, "Expect makes no sense")
	}
	out.Sized = x.request.Header.Get("Content-Length") != ""
	if framing.Kind == http1msg.NoBody {
		return nil
	}
	c.readLimit.N = math.MaxInt64
	body := http1msg.NewBody(c.buffer, framing)
	length := int64(-1)
	if framing.Kind == http1msg.FixedLength {
		length = framing.Length
	}
	if length < 0 || length <= rt.BufferBytes {
		deadline := time.Now().Add(RequestTimeout)
		switch {
		case x.byClass: // an endpoint begins with the last byte: going on with a part gains nothing
			deadline = deadline.Add(time.Duration(rt.reservedBytes(framing)) * time.Second / minBodyBytesPerSecond)
		case length < 0:
			deadline = time.Now().Add(bodyBufferTimeout)
		}
		var err error
		c.SetReadDeadline(deadline)
		if out.Body, err = readUpTo(body, length, rt.BufferBytes); err == io.EOF {
			out.Trailer = body.Trailer()
			if rt.MaxBodyBytes > 0 && int64(len(out.Body)) > rt.MaxBodyBytes {
				return requestErrorf(http.StatusRequestEntityTooLarge, "the body is over %d bytes", rt.MaxBodyBytes)
			}
			return nil
		}
		if err != nil && !(length < 0 && errors.Is(err, os.ErrDeadlineExceeded)) {
			return bodyReadError(err)
		}
	}
	maxBytes := int64(-1)
	if rt.MaxBodyBytes > 0 {
		if maxBytes = rt.MaxBodyBytes - int64(len(out.Body)); maxBytes < 0 {
			return requestErrorf(http.StatusRequestEntityTooLarge, "the body is over %d bytes", rt.MaxBodyBytes)
		}
	}
	idleTimeout, deadline := rt.UnsafeRules.Idle, time.Now().Add(rt.StreamTimeout)
	out.Stream = upstream.NewStream(body, length, func() {
		readDeadline := time.Now().Add(idleTimeout)
		if deadline.Before(readDeadline) {
			readDeadline = deadline
		}
		c.SetReadDeadline(readDeadline)
	}, func() { c.SetReadDeadline(expiredDeadline) })
	out.Stream.Most = maxBytes
	return nil
}

// readUpTo reads a body of a length, -1 if that is not known, up to a bound. Its error is io.EOF at the body's end, and
// nil where the bound was reached before.
func readUpTo(body *http1msg.Body, length, maxBytes int64) ([]byte, error) {
	size := maxBytes
	if length >= 0 {
		size = length
	}
	buffer := make([]byte, 0, min(size, 4<<10))
	if length >= 0 {
		buffer = make([]byte, 0, length)
	}
	for {
		if len(buffer) == cap(buffer) {
			if int64(len(buffer)) >= maxBytes && length < 0 {
				return buffer, nil
			}
			grown := make([]byte, len(buffer), max(1, min(2*int64(cap(buffer)), maxBytes)))
			if length >= 0 {
				grown = make([]byte, len(buffer), len(buffer)+1)
			}
			copy(grown, buffer)
			buffer = grown
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
