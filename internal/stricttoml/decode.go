// Package stricttoml decodes TOML files strictly: unknown keys, invalid values and contradictions are errors with
// key, line and reason, and all errors of a file are reported at once. The package also provides types for values
// with units. It must not import packages that are configured by such files.
package stricttoml

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes a TOML text into a struct, and returns the line number of each key, from 1, for use in a
// Validation. Its error is an Errors.
func Decode(text []byte, target any) (lines map[string]int, err error) {
	if bytes.HasPrefix(text, []byte("\xef\xbb\xbf")) {
		return nil, Errors{{"", 1, "the file begins with a byte order mark (U+FEFF): save it as UTF-8 without one"}}
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
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
	// The TOML library reports no position if a number was found where a value with a unit is expected. The
	// position is that of the first number with the same text.
	if unitErr := (*unitError)(nil); errors.As(err, &unitErr) {
		_, numbers := scanKeys(text)
		for _, number := range numbers {
			if number.text == unitErr.text {
				return Errors{{number.key, number.line, err.Error()}}
			}
		}
	}
	return Errors{{"", 0, err.Error()}}
}
