// Package http1msg implements the framing of HTTP/1.1 messages (RFC 9112) strictly. It checks message heads,
// determines where a body ends, reads and writes chunked bodies, and knows which header fields are hop-by-hop.
// Servers and clients use it alike. It must not import packages that know clients, endpoints or routes, nor
// decide what a message means.
package http1msg

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// MaxHeaderFields is the maximum number of header fields of a request. Each field costs an endpoint work, and
// most servers have a limit of their own that is not much higher: a request that is rejected here does not cost
// an attempt.
const MaxHeaderFields = 100

// SingletonHeaders are the header fields that identify the sender, the target, the idempotency key, the
// deadline or the end of a message. Each of them may occur at most once in a head. The Connection field must
// not name them (RFC 9110 section 7.6.1): a field that it names is removed on the way to the endpoint, which
// could then not recognize a retry, for example. The names are in canonical form.
var SingletonHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Authorization": true, "Traceparent": true,
	FieldIdempotencyKey: true, FieldRequestID: true, FieldClass: true, FieldTenant: true, FieldObject: true,
	FieldDeadline: true, FieldRetry: true, FieldWorkHint: true, "X-Props": true,
}

// HeadError is the error for a request that is rejected because of its head.
type HeadError struct {
	Status int // status code of the response
	Reason string
}

// Error returns why the head was rejected.
func (e *HeadError) Error() string { return e.Reason }

// errorf returns a *HeadError with a formatted reason.
func errorf(status int, format string, args ...any) error {
	return &HeadError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// ErrLineEnd is the error for a head with a line that does not end with CR LF. Some recipients take a lone LF
// for the end of a line and others do not, so that they see different requests.
var ErrLineEnd = &HeadError{http.StatusBadRequest, "a line of the head does not end with CR LF"}

// FindHeadEnd returns the length of the head at the start of b, including its empty line, or 0 if the head is
// incomplete. An earlier call has examined the first scanned bytes of b. next is the value of scanned for the
// next call.
func FindHeadEnd(b []byte, scanned int) (n, next int, err error) {
	for {
		i := bytes.IndexByte(b[scanned:], '\n')
		if i < 0 {
			return 0, len(b), nil
		}
		scanned += i
		if scanned == 0 || b[scanned-1] != '\r' {
			return 0, scanned, ErrLineEnd
		}
		scanned++
		if scanned >= 4 && b[scanned-3] == '\n' || scanned == 2 {
			return scanned, scanned, nil
		}
	}
}

// CheckHead returns the first error in a request's head as a *HeadError. The lines of the head must end with CR
// LF. CheckHead is stricter than http.ReadRequest, which enforces the rest of RFC 9112: it rejects heads that
// two recipients could interpret differently. extraSingletons are fields that are handled like
// SingletonHeaders.
func CheckHead(head []byte, extraSingletons map[string]bool) error {
	line, rest, _ := bytes.Cut(head, crlf)
	method, target, version := splitRequestLine(line)
	if err := checkRequestLine(method, target, version); err != nil {
		return err
	}
	fields := headFields{extraSingletons: extraSingletons}
	for n := 0; len(rest) > len(crlf); n++ {
		line, rest, _ = bytes.Cut(rest, crlf)
		if n == MaxHeaderFields {
			return errorf(http.StatusRequestHeaderFieldsTooLarge, "over %d fields", MaxHeaderFields)
		}
		if err := fields.add(line); err != nil {
			return err
		}
	}
	switch {
	case fields.hasLength && fields.hasEncoding:
		return errorf(http.StatusBadRequest, "both Content-Length and Transfer-Encoding")
	case version == "HTTP/1.1" && !fields.seen["Host"]:
		return errorf(http.StatusBadRequest, "Host is missing")
	case fields.seen["Host"] && target[0] != '/' && !targetMatchesHost(target, fields.host):
		// According to RFC 9112 section 3.2.2 the target takes precedence. A server that prefers Host would
		// serve another site.
		return errorf(http.StatusBadRequest, "the target and Host name two hosts")
	case fields.hasEncoding && version == "HTTP/1.0":
		return errorf(http.StatusBadRequest, "HTTP/1.0 has no Transfer-Encoding")
	}
	return nil
}

// checkRequestLine returns the first error in the method, target or version of a request line.
func checkRequestLine(method, target []byte, version string) error {
	isInvisible := func(r rune) bool { return r <= ' ' || r > '~' }
	switch {
	case !isToken(method):
		return errorf(http.StatusBadRequest, "the method is no token")
	case len(target) == 0 || bytes.ContainsFunc(target, isInvisible):
		return errorf(http.StatusBadRequest, "the target makes no sense")
	case version == "HTTP/1.1" || version == "HTTP/1.0":
		return nil
	case strings.HasPrefix(version, "HTTP/"):
		return errorf(http.StatusHTTPVersionNotSupported, "this version of HTTP is not spoken here")
	}
	return errorf(http.StatusBadRequest, "that is no HTTP")
}

// headFields is the state of CheckHead: which header fields have occurred so far.
type headFields struct {
	extraSingletons map[string]bool
	seen            map[string]bool // singleton fields that have occurred; nil until the first one
	host            []byte          // value of the Host field
	hasLength       bool            // Content-Length has occurred
	hasEncoding     bool            // Transfer-Encoding has occurred
}

// isSingleton reports whether a field may occur at most once, by its canonical name.
func (f *headFields) isSingleton(key string) bool {
	return SingletonHeaders[key] || f.extraSingletons[key]
}

// add adds a field line. It returns an error if the line is invalid, or conflicts with the field lines before
// it.
func (f *headFields) add(line []byte) error {
	name, value, found := bytes.Cut(line, colon)
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return errorf(http.StatusBadRequest, "a field is folded over lines (RFC 9112 section 5.2)")
	case !found:
		return errorf(http.StatusBadRequest, "a field has no colon")
	case !isToken(name):
		return errorf(http.StatusBadRequest, "%.40q is no name of a field (RFC 9112 section 5.1)", name)
	case bytes.ContainsFunc(value, isControl):
		return errorf(http.StatusBadRequest, "%s has a control character", name)
	}
	key := http.CanonicalHeaderKey(string(name))
	switch key {
	case "Content-Length":
		f.hasLength = true
		if !isDigits(bytes.Trim(value, " \t")) {
			return errorf(http.StatusBadRequest, "Content-Length is no number")
		}
	case "Transfer-Encoding":
		f.hasEncoding = true
	case "Host":
		f.host = bytes.Trim(value, " \t")
	case "Connection":
		if err := f.checkConnection(value); err != nil {
			return err
		}
	}
	if !f.isSingleton(key) {
		return nil
	}
	if f.seen[key] {
		return errorf(http.StatusBadRequest, "%s stands twice", key)
	}
	if f.seen == nil {
		f.seen = map[string]bool{}
	}
	f.seen[key] = true
	return nil
}

// checkConnection returns an error if the value of a Connection field names a singleton field.
func (f *headFields) checkConnection(value []byte) error {
	for option := range bytes.SplitSeq(value, comma) {
		key := http.CanonicalHeaderKey(string(bytes.Trim(option, " \t")))
		if f.isSingleton(key) {
			return errorf(http.StatusBadRequest, "Connection must not name %s: it is not of this connection only", key)
		}
	}
	return nil
}

// isDigits reports whether b is a non-empty sequence of decimal digits.
func isDigits(b []byte) bool {
	return len(b) > 0 && !bytes.ContainsFunc(b, func(r rune) bool { return r < '0' || r > '9' })
}

var (
	crlf  = []byte("\r\n")
	colon = []byte(":")
	comma = []byte(",")
)

// splitRequestLine splits a request line at its first and last space. If it has fewer than two spaces, method
// is the line.
func splitRequestLine(line []byte) (method, target []byte, version string) {
	first := bytes.IndexByte(line, ' ')
	last := bytes.LastIndexByte(line, ' ')
	if first < 0 || first == last {
		return line, nil, ""
	}
	return line[:first], line[first+1 : last], string(line[last+1:])
}

// targetMatchesHost reports whether a request target names the given host. A target that is not in absolute
// form matches any host.
func targetMatchesHost(target, host []byte) bool {
	_, rest, found := bytes.Cut(target, []byte("://"))
	if !found {
		return true
	}
	if i := bytes.IndexAny(rest, "/?#"); i >= 0 {
		rest = rest[:i]
	}
	return bytes.EqualFold(rest, host)
}

// IsHopByHop reports whether a header field concerns a single connection only (RFC 9110 section 7.6.1). name is
// its canonical name, and connection has the values of the Connection field.
func IsHopByHop(name string, connection []string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return listContains(connection, name)
}

// HasClose reports whether the values of the Connection field contain the option close.
func HasClose(connection []string) bool { return listContains(connection, "close") }

// listContains reports whether a comma-separated list, which may be spread over several values, contains an
// option.
func listContains(fields []string, option string) bool {
	for _, v := range fields {
		for listed := range strings.SplitSeq(v, ",") {
			if equalFold(strings.Trim(listed, " \t"), option) {
				return true
			}
		}
	}
	return false
}

// equalFold reports whether a and b are equal, ignoring case.
func equalFold(a, b string) bool { return strings.EqualFold(a, b) }

// isToken reports whether b is a token (RFC 9110 section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenChar[c] {
			return false
		}
	}
	return len(b) > 0
}

// IsFieldValue reports whether s is valid as the value of a header field (RFC 9110 section 5.5).
func IsFieldValue(s string) bool { return !strings.ContainsFunc(s, isControl) }

// IsToken reports whether s is a token (RFC 9110 section 5.6.2). Methods and field names are tokens.
func IsToken(s string) bool { return isToken([]byte(s)) }

// isTokenChar has true at the bytes that a token may contain: tchar of RFC 9110 section 5.6.2.
var isTokenChar = func() (isChar [256]bool) {
	for c := '0'; c <= '9'; c++ {
		isChar[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		isChar[c] = true
		isChar[c-'a'+'A'] = true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		isChar[c] = true
	}
	return isChar
}()

// isControl reports whether r is a character that a field value must not contain: a control character other
// than tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
