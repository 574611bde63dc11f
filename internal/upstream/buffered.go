package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/siteconfig"
)

const (
	maxResponseBytes = siteconfig.MaxBodyBytes + 64<<10 // with its head and framing
	probeTimeout     = 250 * time.Millisecond
)

// BufferedRequest is a small request as it is forwarded to an endpoint, without the header of its remaining time.
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
// *BufferedResponse.
func (p *Pool) SendBuffered(ctx context.Context, t *core.AttemptContext, m *BufferedRequest) engine.AttemptResult {
	c, left, status := p.acquire(ctx, t)
	if c == nil {
		return p.result(status)
	}
	return p.roundTrip(ctx, c, m.encode(left), &p.forwarded, func(keep bool) { p.release(c, t, keep) })
}

// acquire returns a connection for an attempt that may be sent now, and the milliseconds that are left for it; or no
// connection, and the status of the attempt.
func (p *Pool) acquire(ctx context.Context, t *core.AttemptContext) (c *Conn, leftMs int64, status balancer.Status) {
	c, err := p.Get(ctx, t.Target.(*Target))
	if err != nil {
		return nil, 0, p.noConnStatus(ctx, err)
	}
	if t.OnAbort != nil && !t.OnAbort(func() { c.Conn.Close() }) {
		p.releaseUnused(c, t)
		return nil, 0, balancer.NotSent
	}
	now := p.options.Clock.Now()
	leftMs = (t.Deadline - now) / 1000
	if leftMs < 1 || !t.ClaimSend(now) {
		p.releaseUnused(c, t)
		return nil, 0, balancer.NotSent
	}
	return c, leftMs, balancer.OK
}

// release ends an attempt's use of a connection, which is kept if the exchange on it is complete and it was not
// aborted.
func (p *Pool) release(c *Conn, t *core.AttemptContext, keep bool) {
	if t.ReleaseConn != nil && !t.ReleaseConn() {
		keep = false
	}
	if keep {
		p.Put(c)
	} else {
		p.Discard(c)
	}
}

// releaseUnused ends an attempt's use of a connection on which nothing was written.
func (p *Pool) releaseUnused(c *Conn, t *core.AttemptContext) {
	if t.ReleaseConn != nil && !t.ReleaseConn() {
		p.Discard(c)
		return
	}
	p.putUnused(c)
}

// Probe requests the load of an endpoint, or its health where there are no load reports.
func (to *Target) Probe() engine.AttemptResult {
	p := to.pool
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	// A probe may go where a second answer may still come: it is known by its report.
	c, _, err := p.getConn(ctx, to, true)
	if err != nil {
		return p.result(p.noConnStatus(ctx, err))
	}
	answered := c.lastResponse
	m := BufferedRequest{Method: http.MethodGet, URI: "/-/healthy", Host: to.addr}
	if len(p.options.LoadFields) > 0 {
		m.URI = "/-/load"
	}
	keep := false
	r := p.roundTrip(ctx, c, m.encode(0), nil, func(whole bool) { keep = whole })
	if r.Status == balancer.OK && len(p.options.LoadFields) > 0 {
		r.Load = parseLoad(p.options.LoadFields, string(r.Response.(*BufferedResponse).Body))
		keep = keep && r.Load != nil // else it was the answer to something else, perhaps, and its own may follow
	} else {
		answered = time.Now() // what tells nothing may have been another's
	}
	if keep {
		p.putAfterResponse(c, answered)
	} else {
		p.Discard(c)
	}
	return r
}

func (p *Pool) result(status balancer.Status) engine.AttemptResult {
	return engine.AttemptResult{Status: status, ObservedAt: p.options.Clock.Now()}
}

// roundTrip writes a request and reads its response. The connection is released, and kept if both are complete. A
// request that is written completely is counted in written.
func (p *Pool) roundTrip(ctx context.Context, c *Conn, text []byte, written *atomic.Uint64,
	release func(keep bool)) engine.AttemptResult {
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	c.readLimit.N = maxResponseBytes
	n, err := c.Write(text)
	if err != nil {
		stop()
		release(false)
		if n < len(text) {
			return p.result(balancer.ConnectFailed) // its last byte was not written, so it never ran
		}
		return p.result(balancer.Reset)
	}
	if written != nil {
		written.Add(1)
	}
	a, err := c.readResponse()
	r := p.result(balancer.Reset)
	release(stop() && err == nil && !a.closeAfter && c.reader.Buffered() == 0)
	if err != nil {
		return r
	}
	switch {
	case a.statusCode == http.StatusOK:
		r.Status = balancer.OK
		r.Response = &a.BufferedResponse
	case (a.statusCode == http.StatusServiceUnavailable || a.statusCode == http.StatusGatewayTimeout) &&
		a.Header.Get("X-Never-Ran") == "1":
		r.Status = balancer.Rejected
	default:
		r.Status = balancer.Error
	}
	if p.options.LoadInResponses {
		r.Load = parseLoad(p.options.LoadFields, a.Header.Get("Endpoint-Load-Metrics"))
	}
	return r
}

const (
	maxInterimResponses = 8                      // answers 1xx ahead of the one that counts
	maxResponseStall    = 100 * time.Millisecond // an answer that has begun is whole within this
)

var (
	errAmbiguousLength   = errors.New("nothing tells for sure where the answer ends")
	errResponseTooLarge  = errors.New("the answer is too large")
	errMalformedResponse = errors.New("the answer is no HTTP/1")
)

// parsedResponse is a complete response.
type parsedResponse struct {
	BufferedResponse
	statusCode int
	closeAfter bool // the endpoint closes the connection after it
}

// readResponse reads a complete response. One that ends early, whose length is given in two ways, or that only the
// end of the connection ends, is an error: nothing but what the endpoint made for the request may pass for its
// response. http.ReadResponse would hide that it had both a length and chunks.
func (c *Conn) readResponse() (*parsedResponse, error) {
	for range maxInterimResponses {
		c.SetReadDeadline(time.Time{})
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		c.SetReadDeadline(time.Now().Add(maxResponseStall))
		a, err := c.readHead()
		if err != nil {
			return nil, err
		}
		if a.statusCode < 200 {
			continue
		}
		a.Body, err = c.readBody(a)
		c.SetReadDeadline(time.Time{})
		return a, err
	}
	return nil, errResponseTooLarge
}

// readHead reads a status line and headers.
func (c *Conn) readHead() (*parsedResponse, error) {
	text := textproto.NewReader(c.reader)
	line, err := text.ReadLine()
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	a := &parsedResponse{}
	if a.statusCode, err = strconv.Atoi(code); err != nil || len(code) != 3 || a.statusCode < 100 ||
		version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, errMalformedResponse
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	a.Header = http.Header(header)
	a.closeAfter = version == "HTTP/1.0"
	for _, v := range a.Header["Connection"] {
		a.closeAfter = a.closeAfter || strings.Contains(strings.ToLower(v), "close")
	}
	return a, nil
}

// readBody reads the body that the head announces.
func (c *Conn) readBody(a *parsedResponse) ([]byte, error) {
	lengths := a.Header["Content-Length"]
	encodings := a.Header["Transfer-Encoding"]
	switch {
	case len(lengths) == 1 && len(encodings) == 0:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return nil, err
		}
		if n > siteconfig.MaxBodyBytes {
			return nil, errResponseTooLarge
		}
		body := make([]byte, n)
		_, err = io.ReadFull(c.reader, body)
		return body, err
	case len(lengths) == 0 && len(encodings) == 1 && strings.EqualFold(encodings[0], "chunked"):
		body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.reader), siteconfig.MaxBodyBytes+1))
		if err == nil && len(body) > siteconfig.MaxBodyBytes {
			err = errResponseTooLarge
		}
		if err == nil {
			_, err = textproto.NewReader(c.reader).ReadMIMEHeader() // the trailer
		}
		return body, err
	case len(lengths) == 0 && len(encodings) == 0 && (a.statusCode == http.StatusNoContent || a.statusCode == http.StatusNotModified):
		return nil, nil
	}
	return nil, errAmbiguousLength
}

// encodeHead encodes the start of a request, up to the fields that frame its body, with the time that is left for it
// in a header, if any.
func (m *BufferedRequest) encodeHead(deadline string, leftMs int64) *bytes.Buffer {
	b := &bytes.Buffer{}
	b.Grow(512 + len(m.Body))
	b.WriteString(m.Method + " " + m.URI + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	_ = m.Header.Write(b) // writing to memory does not fail
	if leftMs > 0 && deadline != "" {
		b.WriteString(deadline + ": " + strconv.FormatInt(leftMs, 10) + "\r\n")
	}
	return b
}

// encode encodes the request in one piece, with the time that is left for it in milliseconds, if any.
func (m *BufferedRequest) encode(leftMs int64) []byte {
	b := m.encodeHead("X-Expires-In-Ms", leftMs)
	if len(m.Body) > 0 || m.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(m.Body)
	return b.Bytes()
}

// parseLoad reads a report, TEXT name=value, name=value, into the order of fields. A figure that is missing
// or makes no sense is NaN, never zero; a report without any sound figure is none.
func parseLoad(fields []string, text string) []float32 {
	text = strings.TrimPrefix(strings.TrimSpace(text), "TEXT ")
	load := make([]float32, len(fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	any := false
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 32)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		for i, f := range fields {
			if f == strings.TrimSpace(name) {
				load[i] = float32(v)
				any = true
			}
		}
	}
	if !any {
		return nil
	}
	return load
}
