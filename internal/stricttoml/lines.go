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

// lineOffsets is the offset of each line's first byte. The library would count lines from the start of the text for each
// node, which takes a minute for ten thousand tables.
type lineOffsets []uint32

func newLineOffsets(text []byte) lineOffsets {
	index := lineOffsets{0}
	for i, b := range text {
		if b == '\n' {
			index = append(index, uint32(i+1))
		}
	}
	return index
}

// line returns the line, from 1, on which a range starts.
func (index lineOffsets) line(at unstable.Range) int {
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

// keyParts returns the parts of a key, and the line of its last part.
func keyParts(it unstable.Iterator, lineOf lineOffsets) (key []string, line int) {
	for it.Next() {
		key = append(key, string(it.Node().Data))
		line = lineOf.line(it.Node().Raw)
	}
	return key, line
}

// nextListKey counts the next table of a list, and returns its key with its index. counts has the tables of each list
// so far.
func nextListKey(key []string, counts map[string]int) []string {
	list := strings.Join(withListIndexes(key, counts), ".")
	counts[list]++
	last := len(key) - 1
	return append(withListIndexes(key[:last], counts), key[last], strconv.Itoa(counts[list]-1))
}

// withListIndexes inserts the indexes of lists of tables into a key: a part that is such a list means its latest
// table.
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

// recordInlineKeys records the lines of the keys of inline tables in a value, whose own key is at.
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
