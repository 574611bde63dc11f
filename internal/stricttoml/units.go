package stricttoml

import (
	"math"
	"os"
	"strconv"
	"strings"
	"time"
)

// unitError is the error for an invalid value of a type that is written with a unit.
type unitError struct {
	text   string
	reason string
}

// Error returns the quoted text of the value followed by the reason.
func (e *unitError) Error() string { return strconv.Quote(e.text) + " " + e.reason }

// newUnitError returns a unitError for the text of a value.
func newUnitError(text []byte, reason string) error { return &unitError{string(text), reason} }

// Duration is a non-negative duration that is written with its unit, for example "250ms" or "1m30s". Like the other
// types with units it is a struct, because the TOML library would accept a number without a unit for a numeric
// type.
type Duration struct{ time.Duration }

// MaxDuration is the longest valid duration in a file. A longer duration is most likely a typing error.
const MaxDuration = 24 * time.Hour

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	switch {
	case err != nil:
		return newUnitError(text, "is no time with a unit, as \"250ms\", \"15s\" or \"2m\"")
	case parsed < 0:
		return newUnitError(text, "is negative")
	case parsed > MaxDuration:
		return newUnitError(text, "is over 24h: no time in this file is meant to be so long")
	}
	d.Duration = parsed
	return nil
}

// MarshalText returns the duration in a form that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Duration.String()), nil }

// Micros returns the duration in microseconds, which is the unit of the decision packages.
func (d Duration) Micros() int64 { return d.Microseconds() }

// Span is a range of durations, from which a random one is chosen. It is written as "5s..8s", or "5s" if both
// bounds are equal.
type Span struct{ From, To time.Duration }

// UnmarshalText parses a duration or a range of durations.
func (s *Span) UnmarshalText(text []byte) error {
	fromText, toText, hasTo := strings.Cut(string(text), "..")
	var from Duration
	if err := from.UnmarshalText([]byte(fromText)); err != nil {
		return newUnitError(text, "is no time or span of times, as \"5s\" or \"5s..8s\"")
	}
	to := from
	if hasTo {
		if err := to.UnmarshalText([]byte(toText)); err != nil {
			return newUnitError(text, "is no span of times, as \"5s..8s\"")
		}
	}
	if to.Duration < from.Duration {
		return newUnitError(text, "ends before it begins")
	}
	s.From = from.Duration
	s.To = to.Duration
	return nil
}

// MarshalText returns the range in a form that UnmarshalText parses.
func (s Span) MarshalText() ([]byte, error) {
	if s.From == s.To {
		return []byte(s.From.String()), nil
	}
	return []byte(s.From.String() + ".." + s.To.String()), nil
}

// Size is a non-negative number of bytes that is written with its unit, for example "64KiB".
type Size struct{ Bytes int64 }

// sizeUnits are the units of sizes. "B" is last, because it is a suffix of the other units.
var sizeUnits = []struct {
	unit  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalText parses a size with its unit.
func (s *Size) UnmarshalText(text []byte) error {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), unit.unit)
		if !ok {
			continue
		}
		parsed, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || parsed < 0 || parsed > math.MaxInt64/unit.bytes {
			break
		}
		s.Bytes = parsed * unit.bytes
		return nil
	}
	return newUnitError(text, "is no size with a unit, as \"512B\", \"64KiB\", \"4MiB\" or \"1GiB\"")
}

// permissionBits has all permission bits of a file mode set.
const permissionBits = 0o777

// Mode is the permissions of a file, written in octal digits, for example "0660".
type Mode struct{ Bits os.FileMode }

// UnmarshalText parses permissions in octal digits.
func (m *Mode) UnmarshalText(text []byte) error {
	parsed, err := strconv.ParseUint(string(text), 8, 32)
	if err != nil || parsed > permissionBits {
		return newUnitError(text, "are no permissions in octal, as \"0660\"")
	}
	m.Bits = os.FileMode(parsed)
	return nil
}
