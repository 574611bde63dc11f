// Package stricttoml decodes TOML files strictly: an unknown key, an invalid value and a contradiction are errors
// that name key, line and reason, and all of them are reported at once. It also has the types of values with units.
// It must not import the packages that a file configures.
package stricttoml

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes a TOML text into a struct, and returns the line of each key, from 1, for a Validation. Its error is
// Errors.
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

// decodeErrors converts an error of the TOML library to Errors.
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
	// For a value with a unit that is written as a number, the library does not report the position.
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
