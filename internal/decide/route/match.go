package route

import (
	"slices"
	"strings"
)

// The results of Match that are no route.
const (
	NotFound   = -1 // no route has this host and path, or none whose headers fit
	NotAllowed = -2 // some have, but not for this method
)

// Match returns the place of the pattern that takes a request, or why there is none. The host and the path must be
// in the form that Host and Normalize return. It allocates nothing, and takes a time that grows with the path's
// segments and the host's labels only, but for patterns that differ in nothing but named segments, methods or headers.
func (t *Table) Match(host, path, method string, headers map[string][]string) int {
	m := search{method: method, headers: headers, result: NotFound}
	rest := path[1:]
	if root := t.exactHosts[host]; root != nil && m.walk(root, rest, false) {
		return m.result
	}
	if len(t.hostSuffixes) > 0 {
		for suffix := host; ; {
			i := strings.IndexByte(suffix, '.')
			if i < 0 {
				break
			}
			suffix = suffix[i+1:]
			if root := t.hostSuffixes[suffix]; root != nil && m.walk(root, rest, false) {
				return m.result
			}
		}
	}
	if t.anyHost != nil && m.walk(t.anyHost, rest, false) {
		return m.result
	}
	return m.result
}

type search struct {
	method  string
	headers map[string][]string
	result  int
}

// walk looks for the most specific pattern from a node on, and says whether there is one. over says that no segment
// is left.
func (m *search) walk(n *node, rest string, atEnd bool) bool {
	if atEnd {
		return m.matchEntries(n.exactEntries) || m.matchEntries(n.prefixEntries)
	}
	segment, remaining, last := cutSegment(rest)
	if child := n.literals[segment]; child != nil && m.walk(child, remaining, last) {
		return true
	}
	if segment != "" && n.parameter != nil && m.walk(n.parameter, remaining, last) {
		return true
	}
	return m.matchEntries(n.prefixEntries)
}

func (m *search) matchEntries(list []entry) bool {
	for i := range list {
		e := &list[i]
		if !m.matchHeaders(e.headers) {
			continue
		}
		if len(e.methods) == 0 || slices.Contains(e.methods, m.method) {
			m.result = e.index
			return true
		}
		m.result = NotAllowed
	}
	return false
}

func (m *search) matchHeaders(headers []Header) bool {
	for _, h := range headers {
		v := m.headers[h.Name]
		if len(v) == 0 || h.Value != "" && v[0] != h.Value {
			return false
		}
	}
	return true
}
