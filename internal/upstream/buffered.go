package upstream

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/siteconfig"
)

const (
	maxResponseBytes = siteconfig.MaxBodyBytes + 64<<10 // limit for a response, its head and framing included
	probeTimeout     = 250 * time.Millisecond           // limit for a health check, including opening a connection
)

// This file makes exchanges whose request and response are buffered completely, and in which only a 200
// response is a success. The product uses them for health checks. SendBuffered is for tests and package
// bench/quietfleet.

// BufferedRequest is a small request to an endpoint. SendBuffered adds the header field with the time that is
// left for the request.
type BufferedRequest struct {
	Method string
	URI    string
	Host   string
	Header http.Header // end-to-end headers
	Body   []byte
}

// BufferedResponse is a 200 response of an endpoint, with its complete body.
type BufferedResponse struct {
	Header http.Header
	Body   []byte
}

// SendBuffered makes one attempt, as core.AttemptFunc describes, and takes the request as an additional
// argument. The Response of its result is a *BufferedResponse. Only tests and package bench/quietfleet call it;
// requests of clients are sent by Send.
func (p *Pool) SendBuffered(
	ctx context.Context, attempt *core.AttemptContext, request *BufferedRequest,
) engine.AttemptResult {
	c, remainingMs, status := p.acquire(ctx, attempt)
	if c == nil {
		return p.newResult(status)
	}
	return p.roundTrip(ctx, c, request.encode(remainingMs), &p.forwarded,
		func(keepConn bool) { p.release(c, attempt, keepConn) })
}

// acquire returns a connection on which an attempt may be written now, and the milliseconds that are left for
// the attempt. If there is no such connection, c is nil, and status is the status of the attempt.
func (p *Pool) acquire(
	ctx context.Context, attempt *core.AttemptContext,
) (c *Conn, remainingMs int64, status balancer.Status) {
	c, err := p.Get(ctx, attempt.Target.(*Target))
	if err != nil {
		return nil, 0, p.noConnStatus(ctx, err)
	}
	if attempt.OnAbort != nil && !attempt.OnAbort(func() { c.Conn.Close() }) {
		p.releaseUnused(c, attempt)
		return nil, 0, balancer.NotSent
	}
	now := p.options.Clock.Now()
	remainingMs = (attempt.Deadline - now) / 1000
	if remainingMs < 1 || !attempt.ClaimSend(now) {
		p.releaseUnused(c, attempt)
		return nil, 0, balancer.NotSent
	}
	return c, remainingMs, balancer.OK
}

// release ends an attempt's use of a connection. The connection returns to the pool if keepConn is set, which
// means that the exchange on it is complete, and the attempt was not aborted. Otherwise release closes the
// connection.
func (p *Pool) release(c *Conn, attempt *core.AttemptContext, keepConn bool) {
	if attempt.ReleaseConn != nil && !attempt.ReleaseConn() {
		keepConn = false
	}
	if keepConn {
		p.Put(c)
	} else {
		p.Discard(c)
	}
}

// releaseUnused ends an attempt's use of a connection to which the attempt has written nothing.
func (p *Pool) releaseUnused(c *Conn, attempt *core.AttemptContext) {
	if attempt.ReleaseConn != nil && !attempt.ReleaseConn() {
		p.Discard(c)
		return
	}
	p.putUnused(c)
}

// Paths and texts of health checks, as the document PROTOCOL specifies them.
const (
	healthPath       = "/-/healthy"
	loadReportPath   = "/-/load"
	loadReportPrefix = "TEXT " // starts a load report, and is followed by pairs name=value
)

// Probe makes a health check. It requests a load report if the pool expects load reports, and the health path
// otherwise.
func (target *Target) Probe() engine.AttemptResult {
	p := target.pool
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := p.getForProbe(ctx, target)
	if err != nil {
		return p.newResult(p.noConnStatus(ctx, err))
	}
	request := BufferedRequest{Method: http.MethodGet, URI: healthPath, Host: target.endpoint.Address}
	if len(p.options.LoadFields) > 0 {
		request.URI = loadReportPath
	}
	keepConn := false
	result := p.roundTrip(ctx, c, request.encode(0), nil, func(reusable bool) { keepConn = reusable })
	expectsReport := len(p.options.LoadFields) > 0
	if result.Status == balancer.OK && expectsReport {
		result.Load = parseLoad(p.options.LoadFields, string(result.Response.(*BufferedResponse).Body))
	}
	mayBeSecondResponse := result.Status == balancer.OK && expectsReport && result.Load == nil
	switch {
	case keepConn && !mayBeSecondResponse:
		p.putAfterProbe(c, result.Load != nil)
	case mayBeSecondResponse:
		p.discardAfterMissingReport(c)
	default:
		p.Discard(c)
	}
	return result
}

// newResult returns an attempt result with a status, observed now.
func (p *Pool) newResult(status balancer.Status) engine.AttemptResult {
	return engine.AttemptResult{Status: status, ObservedAt: p.options.Clock.Now()}
}

// roundTrip writes a request and reads its response. It calls release once, with keepConn set if the request
// and the response are complete and the connection can carry another request. It increments writtenCount,
// unless that is nil, once the request is written completely.
func (p *Pool) roundTrip(ctx context.Context, c *Conn, encodedRequest []byte, writtenCount *atomic.Uint64,
	release func(keepConn bool)) engine.AttemptResult {
	stopCloseOnCancel := context.AfterFunc(ctx, func() { c.Conn.Close() })
	c.limitedReader.N = maxResponseBytes
	n, err := c.inspectAndWrite(encodedRequest)
	if err != nil {
		stopCloseOnCancel()
		release(false)
		if n < len(encodedRequest) {
			return p.newResult(balancer.ConnectFailed) // its last byte was not written, so the endpoint did not run it
		}
		return p.newResult(balancer.Reset)
	}
	if writtenCount != nil {
		writtenCount.Add(1)
	}
	response, reusable, err := p.readOwnResponse(c)
	result := p.newResult(balancer.Reset)
	release(stopCloseOnCancel() && reusable && p.nothingFollows(c))
	if err != nil {
		return result
	}
	switch {
	case response.statusCode == http.StatusOK:
		result.Status = balancer.OK
		result.Response = &response.BufferedResponse
	case provesNeverRan(response.statusCode, response.Header):
		result.Status = balancer.Rejected
	default:
		result.Status = balancer.Error
	}
	if p.options.LoadInResponses {
		result.Load = parseLoad(p.options.LoadFields, response.Header.Get(http1msg.FieldLoadReport))
	}
	return result
}

// readOwnResponse reads the response to the request in flight. It discards a second response to the previous
// request if that arrives first. It reports whether the connection may be used again.
func (p *Pool) readOwnResponse(c *Conn) (response *parsedResponse, reusable bool, err error) {
	response, err = c.readResponse()
	if err != nil {
		return nil, false, err
	}
	digest := digestHead(response.statusCode, response.Header) + digestBody(response.Body)
	if c.isSecondResponse(digest) {
		p.recordRepeatedResponse(c)
		c.limitedReader.N = maxResponseBytes
		response, err = c.readResponse()
		return response, false, err
	}
	c.lastDigest = digest
	return response, !response.closeAfter, nil
}

// requestHeadSize is the initial size in bytes of the buffer for a request head. The buffer grows for larger
// heads.
const requestHeadSize = 512

// encodeHead encodes the start of a request, up to the header fields that frame its body. If deadlineField is
// not empty and remainingMs is positive, the head contains that field with remainingMs as its value.
func (r *BufferedRequest) encodeHead(deadlineField string, remainingMs int64) *bytes.Buffer {
	b := &bytes.Buffer{}
	b.Grow(requestHeadSize + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(b) // writing to memory does not fail
	if remainingMs > 0 && deadlineField != "" {
		b.WriteString(deadlineField + ": " + strconv.FormatInt(remainingMs, 10) + "\r\n")
	}
	return b
}

// encode encodes the request in one piece. The head states remainingMs, the milliseconds that are left for the
// request, unless that is 0.
func (r *BufferedRequest) encode(remainingMs int64) []byte {
	b := r.encodeHead(http1msg.FieldDeadline, remainingMs)
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
