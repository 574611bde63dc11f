package stricttoml

import (
	"fmt"
	"slices"
	"strings"
)

// Validation collects the mistakes that are found in a decoded file.
type Validation struct {
	Lines map[string]int // line number of each key, as returned by Decode

	mistakes Errors
}

// Err returns all recorded mistakes as Errors, sorted by line, or nil if there are none.
func (v *Validation) Err() error {
	if len(v.mistakes) == 0 {
		return nil
	}
	slices.SortStableFunc(v.mistakes, func(a, b *Error) int { return a.Line - b.Line })
	return v.mistakes
}

// Require records a mistake in the value of a key unless ok is true. reason is a format for args. If the file does
// not contain the key, the mistake has the line of the closest enclosing table.
func (v *Validation) Require(ok bool, key, reason string, args ...any) {
	if ok {
		return
	}
	line := v.Lines[key]
	for parent := key; line == 0 && parent != ""; line = v.Lines[parent] {
		parent, _, _ = cutLastKeyPart(parent)
		if parent == "" {
			break
		}
	}
	v.mistakes = append(v.mistakes, &Error{key, line, fmt.Sprintf(reason, args...)})
}

// cutLastKeyPart splits a dotted key before its last part. found reports whether the key has a dot.
func cutLastKeyPart(key string) (parent, last string, found bool) {
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		return key[:i], key[i+1:], true
	}
	return "", key, false
}

// Enum returns the result for value in values. If value is not in values, it records a mistake of the key that
// lists the valid ones.
func Enum[T any](v *Validation, key, value string, values map[string]T) T {
	result, ok := values[value]
	if !ok {
		var known []string
		for name := range values {
			known = append(known, fmt.Sprintf("%q", name))
		}
		slices.Sort(known)
		v.Require(false, key, "%q is none of %s", value, strings.Join(known, ", "))
	}
	return result
}
