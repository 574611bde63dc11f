package http1

import (
	"bytes"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/upstream"
)

// This file interprets requests where there are no routes: by their class, as PROTOCOL describes them. What follows,
// buffering, forwarding and responding, is the same as for routed requests (exchange.go).

const (
	// classBodyBuffer is how many bytes of a body are buffered in either direction. The time of a message up to this
	// size is that of its last byte, and of a larger one that of its first (DAYS): buffering more would delay it.
	classBodyBuffer = siteconfig.MaxBodyBytes
	// classIdleTimeout is how long a streamed message may pause. Peers write in pieces and slowly, clients at 64 kB a
	// second or more; one that pauses for longer than the longest request has failed.
	classIdleTimeout = 10 * time.Second
	// maxClassBody is the largest streamed body, twice the largest one in use (DAYS): a larger one could not arrive
	// within classStreamTimeout.
	maxClassBody = 64 << 20
	// classStreamTimeout is how long a streamed body may take: 32 MB arrive in 512 s at 64 kB a second.
	classStreamTimeout = 10 * time.Minute
	// minBodyBytesPerSecond is the slowest rate at which a buffered body may arrive.
	minBodyBytesPerSecond = 32 << 10
)

// newClassRoutes returns how the requests of each class are handled.
func (s *Server) newClassRoutes() []Route {
	policy := &upstream.ResponsePolicy{
		MaxBuffered:         classBodyBuffer,
		BufferSlowResponses: true,
		IdleTimeout:         classIdleTimeout,
		DeadlineHeader:      http1msg.FieldDeadline,
		ReplaceErrors:       true,
	}
	for code := range policy.FailureStatus {
		policy.FailureStatus[code] = code != http.StatusOK
	}
	routes := make([]Route, len(s.options.Site.Classes))
	for i, name := range s.options.Site.Classes {
		routes[i] = Route{
			Name:             name,
			Pool:             s.options.Pool,
			SafeClass:        uint8(i),
			UnsafeClass:      uint8(i),
			SafePolicy:       policy,
			UnsafePolicy:     policy,
			MaxBufferedBytes: classBodyBuffer,
			MaxBodyBytes:     maxClassBody,
			StreamTimeout:    classStreamTimeout,
			IdempotencyKey:   ValueSource{Kind: FromHeader, Name: http1msg.FieldIdempotencyKey},
			Object:           ValueSource{Kind: FromHeader, Name: http1msg.FieldObject},
		}
	}
	return routes
}

// serveByClass serves a request as PROTOCOL describes it. It reports whether the connection may serve another.
func (s *Server) serveByClass(c *conn, req *http.Request) bool {
	x := s.newExchange(c, req, "dunlinsail")
	x.byClass = true
	parsed, err := s.parseClassRequest(c, req)
	if err == nil {
		err = x.bufferBody(parsed.route, parsed.outbound, parsed.framing)
	}
	if err != nil {
		response := rejectionResponse(err)
		c.reject(response)
		if parsed.route != nil {
			s.outcomes.record(parsed.route.SafeClass, response.status)
		}
		return false
	}
	return x.forward(&parsed, "")
}

// parsedRequest is a request in the forms for the core (call) and for an endpoint (out).
type parsedRequest struct {
	route    *Route
	call     *core.Call
	outbound *upstream.Request
	framing  http1msg.Framing
}

// visibleFields are the fields whose values, if they are present, must consist of visible characters.
var visibleFields = []string{
	http1msg.FieldRequestID,
	http1msg.FieldClass,
	http1msg.FieldDeadline,
	http1msg.FieldIdempotencyKey,
}

// parseClassRequest interprets a request, or returns why it is rejected; route is nil where its class is not known.
func (s *Server) parseClassRequest(c *conn, req *http.Request) (parsed parsedRequest, err error) {
	if parsed.framing, err = http1msg.RequestFraming(req.Header); err != nil {
		return parsed, err
	}
	uri, err := originForm(req)
	if err != nil {
		return parsed, err
	}
	if err := checkVisibleFields(req); err != nil {
		return parsed, err
	}
	pathClass, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	name := req.Header.Get(http1msg.FieldClass)
	if name == "" {
		name = pathClass
	}
	class := slices.Index(s.options.Site.Classes, name)
	if class < 0 {
		return parsed, requestErrorf(http.StatusNotFound, "unknown class %q", name)
	}
	parsed.route = &s.classRoutes[class]
	if name != pathClass {
		return parsed, requestErrorf(http.StatusBadRequest, http1msg.FieldClass+" %q is not the first part of the path",
			name)
	}
	settings := &s.options.Site.Settings.Classes[class]
	if err := checkClassRequest(req, name, settings.Idempotency, parsed.framing); err != nil {
		return parsed, err
	}
	timeout := settings.ClientTimeout
	if text := req.Header.Get(http1msg.FieldDeadline); text != "" {
		if timeout, err = shortenTimeout(timeout, text, http1msg.FieldDeadline); err != nil {
			return parsed, err
		}
	}
	parsed.call = s.newClassCall(c, req, uint8(class), timeout)
	parsed.outbound = newClassUpstreamRequest(req, uri, parsed.route.SafePolicy)
	parsed.outbound.ResponseTimeout = time.Duration(parsed.call.Request.Deadline) * time.Microsecond
	return parsed, nil
}

// checkVisibleFields returns an error for a Host or a field in visibleFields with other than visible characters.
func checkVisibleFields(req *http.Request) error {
	if !isVisibleASCII(req.Host) && req.ProtoAtLeast(1, 1) {
		return requestErrorf(http.StatusBadRequest, "Host makes no sense")
	}
	for _, name := range visibleFields {
		values := req.Header[name] // http1msg.CheckHead has verified that it occurs once
		if len(values) > 0 && !isVisibleASCII(values[0]) {
			return requestErrorf(http.StatusBadRequest, "%s makes no sense", name)
		}
	}
	return nil
}

// originForm returns a request's target as a path and query.
func originForm(req *http.Request) (string, error) {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI, nil
	}
	// The absolute form; http1msg.CheckHead has verified that Host names the same host.
	if req.URL.Host == "" || req.URL.User != nil || req.URL.Scheme != "http" {
		return "", requestErrorf(http.StatusBadRequest, "the target must be a path")
	}
	return req.URL.RequestURI(), nil
}

// checkClassRequest returns an error if a request lacks what its class requires: an ID, the method, an idempotency key,
// no body for GET.
func checkClassRequest(
	req *http.Request, class string, idempotency balancer.Idempotency, framing http1msg.Framing,
) error {
	if req.Header.Get(http1msg.FieldRequestID) == "" {
		return requestErrorf(http.StatusBadRequest, http1msg.FieldRequestID+" is missing")
	}
	method := http.MethodPost
	if idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if req.Method != method && !(req.Method == http.MethodHead && method == http.MethodGet) {
		return requestErrorf(http.StatusMethodNotAllowed, "class %q takes %s", class, method)
	}
	emptyBody := framing.Kind == http1msg.NoBody || framing.Kind == http1msg.FixedLength && framing.Length == 0
	if method == http.MethodGet && !emptyBody {
		return requestErrorf(http.StatusBadRequest, "class %q takes no body", class)
	}
	if idempotency == balancer.IdempotentByKey && req.Header.Get(http1msg.FieldIdempotencyKey) == "" {
		// A repetition could not be recognized.
		return requestErrorf(http.StatusBadRequest, http1msg.FieldIdempotencyKey+" is missing")
	}
	return nil
}

// shortenTimeout returns the shorter of a timeout and the milliseconds that a request's header names.
func shortenTimeout(timeout monotime.Micros, text, header string) (monotime.Micros, error) {
	milliseconds, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, requestErrorf(http.StatusBadRequest, "%s is not a whole number of milliseconds", header)
	}
	return min(timeout, int64(min(milliseconds, math.MaxInt32))*1000), nil
}

// newClassCall returns a request for the core. Its deadline is relative to its arrival.
func (s *Server) newClassCall(c *conn, req *http.Request, class uint8, timeout monotime.Micros) *core.Call {
	call := &core.Call{
		Client:   c.client.engineClient,
		Pool:     s.options.Pool,
		ID:       req.Header.Get(http1msg.FieldRequestID),
		Response: make(chan engine.Response, 1),
		Request: balancer.Request{
			Class:     class,
			Tenant:    s.tenantIndex(req.Header.Get(http1msg.FieldTenant)),
			ObjectKey: objectKey(req.Header.Get(http1msg.FieldObject)),
			Retry:     req.Header.Get(http1msg.FieldRetry) == "1",
			Deadline:  timeout - siteconfig.ResponseMargin.Microseconds(),
		},
	}
	if hint, err := strconv.ParseInt(req.Header.Get(http1msg.FieldWorkHint), 10, 64); err == nil && hint > 0 {
		call.Request.WorkHint = hint
		call.Request.HasWorkHint = true
	}
	return call
}

// newClassUpstreamRequest returns a request for an endpoint, without its body.
func newClassUpstreamRequest(req *http.Request, uri string, policy *upstream.ResponsePolicy) *upstream.Request {
	out := &upstream.Request{
		Method: req.Method,
		URI:    uri,
		Host:   req.Host,
		Header: make(http.Header, len(req.Header)),
		Policy: policy,
	}
	connection := req.Header["Connection"]
	for name, values := range req.Header {
		switch name {
		case "Expect", "Host", http1msg.FieldNeverRan, http1msg.FieldDeadline:
			continue
		}
		if !http1msg.IsHopByHop(name, connection) {
			out.Header[name] = values
		}
	}
	return out
}

// pipelinedMethods are what a request that follows another on its connection may start with.
var pipelinedMethods = [][]byte{[]byte("GET "), []byte("POST "), []byte("HEAD ")}

// canStartRequest reports whether the bytes behind a request can be the start of the next one. Otherwise the client has
// stated a wrong length, and must not be served with the response to a part of its request.
func canStartRequest(b []byte) bool {
	return slices.ContainsFunc(pipelinedMethods, func(method []byte) bool {
		n := min(len(b), len(method))
		return bytes.Equal(b[:n], method[:n])
	})
}
