package maintenance

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings bound what may be out; all instances have the same.
type Settings struct {
	MaxOut        int             // machines out at once, over all
	MaxOutPerZone int             // of one zone, 0 is no bound of its own;
	MaxOutPerCell int             // of one cell: one that is well stays in any case;
	MaxOutPerKind int             // of one type
	MaxAnnounced  int             // told ahead at most, those that are out not counted
	Headroom      float64         // the part of what is left that must stay unused
	LeaseDuration monotime.Micros // for so long an order holds at an instance
	InFlightGrace monotime.Micros // so long after its lease an instance ends what it still has open at machines ahead or out
	Warmup        monotime.Micros // so long after its return a machine counts as out
	MaxClockDrift float64         // by what part of itself a clock's rate may be off, at most
}

// SettingError names a setting that makes no sense.
type SettingError struct{ Key, Reason string }

// Error says which, and why.
func (e *SettingError) Error() string { return fmt.Sprintf("work: %s: %s", e.Key, e.Reason) }

// Check returns a *SettingError of settings that make no sense.
func (s *Settings) Check() error {
	switch {
	case s.MaxOut < 1:
		return &SettingError{"most", "must be at least 1"}
	case s.MaxOutPerZone < 0 || s.MaxOutPerCell < 0 || s.MaxOutPerKind < 0:
		return &SettingError{"zone", "bounds must not be negative"}
	case s.MaxAnnounced < s.MaxOut:
		return &SettingError{"ahead", "must be most at least: what is out was ahead before"}
	case !(s.Headroom >= 0 && s.Headroom < 1):
		return &SettingError{"room", "must be in 0..1, not 1"}
	case s.LeaseDuration < 10_000 || s.InFlightGrace < 0 || s.Warmup < 0:
		return &SettingError{"lease", "must be 10 ms at least, and no time negative"}
	case !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= 0.1):
		return &SettingError{"drift", "must be in 0..0.1"}
	}
	return nil
}

// longer is how long one has to wait by the own clock for a time to have passed by any.
func (s *Settings) withDrift(d monotime.Micros) monotime.Micros {
	return monotime.Micros(math.Ceil(float64(d) * (1 + s.MaxClockDrift) / (1 - s.MaxClockDrift)))
}
