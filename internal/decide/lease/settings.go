package lease

import (
	"fmt"
	"slices"

	"dunlinsail/internal/decide/setting"
	"dunlinsail/internal/monotime"
)

// Settings configure a voter. They must be the same at all voters, except for Self, Incarnation and Seed.
type Settings struct {
	// Self is this voter's name, which must be one of Voters.
	Self string
	// Incarnation identifies this process among the processes with the same name. It must never be reused, or a vote
	// that was granted to an earlier process would count for this process.
	Incarnation uint64
	// Voters are the distinct names of all voters.
	Voters []string
	// Duration is the time for which a lease is valid without renewal, by its holder's clock. It must be at least
	// minDuration. After the holder has crashed, there may be no holder for this time plus a random delay.
	Duration monotime.Micros
	// MaxClockDrift is the largest difference between the rate of a voter's clock and the true rate, as a fraction of
	// the true rate, in 0..maxClockDrift. If a clock exceeds it, there may be two holders at the same time.
	MaxClockDrift float64
	// Seed determines the random delays before rounds.
	Seed uint64
}

const (
	// minDuration is the smallest value of Settings.Duration.
	minDuration = monotime.Millisecond
	// maxClockDrift is the largest value of Settings.MaxClockDrift, as a fraction of the true rate.
	maxClockDrift = 0.1
)

// invalidSetting returns the *setting.Error of a setting that is out of range.
func invalidSetting(key, reason string) error {
	return &setting.Error{Component: "lease", Key: key, Reason: reason}
}

// validate returns a *setting.Error if a setting is out of range.
func (s *Settings) validate() error {
	switch {
	case !slices.Contains(s.Voters, s.Self):
		return invalidSetting("self", "must be the name of a voter")
	case s.Duration < minDuration:
		return invalidSetting("length", "must be at least 1 ms")
	case !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= maxClockDrift):
		return invalidSetting("drift", "must be in 0..0.1")
	}
	for i, name := range s.Voters {
		if slices.Contains(s.Voters[:i], name) {
			return invalidSetting("voters", fmt.Sprintf("%q is listed more than once", name))
		}
	}
	return nil
}

// voteDuration returns the time for which a vote is valid by its voter's clock. By any clock, a lease that is won with
// the vote expires no later than the vote.
func (s *Settings) voteDuration() monotime.Micros {
	return monotime.ExtendForDrift(s.Duration, s.MaxClockDrift)
}
