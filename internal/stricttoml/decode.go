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
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return nil, convertDecodeError(text, err)
	}
	return keyLines(text), nil
}

// convertDecodeError converts an error of the TOML library to Errors.
func convertDecodeError(text []byte, err error) Errors {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		var mistakes Errors
		for i := range unknownKeys.Errors {
			unknownKey := &unknownKeys.Errors[i]
			line, _ := unknownKey.Position()
			mistakes = append(mistakes, &Error{strings.Join(unknownKey.Key(), "."), line, "is not a known key"})
		}
		return mistakes
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		return Errors{{strings.Join(invalid.Key(), "."), line, strings.TrimPrefix(invalid.Error(), "toml: ")}}
	}
	// For a value with a unit that is written as a number, the library does not report the position.
	if unit := (*unitError)(nil); errors.As(err, &unit) {
		_, numbers := scanKeys(text)
		for _, number := range numbers {
			if number.text == unit.text {
				return Errors{{number.key, number.line, err.Error()}}
			}
		}
	}
	return Errors{{"", 0, err.Error()}}
}
