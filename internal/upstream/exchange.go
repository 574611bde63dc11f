package upstream

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
)

// bufferWindow is how long the body of a response is buffered. One that has not ended by then is streamed.
const bufferWindow = 20 * time.Millisecond

// initialBodyBuffer is the size in bytes at which the buffer of a response body of unknown length starts.
const initialBodyBuffer = 512

// maxResponseHeadBytes bounds the heads of one response, those of interim (1xx) responses included.
const maxResponseHeadBytes = 64 << 10

// Send makes one attempt (core.AttemptFunc, but for the request). The Response of its result is a *Response.
func (p *Pool) Send(ctx context.Context, attempt *core.AttemptContext, request *Request) engine.AttemptResult {
	c, remainingMs, status := p.acquire(ctx, attempt)
	if c == nil {
		return p.newResult(status)
	}
	stream := request.Stream
	if stream != nil && !stream.Claim() {
		p.releaseUnused(c, attempt)
		return p.newResult(balancer.NotSent)
	}
	stopCloseOnCancel := context.AfterFunc(ctx, func() { c.Conn.Close() })
	e := &exchange{pool: p, conn: c, request: request, attempt: attempt}
	if stream != nil && request.ResponseTimeout > 0 {
		remainingMs = min(remainingMs, request.ResponseTimeout.Milliseconds())
	}
	result, reusable := e.run(ctx, request.encode(remainingMs))
	result.SentAt = max(e.sentAt.Load(), c.availableAt)
	if stream != nil {
		stream.finish(e)
		reusable = reusable && e.sentAt.Load() != 0 // otherwise the next request would be taken for the rest of the body
	}
	c.SetReadDeadline(time.Time{}) // that of the last wait for a part of the response
	p.release(c, attempt, stopCloseOnCancel() && reusable && p.nothingFollows(c))
	return result
}

// nothingFollows reports whether nothing was read after the response that ends an exchange.
func (p *Pool) nothingFollows(c *Conn) bool {
	if c.reader.Buffered() == 0 {
		return true
	}
	if unread, _ := c.reader.Peek(min(c.reader.Buffered(), len(requestTimeoutPrefix))); isSurplusResponse(unread) {
		p.recordSurplusBehindResponse(c)
	}
	return false
}

// exchange is one attempt: a request written to a connection, and the response read from it.
type exchange struct {
	pool        *Pool
	conn        *Conn
	request     *Request
	attempt     *core.AttemptContext
	bodyWritten chan struct{} // closed once forwardBody has written the streaming body or failed; nil for other bodies
	sentAt      atomic.Int64  // monotime.Micros: when its last byte was written; 0 is not yet

	mu            sync.Mutex
	headReadEnded bool // the response's head has been read, or could not be

	isBuffered bool           // the last response read is complete, and nothing of it has been handed on
	digest     responseDigest // of the last response read, if it was read to its end
}

// run writes the request, whose first piece is text, and reads its response. It reports whether the connection may be
// used again.
func (e *exchange) run(ctx context.Context, firstPiece []byte) (result engine.AttemptResult, reusable bool) {
	if status := e.writeRequest(firstPiece); status != balancer.OK {
		return e.pool.newResult(status), false
	}
	result, reusable = e.readResponse(ctx)
	if e.isBuffered && e.conn.isSecondResponse(e.digest) {
		e.pool.recordRepeatedResponse(e.conn)
		e.prepareForNextHead()
		result, _ = e.readResponse(ctx)
		return result, false
	}
	e.conn.lastDigest = e.digest
	return result, reusable
}

// readResponse reads a response. It reports whether the connection may be used again.
func (e *exchange) readResponse(ctx context.Context) (result engine.AttemptResult, reusable bool) {
	response, closeAfter, err := e.awaitHead()
	result = e.pool.newResult(balancer.Reset)
	if err != nil {
		result.Status = e.readFailureStatus(err)
		return result, false
	}
	policy := e.request.Policy
	e.conn.readLimit.N = math.MaxInt64
	result.Status = policy.classify(response)
	result.Load = e.takeLoadReport(response)
	result.Response = response
	result.SentAt = e.sentAt.Load()
	body := http1msg.NewBody(e.conn.reader, response.Framing)
	isReplaced := policy.ReplaceErrors && result.Status != balancer.OK
	complete, err := e.bufferBody(response, body, policy.BufferSlowResponses && !isReplaced)
	e.isBuffered = complete && err == nil
	e.digest = digestHead(response.StatusCode, response.Header)
	if e.isBuffered {
		e.digest += digestBody(response.Buffered)
	}
	switch {
	case isReplaced:
		result.Response = nil
		return result, e.isBuffered && !closeAfter
	case err != nil:
		return e.pool.newResult(balancer.Reset), false
	case !complete:
		return e.streamResponse(ctx, result, response, body, closeAfter)
	}
	result.ObservedAt = e.pool.options.Clock.Now()
	response.Trailer = body.Trailer()
	e.conn.SetReadDeadline(time.Time{})
	return result, !closeAfter
}

// awaitHead reads the head of the final response, after which writeBody sets no deadline for it any more.
func (e *exchange) awaitHead() (response *Response, closeAfter bool, err error) {
	response, closeAfter, err = e.readHead()
	e.mu.Lock()
	e.headReadEnded = true
	e.mu.Unlock()
	return response, closeAfter, err
}

// writeRequest writes the first piece of the request, and starts to forward a streaming body. It returns OK, or the
// status of an attempt that could not be written.
func (e *exchange) writeRequest(firstPiece []byte) balancer.Status {
	stream := e.request.Stream
	e.conn.readLimit.N = maxResponseHeadBytes
	e.conn.SetDeadline(time.Time{})
	n, err := e.conn.inspectAndWrite(firstPiece)
	switch {
	case errors.Is(err, errUnusable), err != nil && n < len(firstPiece) && stream == nil:
		return balancer.ConnectFailed // its last byte was not written, so it never ran
	case err != nil:
		return balancer.Reset // an endpoint may start to work with half a body
	}
	if stream == nil {
		e.pool.forwarded.Add(1)
		return balancer.OK
	}
	e.bodyWritten = make(chan struct{})
	go e.forwardBody()
	return balancer.OK
}

// readFailureStatus returns the status of an attempt whose response could not be read.
func (e *exchange) readFailureStatus(err error) balancer.Status {
	stream := e.request.Stream
	switch {
	case stream != nil && stream.clientFailed(e.bodyWritten):
		return balancer.Cancelled // the client's body ended early, not the endpoint's response
	case isTimeout(err):
		return balancer.Timeout
	}
	return balancer.Reset
}

// streamResponse hands a response that is not buffered to the client's side, and waits until that has read it. Such a
// response is final, also if it is an error: nothing of it could be sent any more if a retry failed too.
func (e *exchange) streamResponse(ctx context.Context, result engine.AttemptResult, response *Response,
	body *http1msg.Body, closeAfter bool) (_ engine.AttemptResult, reusable bool) {
	policy := e.request.Policy
	stream := &ResponseStream{
		conn:      e.conn,
		body:      body,
		digest:    newStreamDigest(e.digest),
		policy:    policy,
		remaining: math.MaxInt64,
		ended:     make(chan error, 1),
	}
	if policy.MaxBytes > 0 {
		stream.remaining = policy.MaxBytes - int64(len(response.Buffered))
	}
	if policy.BodyTimeout > 0 {
		stream.deadline = time.Now().Add(policy.BodyTimeout)
	}
	stream.digest.body.Write(response.Buffered)
	response.Stream = stream
	classifiedStatus := result.Status
	result.Status = balancer.OK
	if !e.attempt.ResponseStarted(result) {
		return e.pool.newResult(balancer.Cancelled), false
	}
	result.Response = nil // it belongs to the client's side now
	var err error
	select {
	case err = <-stream.ended:
	case <-ctx.Done(): // the client closed its connection before the response was forwarded
		return e.pool.newResult(balancer.Cancelled), false
	}
	switch {
	case body.Done():
		e.digest = stream.digest.sum()
		result.Status = classifiedStatus
		return result, !closeAfter
	case err == nil:
		result.Status = balancer.Cancelled // the client left
	case errors.Is(err, ErrResponseTooLong):
		result.Status = balancer.Error
	default:
		result.Status = balancer.Reset
	}
	return result, false
}

// startResponseTimeoutLocked starts the response's timeout, unless its head has been read.
func (e *exchange) startResponseTimeoutLocked() {
	if timeout := e.request.responseTimeout(); !e.headReadEnded && timeout > 0 {
		e.conn.SetReadDeadline(time.Now().Add(timeout))
	}
}

// prepareForNextHead prepares for the head of another response, after that of a second response to the request before.
func (e *exchange) prepareForNextHead() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn.readLimit.N = maxResponseHeadBytes
	e.conn.SetReadDeadline(time.Time{})
	e.headReadEnded = false
	if e.sentAt.Load() != 0 {
		e.startResponseTimeoutLocked()
	}
}

// readHead reads up to the head of the final response, and reports whether the endpoint closes the connection after
// it.
func (e *exchange) readHead() (*Response, bool, error) {
	response := &Response{}
	for len(response.Interim) <= maxInterimResponses {
		if _, err := e.conn.reader.Peek(1); err != nil {
			return nil, false, err
		}
		head, err := readHead(e.conn.reader)
		if err != nil {
			return nil, false, err
		}
		if head.statusCode == http.StatusSwitchingProtocols || !isValidHeader(head.Header) {
			// An upgrade was not requested, and a client could misread invalid fields.
			return nil, false, errMalformedResponse
		}
		if isInterim(head.statusCode) {
			if head.statusCode != http.StatusContinue { // that is between this hop and the endpoint
				response.Interim = append(response.Interim, InterimResponse{head.statusCode, head.Header})
			}
			continue
		}
		response.StatusCode = head.statusCode
		response.Header = head.Header
		response.Framing, err = http1msg.ResponseFraming(e.request.Method, head.statusCode, head.Header)
		return response, head.closeAfter || response.Framing.Kind == http1msg.UntilClose, err
	}
	return nil, false, errResponseTooLarge
}

// bufferBody reads as much of a response body as is buffered, and reports whether it is complete. With waitForAll, a
// body of known length is waited for until the time of the attempt ends.
func (e *exchange) bufferBody(response *Response, body *http1msg.Body, waitForAll bool) (bool, error) {
	if body.Done() {
		return true, nil
	}
	fixedLength := response.Framing.Kind == http1msg.FixedLength
	policy := e.request.Policy
	if fixedLength && response.Framing.Length > policy.MaxBuffered {
		return false, nil
	}
	initialSize := int64(initialBodyBuffer)
	if fixedLength {
		initialSize = response.Framing.Length
	}
	response.Buffered = make([]byte, 0, min(initialSize, policy.MaxBuffered)+1)
	deadline := time.Now().Add(bufferWindow)
	for int64(len(response.Buffered)) <= policy.MaxBuffered {
		response.ensureSpace(policy.MaxBuffered)
		if body.Buffered() == 0 {
			e.conn.SetReadDeadline(deadline)
		}
		n, err := body.Read(response.Buffered[len(response.Buffered):cap(response.Buffered)])
		response.Buffered = response.Buffered[:len(response.Buffered)+n]
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case isTimeout(err) && waitForAll && fixedLength && len(response.Buffered) > 0:
			e.attempt.ResponseProgress() // it is slow, but not silent
			deadline = time.Time{}
		case isTimeout(err) && waitForAll && fixedLength:
			// A head alone is not forwarded: the rest may never come, where a retry may still succeed. The time of
			// the attempt bounds this.
			deadline = time.Now().Add(bufferWindow)
		case isTimeout(err):
			return false, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// ensureSpace enlarges a full buffer of a response's body, up to maxBuffered bytes and one for the end of the body.
func (r *Response) ensureSpace(maxBuffered int64) {
	if len(r.Buffered) < cap(r.Buffered) {
		return
	}
	grown := make([]byte, len(r.Buffered), min(2*int64(cap(r.Buffered)), maxBuffered+1))
	copy(grown, r.Buffered)
	r.Buffered = grown
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// takeLoadReport returns the load report in a response, and removes it from the header.
func (e *exchange) takeLoadReport(response *Response) (load []float32) {
	if text := response.Header[http1msg.FieldLoadReport]; len(text) > 0 {
		if e.pool.options.LoadInResponses {
			load = parseLoad(e.pool.options.LoadFields, text[0])
		}
		delete(response.Header, http1msg.FieldLoadReport)
	}
	return load
}
