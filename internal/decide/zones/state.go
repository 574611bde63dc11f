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
	Recovering       // it gets a share of its requests, and no spill
)

var stateNames = [...]string{"up", "down", "recovering"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// zone is the state of one zone.
type zone struct {
	state          State
	readyEndpoints int
	limiter        *concurrency.Limiter
	inFlight       int // attempts, spill included
	spillInFlight  int // attempts of other zones' traffic

	// spillFactor is the part of the spare capacity, 0 to 1, that spill may use by its outcomes (observeSpill).
	spillFactor      float64
	spillWindowStart monotime.Micros
	spillInTime      int
	spillOutcomes    int

	recoveryShare    float64         // while Recovering: part of its requests that it gets, 0 to 1
	recoveryCredit   float64         // requests of that share that it has not got yet
	nextTransitionAt monotime.Micros // earliest end of Down, or of the present step of Recovering
	nextDownTime     monotime.Micros // mean time for which it stays down the next time
	upSince          monotime.Micros

	homeRequests    rateMeter // requests whose first zone it is
	spilledRequests rateMeter // those of them that went to other zones
	outcomes        outcomeWindow
}

// outcomeWindow counts the outcomes of recent attempts.
type outcomeWindow struct {
	start       monotime.Micros
	inTime      int
	total       int
	silentSince monotime.Micros // since when there was no answer with minSilentInFlight in flight; 0 is not so
}

// SetReadyEndpoints sets the number of a zone's endpoints that are ready. A zone without any goes down.
func (router *Router) SetReadyEndpoints(now monotime.Micros, zoneIndex, ready int) {
	z := &router.zones[zoneIndex]
	z.readyEndpoints = ready
	if ready == 0 && z.state != Down {
		router.markDown(now, z)
	}
}

// ZoneState returns a zone's state, the part of its requests that it gets, 0 to 1, and its learned limit of requests in
// flight.
func (router *Router) ZoneState(zoneIndex int) (state State, share float64, limit int) {
	z := &router.zones[zoneIndex]
	switch z.state {
	case Down:
		return Down, 0, 0
	case Recovering:
		return Recovering, z.recoveryShare, z.limiter.Limit()
	}
	return Up, 1, z.limiter.Limit()
}

const (
	downTimeFactor = 2           // on the down time, each time the zone goes down
	flapResetTime  = 30 * second // time for which a zone must be up until MinDownTime holds again
)

// markDown takes a zone down, for nextDownTime on average. That is doubled each time, up to MaxDownTime.
func (router *Router) markDown(now monotime.Micros, z *zone) {
	if z.state == Up && now-z.upSince > flapResetTime {
		z.nextDownTime = router.settings.MinDownTime
	}
	z.state = Down
	z.recoveryShare = 0
	z.recoveryCredit = 0
	z.nextTransitionAt = now + router.jittered(z.nextDownTime)
	z.nextDownTime = min(downTimeFactor*z.nextDownTime, router.settings.MaxDownTime)
	z.outcomes = outcomeWindow{start: now}
}

const (
	// silenceTimeout is the time without an answer, with minSilentInFlight attempts in flight, after which a zone
	// counts as cut off.
	silenceTimeout    = second
	minSilentInFlight = 4
)

// updateState decides on a zone's state at an instant. A zone that is cut off goes down, whatever endpoints discovery
// lists. A zone that is down recovers once its down time is over and an endpoint is ready. For the others see
// updateRecovering and updateUp.
func (router *Router) updateState(now monotime.Micros, z *zone) {
	outcomes := &z.outcomes
	if z.state != Down && outcomes.silentSince > 0 && now-outcomes.silentSince > silenceTimeout {
		router.markDown(now, z)
		return
	}
	switch z.state {
	case Down:
		if now >= z.nextTransitionAt && z.readyEndpoints > 0 {
			z.state = Recovering
			z.recoveryShare = router.settings.InitialRecoveryShare
			z.nextTransitionAt = now + router.jittered(router.settings.RecoveryStep)
			*outcomes = outcomeWindow{start: now}
		}
	case Recovering:
		router.updateRecovering(now, z)
	case Up:
		router.updateUp(now, z)
	}
}

const (
	windowDuration    = second / 2         // duration of the window of a zone that is up
	minWindowAge      = windowDuration / 2 // age of the window from which on it can take the zone down
	minWindowOutcomes = 8                  // outcomes by which a zone is judged, or its spill
	downThreshold     = 0.3                // part of the outcomes in time up to which a zone goes down
)

// updateUp decides whether a zone that is up goes down: by the part of its outcomes in time within a window.
func (router *Router) updateUp(now monotime.Micros, z *zone) {
	outcomes := &z.outcomes
	mostlyLate := float64(outcomes.inTime) <= downThreshold*float64(outcomes.total)
	if outcomes.conclusive() && mostlyLate && now-outcomes.start >= minWindowAge {
		router.markDown(now, z)
		return
	}
	if now-outcomes.start >= windowDuration {
		*outcomes = outcomeWindow{start: now, silentSince: outcomes.silentSince}
	}
}

// conclusive reports whether the window has enough outcomes to judge a zone.
func (w *outcomeWindow) conclusive() bool { return w.total >= minWindowOutcomes }

const (
	recoverThreshold = 0.9 // part of the outcomes in time from which on a recovery goes on
	recoveryGrowth   = 1.5 // factor on the share from one step to the next
	// recoveryDecreaseDivisor is that of the share if too few outcomes are in time, and that of InitialRecoveryShare
	// for the least share.
	recoveryDecreaseDivisor = 2
)

// updateRecovering decides on the next step of a recovery, by the part of the outcomes in time in the present one:
// the zone goes down, gets a lower share of its requests, or a higher one once the step is over. With the whole share
// it is up. A step without any answer goes on.
func (router *Router) updateRecovering(now monotime.Micros, z *zone) {
	outcomes := &z.outcomes
	inTimeFraction := float64(outcomes.inTime) / float64(max(1, outcomes.total))
	stepOver := now >= z.nextTransitionAt
	switch {
	case outcomes.conclusive() && inTimeFraction <= downThreshold:
		router.markDown(now, z)
	case outcomes.total > 0 && inTimeFraction < recoverThreshold && (outcomes.conclusive() || stepOver):
		minShare := router.settings.InitialRecoveryShare / recoveryDecreaseDivisor
		z.recoveryShare = max(minShare, z.recoveryShare/recoveryDecreaseDivisor)
		z.nextTransitionAt = now + router.jittered(router.settings.RecoveryStep)
		*outcomes = outcomeWindow{start: now}
	case stepOver && outcomes.total > 0:
		z.recoveryShare *= recoveryGrowth
		if z.recoveryShare >= 1 {
			z.state = Up
			z.upSince = now
		}
		z.nextTransitionAt = now + router.jittered(router.settings.RecoveryStep)
		*outcomes = outcomeWindow{start: now, silentSince: outcomes.silentSince}
	}
}
