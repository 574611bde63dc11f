package route

import (
	"slices"
	"strings"
)

// Table finds the route of a request. Make one with New; it may be used by several goroutines at once.
type Table struct {
	exactHosts   map[string]*node // by host
	hostSuffixes map[string]*node // by what follows "*."
	anyHost      *node
	parameters   []map[string]int // by pattern: the index of each parameter's segment
}

// node is the node of a prefix tree that a number of segments leads to.
type node struct {
	literals      map[string]*node
	parameter     *node
	exactEntries  []entry // patterns whose path ends here, the most specific first
	prefixEntries []entry // patterns that match all paths from here on, the same
}

// entry is a pattern, without its host and path.
type entry struct {
	index         int
	methods       []string
	headers       []Header
	valuedHeaders int // headers that must have a value
}

// New returns a table of patterns, or a *PatternError or *ConflictError.
func New(patterns []Pattern) (*Table, error) {
	t := &Table{
		exactHosts:   map[string]*node{},
		hostSuffixes: map[string]*node{},
		parameters:   make([]map[string]int, len(patterns)),
	}
	for i := range patterns {
		if err := t.insert(i, &patterns[i]); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// insert adds a pattern to the table.
func (t *Table) insert(index int, p *Pattern) error {
	if key, reason := p.validate(); reason != "" {
		return &PatternError{index, key, reason}
	}
	end, prefix, parameters := t.hostNode(p.Host).insertPath(p.Path)
	t.parameters[index] = parameters
	added := entry{index: index, methods: slices.Clone(p.Methods), headers: slices.Clone(p.Headers)}
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
	for i := range *entries {
		switch other := &(*entries)[i]; {
		case added.moreSpecificThan(other):
			position = min(position, i)
		case !other.moreSpecificThan(&added) && added.overlaps(other):
			return &ConflictError{other.index, index}
		}
	}
	*entries = slices.Insert(*entries, position, added)
	return nil
}

// hostNode returns the root of a pattern's host, and makes it if need be.
func (t *Table) hostNode(host string) *node {
	if host == "" {
		if t.anyHost == nil {
			t.anyHost = &node{}
		}
		return t.anyHost
	}
	nodes := t.exactHosts
	if suffix, ok := strings.CutPrefix(host, "*."); ok {
		nodes = t.hostSuffixes
		host = suffix
	}
	if nodes[host] == nil {
		nodes[host] = &node{}
	}
	return nodes[host]
}

// insertPath returns the node at the end of a pattern's path, and makes what is missing on the way. It returns
// also whether the path is a prefix, and the index of each parameter's segment.
func (n *node) insertPath(path string) (end *node, prefix bool, parameters map[string]int) {
	if path == "" {
		return n, true, nil
	}
	path, prefix = strings.CutSuffix(path, "/*")
	if prefix && path == "" {
		return n, true, nil
	}
	for position, segment := range strings.Split(path[1:], "/") {
		name, ok := parameterName(segment)
		if !ok {
			n = n.literalChild(segment)
			continue
		}
		if parameters == nil {
			parameters = map[string]int{}
		}
		parameters[name] = position
		if n.parameter == nil {
			n.parameter = &node{}
		}
		n = n.parameter
	}
	return n, prefix, parameters
}

// literalChild returns the node that a literal segment leads to, and makes it if need be.
func (n *node) literalChild(segment string) *node {
	if n.literals == nil {
		n.literals = map[string]*node{}
	}
	if n.literals[segment] == nil {
		n.literals[segment] = &node{}
	}
	return n.literals[segment]
}

// moreSpecificThan reports whether an entry is more specific than another of the same host and path.
func (e *entry) moreSpecificThan(other *entry) bool {
	if e.valuedHeaders != other.valuedHeaders {
		return e.valuedHeaders > other.valuedHeaders
	}
	if len(e.headers) != len(other.headers) {
		return len(e.headers) > len(other.headers)
	}
	return len(e.methods) > 0 && len(other.methods) == 0
}

// overlaps reports whether one request could match both entries.
func (e *entry) overlaps(other *entry) bool {
	sharesMethod := func(method string) bool { return slices.Contains(other.methods, method) }
	if len(e.methods) > 0 && len(other.methods) > 0 && !slices.ContainsFunc(e.methods, sharesMethod) {
		return false
	}
	for _, h := range e.headers {
		for _, o := range other.headers {
			if h.Name == o.Name && h.Value != "" && o.Value != "" && h.Value != o.Value {
				return false
			}
		}
	}
	return true
}

// ParameterIndex returns the index, from 0, of a parameter's segment in a pattern's path; Segment returns its
// value in a request's.
func (t *Table) ParameterIndex(index int, name string) (position int, ok bool) {
	position, ok = t.parameters[index][name]
	return position, ok
}
