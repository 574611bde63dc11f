// Package stricttoml reads TOML files strictly: what is not known, makes no sense or does not fit the rest is an error that
// names key, line and reason; all of them are told at once. It knows TOML and units, and nothing of what files hold.
package stricttoml

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error is one thing that is wrong with a file.
type Error struct {
	Key    string // dotted, with places in lists from 0; empty where the text is no TOML
	Line   int    // from 1; 0 where the file does not name the key
	Reason string
}

func (e *Error) Error() string {
	var at []string
	if e.Line > 0 {
		at = append(at, fmt.Sprintf("line %d", e.Line))
	}
	if e.Key != "" {
		at = append(at, e.Key)
	}
	return strings.Join(append(at, e.Reason), ": ")
}

// Errors are all that is wrong with a file, in the order of its lines.
type Errors []*Error

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Decode reads a text into a struct, and returns on which line each key stands, for a Check. Its error is Errors.
func Decode(text []byte, into any) (lines map[string]int, err error) {
	if bytes.HasPrefix(text, []byte("\xef\xbb\xbf")) {
		return nil, Errors{{"", 1, "the file begins with a byte order mark (U+FEFF): save it as UTF-8 without one"}}
	}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return nil, decodeErrors(text, err)
	}
	return keyLines(text), nil
}

// decodeErrors turns what the TOML library says into Errors.
func decodeErrors(text []byte, err error) Errors {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		var all Errors
		for i := range missing.Errors {
			e := &missing.Errors[i]
			line, _ := e.Position()
			all = append(all, &Error{strings.Join(e.Key(), "."), line, "is not a known key"})
		}
		return all
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		return Errors{{strings.Join(bad.Key(), "."), line, strings.TrimPrefix(bad.Error(), "toml: ")}}
	}
	// Where a number stands in place of a value with a unit, the library does not say where.
	if unit := (*unitError)(nil); errors.As(err, &unit) {
		_, numbers := scanKeys(text)
		for _, n := range numbers {
			if n.text == unit.text {
				return Errors{{n.key, n.line, err.Error()}}
			}
		}
	}
	return Errors{{"", 0, err.Error()}}
}

// Check gathers what makes no sense in a file.
type Validation struct {
	Lines map[string]int // as Decode returns them

	errors Errors
}

// Err returns all that was found, in the order of lines, as Errors; nil if nothing was.
func (k *Validation) Err() error {
	if len(k.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(k.errors, func(a, b *Error) int { return a.Line - b.Line })
	return k.errors
}

// That notes an error of a key unless it is so.
func (k *Validation) Require(ok bool, key, reason string, args ...any) {
	if ok {
		return
	}
	line := k.Lines[key]
	for at := key; line == 0 && at != ""; line = k.Lines[at] { // a key that is missing: the table where it should be
		at, _, _ = cutLast(at)
		if at == "" {
			break
		}
	}
	k.errors = append(k.errors, &Error{key, line, fmt.Sprintf(reason, args...)})
}

func cutLast(key string) (before, after string, found bool) {
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		return key[:i], key[i+1:], true
	}
	return "", key, false
}

// Word returns the meaning of a word.
func Enum[T any](k *Validation, key, value string, values map[string]T) T {
	v, ok := values[value]
	if !ok {
		var known []string
		for name := range values {
			known = append(known, fmt.Sprintf("%q", name))
		}
		slices.Sort(known)
		k.Require(false, key, "%q is none of %s", value, strings.Join(known, ", "))
	}
	return v
}
