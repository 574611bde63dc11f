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

// This file parses the requests of a server without configured routes: the class that a request names selects how
// it is handled (page PROTOCOL). Buffering, forwarding and responding are the same as for routed requests
// (exchange.go).

const (
	// classBodyBuffer is how many bytes of a request or response body are buffered. A message up to this size is
	// timed at its last byte, and a larger one at its first (page DAYS): buffering more would delay a larger
	// message.
	classBodyBuffer = siteconfig.MaxBodyBytes
	// classIdleTimeout is how long a streamed message may pause. Peers write slowly and in pieces, clients at 64
	// kB a second or more; a peer that pauses for longer than the longest request takes has failed.
	classIdleTimeout = 10 * time.Second
	// maxClassBody is the largest streamed body in bytes. It is twice the largest body in use (page DAYS); a body
	// larger than this could not arrive within classStreamTimeout.
	maxClassBody = 64 << 20
	// classStreamTimeout is how long a streamed body may take: at 64 kB a second 32 MB arrive in 512 s.
	classStreamTimeout = 10 * time.Minute
	// minBodyBytesPerSecond is the lowest average rate at which a buffered body may arrive.
	minBodyBytesPerSecond = 32 << 10
)

// newClassRoutes returns the routes of a server without configured routes: one for each class, in the order of the
// settings.
func (s *Server) newClassRoutes() []Route {
	policy := &upstream.ResponsePolicy{
		MaxBuffered:         classBodyBuffer,
		BufferSlowResponses: true,
		IdleTimeout:         classIdleTimeout,
		DeadlineHeader:      http1msg.FieldDeadline,
		ReplaceErrors:       true,
		TimeFromLastByte:    true,
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

// serveByClass serves a request by its class (page PROTOCOL). It reports whether the connection may serve another
// request.
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

// parsedRequest is a parsed client request: the call that is submitted to the core, and the request that is sent
// to an endpoint (outbound).
type parsedRequest struct {
	route    *Route
	coreCall *core.Call
	outbound *upstream.Request
	framing  http1msg.Framing
}

// visibleFields are the header fields whose values must consist of visible ASCII characters if they are present.
var visibleFields = []string{
	http1msg.FieldRequestID,
	http1msg.FieldClass,
	http1msg.FieldDeadline,
	http1msg.FieldIdempotencyKey,
}

// parseClassRequest parses a request, or returns the error with which it is rejected. parsed.route is nil if the
// class of a rejected request is not known.
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
	className := req.Header.Get(http1msg.FieldClass)
	if className == "" {
		className = pathClass
	}
	class := slices.Index(s.options.Site.Classes, className)
	if class < 0 {
		return parsed, requestErrorf(http.StatusNotFound, "unknown class %q", className)
	}
	parsed.route = &s.classRoutes[class]
	if className != pathClass {
		return parsed, requestErrorf(http.StatusBadRequest, http1msg.FieldClass+" %q is not the first part of the path",
			className)
	}
	settings := &s.options.Site.Settings.Classes[class]
	if err := checkClassRequest(req, className, settings.Idempotency, parsed.framing); err != nil {
		return parsed, err
	}
	timeout := settings.ClientTimeout
	if deadlineText := req.Header.Get(http1msg.FieldDeadline); deadlineText != "" {
		if timeout, err = shortenTimeout(timeout, deadlineText, http1msg.FieldDeadline); err != nil {
			return parsed, err
		}
	}
	parsed.coreCall = s.newClassCall(c, req, uint8(class), timeout)
	parsed.outbound = newClassUpstreamRequest(req, uri, parsed.route.SafePolicy)
	parsed.outbound.ResponseTimeout = responseTimeout(timeout)
	return parsed, nil
}

// checkVisibleFields returns an error if Host or a field in visibleFields contains anything but visible ASCII
// characters.
func checkVisibleFields(req *http.Request) error {
	if !isVisibleASCII(req.Host) && req.ProtoAtLeast(1, 1) {
		return requestErrorf(http.StatusBadRequest, "Host makes no sense")
	}
	for _, name := range visibleFields {
		values := req.Header[name] // http1msg.CheckHead has verified that there is at most one value
		if len(values) > 0 && !isVisibleASCII(values[0]) {
			return requestErrorf(http.StatusBadRequest, "%s makes no sense", name)
		}
	}
	return nil
}

// originForm returns a request's target in origin form: path and query (RFC 9112 section 3.2.1).
func originForm(req *http.Request) (string, error) {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI, nil
	}
	// The target is in absolute form; http1msg.CheckHead has verified that Host names the same host.
	if req.URL.Host == "" || req.URL.User != nil || req.URL.Scheme != "http" {
		return "", requestErrorf(http.StatusBadRequest, "the target must be a path")
	}
	return req.URL.RequestURI(), nil
}

// checkClassRequest returns an error if a request does not meet the requirements of its class: a request ID, the
// method of the class, an idempotency key for classes idempotent by key, and no body in a GET or HEAD request.
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
		// Without the key an endpoint could not recognize a repeated request.
		return requestErrorf(http.StatusBadRequest, http1msg.FieldIdempotencyKey+" is missing")
	}
	return nil
}

// shortenTimeout returns the smaller of timeout and text, a number of milliseconds. header is the name of the
// header that text comes from, for the error.
func shortenTimeout(timeout monotime.Micros, text, header string) (monotime.Micros, error) {
	milliseconds, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, requestErrorf(http.StatusBadRequest, "%s is not a whole number of milliseconds", header)
	}
	return min(timeout, int64(min(milliseconds, math.MaxInt32))*1000), nil
}

// newClassCall returns the call that is submitted to the core for a request. Its deadline is relative to the
// arrival of the request; forward makes it absolute.
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
	if workHint, err := strconv.ParseInt(req.Header.Get(http1msg.FieldWorkHint), 10, 64); err == nil && workHint > 0 {
		call.Request.WorkHint = workHint
		call.Request.HasWorkHint = true
	}
	return call
}

// newClassUpstreamRequest returns the request that is sent to an endpoint, without its body. Hop-by-hop fields
// and the fields that each attempt sets itself are not copied.
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

// pipelinedMethods are the prefixes with which a pipelined request may start.
var pipelinedMethods = [][]byte{[]byte("GET "), []byte("POST "), []byte("HEAD ")}

// canStartRequest reports whether the bytes that follow a request can be the start of the next one. If not, the
// client has stated a wrong body length, and the request must be rejected: only a part of its body would be
// forwarded.
func canStartRequest(following []byte) bool {
	return slices.ContainsFunc(pipelinedMethods, func(method []byte) bool {
		n := min(len(following), len(method))
		return bytes.Equal(following[:n], method[:n])
	})
}
