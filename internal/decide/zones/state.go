package zones

import (
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/monotime"
)

// State is whether a zone is up, down or recovering.
type State uint8

// The states of a zone.
const (
	Up         State = iota // the zone receives its own requests and spill
	Down                    // the zone receives no requests
	Recovering              // the zone receives a share of its own requests, and no spill
)

var stateNames = [...]string{"up", "down", "recovering"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// zone is the router's state of one zone.
type zone struct {
	state          State
	readyEndpoints int
	limiter        *concurrency.Limiter
	inFlight       int // attempts in flight, including spill
	spillInFlight  int // attempts in flight of requests that spilled from other zones

	// spillFactor, from minSpillFactor to 1, scales the spare capacity that spill may use. observeSpill adjusts it.
	spillFactor      float64
	spillWindowStart monotime.Micros
	spillInTime      int // number of spilled attempts in time, in the present window
	spillOutcomes    int // number of spilled attempts that ended in the present window

	recoveryShare    float64         // while Recovering: fraction of its own requests that the zone receives
	recoveryCredit   float64         // while Recovering: grows by recoveryShare per request, and 1 admits a request
	nextTransitionAt monotime.Micros // earliest end of the down time, or of the present recovery step
	nextDownTime     monotime.Micros // mean duration of the next time that the zone is down
	upSince          monotime.Micros // time of the latest recovery

	homeRequests    rateMeter // requests whose home zone it is
	spilledRequests rateMeter // requests whose home zone it is and that spilled to other zones
	outcomes        outcomeWindow
}

// outcomeWindow counts the outcomes of attempts in a zone since start. Inconclusive outcomes are not counted.
type outcomeWindow struct {
	start       monotime.Micros
	inTime      int             // number of attempts in time
	total       int             // number of attempts that ended
	silentSince monotime.Micros // start of the time without response, with enough in flight; 0 if none
}

// SetReadyEndpoints sets the number of endpoints of a zone that are ready. A zone without ready endpoints goes down.
func (router *Router) SetReadyEndpoints(now monotime.Micros, zoneIndex, ready int) {
	z := &router.zones[zoneIndex]
	z.readyEndpoints = ready
	if ready == 0 && z.state != Down {
		router.markDown(now, z)
	}
}

// ZoneState returns a zone's state, the share of its own requests that it receives, from 0 to 1, and its
// learned limit of requests in flight.
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
	downTimeFactor = 2           // multiplier of the mean down time each time the zone goes down
	flapResetTime  = 30 * second // time in state Up after which the mean down time is reset to MinDownTime
)

// markDown puts a zone into state Down, for nextDownTime on average. It then doubles nextDownTime, up to MaxDownTime.
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
	// silenceTimeout is the time after which a zone counts as cut off, if there is no response while at least
	// minSilentInFlight attempts are in flight.
	silenceTimeout    = second
	minSilentInFlight = 4
)

// updateState changes a zone's state if a change is due at now. A zone that is cut off goes down, even if discovery
// lists ready endpoints. A zone that is down starts to recover once its down time is over and an endpoint is ready.
// updateRecovering and updateUp update zones in the other states.
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
	windowDuration    = second / 2         // duration of the outcome window of a zone that is up
	minWindowAge      = windowDuration / 2 // minimum age of an outcome window that takes the zone down
	minWindowOutcomes = 8                  // number of outcomes that are enough to decide on a zone's state or spill
	downThreshold     = 0.3                // a zone goes down if at most this fraction of its outcomes is in time
)

// updateUp decides whether a zone in state Up goes down. The zone goes down if its outcome window is old enough and has
// enough outcomes, and at most the fraction downThreshold of these is in time. A window that has lasted for
// windowDuration is replaced by a new one.
func (router *Router) updateUp(now monotime.Micros, z *zone) {
	outcomes := &z.outcomes
	mostlyLate := float64(outcomes.inTime) <= downThreshold*float64(outcomes.total)
	if outcomes.hasEnoughOutcomes() && mostlyLate && now-outcomes.start >= minWindowAge {
		router.markDown(now, z)
		return
	}
	if now-outcomes.start >= windowDuration {
		*outcomes = outcomeWindow{start: now, silentSince: outcomes.silentSince}
	}
}

// hasEnoughOutcomes reports whether the window has enough outcomes to decide on the zone's state.
func (w *outcomeWindow) hasEnoughOutcomes() bool { return w.total >= minWindowOutcomes }

const (
	recoverThreshold = 0.9 // minimum fraction of outcomes in time for a recovery to continue
	recoveryGrowth   = 1.5 // multiplier of the recovery share from one step to the next
	// recoveryDecreaseDivisor divides the recovery share when too few outcomes are in time. The smallest recovery share
	// is InitialRecoveryShare divided by it.
	recoveryDecreaseDivisor = 2
)

// updateRecovering decides on the next step of a recovery, from the fraction of the outcomes of the present step that
// are in time. If it is too small, the zone goes down or receives a smaller share of its requests. Otherwise the zone
// receives a larger share once the step is over, and is up when the share reaches 1. A step without any outcome
// continues.
func (router *Router) updateRecovering(now monotime.Micros, z *zone) {
	outcomes := &z.outcomes
	inTimeFraction := float64(outcomes.inTime) / float64(max(1, outcomes.total))
	stepOver := now >= z.nextTransitionAt
	switch {
	case outcomes.hasEnoughOutcomes() && inTimeFraction <= downThreshold:
		router.markDown(now, z)
	case outcomes.total > 0 && inTimeFraction < recoverThreshold && (outcomes.hasEnoughOutcomes() || stepOver):
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
