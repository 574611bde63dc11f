package stricttoml

import (
	"fmt"
	"strings"
)

// Error describes a mistake in a file.
type Error struct {
	Key    string // dotted key, with indexes in lists from 0; "" if the text is not TOML
	Line   int    // line number from 1; 0 if the file does not contain the key
	Reason string
}

// Error returns the mistake as "line 3: table.key: reason".
func (e *Error) Error() string {
	var parts []string
	if e.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", e.Line))
	}
	if e.Key != "" {
		parts = append(parts, e.Key)
	}
	return strings.Join(append(parts, e.Reason), ": ")
}

// Errors are all mistakes in a file, sorted by line.
type Errors []*Error

// Error returns the mistakes, one in each line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}
