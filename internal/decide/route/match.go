package route

import (
	"slices"
	"strings"
)

// The results of Match for a request without a route.
const (
	NotFound   = -1 // no pattern matches host, path and headers
	NotAllowed = -2 // at least one pattern matches host, path and headers, but none the method
)

// Match returns the index of the most specific pattern that matches a request, NotFound or NotAllowed. The host and the
// path must be in the form that NormalizeHost and NormalizePath return. The search goes from the exact host over its
// suffixes, the longest first, to patterns without a host. It allocates nothing. The time is proportional to the number
// of the path's segments and of the host's labels, and to the number of patterns that differ only in parameters,
// methods or headers.
func (t *Table) Match(host, path, method string, headers map[string][]string) int {
	s := search{method: method, headers: headers, result: NotFound}
	rest := path[1:]
	if root := t.exactHosts[host]; root != nil && s.walk(root, rest, false) {
		return s.result
	}
	if len(t.hostSuffixes) > 0 {
		for suffix := host; ; {
			i := strings.IndexByte(suffix, '.')
			if i < 0 {
				break
			}
			suffix = suffix[i+1:]
			if root := t.hostSuffixes[suffix]; root != nil && s.walk(root, rest, false) {
				return s.result
			}
		}
	}
	if t.anyHost != nil {
		s.walk(t.anyHost, rest, false)
	}
	return s.result
}

// search is the state of a Match.
type search struct {
	method  string
	headers map[string][]string
	result  int // of Match, as far as is known
}

// walk searches the most specific entry at and below a node for the rest of the path, and reports whether there is one.
// atEnd is true if no segment is left.
func (s *search) walk(n *node, rest string, atEnd bool) bool {
	if atEnd {
		return s.matchEntries(n.exactEntries) || s.matchEntries(n.prefixEntries)
	}
	segment, remaining, last := cutSegment(rest)
	if child := n.literals[segment]; child != nil && s.walk(child, remaining, last) {
		return true
	}
	if segment != "" && n.parameter != nil && s.walk(n.parameter, remaining, last) {
		return true
	}
	return s.matchEntries(n.prefixEntries)
}

// matchEntries sets the result to the first entry that matches headers and method, and reports whether there is one.
func (s *search) matchEntries(entries []entry) bool {
	for i := range entries {
		e := &entries[i]
		if !s.matchHeaders(e.headers) {
			continue
		}
		if len(e.methods) == 0 || slices.Contains(e.methods, s.method) {
			s.result = e.patternIndex
			return true
		}
		s.result = NotAllowed
	}
	return false
}

// matchHeaders reports whether the request meets all conditions on its headers.
func (s *search) matchHeaders(conditions []Header) bool {
	for _, h := range conditions {
		values := s.headers[h.Name]
		if len(values) == 0 || h.Value != "" && values[0] != h.Value {
			return false
		}
	}
	return true
}
