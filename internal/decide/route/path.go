package route

import (
	"bytes"
	"errors"
	"strings"
	"unicode/utf8"
)

// The errors of NormalizePath. Each is of a path that two servers could read differently, or that none can read.
var (
	ErrNoPath       = errors.New("the path does not begin with /")
	ErrEscape       = errors.New("a % in the path is not followed by two hexadecimal digits")
	ErrEncodedSlash = errors.New("the path has an encoded slash or backslash")
	ErrBackslash    = errors.New("the path has a backslash")
	ErrControl      = errors.New("the path has a control character")
	ErrUTF8         = errors.New("the path is no UTF-8")
	ErrAboveRoot    = errors.New("the path leads above its root")
	ErrDotParameter = errors.New("a dot segment of the path has parameters")
)

// EncodedSlashes is what becomes of an encoded slash (%2F) or backslash (%5C) in a path.
type EncodedSlashes uint8

// The rules on encoded slashes. Some servers read one as a slash and some do not, so that the same path names
// two resources: by default it is rejected. It is never decoded.
const (
	RejectEncodedSlashes EncodedSlashes = iota
	KeepEncodedSlashes
)

// NormalizePath returns the normal form of a request's path, without its query, which is matched and forwarded:
// unreserved characters are not escaped, all others that need it are, with capital digits (RFC 3986, section
// 6.2.2); dot segments, also escaped ones, are resolved (section 5.2.4) after empty segments are removed. The
// result is its own normal form. It allocates nothing if the path is in normal form and has no escapes.
func NormalizePath(path string, slashes EncodedSlashes) (string, error) {
	if path == "" || path[0] != '/' {
		return "", ErrNoPath
	}
	if isNormal(path) {
		return path, nil
	}
	out := make([]byte, 0, len(path)+8)
	decoded := make([]byte, 0, 64) // of the segment
	rest := path[1:]
	last := false
	for !last {
		var segment string
		segment, rest, last = cutSegment(rest)
		if segment == "" {
			continue
		}
		segmentStart := len(out)
		out = append(out, '/')
		decoded = decoded[:0]
		var err error
		if out, decoded, err = appendSegment(out, decoded, segment, slashes); err != nil {
			return "", err
		}
		name, _, parameters := strings.Cut(string(decoded), ";")
		if name == "." || name == ".." {
			if parameters {
				return "", ErrDotParameter // "/a/..;x/b": some servers drop the parameter first
			}
			out = out[:segmentStart]
			if name == ".." {
				i := bytes.LastIndexByte(out, '/')
				if i < 0 {
					return "", ErrAboveRoot
				}
				out = out[:i]
			}
			if last {
				out = append(out, '/')
			}
		}
	}
	if path[len(path)-1] == '/' && (len(out) == 0 || out[len(out)-1] != '/') || len(out) == 0 {
		out = append(out, '/')
	}
	return string(out), nil
}

// appendSegment appends a segment's normal form to out, and the segment without escapes to decoded.
func appendSegment(out, decoded []byte, segment string, slashes EncodedSlashes) ([]byte, []byte, error) {
	for i := 0; i < len(segment); i++ {
		c := segment[i]
		switch {
		case c == '%':
			if i+2 >= len(segment) {
				return nil, nil, ErrEscape
			}
			high := hexValue(segment[i+1])
			low := hexValue(segment[i+2])
			if high > 15 || low > 15 {
				return nil, nil, ErrEscape
			}
			i += 2
			c = high<<4 | low
			switch {
			case c < ' ' || c == 0x7f:
				return nil, nil, ErrControl
			case (c == '/' || c == '\\') && slashes == RejectEncodedSlashes:
				return nil, nil, ErrEncodedSlash
			case isUnreserved(c):
				out = append(out, c)
			default:
				out = appendEscaped(out, c)
			}
		case c == '\\':
			return nil, nil, ErrBackslash
		case c < ' ' || c == 0x7f:
			return nil, nil, ErrControl
		case isPathChar[c]:
			out = append(out, c)
		default:
			out = appendEscaped(out, c)
		}
		decoded = append(decoded, c)
	}
	if !utf8.Valid(decoded) {
		return nil, nil, ErrUTF8
	}
	return out, decoded, nil
}

// isNormal reports whether a path is certainly in normal form; it may be so even if the result is false.
func isNormal(path string) bool {
	for i := 0; i < len(path); i++ {
		switch c := path[i]; {
		case c == '/':
			if i+1 < len(path) && (path[i+1] == '/' || path[i+1] == '.') {
				return false
			}
		case !isPathChar[c]:
			return false
		}
	}
	return true
}

// cutSegment cuts the first segment off a path without its first slash, and reports whether it was the last.
func cutSegment(path string) (segment, rest string, last bool) {
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i], path[i+1:], false
	}
	return path, "", true
}

// Segment returns the n-th segment of a path in normal form, from 0; "" if there are fewer.
func Segment(path string, n int) string {
	rest := strings.TrimPrefix(path, "/")
	for last := false; !last; n-- {
		var segment string
		segment, rest, last = cutSegment(rest)
		if n == 0 {
			return segment
		}
	}
	return ""
}

// NormalizeHost returns the normal form of a Host header, which is matched: without its port, in lower case,
// without the dot of the root. It allocates nothing if the host is in normal form.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// appendEscaped appends a byte as a percent-encoded triplet.
func appendEscaped(out []byte, c byte) []byte {
	const digits = "0123456789ABCDEF"
	return append(out, '%', digits[c>>4], digits[c&15])
}

// hexValue returns the value of a hexadecimal digit, 255 if it is none.
func hexValue(c byte) byte {
	switch {
	case '0' <= c && c <= '9':
		return c - '0'
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10
	}
	return 255
}

// isUnreserved reports whether a byte is an unreserved character (RFC 3986, section 2.3).
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// isPathChar is pchar of RFC 3986, section 3.3, but for escapes.
var isPathChar = func() (is [256]bool) {
	for c := range 256 {
		is[c] = isUnreserved(byte(c)) || c != 0 && strings.IndexByte("!$&'()*+,;=:@", byte(c)) >= 0
	}
	return is
}()
