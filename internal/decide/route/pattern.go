package route

import (
	"fmt"
	"slices"
	"strings"
)

// Pattern describes the requests that take a route. The zero Pattern matches all requests.
type Pattern struct {
	Host    string            // "name", "*.suffix" for all names below the suffix, or "" for any host
	Path    string            // "/exact", "/prefix/*" with all paths below, or "" for any; segments may be {parameters}
	Methods []string          // allowed methods; empty for any method
	Headers []HeaderCondition // conditions on headers; a request must meet all of them
}

// HeaderCondition is a condition on the first value of a request's header.
type HeaderCondition struct {
	Name  string // header name in canonical form
	Value string // required value; "" if the header must be present with any value
}

// PatternError is the error that New returns for an invalid pattern.
type PatternError struct {
	Index  int    // index of the invalid pattern
	Key    string // invalid part of the pattern: "host", "path", "method" or "header"
	Reason string
}

// Error returns a text with the pattern's index, the key and the reason.
func (e *PatternError) Error() string {
	return fmt.Sprintf("route %d: %s: %s", e.Index, e.Key, e.Reason)
}

// ConflictError is the error that New returns if two patterns could match the same request and neither of them is more
// specific.
type ConflictError struct {
	First  int // index of the first of the two patterns
	Second int // index of the second pattern
}

// Error returns a text with the indexes of both patterns.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("routes %d and %d can take the same request, and neither is more specific", e.First, e.Second)
}

// validate checks a pattern without regard to other patterns. It returns the key of the first part that is invalid, and
// the reason; both are empty if the pattern is valid.
func (p *Pattern) validate() (key, reason string) {
	if p.Host != "" && !validHost(strings.TrimPrefix(p.Host, "*.")) {
		return "host", fmt.Sprintf("%q is neither a name in small letters without a port nor \"*.suffix\"", p.Host)
	}
	if p.Path != "" {
		if reason := validatePath(p.Path); reason != "" {
			return "path", reason
		}
	}
	if reason := validateMethods(p.Methods); reason != "" {
		return "method", reason
	}
	if reason := validateHeaders(p.Headers); reason != "" {
		return "header", reason
	}
	return "", ""
}

// validHost reports whether a host, without "*.", is in the form that NormalizeHost returns.
func validHost(host string) bool {
	return host != "" && host == NormalizeHost(host) && !strings.ContainsAny(host, "*/ ")
}

// validateMethods returns why the methods of a pattern are invalid; empty if they are valid.
func validateMethods(methods []string) (reason string) {
	for i, method := range methods {
		if method == "" || strings.ContainsFunc(method, func(r rune) bool { return r <= ' ' || r > '~' }) {
			return fmt.Sprintf("%q is no method", method)
		}
		if slices.Contains(methods[:i], method) {
			return fmt.Sprintf("%q is named twice", method)
		}
	}
	return ""
}

// validateHeaders returns why the header conditions of a pattern are invalid; empty if they are valid.
func validateHeaders(headers []HeaderCondition) (reason string) {
	for i, h := range headers {
		if h.Name == "" {
			return "a name is missing"
		}
		if slices.ContainsFunc(headers[:i], func(earlier HeaderCondition) bool { return earlier.Name == h.Name }) {
			return fmt.Sprintf("%q is named twice", h.Name)
		}
	}
	return ""
}

// validatePath returns why the path of a pattern is invalid; empty if it is valid. The literal segments of the path
// must be in normal form, because the paths of requests are normalized before they are matched.
func validatePath(path string) (reason string) {
	path, isPrefix := strings.CutSuffix(path, "*")
	if isPrefix && !strings.HasSuffix(path, "/") || path == "" || path[0] != '/' || strings.Contains(path, "*") {
		return "must begin with /, and a * may only stand at its end, behind a /"
	}
	seenNames := map[string]bool{}
	var literals []string
	for _, segment := range strings.Split(path[1:], "/") {
		name, ok := parameterName(segment)
		switch {
		case ok && seenNames[name]:
			return fmt.Sprintf("two parts are named {%s}", name)
		case ok:
			seenNames[name] = true
			literals = append(literals, "x")
		case strings.ContainsAny(segment, "{}"):
			return fmt.Sprintf("a named part is a whole segment, as {card}, not %q", segment)
		default:
			literals = append(literals, segment)
		}
	}
	literalPath := "/" + strings.Join(literals, "/")
	switch normal, err := NormalizePath(literalPath, KeepEncodedSlashes); {
	case err != nil:
		return err.Error()
	case normal != literalPath:
		return fmt.Sprintf("requests never have it: their paths are matched in normal form, as %q", normal)
	}
	return ""
}

// parameterName returns the name of the parameter if a segment has the form {name}; ok is false for other segments.
func parameterName(segment string) (name string, ok bool) {
	if len(segment) < len("{x}") || segment[0] != '{' || segment[len(segment)-1] != '}' {
		return "", false
	}
	name = segment[1 : len(segment)-1]
	return name, !strings.ContainsAny(name, "{}")
}
