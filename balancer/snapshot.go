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
	l := &LearnedState{
		RequestRate:           b.requestRate.rate(now),
		SentWorkRate:          b.sentWorkRate.rate(now),
		RejectedRatio:         b.rejectedRatio.value,
		MeanWork:              b.meanWork.learned(),
		FleetServiceTimeRatio: b.fleetServiceTimeRatio.learned(),
		LatencyTrend:          b.latencyTrend,
		HintTrust:             b.hintTrust,
		LateReportRatio:       b.lateReportRatio.learned(),
		TypicalLoad:           b.typicalLoad.learned(),
		TypicalWarmingLoad:    b.typicalWarmingLoad.learned(),
		ServiceTime:           b.serviceTime.learned(),
		ReportsLate:           b.reportsLate,
		ReportWatchTime:       b.reportWatchTime,
		ReportChanges:         b.reportChanges,
	}
	for i := range b.classes {
		c := &b.classes[i]
		l.Classes = append(l.Classes,
			LearnedClass{c.meanWork.learned(), c.requestRate.rate(now), c.onTimeRatio.learned()})
	}
	for i := range b.tenantRates {
		l.TenantRates = append(l.TenantRates, b.tenantRates[i].rate(now))
	}
	for _, e := range b.endpoints {
		if e.State != Gone {
			l.Endpoints = append(l.Endpoints, b.learnedEndpoint(now, e))
		}
	}
	return l
}

// learnedEndpoint returns what the balancer has learned of e, with the token buckets refilled if e warms up.
func (b *Balancer) learnedEndpoint(now monotime.Micros, e *endpoint) LearnedEndpoint {
	l := LearnedEndpoint{
		ID:               e.ID,
		StartTime:        e.StartTime,
		RTT:              e.rtt.learned(),
		ServiceTimeRatio: e.serviceTimeRatio.learned(),
		ServiceTimeAge:   now - e.serviceTimeObservedAt,
		WarmingUp:        e.warmingUp(now, b),
		Outlier:          e.outliers[allTraffic].learned(now),
		BaseLatency:      e.breaker.baseLatency,
		CurrentLatency:   e.breaker.currentLatency,
		BreakerWindow:    e.breaker.learnedWindow(now),
	}
	if l.WarmingUp {
		b.hasWarmupCapacity(now, e, b.meanWork.value) // refills the buckets
		l.WarmupAge = now - e.warmupStart
		l.WarmupTokens = e.warmupTokens
		l.ServedTokens = e.servedTokens
	}
	for i := range e.outliers[1:] {
		l.PartOutliers = append(l.PartOutliers, e.outliers[1+i].learned(now))
	}
	return l
}

// learnedWindow returns the buckets of the window, the oldest first, or nil without requests.
func (k *breaker) learnedWindow(now monotime.Micros) [][3]int {
	k.advance(now)
	if k.requests <= 0 {
		return nil
	}
	var window [][3]int
	for i := k.newest - breakerBuckets + 1; i <= k.newest; i++ {
		from := &k.ring[(i+breakerBuckets)%breakerBuckets]
		window = append(window, [3]int{from.requests, from.accepts, from.failures})
	}
	return window
}

// Restore takes over what another balancer had learned when its snapshot was made, which is of some age, in
// place of what this one knows. It is meant for a balancer without open requests. Endpoints are those of this
// balancer's list, by ID and start time. Classes or tenants are skipped if their number is not that of the
// settings, and so are figures that cannot have been learned.
func (b *Balancer) Restore(now, age monotime.Micros, l *LearnedState) {
	age = max(0, age)
	b.restoreRates(now, l)
	b.restorePredictions(l)
	b.restoreReports(l)
	b.restoreEndpoints(now, age, l.Endpoints)
	b.capacityExpiresAt = now
}

// restoreRates restores the rates, of all requests, by class and by tenant.
func (b *Balancer) restoreRates(now monotime.Micros, l *LearnedState) {
	b.requestRate.set(now, l.RequestRate)
	b.sentWorkRate.set(now, l.SentWorkRate)
	b.rejectedRatio = ewma{min(1, validFigure(l.RejectedRatio)), manySamples}
	if len(l.Classes) == len(b.classes) {
		for i := range l.Classes {
			b.classes[i].restore(now, &l.Classes[i])
		}
	}
	if len(l.TenantRates) == len(b.tenantRates) {
		for i := range b.tenantRates {
			b.tenantRates[i].set(now, l.TenantRates[i])
		}
	}
}

// restorePredictions restores what latencies are predicted by.
func (b *Balancer) restorePredictions(l *LearnedState) {
	b.meanWork = l.MeanWork.restored()
	b.fleetServiceTimeRatio = l.FleetServiceTimeRatio.restored()
	b.latencyTrend = boundedTrend(validFigure(l.LatencyTrend))
	b.hintTrust = min(1, validFigure(l.HintTrust))
	b.typicalLoad = l.TypicalLoad.restored()
	b.typicalWarmingLoad = l.TypicalWarmingLoad.restored()
	b.serviceTime = l.ServiceTime.restored()
}

// restoreReports restores how old load reports are.
func (b *Balancer) restoreReports(l *LearnedState) {
	b.lateReportRatio = l.LateReportRatio.restored()
	b.reportsLate = l.ReportsLate
	b.reportWatchTime = validFigure(l.ReportWatchTime)
	b.reportChanges = validFigure(l.ReportChanges)
}

// restoreEndpoints restores the endpoints that are listed with the same start time.
func (b *Balancer) restoreEndpoints(now, age monotime.Micros, endpoints []LearnedEndpoint) {
	for i := range endpoints {
		l := &endpoints[i]
		e := b.endpointsByID[l.ID]
		if e == nil || e.StartTime != l.StartTime {
			continue
		}
		e.restore(now, age, l)
		e.servedWorkAtRefill = b.servedWork
	}
}

// restore restores a class, unless nothing was learned of it.
func (c *classStats) restore(now monotime.Micros, l *LearnedClass) {
	if l.MeanWork.Value > 0 {
		c.meanWork = l.MeanWork.restored()
		c.onTimeRatio = l.OnTimeRatio.restored()
		c.requestRate.set(now, l.RequestRate)
	}
}

// restore restores an endpoint from a snapshot that is of some age.
func (e *endpoint) restore(now, age monotime.Micros, l *LearnedEndpoint) {
	e.rtt = l.RTT.restored()
	e.serviceTimeRatio = l.ServiceTimeRatio.restored()
	e.serviceTimeObservedAt = now - l.ServiceTimeAge - age
	e.outliers[allTraffic] = l.Outlier.restored(now, age)
	if parts := e.outliers[1:]; len(l.PartOutliers) == len(parts) {
		for i := range parts {
			parts[i] = l.PartOutliers[i].restored(now, age)
		}
	}
	if l.WarmingUp {
		e.restoreWarmup(now, age, l)
	}
	e.breaker = breaker{
		baseLatency:    validFigure(l.BaseLatency),
		currentLatency: validFigure(l.CurrentLatency),
	}
	e.lastForcedPass = 0
	if len(l.BreakerWindow) == breakerBuckets {
		e.breaker.restore(now, age, l.BreakerWindow)
	}
}

// restoreWarmup resumes a warm-up with its token buckets, so that no token is given twice. If this balancer
// knows of a later start, that counts.
func (e *endpoint) restoreWarmup(now, age monotime.Micros, l *LearnedEndpoint) {
	start := now - l.WarmupAge - age
	if e.isWarmingUp {
		start = max(start, e.warmupStart)
	}
	e.isWarmingUp = true
	e.warmupStart = min(start, now)
	e.warmupTokens = validFigure(l.WarmupTokens)
	e.warmupRefilledAt = now
	e.servedTokens = validFigure(l.ServedTokens)
}

// restore fills the window with the buckets of a snapshot that is of some age. Impossible counts are skipped.
func (k *breaker) restore(now, age monotime.Micros, window [][3]int) {
	k.advance(now)
	const width = breakerWindow / breakerBuckets
	for i, counts := range window {
		from := bucket{requests: counts[0], accepts: counts[1], failures: counts[2]}
		number := k.newest - int64(breakerBuckets-1-i) - age/width
		if number <= k.newest-breakerBuckets || from.accepts < 0 || from.failures < 0 ||
			from.requests < from.accepts+from.failures {
			continue
		}
		k.ring[(number+breakerBuckets)%breakerBuckets] = from
		k.requests += from.requests
		k.accepts += from.accepts
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
func (a ewma) learned() Average { return Average{Value: a.value, Samples: a.samples} }

// restored returns the average of a snapshot.
func (a Average) restored() ewma { return ewma{validFigure(a.Value), validFigure(a.Samples)} }

// set sets the rate per second as of an instant.
func (m *rateMeter) set(now monotime.Micros, rate float64) {
	m.sum = validFigure(rate) * float64(rateMeterSpan) / float64(second)
	m.updatedAt = now
}

// learned returns the form of an outlier's statistics in a snapshot.
func (o *outlierStats) learned(now monotime.Micros) LearnedOutlier {
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
func (l LearnedOutlier) restored(now, age monotime.Micros) outlierStats {
	o := outlierStats{
		consecutiveFailures: max(0, l.ConsecutiveFailures),
		ejectionTime:        min(max(0, l.EjectionTime), maxEjectionTime),
	}
	if left := min(l.EjectedFor, maxRestoredEjection) - age; left > 0 {
		o.ejectedUntil = now + left
	}
	return o
}

// validFigure returns a figure of a snapshot, or 0 for one that cannot have been learned: all are finite and
// not negative.
func validFigure(x float64) float64 {
	if !(x >= 0) || math.IsInf(x, 0) {
		return 0
	}
	return x
}
