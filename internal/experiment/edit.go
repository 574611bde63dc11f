package experiment

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// applyEdits changes values in a TOML document. Each edit is KEY=VALUE. The parts of a key are separated by dots; a
// part selects an entry of an array of tables by the entry's name, kind or zero-based index. A value that is not
// valid TOML is taken as a string.
func applyEdits(text []byte, edits []string) ([]byte, error) {
	if len(edits) == 0 {
		return text, nil
	}
	var doc map[string]any
	if err := toml.Unmarshal(text, &doc); err != nil {
		return nil, err
	}
	for _, edit := range edits {
		key, value, ok := strings.Cut(edit, "=")
		if !ok || key == "" {
			return nil, fmt.Errorf("%q is not KEY=VALUE", edit)
		}
		if err := setKey(doc, strings.Split(key, "."), parseValue(value)); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
	}
	return toml.Marshal(doc)
}

// parseValue parses a TOML value, or returns the text as a string if it is not valid TOML.
func parseValue(text string) any {
	var doc struct{ V any }
	if err := toml.Unmarshal([]byte("V = "+text), &doc); err != nil {
		return text
	}
	return doc.V
}

// setKey sets the value at a key path below a table, and creates missing tables on the path.
func setKey(parent map[string]any, key []string, value any) error {
	name := key[0]
	if len(key) == 1 {
		parent[name] = value
		return nil
	}
	switch child := parent[name].(type) {
	case nil:
		table := map[string]any{}
		parent[name] = table
		return setKey(table, key[1:], value)
	case map[string]any:
		return setKey(child, key[1:], value)
	case []any:
		for index, entry := range child {
			table, ok := entry.(map[string]any)
			if ok && (table["name"] == key[1] || table["kind"] == key[1] || strconv.Itoa(index) == key[1]) {
				if len(key) == 2 {
					return fmt.Errorf("%q is a table, not a value", key[1])
				}
				return setKey(table, key[2:], value)
			}
		}
		return fmt.Errorf("list %s has no entry with the name, kind or index %q", name, key[1])
	}
	return fmt.Errorf("%s is a value, not a table", name)
}
