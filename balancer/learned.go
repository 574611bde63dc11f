package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

// LearnedState is what a balancer has learned, for another that takes its place in a hot restart: service
// times, breaker windows, ejections, the budgets of warming endpoints. Instants are stored as ages at the
// time of the snapshot, since the two may count time from different origins.
//
// Its JSON form is stored and read by other versions. The tags are fixed; golden_test.go holds files of that
// form.
type LearnedState struct {
	Classes   []LearnedClass    `json:"Classes"` // in the order of the settings
	Endpoints []LearnedEndpoint `json:"Endpoints"`

	RequestRate           float64   `json:"Demand"`   // per second
	SentWorkRate          float64   `json:"SentWork"` // per second
	RejectedRatio         float64   `json:"Refused"`
	MeanWork              Average   `json:"Work"`
	FleetServiceTimeRatio Average   `json:"Fleet"`
	LatencyTrend          float64   `json:"Trend"`
	HintTrust             float64   `json:"Trust"`
	LateReportRatio       Average   `json:"Lag"`
	TypicalLoad           Average   `json:"Usual"`
	ServiceTime           Average   `json:"Service"`
	TypicalWarmingLoad    Average   `json:"UsualCold"`
	ReportsLate           bool      `json:"ReportsLate"`
	ReportWatchTime       float64   `json:"Watched"`
	ReportChanges         float64   `json:"Renewed"`
	TenantRates           []float64 `json:"Tenants"` // per second, in the order of the settings
}

// LearnedClass is what is known of a class.
type LearnedClass struct {
	MeanWork    Average `json:"Work"`
	RequestRate float64 `json:"Asked"` // per second
	OnTimeRatio Average `json:"Good"`
}

// LearnedEndpoint is what is known of an endpoint.
type LearnedEndpoint struct {
	ID               uint32          `json:"ID"`    // as in Endpoint
	StartTime        monotime.Micros `json:"Start"` // of the process that it is known of
	RTT              Average         `json:"RTT"`
	ServiceTimeRatio Average         `json:"Pace"`
	ServiceTimeAge   monotime.Micros `json:"PaceAge"`

	WarmingUp    bool            `json:"Cold"`
	WarmupAge    monotime.Micros `json:"ColdAge"` // since its start
	WarmupTokens float64         `json:"Room"`    // work that it may get, by demand
	ServedTokens float64         `json:"Share"`   // work that it may get, by what was served

	Outlier      LearnedOutlier   `json:"Whole"` // of all traffic
	PartOutliers []LearnedOutlier `json:"Parts"` // of each class, then of each tenant

	BaseLatency    float64  `json:"Base"`
	CurrentLatency float64  `json:"Current"`
	BreakerWindow  [][3]int `json:"Window"` // the breaker's buckets, the oldest first: requests, accepts, failures
}

// Average is a moving average and its number of samples.
type Average struct {
	Value   float64 `json:"V"`
	Samples float64 `json:"N"`
}

// LearnedOutlier is a run of failures, and the ejection that it led to.
type LearnedOutlier struct {
	ConsecutiveFailures int             `json:"Streak"`
	EjectedFor          monotime.Micros `json:"Left"` // from the snapshot on
	EjectionTime        monotime.Micros `json:"For"`
	TrialPending        bool            `json:"Trial"`
}

// LearnedState returns what the balancer has learned by an instant. Endpoints that are gone are left out.
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
	k := &e.breaker
	k.advance(now)
	for i := k.newest - breakerBuckets + 1; i <= k.newest && k.requests > 0; i++ {
		from := &k.ring[(i+breakerBuckets)%breakerBuckets]
		l.BreakerWindow = append(l.BreakerWindow, [3]int{from.requests, from.accepts, from.failures})
	}
	return l
}

// Restore takes over what another balancer had learned an age ago, in place of what this one knows. It is
// meant for one that has no request open. Endpoints are those of this balancer's list, by their IDs; what
// does not fit the settings' classes or tenants is skipped, part by part.
func (b *Balancer) Restore(now, age monotime.Micros, l *LearnedState) {
	age = max(0, age)
	b.requestRate.set(now, l.RequestRate)
	b.sentWorkRate.set(now, l.SentWorkRate)
	b.rejectedRatio = ewma{min(1, validFigure(l.RejectedRatio)), manySamples}
	b.meanWork = l.MeanWork.restored()
	b.fleetServiceTimeRatio = l.FleetServiceTimeRatio.restored()
	b.latencyTrend = min(maxTrend, max(1/maxTrend, validFigure(l.LatencyTrend)))
	b.hintTrust = min(1, validFigure(l.HintTrust))
	b.lateReportRatio = l.LateReportRatio.restored()
	b.typicalLoad = l.TypicalLoad.restored()
	b.typicalWarmingLoad = l.TypicalWarmingLoad.restored()
	b.serviceTime = l.ServiceTime.restored()
	b.reportsLate = l.ReportsLate
	b.reportWatchTime = validFigure(l.ReportWatchTime)
	b.reportChanges = validFigure(l.ReportChanges)
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
	for i := range l.Endpoints {
		if e := b.endpointsByID[l.Endpoints[i].ID]; e != nil && e.StartTime == l.Endpoints[i].StartTime {
			e.restore(now, age, &l.Endpoints[i])
			e.servedWorkAtRefill = b.servedWork
		}
	}
	b.capacityExpiresAt = now
}

func (c *classStats) restore(now monotime.Micros, l *LearnedClass) {
	if l.MeanWork.Value > 0 {
		c.meanWork = l.MeanWork.restored()
		c.onTimeRatio = l.OnTimeRatio.restored()
		c.requestRate.set(now, l.RequestRate)
	}
}

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
		// Its warm-up goes on, and so do the buckets: nothing is given twice.
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
	e.breaker = breaker{baseLatency: validFigure(l.BaseLatency), currentLatency: validFigure(l.CurrentLatency)}
	if len(l.BreakerWindow) == breakerBuckets {
		e.breaker.restore(now, age, l.BreakerWindow)
	}
}

// restore fills the window with the buckets of a snapshot that is of some age. Impossible ones are skipped.
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

// SetHandedOver says whether another balancer has taken over what this one has learned, and with it the
// buckets of warming endpoints: this one sends them nothing more, or the two together could make one
// collapse.
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

func (a ewma) learned() Average { return Average{Value: a.value, Samples: a.samples} }

func (a Average) restored() ewma { return ewma{validFigure(a.Value), validFigure(a.Samples)} }

func (m *rateMeter) set(now monotime.Micros, rate float64) {
	m.sum = validFigure(rate) * float64(rateMeterSpan) / float64(second)
	m.updatedAt = now
}

func (o *outlierStats) learned(now monotime.Micros) LearnedOutlier {
	return LearnedOutlier{
		ConsecutiveFailures: o.consecutiveFailures,
		EjectedFor:          max(0, o.ejectedUntil-now),
		EjectionTime:        o.ejectionTime,
		TrialPending:        o.trialPending,
	}
}

// restored drops a pending trial: its outcome goes to the balancer that sent it.
func (l LearnedOutlier) restored(now, age monotime.Micros) outlierStats {
	o := outlierStats{
		consecutiveFailures: max(0, l.ConsecutiveFailures),
		ejectionTime:        min(max(0, l.EjectionTime), breakerWindow),
	}
	if left := min(l.EjectedFor, 2*breakerWindow) - age; left > 0 {
		o.ejectedUntil = now + left
	}
	return o
}

// validFigure is a learned figure, 0 if it cannot have been learned: all are finite and not negative.
func validFigure(x float64) float64 {
	if !(x >= 0) || math.IsInf(x, 0) {
		return 0
	}
	return x
}
