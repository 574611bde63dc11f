// Package route decides which of the operator's routes takes a request: it knows patterns of hosts, paths, methods
// and headers, and in which order they win. It knows nothing of what a route then does, nor of sockets. A Table does
// not change once it is made, and a Match depends on nothing else.
//
// Where several routes fit, the most specific one wins, whatever their order in the file. The parts are compared in
// this order, and the first that differs settles it:
//
//  1. the host: an exact one, before a longer suffix, before a shorter one, before none;
//  2. the path, segment by segment: a literal, before a named part, before the end of a prefix (an exact path before
//     a prefix of the same segments);
//  3. headers: more that must have a value, then more that must be there;
//  4. the method: named, before any.
//
// Two routes that could take the same request and are equal in all four are an error.
package route

import (
	"fmt"
	"slices"
	"strings"
)

// Pattern says which requests a route takes. The zero Pattern takes all.
type Pattern struct {
	Host    string   // "", "name", or "*.suffix", which takes all names below the suffix
	Path    string   // "", "/exact", "/prefix/*" with all below the prefix and itself, or either with {named} segments
	Methods []string // empty is any
	Headers []Header // all must fit
}

// Header is a condition on a header of a request, of which the first value counts.
type Header struct {
	Name  string // in canonical form
	Value string // "" is any: the header must be there
}

// PatternError says what is wrong with one pattern.
type PatternError struct {
	Index  int    // of the pattern
	Key    string // of it: "host", "path", "method" or "header"
	Reason string
}

func (e *PatternError) Error() string {
	return fmt.Sprintf("route %d: %s: %s", e.Index, e.Key, e.Reason)
}

// ConflictError says that two patterns could take the same request, and that neither is the more specific.
type ConflictError struct{ First, Second int }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("routes %d and %d can take the same request, and neither is more specific", e.First, e.Second)
}

// wrong says what is wrong with a pattern by itself.
func (p *Pattern) validate() (key, reason string) {
	if host := strings.TrimPrefix(p.Host, "*."); p.Host != "" && (host == "" || host != NormalizeHost(host) || strings.ContainsAny(host, "*/ ")) {
		return "host", fmt.Sprintf("%q is neither a name in small letters without a port nor \"*.suffix\"", p.Host)
	}
	if p.Path != "" {
		if key, reason = validatePath(p.Path); reason != "" {
			return key, reason
		}
	}
	for i, m := range p.Methods {
		if m == "" || strings.ContainsFunc(m, func(r rune) bool { return r <= ' ' || r > '~' }) {
			return "method", fmt.Sprintf("%q is no method", m)
		}
		if slices.Contains(p.Methods[:i], m) {
			return "method", fmt.Sprintf("%q is named twice", m)
		}
	}
	for i, h := range p.Headers {
		if h.Name == "" {
			return "header", "a name is missing"
		}
		if slices.ContainsFunc(p.Headers[:i], func(o Header) bool { return o.Name == h.Name }) {
			return "header", fmt.Sprintf("%q is named twice", h.Name)
		}
	}
	return "", ""
}

func validatePath(path string) (key, reason string) {
	path, prefix := strings.CutSuffix(path, "*")
	if prefix && !strings.HasSuffix(path, "/") || path == "" || path[0] != '/' || strings.Contains(path, "*") {
		return "path", "must begin with /, and a * may only stand at its end, behind a /"
	}
	names := map[string]bool{}
	var literal []string
	for rest, last := path[1:], false; !last; {
		var segment string
		segment, rest, last = cutSegment(rest)
		name, ok := parameterName(segment)
		switch {
		case ok && names[name]:
			return "path", fmt.Sprintf("two parts are named {%s}", name)
		case ok:
			names[name] = true
			literal = append(literal, "x")
		case strings.ContainsAny(segment, "{}"):
			return "path", fmt.Sprintf("a named part is a whole segment, as {card}, not %q", segment)
		default:
			literal = append(literal, segment)
		}
	}
	plain := "/" + strings.Join(literal, "/")
	switch normal, err := NormalizePath(plain, KeepEncodedSlashes); {
	case err != nil:
		return "path", err.Error()
	case normal != plain:
		return "path", fmt.Sprintf("requests never have it: their paths are matched in normal form, as %q", normal)
	}
	return "", ""
}

// nameOf returns the name of a {named} segment.
func parameterName(segment string) (name string, ok bool) {
	if len(segment) < 3 || segment[0] != '{' || segment[len(segment)-1] != '}' {
		return "", false
	}
	name = segment[1 : len(segment)-1]
	return name, !strings.ContainsAny(name, "{}")
}
