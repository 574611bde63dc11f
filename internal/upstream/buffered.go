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
	maxResponseBytes = siteconfig.MaxBodyBytes + 64<<10 // of a response, its head and framing included
	probeTimeout     = 250 * time.Millisecond           // of a health check, from its connection to its response
)

// This file makes exchanges whose request and response are read completely, with a 200 response as the only success.
// The product uses them for health checks; SendBuffered serves tests and package bench/quietfleet.

// BufferedRequest is a small request to an endpoint. SendBuffered adds the header of its remaining time.
type BufferedRequest struct {
	Method string
	URI    string
	Host   string
	Header http.Header // end-to-end headers
	Body   []byte
}

// BufferedResponse is a 200 response of an endpoint.
type BufferedResponse struct {
	Header http.Header
	Body   []byte
}

// SendBuffered makes one attempt (core.AttemptFunc, but for the request). The Response of its result is a
// *BufferedResponse. Only tests and package bench/quietfleet call it: clients' requests are forwarded by Send.
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

// acquire returns a connection for an attempt that may be sent now, and the milliseconds that are left for it; or no
// connection, and the status of the attempt.
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

// release ends an attempt's use of a connection. It is returned to the pool if keep is set, since the exchange on it is
// complete, and the attempt was not aborted; otherwise it is closed.
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

// releaseUnused ends an attempt's use of a connection on which nothing was written.
func (p *Pool) releaseUnused(c *Conn, attempt *core.AttemptContext) {
	if attempt.ReleaseConn != nil && !attempt.ReleaseConn() {
		p.Discard(c)
		return
	}
	p.putUnused(c)
}

// Names of the health check in PROTOCOL.
const (
	healthPath       = "/-/healthy"
	loadReportPath   = "/-/load"
	loadReportPrefix = "TEXT " // of a load report, before its pairs name=value
)

// Probe makes a health check: it requests a load report, or the health path where there are no load reports.
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

func (p *Pool) newResult(status balancer.Status) engine.AttemptResult {
	return engine.AttemptResult{Status: status, ObservedAt: p.options.Clock.Now()}
}

// roundTrip writes a request and reads its response. The connection is released, and kept if both are complete. A
// request that is written completely is counted in written.
func (p *Pool) roundTrip(ctx context.Context, c *Conn, encodedRequest []byte, writtenCount *atomic.Uint64,
	release func(keepConn bool)) engine.AttemptResult {
	stopCloseOnCancel := context.AfterFunc(ctx, func() { c.Conn.Close() })
	c.readLimit.N = maxResponseBytes
	n, err := c.inspectAndWrite(encodedRequest)
	if err != nil {
		stopCloseOnCancel()
		release(false)
		if n < len(encodedRequest) {
			return p.newResult(balancer.ConnectFailed) // its last byte was not written, so it never ran
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
	code := response.statusCode
	unavailable := code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout
	switch {
	case code == http.StatusOK:
		result.Status = balancer.OK
		result.Response = &response.BufferedResponse
	case unavailable && response.Header.Get(http1msg.FieldNeverRan) == "1":
		result.Status = balancer.Rejected
	default:
		result.Status = balancer.Error
	}
	if p.options.LoadInResponses {
		result.Load = parseLoad(p.options.LoadFields, response.Header.Get(http1msg.FieldLoadReport))
	}
	return result
}

// readOwnResponse reads the response to the request in flight, behind a second response to the request before it. It
// reports whether the connection may be used again.
func (p *Pool) readOwnResponse(c *Conn) (response *parsedResponse, reusable bool, err error) {
	response, err = c.readResponse()
	if err != nil {
		return nil, false, err
	}
	digest := digestHead(response.statusCode, response.Header) + digestBody(response.Body)
	if c.isSecondResponse(digest) {
		p.recordRepeatedResponse(c)
		c.readLimit.N = maxResponseBytes
		response, err = c.readResponse()
		return response, false, err
	}
	c.lastDigest = digest
	return response, !response.closeAfter, nil
}

// requestHeadSize is how many bytes are allocated for the head of a request. A larger head grows the buffer.
const requestHeadSize = 512

// encodeHead encodes the start of a request, up to the fields that frame its body, with the time that is left for it
// in a header, if any.
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

// encode encodes the request in one piece, with the time that is left for it in milliseconds, if any.
func (r *BufferedRequest) encode(remainingMs int64) []byte {
	b := r.encodeHead(http1msg.FieldDeadline, remainingMs)
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
