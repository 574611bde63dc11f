package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

// LearnedState is what a balancer has learned, for the balancer that takes its place in a hot restart:
// service times, breaker windows, ejections, the token buckets of warming endpoints. It holds ages instead of
// instants, since the two balancers may count time from different origins. The one instant,
// LearnedEndpoint.StartTime, comes from discovery and is only compared with that of the list.
//
// Its JSON form is stored and read by other versions. The tags are fixed; golden_test.go holds files of that
// form.
type LearnedState struct {
	Classes   []LearnedClass    `json:"Classes"` // in the order of the settings
	Endpoints []LearnedEndpoint `json:"Endpoints"`

	RequestRate           float64   `json:"Demand"`      // requests per second
	SentWorkRate          float64   `json:"SentWork"`    // microseconds of work per second
	RejectedRatio         float64   `json:"Refused"`     // of new requests, 0 to 1
	MeanWork              Average   `json:"Work"`        // microseconds per request
	FleetServiceTimeRatio Average   `json:"Fleet"`       // service time per unit of work
	LatencyTrend          float64   `json:"Trend"`       // latencies over the predicted ones
	HintTrust             float64   `json:"Trust"`       // 0 to 1
	LateReportRatio       Average   `json:"Lag"`         // 0 to 1
	TypicalLoad           Average   `json:"Usual"`       // requests of other balancers at a warm endpoint
	ServiceTime           Average   `json:"Service"`     // microseconds, as endpoints report it
	TypicalWarmingLoad    Average   `json:"UsualCold"`   // requests of other balancers at a warming endpoint
	ReportsLate           bool      `json:"ReportsLate"` // loads are predicted from averages
	ReportWatchTime       float64   `json:"Watched"`     // microseconds between two compared reports, in sum
	ReportChanges         float64   `json:"Renewed"`     // compared reports that differed
	TenantRates           []float64 `json:"Tenants"`     // requests per second, in the order of the settings
}

// LearnedClass is what a balancer has learned of a class.
type LearnedClass struct {
	MeanWork    Average `json:"Work"`  // microseconds per request
	RequestRate float64 `json:"Asked"` // requests per second
	OnTimeRatio Average `json:"Good"`  // of the requests, 0 to 1
}

// LearnedEndpoint is what a balancer has learned of an endpoint.
type LearnedEndpoint struct {
	ID               uint32          `json:"ID"`      // as in Endpoint
	StartTime        monotime.Micros `json:"Start"`   // instant, as in Endpoint, of the process that it was learned of
	RTT              Average         `json:"RTT"`     // microseconds
	ServiceTimeRatio Average         `json:"Pace"`    // service time per unit of work
	ServiceTimeAge   monotime.Micros `json:"PaceAge"` // of the latest sample of it

	WarmingUp    bool            `json:"Cold"`
	WarmupAge    monotime.Micros `json:"ColdAge"` // since the start of the warm-up
	WarmupTokens float64         `json:"Room"`    // microseconds of work in the demand bucket
	ServedTokens float64         `json:"Share"`   // microseconds of work in the served bucket

	Outlier      LearnedOutlier   `json:"Whole"` // of all traffic
	PartOutliers []LearnedOutlier `json:"Parts"` // of each class, then of each tenant

	BaseLatency    float64 `json:"Base"`    // microseconds, the usual latency
	CurrentLatency float64 `json:"Current"` // microseconds, the present latency

	// BreakerWindow is the breaker's buckets, the oldest first: requests, accepts, failures. It is empty
	// without requests.
	BreakerWindow [][3]int `json:"Window"`
}

// Average is a moving average and its number of samples.
type Average struct {
	Value   float64 `json:"V"`
	Samples float64 `json:"N"`
}

// LearnedOutlier is the consecutive failures of a part of the traffic, and the ejection for them.
type LearnedOutlier struct {
	ConsecutiveFailures int             `json:"Streak"`
	EjectedFor          monotime.Micros `json:"Left"`  // time from the snapshot on; 0 is not ejected
	EjectionTime        monotime.Micros `json:"For"`   // of the latest ejection, before jitter
	TrialPending        bool            `json:"Trial"` // an attempt since the ejection has no outcome yet
}

// LearnedState returns what the balancer has learned up to an instant. Endpoints that are gone are left out.
func (b *Balancer) LearnedState(now monotime.Micros) *LearnedState {
	state := &LearnedState{
		RequestRate:           b.requestRate.rate(now),
		SentWorkRate:          b.sentWorkRate.rate(now),
		RejectedRatio:         b.rejectedRatio.value,
		MeanWork:              b.meanWork.snapshot(),
		FleetServiceTimeRatio: b.fleetServiceTimeRatio.snapshot(),
		LatencyTrend:          b.latencyTrend,
		HintTrust:             b.hintTrust,
		LateReportRatio:       b.lateReportRatio.snapshot(),
		TypicalLoad:           b.typicalLoad.snapshot(),
		TypicalWarmingLoad:    b.typicalWarmingLoad.snapshot(),
		ServiceTime:           b.serviceTime.snapshot(),
		ReportsLate:           b.reportsLate,
		ReportWatchTime:       b.reportWatchTime,
		ReportChanges:         b.reportChanges,
	}
	for i := range b.classes {
		c := &b.classes[i]
		state.Classes = append(state.Classes,
			LearnedClass{c.meanWork.snapshot(), c.requestRate.rate(now), c.onTimeRatio.snapshot()})
	}
	for i := range b.tenantRates {
		state.TenantRates = append(state.TenantRates, b.tenantRates[i].rate(now))
	}
	for _, e := range b.endpoints {
		if e.State != Gone {
			state.Endpoints = append(state.Endpoints, b.snapshotEndpoint(now, e))
		}
	}
	return state
}

// snapshotEndpoint returns what the balancer has learned of e, with the token buckets refilled if e warms up.
func (b *Balancer) snapshotEndpoint(now monotime.Micros, e *endpoint) LearnedEndpoint {
	learned := LearnedEndpoint{
		ID:               e.ID,
		StartTime:        e.StartTime,
		RTT:              e.rtt.snapshot(),
		ServiceTimeRatio: e.serviceTimeRatio.snapshot(),
		ServiceTimeAge:   now - e.serviceTimeObservedAt,
		WarmingUp:        e.warmingUp(now, b),
		Outlier:          e.outliers[allTraffic].snapshot(now),
		BaseLatency:      e.breaker.baseLatency,
		CurrentLatency:   e.breaker.currentLatency,
		BreakerWindow:    e.breaker.snapshotWindow(now),
	}
	if learned.WarmingUp {
		b.hasWarmupCapacity(now, e, b.meanWork.value) // refills the buckets
		learned.WarmupAge = now - e.warmupStart
		learned.WarmupTokens = e.warmupTokens
		learned.ServedTokens = e.servedTokens
	}
	for i := range e.outliers[1:] {
		learned.PartOutliers = append(learned.PartOutliers, e.outliers[1+i].snapshot(now))
	}
	return learned
}

// snapshotWindow returns the buckets of the window, the oldest first, or nil without requests.
func (br *breaker) snapshotWindow(now monotime.Micros) [][3]int {
	br.advance(now)
	if br.requests <= 0 {
		return nil
	}
	var window [][3]int
	for i := br.newest - breakerBuckets + 1; i <= br.newest; i++ {
		oldBucket := &br.ring[(i+breakerBuckets)%breakerBuckets]
		window = append(window, [3]int{oldBucket.requests, oldBucket.accepts, oldBucket.failures})
	}
	return window
}

// Restore takes over what another balancer had learned when its snapshot was made, which is of some age, in
// place of what this one knows. It is meant for a balancer without open requests. Endpoints are those of this
// balancer's list, by ID and start time. Classes or tenants are skipped if their number is not that of the
// settings, and so are figures that cannot have been learned.
func (b *Balancer) Restore(now, age monotime.Micros, state *LearnedState) {
	age = max(0, age)
	b.restoreRates(now, state)
	b.restorePredictions(state)
	b.restoreReports(state)
	b.restoreEndpoints(now, age, state.Endpoints)
	b.capacityExpiresAt = now
}

// restoreRates restores the rates, of all requests, by class and by tenant.
func (b *Balancer) restoreRates(now monotime.Micros, state *LearnedState) {
	b.requestRate.set(now, state.RequestRate)
	b.sentWorkRate.set(now, state.SentWorkRate)
	b.rejectedRatio = ewma{min(1, validFigure(state.RejectedRatio)), manySamples}
	if len(state.Classes) == len(b.classes) {
		for i := range state.Classes {
			b.classes[i].restore(now, &state.Classes[i])
		}
	}
	if len(state.TenantRates) == len(b.tenantRates) {
		for i := range b.tenantRates {
			b.tenantRates[i].set(now, state.TenantRates[i])
		}
	}
}

// restorePredictions restores what latencies are predicted by.
func (b *Balancer) restorePredictions(state *LearnedState) {
	b.meanWork = state.MeanWork.restored()
	b.fleetServiceTimeRatio = state.FleetServiceTimeRatio.restored()
	b.latencyTrend = boundedTrend(validFigure(state.LatencyTrend))
	b.hintTrust = min(1, validFigure(state.HintTrust))
	b.typicalLoad = state.TypicalLoad.restored()
	b.typicalWarmingLoad = state.TypicalWarmingLoad.restored()
	b.serviceTime = state.ServiceTime.restored()
}

// restoreReports restores how old load reports are.
func (b *Balancer) restoreReports(state *LearnedState) {
	b.lateReportRatio = state.LateReportRatio.restored()
	b.reportsLate = state.ReportsLate
	b.reportWatchTime = validFigure(state.ReportWatchTime)
	b.reportChanges = validFigure(state.ReportChanges)
}

// restoreEndpoints restores the endpoints that are listed with the same start time.
func (b *Balancer) restoreEndpoints(now, age monotime.Micros, endpoints []LearnedEndpoint) {
	for i := range endpoints {
		learned := &endpoints[i]
		e := b.endpointsByID[learned.ID]
		if e == nil || e.StartTime != learned.StartTime {
			continue
		}
		e.restore(now, age, learned)
		e.servedWorkAtRefill = b.servedWork
	}
}

// restore restores a class, unless nothing was learned of it.
func (c *classStats) restore(now monotime.Micros, learned *LearnedClass) {
	if learned.MeanWork.Value > 0 {
		c.meanWork = learned.MeanWork.restored()
		c.onTimeRatio = learned.OnTimeRatio.restored()
		c.requestRate.set(now, learned.RequestRate)
	}
}

// restore restores an endpoint from a snapshot that is of some age.
func (e *endpoint) restore(now, age monotime.Micros, learned *LearnedEndpoint) {
	e.rtt = learned.RTT.restored()
	e.serviceTimeRatio = learned.ServiceTimeRatio.restored()
	e.serviceTimeObservedAt = now - learned.ServiceTimeAge - age
	e.outliers[allTraffic] = learned.Outlier.restored(now, age)
	if parts := e.outliers[1:]; len(learned.PartOutliers) == len(parts) {
		for i := range parts {
			parts[i] = learned.PartOutliers[i].restored(now, age)
		}
	}
	if learned.WarmingUp {
		e.restoreWarmup(now, age, learned)
	}
	e.breaker = breaker{
		baseLatency:    validFigure(learned.BaseLatency),
		currentLatency: validFigure(learned.CurrentLatency),
	}
	e.lastForcedPass = 0
	if len(learned.BreakerWindow) == breakerBuckets {
		e.breaker.restore(now, age, learned.BreakerWindow)
	}
}

// restoreWarmup resumes a warm-up with its token buckets, so that no token is given twice. If this balancer
// knows of a later start, that counts.
func (e *endpoint) restoreWarmup(now, age monotime.Micros, learned *LearnedEndpoint) {
	start := now - learned.WarmupAge - age
	if e.isWarmingUp {
		start = max(start, e.warmupStart)
	}
	e.isWarmingUp = true
	e.warmupStart = min(start, now)
	e.warmupTokens = validFigure(learned.WarmupTokens)
	e.warmupRefilledAt = now
	e.servedTokens = validFigure(learned.ServedTokens)
}

// restore fills the window with the buckets of a snapshot that is of some age. Impossible counts are skipped.
func (br *breaker) restore(now, age monotime.Micros, window [][3]int) {
	br.advance(now)
	const width = breakerWindow / breakerBuckets
	for i, counts := range window {
		savedBucket := bucket{requests: counts[0], accepts: counts[1], failures: counts[2]}
		bucketNumber := br.newest - int64(breakerBuckets-1-i) - age/width
		if bucketNumber <= br.newest-breakerBuckets || savedBucket.accepts < 0 || savedBucket.failures < 0 ||
			savedBucket.requests < savedBucket.accepts+savedBucket.failures {
			continue
		}
		br.ring[(bucketNumber+breakerBuckets)%breakerBuckets] = savedBucket
		br.requests += savedBucket.requests
		br.accepts += savedBucket.accepts
	}
}

// SetHandedOver sets whether another balancer has taken over what this one has learned, and with it the
// buckets of warming endpoints: this one sends them nothing more, or the two together could make one
// collapse. Each call, also one that ends the handover, empties the buckets: the other balancer may have used
// their tokens.
func (b *Balancer) SetHandedOver(now monotime.Micros, handedOver bool) {
	b.handedOver = handedOver
	for _, e := range b.endpoints {
		if e.isWarmingUp {
			e.warmupTokens = 0
			e.warmupRefilledAt = now
			e.servedTokens = 0
			e.servedWorkAtRefill = b.servedWork
		}
	}
}

// learned returns the form of an average in a snapshot.
func (a ewma) snapshot() Average { return Average{Value: a.value, Samples: a.samples} }

// restored returns the average of a snapshot.
func (a Average) restored() ewma { return ewma{validFigure(a.Value), validFigure(a.Samples)} }

// set sets the rate per second as of an instant.
func (m *rateMeter) set(now monotime.Micros, rate float64) {
	m.sum = validFigure(rate) * float64(rateMeterSpan) / float64(second)
	m.updatedAt = now
}

// learned returns the form of an outlier's statistics in a snapshot.
func (o *outlierStats) snapshot(now monotime.Micros) LearnedOutlier {
	return LearnedOutlier{
		ConsecutiveFailures: o.consecutiveFailures,
		EjectedFor:          max(0, o.ejectedUntil-now),
		EjectionTime:        o.ejectionTime,
		TrialPending:        o.trialPending,
	}
}

// maxRestoredEjection bounds the rest of an ejection of a snapshot. The longest ejection with its jitter, 1.5
// times maxEjectionTime, is within it.
const maxRestoredEjection = 2 * maxEjectionTime

// restored returns the statistics of a snapshot that is of some age. A pending trial is dropped: its outcome
// goes to the balancer that sent it.
func (learned LearnedOutlier) restored(now, age monotime.Micros) outlierStats {
	o := outlierStats{
		consecutiveFailures: max(0, learned.ConsecutiveFailures),
		ejectionTime:        min(max(0, learned.EjectionTime), maxEjectionTime),
	}
	if remaining := min(learned.EjectedFor, maxRestoredEjection) - age; remaining > 0 {
		o.ejectedUntil = now + remaining
	}
	return o
}

// validFigure returns a figure of a snapshot, or 0 for one that cannot have been learned: all are finite and
// not negative.
func validFigure(figure float64) float64 {
	if !(figure >= 0) || math.IsInf(figure, 0) {
		return 0
	}
	return figure
}
