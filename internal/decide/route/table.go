package route

import (
	"slices"
	"strings"
)

// Table finds the route of a request. For each host of the patterns it has a tree of path segments. Create one with
// New. A Table is safe for concurrent use.
type Table struct {
	exactHosts   map[string]*node // root nodes of patterns with an exact host, by host
	hostSuffixes map[string]*node // root nodes of patterns with "*.suffix", by suffix
	anyHost      *node            // root node of patterns without a host; nil if there are none
	parameters   []map[string]int // by pattern index: the segment index of each parameter, by name
}

// node is a node of a tree of path segments. Its path is the sequence of segments from the root to the node.
type node struct {
	literals      map[string]*node // children for literal segments, by segment
	parameter     *node            // child for any segment that is not empty; nil if there is none
	exactEntries  []entry          // patterns for exactly the path of the node, the most specific first
	prefixEntries []entry          // patterns for the path of the node and all paths below it, the most specific first
}

// entry is a pattern at the node for its host and path. It has the parts of the pattern that the node does not
// determine: methods and headers.
type entry struct {
	patternIndex      int // index of the pattern in the argument of New
	methods           []string
	headers           []HeaderCondition
	exactValueHeaders int // number of headers for which a value is required
}

// New returns a table of the patterns, or a *PatternError or a *ConflictError.
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

// insert adds a pattern to the table. The entries of the pattern's node stay sorted, the most specific first. insert
// returns a *PatternError for an invalid pattern, and a *ConflictError for a conflict with an earlier pattern.
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

// hostNode returns the root node for the host of a pattern. It creates the node if it does not exist.
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

// insertPath returns the node for a pattern's path, and creates the nodes on the way to it that do not exist. It also
// reports whether the path is a prefix, and returns the segment index of each parameter, by name.
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

// literalChild returns the child for a literal segment, and creates it if it does not exist.
func (n *node) literalChild(segment string) *node {
	if n.literals == nil {
		n.literals = map[string]*node{}
	}
	if n.literals[segment] == nil {
		n.literals[segment] = &node{}
	}
	return n.literals[segment]
}

// moreSpecificThan reports whether an entry is more specific than another entry with the same host and path.
func (e *entry) moreSpecificThan(other *entry) bool {
	if e.exactValueHeaders != other.exactValueHeaders {
		return e.exactValueHeaders > other.exactValueHeaders
	}
	if len(e.headers) != len(other.headers) {
		return len(e.headers) > len(other.headers)
	}
	return len(e.methods) > 0 && len(other.methods) == 0
}

// overlaps reports whether the same request could match both entries.
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

// ParameterIndex returns the index, counted from 0, of the path segment that matches a parameter of a pattern. Segment
// returns the value of the parameter for that index and a request's path. ok is false if the pattern has no such
// parameter.
func (t *Table) ParameterIndex(patternIndex int, name string) (segmentIndex int, ok bool) {
	segmentIndex, ok = t.parameters[patternIndex][name]
	return segmentIndex, ok
}
