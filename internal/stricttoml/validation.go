package stricttoml

import (
	"fmt"
	"slices"
	"strings"
)

// Validation collects the mistakes that are found in a decoded file.
type Validation struct {
	Lines map[string]int // of each key, as Decode returns them

	mistakes Errors
}

// Err returns all mistakes as Errors, in the order of lines; nil if there is none.
func (v *Validation) Err() error {
	if len(v.mistakes) == 0 {
		return nil
	}
	slices.SortStableFunc(v.mistakes, func(a, b *Error) int { return a.Line - b.Line })
	return v.mistakes
}

// Require records a mistake of a key unless ok. reason is a format with args.
func (v *Validation) Require(ok bool, key, reason string, args ...any) {
	if ok {
		return
	}
	line := v.Lines[key]
	for parent := key; line == 0 && parent != ""; line = v.Lines[parent] { // of a missing key: the line of its table
		parent, _, _ = cutLastKeyPart(parent)
		if parent == "" {
			break
		}
	}
	v.mistakes = append(v.mistakes, &Error{key, line, fmt.Sprintf(reason, args...)})
}

func cutLastKeyPart(key string) (parent, last string, found bool) {
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		return key[:i], key[i+1:], true
	}
	return "", key, false
}

// Enum returns the value of a name, or records a mistake that lists the known names.
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
