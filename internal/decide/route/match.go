package route

import (
	"slices"
	"strings"
)

// The results of Match for a request that no pattern matches.
const (
	NotFound         = -1 // no pattern matches the host, path and headers
	MethodNotAllowed = -2 // a pattern matches the host, path and headers, but no such pattern allows the method
)

// Match returns the index of the most specific pattern that matches a request, or NotFound or MethodNotAllowed. The
// host and the path must be in the form that NormalizeHost and NormalizePath return. Match searches the
// patterns of the exact host first, then those of its suffixes, the longest first, and then the patterns
// without a host. It allocates no memory. Its time is proportional to the number of segments in the path, to
// the number of labels in the host, and to the number of patterns that differ only in parameters, methods or
// headers.
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

// search is the state of one call of Match.
type search struct {
	method  string
	headers map[string][]string
	result  int // result of Match for the patterns that were tried so far
}

// walk searches the subtree of a node for the most specific entry that matches the rest of the path, and reports
// whether there is one. atEnd is true if no segment of the path is left.
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

// matchEntries sets the result to the first entry that matches the headers and the method, and reports whether
// there is such an entry. If an entry matches the headers only, the result is MethodNotAllowed.
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
		s.result = MethodNotAllowed
	}
	return false
}

// matchHeaders reports whether the headers of the request meet all conditions.
func (s *search) matchHeaders(conditions []HeaderCondition) bool {
	for _, h := range conditions {
		values := s.headers[h.Name]
		if len(values) == 0 || h.Value != "" && values[0] != h.Value {
			return false
		}
	}
	return true
}
