package stricttoml

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line number of each key of a valid TOML text. Keys have indexes in lists of tables, from 0.
// The TOML library reports lines only for values that it cannot decode, but validation needs them for decoded
// values, too.
func keyLines(text []byte) map[string]int {
	lines, _ := scanKeys(text)
	return lines
}

// lineOffsets are the offsets in a text of the first byte of each line. They are computed once, because the TOML
// library counts lines from the start of the text for each node, which takes a minute for ten thousand tables.
type lineOffsets []uint32

// newLineOffsets returns the offsets of the lines of a text.
func newLineOffsets(text []byte) lineOffsets {
	index := lineOffsets{0}
	for i, b := range text {
		if b == '\n' {
			index = append(index, uint32(i+1))
		}
	}
	return index
}

// line returns the number, from 1, of the line on which a range starts.
func (index lineOffsets) line(at unstable.Range) int {
	i, found := slices.BinarySearch(index, at.Offset)
	if found {
		i++
	}
	return i
}

// TableLookup returns a function that maps a line number of a valid TOML text to the key of the table that the line
// belongs to, with indexes in lists. The function returns "" for lines before the first table.
func TableLookup(text []byte) func(line int) string {
	type header struct {
		line int
		key  string
	}
	var headers []header
	counts := map[string]int{} // number of tables in each list so far, by its key
	lineOf := newLineOffsets(text)
	var parser unstable.Parser
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		if expression.Kind != unstable.Table && expression.Kind != unstable.ArrayTable {
			continue
		}
		key, line := keyParts(expression.Key(), lineOf)
		path := withListIndexes(key, counts)
		if expression.Kind == unstable.ArrayTable {
			path = nextListKey(key, counts)
		}
		headers = append(headers, header{line, strings.Join(path, ".")})
	}
	return func(line int) string {
		table := ""
		for _, header := range headers {
			if header.line > line {
				break
			}
			table = header.key
		}
		return table
	}
}

// numberValue is a key with a number as its value.
type numberValue struct {
	key  string
	text string
	line int
}

// scanKeys returns the line numbers of all keys of a text, and the keys with numbers as values.
func scanKeys(text []byte) (map[string]int, []numberValue) {
	lines := map[string]int{}
	var numbers []numberValue
	counts := map[string]int{} // number of tables in each list so far, by its key
	lineOf := newLineOffsets(text)
	var table []string
	var parser unstable.Parser
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := keyParts(expression.Key(), lineOf)
		switch expression.Kind {
		case unstable.Table:
			table = withListIndexes(key, counts)
			lines[strings.Join(table, ".")] = line
		case unstable.ArrayTable:
			table = nextListKey(key, counts)
			lines[strings.Join(table, ".")] = line
		case unstable.KeyValue:
			path := slices.Concat(table, key)
			lines[strings.Join(path, ".")] = line
			if value := expression.Value(); value.Kind == unstable.Integer || value.Kind == unstable.Float {
				numbers = append(numbers, numberValue{strings.Join(path, "."), string(value.Data), line})
			}
			recordInlineKeys(lineOf, expression.Value(), path, lines)
		}
	}
	return lines, numbers
}

// keyParts returns the parts of a dotted key, and the line number of its last part.
func keyParts(parts unstable.Iterator, lineOf lineOffsets) (key []string, line int) {
	for parts.Next() {
		key = append(key, string(parts.Node().Data))
		line = lineOf.line(parts.Node().Raw)
	}
	return key, line
}

// nextListKey returns the key, with indexes, of the next table of a list and increments the list's count. counts
// has the number of tables of each list so far, by the list's key.
func nextListKey(key []string, counts map[string]int) []string {
	list := strings.Join(withListIndexes(key, counts), ".")
	counts[list]++
	last := len(key) - 1
	return append(withListIndexes(key[:last], counts), key[last], strconv.Itoa(counts[list]-1))
}

// withListIndexes inserts indexes into a key after each part, except for the last, that is a list of tables. The
// index is that of the list's latest table. counts has the number of tables of each list so far, by the list's key.
func withListIndexes(key []string, counts map[string]int) []string {
	var path []string
	for i, part := range key {
		path = append(path, part)
		if count := counts[strings.Join(path, ".")]; count > 0 && i < len(key)-1 {
			path = append(path, strconv.Itoa(count-1))
		}
	}
	return path
}

// recordInlineKeys adds the keys of inline tables in a value to lines. parent is the key of the value.
func recordInlineKeys(lineOf lineOffsets, value *unstable.Node, parent []string, lines map[string]int) {
	switch value.Kind {
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			keyValue := it.Node()
			key, line := keyParts(keyValue.Key(), lineOf)
			path := slices.Concat(parent, key)
			lines[strings.Join(path, ".")] = line
			recordInlineKeys(lineOf, keyValue.Value(), path, lines)
		}
	case unstable.Array:
		i := 0
		for it := value.Children(); it.Next(); i++ {
			recordInlineKeys(lineOf, it.Node(), slices.Concat(parent, []string{strconv.Itoa(i)}), lines)
		}
	}
}
