package route

import (
	"slices"
	"strings"
)

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
