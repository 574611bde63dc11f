package stricttoml

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line of each key of a valid TOML text, with indexes in lists of tables from 0. The library
// tells the lines of what it cannot decode only, not of what is found invalid afterwards.
func keyLines(text []byte) map[string]int {
	lines, _ := scanKeys(text)
	return lines
}

// lineIndex is the offset of each line's first byte. The library counts lines from the beginning for each node, which
// takes a minute for a text of ten thousand tables.
type lineIndex []uint32

func newLineIndex(text []byte) lineIndex {
	r := lineIndex{0}
	for i, b := range text {
		if b == '\n' {
			r = append(r, uint32(i+1))
		}
	}
	return r
}

// line returns the line, from 1, on which a range starts.
func (r lineIndex) line(at unstable.Range) int {
	i, found := slices.BinarySearch(r, at.Offset)
	if found {
		i++
	}
	return i
}

// TableLookup returns a function that maps a line of a valid TOML text to the key of its table, with indexes in
// lists; "" before the first table.
func TableLookup(text []byte) func(line int) string {
	type header struct {
		line int
		key  string
	}
	var headers []header
	counts := map[string]int{} // tables in a list so far
	lineOf := newLineIndex(text)
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.Table && e.Kind != unstable.ArrayTable {
			continue
		}
		var key []string
		line := 0
		for it := e.Key(); it.Next(); {
			key = append(key, string(it.Node().Data))
			line = lineOf.line(it.Node().Raw)
		}
		full := withListIndexes(key, counts)
		if e.Kind == unstable.ArrayTable {
			name := strings.Join(full, ".")
			counts[name]++
			full = append(withListIndexes(key[:len(key)-1], counts), key[len(key)-1], strconv.Itoa(counts[name]-1))
		}
		headers = append(headers, header{line, strings.Join(full, ".")})
	}
	return func(line int) string {
		table := ""
		for _, h := range headers {
			if h.line > line {
				break
			}
			table = h.key
		}
		return table
	}
}

// numberValue is a key whose value is written as a number.
type numberValue struct {
	key  string
	text string
	line int
}

// scanKeys returns the lines of all keys, and the keys whose values are numbers.
func scanKeys(text []byte) (map[string]int, []numberValue) {
	lines := map[string]int{}
	var numbers []numberValue
	counts := map[string]int{} // tables in a list so far
	lineOf := newLineIndex(text)
	var table []string
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var key []string
		line := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			key = append(key, string(n.Data))
			line = lineOf.line(n.Raw)
		}
		switch e.Kind {
		case unstable.Table:
			table = withListIndexes(key, counts)
			lines[strings.Join(table, ".")] = line
		case unstable.ArrayTable:
			name := strings.Join(withListIndexes(key, counts), ".")
			counts[name]++
			table = append(withListIndexes(key[:len(key)-1], counts), key[len(key)-1], strconv.Itoa(counts[name]-1))
			lines[strings.Join(table, ".")] = line
		case unstable.KeyValue:
			at := append(append([]string{}, table...), key...)
			lines[strings.Join(at, ".")] = line
			if v := e.Value(); v.Kind == unstable.Integer || v.Kind == unstable.Float {
				numbers = append(numbers, numberValue{strings.Join(at, "."), string(v.Data), line})
			}
			recordInlineKeys(lineOf, e.Value(), at, lines)
		}
	}
	return lines, numbers
}

// withListIndexes inserts the indexes of lists of tables into a key: a part that is such a list means its latest
// table.
func withListIndexes(key []string, counts map[string]int) []string {
	var full []string
	for i, part := range key {
		full = append(full, part)
		if n := counts[strings.Join(full, ".")]; n > 0 && i < len(key)-1 {
			full = append(full, strconv.Itoa(n-1))
		}
	}
	return full
}

// recordInlineKeys records the lines of the keys of inline tables in a value.
func recordInlineKeys(lineOf lineIndex, v *unstable.Node, at []string, lines map[string]int) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			kv := it.Node()
			key := append([]string{}, at...)
			line := 0
			for k := kv.Key(); k.Next(); {
				key = append(key, string(k.Node().Data))
				line = lineOf.line(k.Node().Raw)
			}
			lines[strings.Join(key, ".")] = line
			recordInlineKeys(lineOf, kv.Value(), key, lines)
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			recordInlineKeys(lineOf, it.Node(), append(append([]string{}, at...), strconv.Itoa(i)), lines)
		}
	}
}
