package zones

import (
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/monotime"
)

// State is the state of a zone.
type State uint8

// The states.
const (
	Up         State = iota
	Down             // it gets no requests
	Recovering       // it gets a share of its requests
)

var stateNames = [...]string{"up", "down", "recovering"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

const (
	windowDuration    = second / 2
	minWindowOutcomes = 8      // outcomes by which a zone is judged
	recoverThreshold  = 0.9    // part of the outcomes in time from which on a recovery goes on
	downThreshold     = 0.3    // the same up to which a zone goes down
	silenceTimeout    = second // without an answer, with minSilentInFlight in flight, after which a zone is cut off
	minSilentInFlight = 4
	recoveryGrowth    = 1.5         // factor on the share from one step to the next
	flapMemory        = 30 * second // after so long up, MinDownTime holds again

	// The spill factor grows by spillIncrease in each window in which so many spilled requests are in time, and
	// shrinks to the part spillDecrease otherwise.
	spillInTimeThreshold = 0.95
	spillIncrease        = 0.05
	spillDecrease        = 0.6
	minSpillFactor       = 0.02
	initialSpillFactor   = 0.3
)

// zone is the state of one zone.
type zone struct {
	state          State
	readyEndpoints int
	limiter        *concurrency.Limiter
	inFlight       int // attempts, spill included
	spillInFlight  int // attempts of other zones' traffic

	// spillFactor is the part of the spare capacity that spill may use, by its outcomes: what the zone's own
	// requests through other instances need is seen by this instance only in the answers to its spill.
	spillFactor      float64
	spillWindowStart monotime.Micros
	spillInTime      int
	spillOutcomes    int

	recoveryShare  float64         // Recovering: part of its requests that it gets
	recoveryCredit float64         // of that share, not used yet
	until          monotime.Micros // Down: at least until then; Recovering: end of the present step
	nextDownTime   monotime.Micros // when it goes down next
	upSince        monotime.Micros

	requests rateMeter // whose first zone it is
	spilled  rateMeter // of these, what went to other zones
	outcomes outcomeWindow
}

// outcomeWindow counts the outcomes of recent attempts.
type outcomeWindow struct {
	start       monotime.Micros
	inTime      int
	total       int
	silentSince monotime.Micros // no answer since then, with attempts in flight; 0 is not so
}

// SetReadyEndpoints sets how many endpoints of a zone are ready. A zone without any goes down.
func (t *Router) SetReadyEndpoints(now monotime.Micros, number, ready int) {
	z := &t.zones[number]
	z.readyEndpoints = ready
	if ready == 0 && z.state != Down {
		t.markDown(now, z)
	}
}

// ZoneState returns a zone's state, the part of its requests that it gets, and its learned limit of requests in flight.
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

// markDown takes a zone out of service.
func (t *Router) markDown(now monotime.Micros, z *zone) {
	if z.state == Up && now-z.upSince > flapMemory {
		z.nextDownTime = t.settings.MinDownTime
	}
	z.state = Down
	z.recoveryShare = 0
	z.recoveryCredit = 0
	z.until = now + t.jittered(z.nextDownTime)
	z.nextDownTime = min(2*z.nextDownTime, t.settings.MaxDownTime)
	z.outcomes = outcomeWindow{start: now}
}

// updateState moves a zone's state on by its outcomes.
func (t *Router) updateState(now monotime.Micros, z *zone) {
	outcomes := &z.outcomes
	if z.state != Down && outcomes.silentSince > 0 && now-outcomes.silentSince > silenceTimeout {
		t.markDown(now, z) // cut off, whatever discovery says
		return
	}
	switch z.state {
	case Down:
		if now >= z.until && z.readyEndpoints > 0 {
			z.state = Recovering
			z.recoveryShare = t.settings.InitialRecoveryShare
			z.until = now + t.jittered(t.settings.RecoveryStep)
			*outcomes = outcomeWindow{start: now}
		}
	case Recovering:
		t.updateRecovering(now, z)
	case Up:
		failing := float64(outcomes.inTime) <= downThreshold*float64(outcomes.total)
		if outcomes.conclusive() && failing && now-outcomes.start >= windowDuration/2 {
			t.markDown(now, z)
			return
		}
		if now-outcomes.start >= windowDuration {
			*outcomes = outcomeWindow{start: now, silentSince: outcomes.silentSince}
		}
	}
}

// conclusive reports whether a zone may be judged by the window.
func (w *outcomeWindow) conclusive() bool { return w.total >= minWindowOutcomes }

// updateRecovering moves a recovery a step on, or back.
func (t *Router) updateRecovering(now monotime.Micros, z *zone) {
	outcomes := &z.outcomes
	inTimeFraction := float64(outcomes.inTime) / float64(max(1, outcomes.total))
	stepOver := now >= z.until
	switch {
	case outcomes.conclusive() && inTimeFraction <= downThreshold:
		t.markDown(now, z)
	case outcomes.total > 0 && inTimeFraction < recoverThreshold && (outcomes.conclusive() || stepOver):
		z.recoveryShare = max(t.settings.InitialRecoveryShare/2, z.recoveryShare/2)
		z.until = now + t.jittered(t.settings.RecoveryStep)
		*outcomes = outcomeWindow{start: now}
	case stepOver && outcomes.total > 0: // a step without any answer tells nothing
		z.recoveryShare *= recoveryGrowth
		if z.recoveryShare >= 1 {
			z.state = Up
			z.upSince = now
		}
		z.until = now + t.jittered(t.settings.RecoveryStep)
		*outcomes = outcomeWindow{start: now, silentSince: outcomes.silentSince}
	}
}

// observeSpill adjusts how much spill the zone takes by the outcome of a spilled request.
func (z *zone) observeSpill(now monotime.Micros, inTime bool) {
	z.spillOutcomes++
	if inTime {
		z.spillInTime++
	}
	if z.spillOutcomes < minWindowOutcomes && now-z.spillWindowStart < windowDuration {
		return
	}
	if float64(z.spillInTime) >= spillInTimeThreshold*float64(z.spillOutcomes) {
		z.spillFactor = min(1, z.spillFactor+spillIncrease)
	} else {
		z.spillFactor = max(minSpillFactor, z.spillFactor*spillDecrease)
	}
	z.spillWindowStart = now
	z.spillInTime = 0
	z.spillOutcomes = 0
}
