package route

import (
	"slices"
	"strings"
)

// Table finds the route of a request, with a tree of path segments for each host. Create one with New. It is safe for
// concurrent use.
type Table struct {
	exactHosts   map[string]*node // by host
	hostSuffixes map[string]*node // by the suffix after "*."
	anyHost      *node            // of patterns without a host; nil if there are none
	parameters   []map[string]int // by pattern: the index of each parameter's segment
}

// node is a node of the tree: the end of a path of segments.
type node struct {
	literals      map[string]*node // children by literal segment
	parameter     *node            // child of any segment that is not empty
	exactEntries  []entry          // patterns whose path ends here, the most specific first
	prefixEntries []entry          // patterns that match all paths from here on, the most specific first
}

// entry is a pattern without its host and path.
type entry struct {
	patternIndex      int // of the pattern
	methods           []string
	headers           []Header
	exactValueHeaders int // number of headers that must have a certain value
}

// New returns a table of patterns. It fails with a *PatternError or a *ConflictError.
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

// insert adds a pattern to the table, and keeps the entries of its node in the order of specificity.
func (t *Table) insert(patternIndex int, p *Pattern) error {
	if key, reason := p.validate(); reason != "" {
		return &PatternError{patternIndex, key, reason}
	}
	end, isPrefix, parameterSegments := t.hostNode(p.Host).insertPath(p.Path)
	t.parameters[patternIndex] = parameterSegments
	added := entry{patternIndex: patternIndex, methods: slices.Clone(p.Methods), headers: slices.Clone(p.Headers)}
	for _, h := range added.headers {
		if h.Value != "" {
			added.exactValueHeaders++
		}
	}
	entries := &end.exactEntries
	if isPrefix {
		entries = &end.prefixEntries
	}
	position := len(*entries)
	for i := range *entries {
		switch other := &(*entries)[i]; {
		case added.moreSpecificThan(other):
			position = min(position, i)
		case !other.moreSpecificThan(&added) && added.overlaps(other):
			return &ConflictError{other.patternIndex, patternIndex}
		}
	}
	*entries = slices.Insert(*entries, position, added)
	return nil
}

// hostNode returns the root of the tree of a pattern's host, and creates it if it does not exist.
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

// insertPath returns the node at the end of a pattern's path, and creates the nodes that do not exist. It also reports
// whether the path is a prefix, and returns the index of each parameter's segment.
func (n *node) insertPath(path string) (end *node, isPrefix bool, parameterSegments map[string]int) {
	if path == "" {
		return n, true, nil
	}
	path, isPrefix = strings.CutSuffix(path, "/*")
	if isPrefix && path == "" {
		return n, true, nil
	}
	for segmentIndex, segment := range strings.Split(path[1:], "/") {
		name, ok := parameterName(segment)
		if !ok {
			n = n.literalChild(segment)
			continue
		}
		if parameterSegments == nil {
			parameterSegments = map[string]int{}
		}
		parameterSegments[name] = segmentIndex
		if n.parameter == nil {
			n.parameter = &node{}
		}
		n = n.parameter
	}
	return n, isPrefix, parameterSegments
}

// literalChild returns the child of a literal segment, and creates it if it does not exist.
func (n *node) literalChild(segment string) *node {
	if n.literals == nil {
		n.literals = map[string]*node{}
	}
	if n.literals[segment] == nil {
		n.literals[segment] = &node{}
	}
	return n.literals[segment]
}

// moreSpecificThan reports whether an entry is more specific than another one of the same host and path.
func (e *entry) moreSpecificThan(other *entry) bool {
	if e.exactValueHeaders != other.exactValueHeaders {
		return e.exactValueHeaders > other.exactValueHeaders
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
		for _, otherHeader := range other.headers {
			if h.Name == otherHeader.Name && h.Value != "" && otherHeader.Value != "" && h.Value != otherHeader.Value {
				return false
			}
		}
	}
	return true
}

// ParameterIndex returns the index, from 0, of a parameter's segment in a pattern's path, by which Segment returns its
// value in a request's path. ok is false if the pattern has no such parameter.
func (t *Table) ParameterIndex(patternIndex int, name string) (segmentIndex int, ok bool) {
	segmentIndex, ok = t.parameters[patternIndex][name]
	return segmentIndex, ok
}
