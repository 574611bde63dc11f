package stricttoml

import (
	"math"
	"os"
	"strconv"
	"strings"
	"time"
)

// unitError is the error of a value that should have a unit.
type unitError struct {
	text   string
	reason string
}

// Error returns the quoted text with the reason.
func (e *unitError) Error() string { return strconv.Quote(e.text) + " " + e.reason }

func newUnitError(text []byte, reason string) error { return &unitError{string(text), reason} }

// Duration is a duration with its unit, as "250ms" or "1m30s". It is never negative. Like the other types here it is
// not a plain number, so that a number without a unit is an error.
type Duration struct{ time.Duration }

// MaxDuration is the longest valid duration in a file: a longer one is most likely a typing error.
const MaxDuration = 24 * time.Hour

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	switch {
	case err != nil:
		return newUnitError(text, "is no time with a unit, as \"250ms\", \"15s\" or \"2m\"")
	case v < 0:
		return newUnitError(text, "is negative")
	case v > MaxDuration:
		return newUnitError(text, "is over 24h: no time in this file is meant to be so long")
	}
	d.Duration = v
	return nil
}

// MarshalText returns what UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Duration.String()), nil }

// Micros returns the duration in microseconds, the unit of the decision packages.
func (d Duration) Micros() int64 { return d.Microseconds() }

// Span is one duration, "5s", or the bounds of a random one, "5s..8s".
type Span struct{ From, To time.Duration }

// UnmarshalText parses a span.
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

// MarshalText returns what UnmarshalText parses.
func (s Span) MarshalText() ([]byte, error) {
	if s.From == s.To {
		return []byte(s.From.String()), nil
	}
	return []byte(s.From.String() + ".." + s.To.String()), nil
}

// Size is a number of bytes with its unit, as "64KiB". It is never negative.
type Size struct{ Bytes int64 }

var sizeUnits = []struct {
	unit  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalText parses a size.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), u.unit)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || v < 0 || v > math.MaxInt64/u.bytes {
			break
		}
		s.Bytes = v * u.bytes
		return nil
	}
	return newUnitError(text, "is no size with a unit, as \"512B\", \"64KiB\", \"4MiB\" or \"1GiB\"")
}

// permissionBits has all bits of permissions.
const permissionBits = 0o777

// Mode is the permissions of a file in octal, as "0660".
type Mode struct{ Bits os.FileMode }

// UnmarshalText parses permissions.
func (m *Mode) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 8, 32)
	if err != nil || v > permissionBits {
		return newUnitError(text, "are no permissions in octal, as \"0660\"")
	}
	m.Bits = os.FileMode(v)
	return nil
}
