package upstream

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
)

// bufferWindow is how long the body of a response is buffered. A body that has not ended by then is streamed.
const bufferWindow = 20 * time.Millisecond

// initialBodyBuffer is the initial size in bytes of the buffer for a response body of unknown length.
const initialBodyBuffer = 512

// maxResponseHeadBytes is the maximum size in bytes of the head of a response together with the interim (1xx)
// responses before it.
const maxResponseHeadBytes = 64 << 10

// Send makes one attempt, as core.AttemptFunc describes, and takes the request as an additional argument. The
// Response of its result is a *Response.
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
		e.startResponseTimer()
	}
	result, reusable := e.run(ctx, request.encode(remainingMs))
	result.SentAt = max(e.sentAt.Load(), c.availableAt)
	if stream != nil {
		reusable = e.responseTimer.stop() && reusable
		stream.finish(e)
		reusable = reusable && e.sentAt.Load() != 0 // else the next request would be read as the rest of the body
	}
	c.SetReadDeadline(time.Time{}) // clears the deadline of the last read
	p.release(c, attempt, stopCloseOnCancel() && reusable && p.nothingFollows(c))
	return result
}

// nothingFollows reports whether the read buffer is empty after the response that ends an exchange. It records
// a response in the buffer as a surplus response.
func (p *Pool) nothingFollows(c *Conn) bool {
	if c.reader.Buffered() == 0 {
		return true
	}
	if unread, _ := c.reader.Peek(min(c.reader.Buffered(), len(requestTimeoutPrefix))); isSurplusResponse(unread) {
		p.recordSurplusBehindResponse(c)
	}
	return false
}

// exchange is one attempt: a request that is written to a connection, and the response that is read from it.
type exchange struct {
	pool          *Pool
	conn          *Conn
	request       *Request
	attempt       *core.AttemptContext
	bodyWritten   chan struct{}  // closed once forwardBody has ended; nil if the body is not streamed
	sentAt        atomic.Int64   // monotime.Micros at which the last byte of the request was written; 0: not yet
	responseTimer *responseTimer // nil if the body is not streamed, or without Request.ResponseTimeout
	headRead      atomic.Bool    // the head of a final response has been read

	isBuffered bool           // the last response read is complete, and no part of it has been passed to the client
	digest     responseDigest // digest of the last response read; covers the body only if that was read to its end
}

// startResponseTimer starts the timer that bounds an attempt whose request body is streamed.
func (e *exchange) startResponseTimer() {
	e.responseTimer = &responseTimer{
		conn:        e.conn.Conn,
		clock:       e.pool.options.Clock,
		timeout:     clock.Micros(e.request.ResponseTimeout),
		startOfTime: e.startOfTime,
	}
	e.responseTimer.start()
}

// run writes the request, which starts with firstPiece, and reads its response. It reports whether the
// connection may be used again.
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

// readResponse reads one response, and reports whether the connection may be used again.
func (e *exchange) readResponse(ctx context.Context) (result engine.AttemptResult, reusable bool) {
	response, closeAfter, err := e.readHead()
	result = e.pool.newResult(balancer.Reset)
	if err != nil {
		result.Status = e.readFailureStatus(err)
		return result, false
	}
	e.headRead.Store(true)
	policy := e.request.Policy
	e.conn.limitedReader.N = math.MaxInt64
	result.Status = policy.classify(response)
	result.Load = e.takeLoadReport(response)
	result.Response = response
	result.PromisesHarmlessRetry = promisesHarmlessRetry(response)
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
		return e.pool.newResult(e.readFailureStatus(err)), false
	case !complete:
		return e.streamResponse(ctx, result, response, body, closeAfter)
	}
	result.ObservedAt = e.pool.options.Clock.Now()
	response.Trailer = body.Trailer()
	e.conn.SetReadDeadline(time.Time{})
	return result, !closeAfter
}

// writeRequest writes the first piece of the request, and starts forwarding a streaming body. It returns OK, or
// the status of the attempt if the request could not be written.
func (e *exchange) writeRequest(firstPiece []byte) balancer.Status {
	stream := e.request.Stream
	e.conn.limitedReader.N = maxResponseHeadBytes
	e.conn.SetDeadline(time.Time{})
	n, err := e.conn.inspectAndWrite(firstPiece)
	switch {
	case err != nil && e.responseTimer.hasExpired():
		return balancer.Timeout // the timer has closed the connection, not the endpoint
	case errors.Is(err, errUnusable), err != nil && n < len(firstPiece) && stream == nil:
		return balancer.ConnectFailed // its last byte was not written, so the endpoint did not run it
	case err != nil:
		return balancer.Reset // the endpoint may have started to process part of the body
	}
	if stream == nil {
		e.pool.forwarded.Add(1)
		return balancer.OK
	}
	e.bodyWritten = make(chan struct{})
	go e.forwardBody()
	return balancer.OK
}

// readFailureStatus returns the status of an attempt whose response could not be read because of err.
func (e *exchange) readFailureStatus(err error) balancer.Status {
	stream := e.request.Stream
	switch {
	case stream != nil && stream.clientFailed(e.bodyWritten):
		return balancer.Cancelled // the client's body ended early, not the endpoint's response
	case isTimeout(err), e.responseTimer.hasExpired():
		return balancer.Timeout
	}
	return balancer.Reset
}

// streamResponse passes a response that is not buffered completely to the frontend, and waits until the
// frontend has forwarded it to the client. The client receives such a response even if it is an error: a retry
// is no longer possible once part of a response has been forwarded.
func (e *exchange) streamResponse(ctx context.Context, result engine.AttemptResult, response *Response,
	body *http1msg.Body, closeAfter bool) (_ engine.AttemptResult, reusable bool) {
	if !e.responseTimer.stop() {
		return e.pool.newResult(balancer.Timeout), false
	}
	policy := e.request.Policy
	stream := &ResponseStream{
		conn:      e.conn,
		body:      body,
		digest:    newStreamDigest(e.digest),
		policy:    policy,
		remaining: math.MaxInt64,
		finished:  make(chan error, 1),
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
	result.Response = nil // owned by the frontend from now on
	var err error
	select {
	case err = <-stream.finished:
	case <-ctx.Done(): // the client closed its connection before the response was forwarded
		return e.pool.newResult(balancer.Cancelled), false
	}
	switch {
	case body.Done():
		e.digest = stream.digest.sum()
		result.Status = classifiedStatus
		return result, !closeAfter
	case err == nil:
		result.Status = balancer.Cancelled // the client closed its connection
	case errors.Is(err, ErrResponseTooLong):
		result.Status = balancer.Error
	default:
		result.Status = balancer.Reset
	}
	return result, false
}

// prepareForNextHead resets the limits for reading a head. It is called after a second response to the previous
// request was read, and before the response to the request in flight is.
func (e *exchange) prepareForNextHead() {
	e.conn.limitedReader.N = maxResponseHeadBytes
	e.conn.SetReadDeadline(time.Time{})
}

// readHead reads the interim responses and the head of the final response. It reports whether the endpoint
// closes the connection after the final response.
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
			if head.statusCode != http.StatusContinue { // 100 (Continue) concerns only the connection to the endpoint
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

// bufferBody reads a response body into response.Buffered, up to the policy's MaxBuffered bytes and for
// bufferWindow at most, and reports whether the body is complete. With waitForAll, it reads a body of known
// length for as long as the attempt lasts: until its deadline, or until its responseTimer expires.
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
			e.attempt.ResponseProgress() // the response is slow, but still arriving
			deadline = time.Time{}
		case isTimeout(err) && waitForAll && fixedLength:
			// A head without any body bytes is not forwarded: the body may never arrive, while a retry may
			// still succeed. The deadline of the attempt or its responseTimer bounds this wait.
			deadline = time.Now().Add(bufferWindow)
		case isTimeout(err):
			return false, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// ensureSpace doubles the size of the response's body buffer if it is full, up to maxBuffered bytes and one
// more, which is needed to detect the end of the body.
func (r *Response) ensureSpace(maxBuffered int64) {
	if len(r.Buffered) < cap(r.Buffered) {
		return
	}
	grown := make([]byte, len(r.Buffered), min(2*int64(cap(r.Buffered)), maxBuffered+1))
	copy(grown, r.Buffered)
	r.Buffered = grown
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// takeLoadReport removes the load report from the header of a response. It returns the report if the pool reads
// load reports from responses.
func (e *exchange) takeLoadReport(response *Response) (load []float32) {
	if text := response.Header[http1msg.FieldLoadReport]; len(text) > 0 {
		if e.pool.options.LoadInResponses {
			load = parseLoad(e.pool.options.LoadFields, text[0])
		}
		delete(response.Header, http1msg.FieldLoadReport)
	}
	return load
}
