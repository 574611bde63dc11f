package stricttoml

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line of each key of a valid TOML text, with indexes in lists of tables from 0. The library only
// reports the lines of values that it cannot decode, not of those that are found invalid afterwards.
func keyLines(text []byte) map[string]int {
	lines, _ := scanKeys(text)
	return lines
}

// lineIndex is the offset of each line's first byte. The library would count lines from the start of the text for each
// node, which takes a minute for ten thousand tables.
type lineIndex []uint32

func newLineIndex(text []byte) lineIndex {
	index := lineIndex{0}
	for i, b := range text {
		if b == '\n' {
			index = append(index, uint32(i+1))
		}
	}
	return index
}

// line returns the line, from 1, on which a range starts.
func (index lineIndex) line(at unstable.Range) int {
	i, found := slices.BinarySearch(index, at.Offset)
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
		key, line := readKey(e.Key(), lineOf)
		full := withListIndexes(key, counts)
		if e.Kind == unstable.ArrayTable {
			full = nextInList(key, counts)
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
		key, line := readKey(e.Key(), lineOf)
		switch e.Kind {
		case unstable.Table:
			table = withListIndexes(key, counts)
			lines[strings.Join(table, ".")] = line
		case unstable.ArrayTable:
			table = nextInList(key, counts)
			lines[strings.Join(table, ".")] = line
		case unstable.KeyValue:
			full := slices.Concat(table, key)
			lines[strings.Join(full, ".")] = line
			if v := e.Value(); v.Kind == unstable.Integer || v.Kind == unstable.Float {
				numbers = append(numbers, numberValue{strings.Join(full, "."), string(v.Data), line})
			}
			recordInlineKeys(lineOf, e.Value(), full, lines)
		}
	}
	return lines, numbers
}

// readKey returns the parts of a key, and the line of its last part.
func readKey(it unstable.Iterator, lineOf lineIndex) (key []string, line int) {
	for it.Next() {
		key = append(key, string(it.Node().Data))
		line = lineOf.line(it.Node().Raw)
	}
	return key, line
}

// nextInList counts the next table of a list, and returns its key with its index. counts has the tables of each list
// so far.
func nextInList(key []string, counts map[string]int) []string {
	list := strings.Join(withListIndexes(key, counts), ".")
	counts[list]++
	last := len(key) - 1
	return append(withListIndexes(key[:last], counts), key[last], strconv.Itoa(counts[list]-1))
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

// recordInlineKeys records the lines of the keys of inline tables in a value, whose own key is at.
func recordInlineKeys(lineOf lineIndex, v *unstable.Node, at []string, lines map[string]int) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			kv := it.Node()
			key, line := readKey(kv.Key(), lineOf)
			full := slices.Concat(at, key)
			lines[strings.Join(full, ".")] = line
			recordInlineKeys(lineOf, kv.Value(), full, lines)
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			recordInlineKeys(lineOf, it.Node(), slices.Concat(at, []string{strconv.Itoa(i)}), lines)
		}
	}
}
