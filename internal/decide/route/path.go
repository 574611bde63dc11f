package route

import (
	"bytes"
	"errors"
	"strings"
	"unicode/utf8"
)

// The errors of NormalizePath. They reject a path that is invalid, or that two servers could interpret differently.
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

// EncodedSlashes is how NormalizePath treats an encoded slash (%2F) or backslash (%5C) in a path.
type EncodedSlashes uint8

// The treatments of encoded slashes. Some servers decode an encoded slash and others do not, so that the same
// path names different resources. Therefore a path with an encoded slash is rejected by default, and the slash
// is never decoded.
const (
	RejectEncodedSlashes EncodedSlashes = iota
	KeepEncodedSlashes
)

// Initial capacities of the buffers of NormalizePath, in bytes. The buffers grow if the path needs more.
const (
	extraPathCapacity = 8  // capacity in addition to the length of the path, for characters that get escaped
	segmentCapacity   = 64 // capacity for a decoded segment
)

// NormalizePath returns the normal form of a request's path, which must not include the query. Requests are matched and
// forwarded with the normal form. It has no escapes for unreserved characters, and the escapes of other characters have
// upper-case hexadecimal digits (RFC 3986, section 6.2.2). Empty segments are removed first, and then dot segments,
// including escaped ones, are resolved (section 5.2.4). Normalizing a normal form does not change it. NormalizePath
// allocates no memory if the path is in normal form and has no escapes.
func NormalizePath(path string, slashes EncodedSlashes) (string, error) {
	if path == "" || path[0] != '/' {
		return "", ErrNoPath
	}
	if isNormal(path) {
		return path, nil
	}
	normal := make([]byte, 0, len(path)+extraPathCapacity)
	decodedSegment := make([]byte, 0, segmentCapacity) // present segment, with its escapes decoded
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

// resolveDotSegment removes the segment that starts at segmentStart from the end of normal if it is a dot
// segment, and for ".." also the segment before it. decodedSegment is the same segment with its escapes
// decoded. last indicates the last segment of the path: if that is a dot segment, a slash replaces it.
func resolveDotSegment(normal []byte, segmentStart int, decodedSegment []byte, last bool) ([]byte, error) {
	name, _, hasParameters := strings.Cut(string(decodedSegment), ";")
	if name != "." && name != ".." {
		return normal, nil
	}
	if hasParameters {
		return nil, ErrDotParameter // some servers drop the parameter of "/a/..;x/b" and then resolve ".."
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

// appendSegment appends the normal form of a segment to normal, and the segment with its escapes decoded to
// decodedSegment.
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
		case !escaped && isPathChar[c]: // checked first, because most characters take this case
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

// asciiDEL is the ASCII control character DEL.
const asciiDEL = 0x7f

// unescape decodes the percent-encoded triplet at the start of text; ok is false if there is no valid triplet.
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

// isNormal reports whether a fast check finds that a path is in normal form. It returns false for some paths in normal
// form, such as paths with escapes.
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

// cutSegment splits a path, given without its leading slash, into its first segment and the rest after the next
// slash. last is true if there is no further segment.
func cutSegment(path string) (segment, rest string, last bool) {
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i], path[i+1:], false
	}
	return path, "", true
}

// Segment returns the n-th segment, counted from 0, of a path in normal form, or "" if the path has fewer segments.
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

// NormalizeHost returns the normal form of a Host header, with which requests are matched: in lower case, without the
// port and without the trailing dot of the DNS root. It allocates no memory if the host is in normal form.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// appendEscaped appends the percent-encoded triplet of a byte to dst.
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

// isPathChar indicates for each byte whether it may occur unescaped in a segment of a path (pchar in RFC 3986, section
// 3.3).
var isPathChar = func() (isChar [256]bool) {
	for c := range 256 {
		isChar[c] = isUnreserved(byte(c)) || c != 0 && strings.IndexByte("!$&'()*+,;=:@", byte(c)) >= 0
	}
	return isChar
}()
