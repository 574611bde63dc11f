package zones

import (
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/monotime"
)

// State is what a zone is to the others.
type State uint8

// The states.
const (
	Up         State = iota
	Down             // nothing goes there
	Recovering       // a share of its requests goes there
)

var stateNames = [...]string{"up", "lost", "returning"}

func (s State) String() string { return stateNames[s] }

// zone is what is known of one.
type zone struct {
	state          State
	readyEndpoints int // endpoints
	limiter        *concurrency.Limiter
	inFlight       int // attempts in flight, those of others' traffic included
	spillInFlight  int // of these, others' traffic

	// welcome is the part of the spare room that others' traffic may take, by how it fared: what a zone's own requests
	// need more of, this instance sees in its guests' answers only.
	spillFactor                float64
	spillWindowStart           monotime.Micros
	spillInTime, spillOutcomes int

	recoveryShare  float64         // Returning: of its requests
	recoveryCredit float64         // of the share, not yet asked for
	until          monotime.Micros // Lost: out at least until then. Returning: of the present step
	nextDownTime   monotime.Micros // for how long it is out next time
	upSince        monotime.Micros

	requests rateMeter // requests whose first zone it is
	spilled  rateMeter // of these, what went elsewhere
	outcomes outcomeWindow
}

// window counts what came of attempts of late.
type outcomeWindow struct {
	start         monotime.Micros
	inTime, total int
	silentSince   monotime.Micros // since when nothing has come while attempts were in flight; 0 is not so
}

// Members tells how many endpoints of a zone are ready.
func (t *Router) SetReadyEndpoints(now monotime.Micros, number, ready int) {
	z := &t.zones[number]
	z.readyEndpoints = ready
	if ready == 0 && z.state != Down {
		t.markDown(now, z)
	}
}

// Zone tells what a zone is now.
func (t *Router) ZoneState(number int) (state State, share float64, limit int) {
	z := &t.zones[number]
	switch z.state {
	case Down:
		return Down, 0, 0
	case Recovering:
		return Recovering, z.recoveryShare, z.limiter.Limit()
	}
	return Up, 1, z.limiter.Limit()
}

// lose takes a zone out.
func (t *Router) markDown(now monotime.Micros, z *zone) {
	if z.state == Up && now-z.upSince > flapMemory {
		z.nextDownTime = t.settings.MinDownTime
	}
	z.state, z.recoveryShare, z.recoveryCredit = Down, 0, 0
	z.until = now + t.jittered(z.nextDownTime)
	z.nextDownTime = min(2*z.nextDownTime, t.settings.MaxDownTime)
	z.outcomes = outcomeWindow{start: now}
}

// step moves a zone on by what is known now.
func (t *Router) updateState(now monotime.Micros, z *zone) {
	outcomes := &z.outcomes
	if z.state != Down && outcomes.silentSince > 0 && now-outcomes.silentSince > silenceTimeout {
		t.markDown(now, z) // cut off, whatever discovery says
		return
	}
	conclusive := outcomes.total >= minWindowOutcomes
	switch z.state {
	case Down:
		if now >= z.until && z.readyEndpoints > 0 {
			z.state, z.recoveryShare = Recovering, t.settings.InitialRecoveryShare
			z.until = now + t.jittered(t.settings.RecoveryStep)
			*outcomes = outcomeWindow{start: now}
		}
	case Recovering:
		inTimeFraction := float64(outcomes.inTime) / float64(max(1, outcomes.total))
		switch {
		case conclusive && inTimeFraction <= downThreshold:
			t.markDown(now, z)
		case outcomes.total > 0 && inTimeFraction < recoverThreshold && (conclusive || now >= z.until):
			z.recoveryShare = max(t.settings.InitialRecoveryShare/2, z.recoveryShare/2)
			z.until = now + t.jittered(t.settings.RecoveryStep)
			*outcomes = outcomeWindow{start: now}
		case now >= z.until && outcomes.total > 0: // a step without any answer tells nothing
			if z.recoveryShare *= recoveryGrowth; z.recoveryShare >= 1 {
				z.state, z.upSince = Up, now
			}
			z.until = now + t.jittered(t.settings.RecoveryStep)
			*outcomes = outcomeWindow{start: now, silentSince: outcomes.silentSince}
		}
	case Up:
		if conclusive && float64(outcomes.inTime) <= downThreshold*float64(outcomes.total) && now-outcomes.start >= windowDuration/2 {
			t.markDown(now, z)
			return
		}
		if now-outcomes.start >= windowDuration {
			*outcomes = outcomeWindow{start: now, silentSince: outcomes.silentSince}
		}
	}
}
