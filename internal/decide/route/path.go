package route

import (
	"bytes"
	"errors"
	"strings"
	"unicode/utf8"
)

// The errors of NormalizePath. A path with one of them could be read differently by two servers, or is invalid.
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

// EncodedSlashes is the treatment of an encoded slash (%2F) or backslash (%5C) in a path.
type EncodedSlashes uint8

// The treatments of encoded slashes. Some servers read one as a slash and some do not, so that the same path names two
// resources: by default it is rejected. It is never decoded.
const (
	RejectEncodedSlashes EncodedSlashes = iota
	KeepEncodedSlashes
)

// Capacities of the buffers of NormalizePath, in bytes. Longer paths grow them.
const (
	extraPathCapacity = 8  // beyond the length of the path, for characters that get escaped
	segmentCapacity   = 64 // of a decoded segment
)

// NormalizePath returns the normal form of a request's path, without its query, by which the request is matched and
// forwarded. In it, unreserved characters are not escaped, and all others that need it are, with capital digits (RFC
// 3986, section 6.2.2). Empty segments are removed, and then dot segments, escaped ones included, are resolved (section
// 5.2.4). The result is its own normal form. NormalizePath allocates nothing if the path is in normal form and has no
// escapes.
func NormalizePath(path string, slashes EncodedSlashes) (string, error) {
	if path == "" || path[0] != '/' {
		return "", ErrNoPath
	}
	if isNormal(path) {
		return path, nil
	}
	normal := make([]byte, 0, len(path)+extraPathCapacity)
	decodedSegment := make([]byte, 0, segmentCapacity) // the segment without escapes
	rest := path[1:]
	last := false
	for !last {
		var segment string
		segment, rest, last = cutSegment(rest)
		if segment == "" {
			continue
		}
		segmentStart := len(normal)
		normal = append(normal, '/')
		decodedSegment = decodedSegment[:0]
		var err error
		if normal, decodedSegment, err = appendSegment(normal, decodedSegment, segment, slashes); err != nil {
			return "", err
		}
		if normal, err = resolveDotSegment(normal, segmentStart, decodedSegment, last); err != nil {
			return "", err
		}
	}
	if path[len(path)-1] == '/' && (len(normal) == 0 || normal[len(normal)-1] != '/') || len(normal) == 0 {
		normal = append(normal, '/')
	}
	return string(normal), nil
}

// resolveDotSegment removes the segment at the end of out if it is a dot segment, together with the segment before it
// if it is "..". Any other segment stays. last is true if it is the last segment of the path, which a slash replaces.
func resolveDotSegment(normal []byte, segmentStart int, decodedSegment []byte, last bool) ([]byte, error) {
	name, _, hasParameters := strings.Cut(string(decodedSegment), ";")
	if name != "." && name != ".." {
		return normal, nil
	}
	if hasParameters {
		return nil, ErrDotParameter // "/a/..;x/b": some servers drop the parameter first
	}
	normal = normal[:segmentStart]
	if name == ".." {
		i := bytes.LastIndexByte(normal, '/')
		if i < 0 {
			return nil, ErrAboveRoot
		}
		normal = normal[:i]
	}
	if last {
		normal = append(normal, '/')
	}
	return normal, nil
}

// appendSegment appends a segment's normal form to out, and the segment without escapes to decoded.
func appendSegment(normal, decodedSegment []byte, segment string, slashes EncodedSlashes) ([]byte, []byte, error) {
	for i := 0; i < len(segment); i++ {
		c := segment[i]
		escaped := c == '%'
		if escaped {
			var ok bool
			if c, ok = unescape(segment[i:]); !ok {
				return nil, nil, ErrEscape
			}
			i += len("%41") - 1
		}
		switch {
		case !escaped && isPathChar[c]: // most characters
			normal = append(normal, c)
		case c < ' ' || c == asciiDEL:
			return nil, nil, ErrControl
		case escaped && (c == '/' || c == '\\') && slashes == RejectEncodedSlashes:
			return nil, nil, ErrEncodedSlash
		case !escaped && c == '\\':
			return nil, nil, ErrBackslash
		case isUnreserved(c):
			normal = append(normal, c)
		default:
			normal = appendEscaped(normal, c)
		}
		decodedSegment = append(decodedSegment, c)
	}
	if !utf8.Valid(decodedSegment) {
		return nil, nil, ErrUTF8
	}
	return normal, decodedSegment, nil
}

// del is the control character DEL.
const asciiDEL = 0x7f

// unescape returns the byte of the percent-encoded triplet at the start of text; ok is false if it is invalid.
func unescape(text string) (c byte, ok bool) {
	if len(text) < len("%41") {
		return 0, false
	}
	high := hexValue(text[1])
	low := hexValue(text[2])
	if high == notHex || low == notHex {
		return 0, false
	}
	return high<<bitsPerHexDigit | low, true
}

// isNormal reports whether a path is certainly in normal form. It may be in normal form even if the result is false.
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

// Segment returns the n-th segment of a path in normal form, from 0, or "" if there are fewer.
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

// NormalizeHost returns the normal form of a Host header, by which the request is matched: without its port, in lower
// case, without the dot of the root. It allocates nothing if the host is in normal form.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// appendEscaped appends a byte as a percent-encoded triplet.
func appendEscaped(dst []byte, c byte) []byte {
	const hexDigits = "0123456789ABCDEF"
	return append(dst, '%', hexDigits[c>>bitsPerHexDigit], hexDigits[c&(1<<bitsPerHexDigit-1)])
}

// bitsPerHexDigit is the number of bits of a hexadecimal digit.
const bitsPerHexDigit = 4

// notHex is the result of hexValue for a byte that is not a hexadecimal digit.
const notHex = 255

// hexValue returns the value of a hexadecimal digit, or notHex.
func hexValue(c byte) byte {
	switch {
	case '0' <= c && c <= '9':
		return c - '0'
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10
	}
	return notHex
}

// isUnreserved reports whether a byte is an unreserved character (RFC 3986, section 2.3).
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// isPathChar has the characters of pchar (RFC 3986, section 3.3) without escapes.
var isPathChar = func() (isChar [256]bool) {
	for c := range 256 {
		isChar[c] = isUnreserved(byte(c)) || c != 0 && strings.IndexByte("!$&'()*+,;=:@", byte(c)) >= 0
	}
	return isChar
}()
