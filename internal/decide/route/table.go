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

// Table finds the route of a request. Make one with New; it may be used by many at once.
type Table struct {
	exactHosts   map[string]*node // by host
	hostSuffixes map[string]*node // by what follows "*."
	anyHost      *node
	parameters   []map[string]int // of each pattern, the places of its named segments
}

// node is the end of some segments, where paths go on or patterns end.
type node struct {
	literals      map[string]*node
	parameter     *node
	exactEntries  []entry // patterns whose path ends here, the most specific first
	prefixEntries []entry // patterns that take all from here on
}

type entry struct {
	index         int
	methods       []string
	headers       []Header
	valuedHeaders int // headers that must have a value
}

// New makes a table of patterns, or says which is wrong: a *PatternError or a *ConflictError.
func New(patterns []Pattern) (*Table, error) {
	t := &Table{exactHosts: map[string]*node{}, hostSuffixes: map[string]*node{}, parameters: make([]map[string]int, len(patterns))}
	for i := range patterns {
		p := &patterns[i]
		if key, reason := p.validate(); reason != "" {
			return nil, &PatternError{i, key, reason}
		}
		root := t.hostNode(p.Host)
		end, prefix, parameters := root.insertPath(p.Path)
		t.parameters[i] = parameters
		added := entry{index: i, methods: slices.Clone(p.Methods), headers: slices.Clone(p.Headers)}
		for _, h := range added.headers {
			if h.Value != "" {
				added.valuedHeaders++
			}
		}
		entries := &end.exactEntries
		if prefix {
			entries = &end.prefixEntries
		}
		position := len(*entries)
		for j := range *entries {
			switch other := &(*entries)[j]; {
			case added.moreSpecificThan(other):
				position = min(position, j)
			case !other.moreSpecificThan(&added) && added.overlaps(other):
				return nil, &ConflictError{other.index, i}
			}
		}
		*entries = slices.Insert(*entries, position, added)
	}
	return t, nil
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

// root returns the tree of a pattern's host.
func (t *Table) hostNode(host string) *node {
	if host == "" {
		if t.anyHost == nil {
			t.anyHost = &node{}
		}
		return t.anyHost
	}
	nodes := t.exactHosts
	if suffix, ok := strings.CutPrefix(host, "*."); ok {
		nodes, host = t.hostSuffixes, suffix
	}
	if nodes[host] == nil {
		nodes[host] = &node{}
	}
	return nodes[host]
}

// extend goes along a pattern's path, making what is missing.
func (n *node) insertPath(path string) (end *node, prefix bool, parameters map[string]int) {
	if path == "" {
		return n, true, nil
	}
	path, prefix = strings.CutSuffix(path, "/*")
	if prefix && path == "" {
		return n, true, nil
	}
	rest, last := path[1:], false
	for position := 0; !last; position++ {
		var segment string
		segment, rest, last = cutSegment(rest)
		if name, ok := parameterName(segment); ok {
			if parameters == nil {
				parameters = map[string]int{}
			}
			parameters[name] = position
			if n.parameter == nil {
				n.parameter = &node{}
			}
			n = n.parameter
			continue
		}
		if n.literals == nil {
			n.literals = map[string]*node{}
		}
		if n.literals[segment] == nil {
			n.literals[segment] = &node{}
		}
		n = n.literals[segment]
	}
	return n, prefix, parameters
}

// before says whether e is more specific than o, of the same host and path.
func (e *entry) moreSpecificThan(o *entry) bool {
	if e.valuedHeaders != o.valuedHeaders {
		return e.valuedHeaders > o.valuedHeaders
	}
	if len(e.headers) != len(o.headers) {
		return len(e.headers) > len(o.headers)
	}
	return len(e.methods) > 0 && len(o.methods) == 0
}

// meets says whether one request could fit both.
func (e *entry) overlaps(o *entry) bool {
	if len(e.methods) > 0 && len(o.methods) > 0 &&
		!slices.ContainsFunc(e.methods, func(m string) bool { return slices.Contains(o.methods, m) }) {
		return false
	}
	for _, h := range e.headers {
		for _, other := range o.headers {
			if h.Name == other.Name && h.Value != "" && other.Value != "" && h.Value != other.Value {
				return false
			}
		}
	}
	return true
}

// Named returns the place, from 0, of a named segment in a pattern's path; Segment tells what stands there.
func (t *Table) ParameterIndex(index int, name string) (position int, ok bool) {
	position, ok = t.parameters[index][name]
	return position, ok
}

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
