// Package http1msg is the framing of HTTP/1.1 messages (RFC 9112), strictly: what may stand in a head, where a body ends,
// which fields are of one connection only. It reads what comes on a connection and decides nothing of it; it knows
// neither clients nor endpoints.
package http1msg

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// MaxHeaderFields is the most fields that a request's head may have. Each costs an endpoint work, and most servers have
// a bound of their own not far above: what is turned away here costs nobody an attempt.
const MaxHeaderFields = 100

// SingletonHeaders are the fields that tell who asks, for what, with which key, how long, and where a message ends. Each
// stands in a head once at most, and none may be named in Connection (RFC 9110 section 7.6.1): it would go missing on
// the way to the endpoint, which would then not know a repeat for one. Names are in their canonical form.
var SingletonHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Authorization": true, "Idempotency-Key": true,
	"X-Trace-Id": true, "X-Qos": true, "X-Customer": true, "X-Object": true, "X-Expires-In-Ms": true,
	"X-Second-Try": true, "X-Size-Hint": true, "X-Props": true, "Traceparent": true,
}

// HeadError says what is wrong with a message.
type HeadError struct {
	Status int // that a request with it is answered with
	Reason string
}

func (e *HeadError) Error() string { return e.Reason }

func errorf(code int, format string, args ...any) error {
	return &HeadError{Status: code, Reason: fmt.Sprintf(format, args...)}
}

// ErrLineEnd is of a head of which a line does not end with CR LF. A lone LF ends a line for some readers and not for
// others: whoever disagrees sees another request.
var ErrLineEnd = &HeadError{http.StatusBadRequest, "a line of the head does not end with CR LF"}

// FindHeadEnd returns the length of the head that b begins with, its empty line included, or 0 while it is not whole. Up to
// from it has been looked at before; next is from for the next call.
func FindHeadEnd(b []byte, from int) (n, next int, err error) {
	for {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return 0, len(b), nil
		}
		from += i
		if from == 0 || b[from-1] != '\r' {
			return 0, from, ErrLineEnd
		}
		from++
		if from >= 4 && b[from-3] == '\n' || from == 2 {
			return from, from, nil
		}
	}
}

// CheckHead says what is wrong with a request's head, whose lines end with CR LF, as an *Error: it holds it to RFC 9112
// more strictly than http.ReadRequest, which goes by the rest. Where two readers could understand it differently, it is
// turned away. also are fields that are decisive beside those that always are.
func CheckHead(head []byte, extraSingletons map[string]bool) error {
	line, rest, _ := bytes.Cut(head, crlf)
	method, target, version := splitRequestLine(line)
	switch {
	case !isToken(method):
		return errorf(http.StatusBadRequest, "the method is no token")
	case len(target) == 0 || bytes.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r > '~' }):
		return errorf(http.StatusBadRequest, "the target makes no sense")
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		if strings.HasPrefix(version, "HTTP/") {
			return errorf(http.StatusHTTPVersionNotSupported, "this version of HTTP is not spoken here")
		}
		return errorf(http.StatusBadRequest, "that is no HTTP")
	}
	var seen map[string]bool
	var host []byte
	lengths, encodings := 0, 0
	for n := 0; len(rest) > len(crlf); n++ {
		line, rest, _ = bytes.Cut(rest, crlf)
		if n == MaxHeaderFields {
			return errorf(http.StatusRequestHeaderFieldsTooLarge, "over %d fields", MaxHeaderFields)
		}
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
			lengths++
			if v := bytes.Trim(value, " \t"); len(v) == 0 || bytes.ContainsFunc(v, func(r rune) bool { return r < '0' || r > '9' }) {
				return errorf(http.StatusBadRequest, "Content-Length is no number")
			}
		case "Transfer-Encoding":
			encodings++
		case "Host":
			host = bytes.Trim(value, " \t")
		case "Connection":
			for option := range bytes.SplitSeq(value, comma) {
				if named := http.CanonicalHeaderKey(string(bytes.Trim(option, " \t"))); SingletonHeaders[named] || extraSingletons[named] {
					return errorf(http.StatusBadRequest, "Connection must not name %s: it is not of this connection only", named)
				}
			}
		}
		if SingletonHeaders[key] || extraSingletons[key] {
			if seen[key] {
				return errorf(http.StatusBadRequest, "%s stands twice", key)
			}
			if seen == nil {
				seen = map[string]bool{}
			}
			seen[key] = true
		}
	}
	switch {
	case lengths > 0 && encodings > 0:
		return errorf(http.StatusBadRequest, "both Content-Length and Transfer-Encoding")
	case version == "HTTP/1.1" && !seen["Host"]:
		return errorf(http.StatusBadRequest, "Host is missing")
	case seen["Host"] && target[0] != '/' && !targetMatchesHost(target, host):
		// RFC 9112 section 3.2.2 goes by the target; who goes by Host serves another site.
		return errorf(http.StatusBadRequest, "the target and Host name two hosts")
	case encodings > 0 && version == "HTTP/1.0":
		return errorf(http.StatusBadRequest, "HTTP/1.0 has no Transfer-Encoding")
	}
	return nil
}

var (
	crlf  = []byte("\r\n")
	colon = []byte(":")
	comma = []byte(",")
)

// requestLine takes a request line apart: exactly one space stands between its parts.
func splitRequestLine(line []byte) (method, target []byte, version string) {
	a, b := bytes.IndexByte(line, ' '), bytes.LastIndexByte(line, ' ')
	if a < 0 || a == b {
		return line, nil, ""
	}
	return line[:a], line[a+1 : b], string(line[b+1:])
}

// sameHost says whether a target in absolute form, if it is one, names a host.
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

// IsHopByHop says whether a field concerns one connection only, by its canonical name and by what Connection names.
func IsHopByHop(name string, connection []string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return listContains(connection, name)
}

// HasClose says whether Connection asks for the connection's end behind the message.
func HasClose(connection []string) bool { return listContains(connection, "close") }

// names says whether a list of words, over several fields, has one.
func listContains(fields []string, option string) bool {
	for _, v := range fields {
		for named := range strings.SplitSeq(v, ",") {
			if equalFold(strings.Trim(named, " \t"), option) {
				return true
			}
		}
	}
	return false
}

func equalFold(a, b string) bool { return strings.EqualFold(a, b) }

// isToken says whether a text is a token (RFC 9110 section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenChar[c] {
			return false
		}
	}
	return len(b) > 0
}

// IsFieldValue says whether a text may be a field's value (RFC 9110 section 5.5).
func IsFieldValue(s string) bool { return !strings.ContainsFunc(s, isControl) }

// IsToken says whether a text is a token (RFC 9110 section 5.6.2), as methods and names of fields are.
func IsToken(s string) bool { return isToken([]byte(s)) }

var tokenChar = func() (is [256]bool) {
	for c := '0'; c <= '9'; c++ {
		is[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		is[c], is[c-'a'+'A'] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		is[c] = true
	}
	return is
}()

// isControl says whether a field's value must not have a character: all of CTL but the tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
