package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

// Learned is what a balancer has learned, for another that takes its place: how long requests take and where,
// windows of breakers, ejections, what cold endpoints may still get. A balancer that starts with nothing holds
// empty windows; this removes that weakness where a process is replaced by another. Instants are kept as ages
// against the moment at which it was taken, since the two may count time from different origins.
type LearnedState struct {
	Classes   []LearnedClass    `json:"Classes"` // in the order of the settings
	Endpoints []LearnedEndpoint `json:"Endpoints"`

	RequestRate           float64   `json:"Demand"`   // a second
	SentWorkRate          float64   `json:"SentWork"` // a second
	RejectedRatio         float64   `json:"Refused"`  // a share
	MeanWork              Average   `json:"Work"`
	FleetServiceTimeRatio Average   `json:"Fleet"`
	LatencyTrend          float64   `json:"Trend"`
	HintTrust             float64   `json:"Trust"`
	LateReportRatio       Average   `json:"Lag"`
	TypicalLoad           Average   `json:"Usual"`
	ServiceTime           Average   `json:"Service"`
	TypicalWarmingLoad    Average   `json:"UsualCold"` // as Usual, at endpoints that are cold
	ReportsLate           bool      `json:"ReportsLate"`
	ReportWatchTime       float64   `json:"Watched"`
	ReportChanges         float64   `json:"Renewed"`
	TenantRates           []float64 `json:"Tenants"` // rates a second, in the order of the settings
}

// LearnedClass is what is known of a class.
type LearnedClass struct {
	MeanWork    Average `json:"Work"`
	RequestRate float64 `json:"Asked"` // a second
	OnTimeRatio Average `json:"Good"`
}

// LearnedEndpoint is what is known of an endpoint.
type LearnedEndpoint struct {
	ID               uint32          `json:"ID"`    // the host's number, as in Endpoint
	StartTime        monotime.Micros `json:"Start"` // its StartTime: what is known is of that process
	RTT              Average         `json:"RTT"`
	ServiceTimeRatio Average         `json:"Pace"`
	ServiceTimeAge   monotime.Micros `json:"PaceAge"`

	WarmingUp    bool            `json:"Cold"`
	WarmupAge    monotime.Micros `json:"ColdAge"` // since its warm-up began
	WarmupTokens float64         `json:"Room"`    // work that it may still get while cold: as is asked for,
	ServedTokens float64         `json:"Share"`   // and as is served

	Outlier      LearnedOutlier   `json:"Whole"`
	PartOutliers []LearnedOutlier `json:"Parts"` // of each class, then of each tenant

	BaseLatency    float64  `json:"Base"`    // the breaker's averages of latency:
	CurrentLatency float64  `json:"Current"` // the usual one and that of now
	BreakerWindow  [][3]int `json:"Window"`  // the breaker's buckets, the oldest first: requests, accepts, failures
}

// Average is a moving average and how many samples it has.
type Average struct {
	Value   float64 `json:"V"`
	Samples float64 `json:"N"`
}

// Ejection is a run of failures, and the ejection that it led to.
type LearnedOutlier struct {
	ConsecutiveFailures int             `json:"Streak"`
	EjectedFor          monotime.Micros `json:"Left"` // ejected for so long yet
	EjectionTime        monotime.Micros `json:"For"`
	TrialPending        bool            `json:"Trial"`
}

func (a ewma) learned() Average { return Average{a.value, a.samples} }

func (a Average) restored() ewma { return ewma{sane(a.Value), sane(a.Samples)} }

func (m *rateMeter) set(now monotime.Micros, rate float64) {
	m.sum, m.updatedAt = sane(rate)*float64(rateMeterSpan)/float64(second), now
}

// sane is a figure that may be used: no other than a finite one from 0 on was ever learned.
func sane(x float64) float64 {
	if !(x >= 0) || math.IsInf(x, 0) {
		return 0
	}
	return x
}

// Learned returns what the balancer knows at an instant. Endpoints that are gone are left out.
func (b *Balancer) LearnedState(now monotime.Micros) *LearnedState {
	l := &LearnedState{RequestRate: b.requestRate.rate(now), SentWorkRate: b.sentWorkRate.rate(now), RejectedRatio: b.rejectedRatio.value,
		MeanWork: b.meanWork.learned(), FleetServiceTimeRatio: b.fleetServiceTimeRatio.learned(), LatencyTrend: b.latencyTrend, HintTrust: b.hintTrust, LateReportRatio: b.lateReportRatio.learned(),
		TypicalLoad: b.typicalLoad.learned(), TypicalWarmingLoad: b.typicalWarmingLoad.learned(), ServiceTime: b.serviceTime.learned(), ReportsLate: b.reportsLate, ReportWatchTime: b.reportWatchTime, ReportChanges: b.reportChanges}
	for i := range b.classes {
		c := &b.classes[i]
		l.Classes = append(l.Classes, LearnedClass{c.meanWork.learned(), c.requestRate.rate(now), c.onTimeRatio.learned()})
	}
	for i := range b.tenantRates {
		l.TenantRates = append(l.TenantRates, b.tenantRates[i].rate(now))
	}
	for _, e := range b.endpoints {
		if e.State == Gone {
			continue
		}
		to := LearnedEndpoint{ID: e.Endpoint.ID, StartTime: e.StartTime, RTT: e.rtt.learned(), ServiceTimeRatio: e.serviceTimeRatio.learned(), ServiceTimeAge: now - e.serviceTimeObservedAt,
			WarmingUp: e.warmingUp(now, b), Outlier: e.outlier.learned(now), BaseLatency: e.breaker.baseLatency, CurrentLatency: e.breaker.currentLatency}
		if to.WarmingUp {
			b.hasWarmupCapacity(now, e, b.meanWork.value)
			to.WarmupAge, to.WarmupTokens, to.ServedTokens = now-e.warmupStart, e.warmupTokens, e.servedTokens
		}
		for i := range e.partOutliers {
			to.PartOutliers = append(to.PartOutliers, e.partOutliers[i].learned(now))
		}
		e.breaker.advance(now)
		for i := e.breaker.newest - breakerBuckets + 1; i <= e.breaker.newest && e.breaker.requests > 0; i++ {
			at := &e.breaker.ring[(i+breakerBuckets)%breakerBuckets]
			to.BreakerWindow = append(to.BreakerWindow, [3]int{at.requests, at.accepts, at.failures})
		}
		l.Endpoints = append(l.Endpoints, to)
	}
	return l
}

func (i *outlierStats) learned(now monotime.Micros) LearnedOutlier {
	return LearnedOutlier{ConsecutiveFailures: i.consecutiveFailures, EjectedFor: max(0, i.ejectedUntil-now), EjectionTime: i.ejectionTime, TrialPending: i.trialPending}
}

func (e LearnedOutlier) restored(now, age monotime.Micros) outlierStats {
	i := outlierStats{consecutiveFailures: max(0, e.ConsecutiveFailures), ejectionTime: min(max(0, e.EjectionTime), breakerWindow)}
	if left := min(e.EjectedFor, 2*breakerWindow) - age; left > 0 {
		i.ejectedUntil = now + left
	}
	return i // a trial's outcome went to the one who sent it
}

// Restore takes over what another balancer had learned so long ago, in place of what this one knows. It is meant
// for one that has no request open. Endpoints are those of this balancer's list, by their IDs; what does not fit
// the settings' classes or tenants is passed over, part by part.
func (b *Balancer) Restore(now, age monotime.Micros, l *LearnedState) {
	age = max(0, age)
	b.requestRate.set(now, l.RequestRate)
	b.sentWorkRate.set(now, l.SentWorkRate)
	b.rejectedRatio = ewma{min(1, sane(l.RejectedRatio)), manySamples}
	b.meanWork, b.fleetServiceTimeRatio = l.MeanWork.restored(), l.FleetServiceTimeRatio.restored()
	b.latencyTrend, b.hintTrust = min(maxTrend, max(1/maxTrend, sane(l.LatencyTrend))), min(1, sane(l.HintTrust))
	b.lateReportRatio, b.typicalLoad, b.serviceTime = l.LateReportRatio.restored(), l.TypicalLoad.restored(), l.ServiceTime.restored()
	b.typicalWarmingLoad = l.TypicalWarmingLoad.restored()
	b.reportsLate, b.reportWatchTime, b.reportChanges = l.ReportsLate, sane(l.ReportWatchTime), sane(l.ReportChanges)
	fits := len(l.Classes) == len(b.classes)
	for i := range b.classes {
		if fits && l.Classes[i].MeanWork.Value > 0 {
			b.classes[i].meanWork, b.classes[i].onTimeRatio = l.Classes[i].MeanWork.restored(), l.Classes[i].OnTimeRatio.restored()
			b.classes[i].requestRate.set(now, l.Classes[i].RequestRate)
		}
	}
	if len(l.TenantRates) == len(b.tenantRates) {
		for i := range b.tenantRates {
			b.tenantRates[i].set(now, l.TenantRates[i])
		}
	}
	for i := range l.Endpoints {
		if e := b.endpointsByID[l.Endpoints[i].ID]; e != nil && e.StartTime == l.Endpoints[i].StartTime {
			e.restore(now, age, &l.Endpoints[i], len(b.classes)+len(b.tenantRates))
			e.servedWorkAtRefill = b.servedWork
		}
	}
	b.capacityExpiresAt = now
}

func (e *endpoint) restore(now, age monotime.Micros, l *LearnedEndpoint, parts int) {
	e.rtt, e.serviceTimeRatio, e.serviceTimeObservedAt = l.RTT.restored(), l.ServiceTimeRatio.restored(), now-l.ServiceTimeAge-age
	e.outlier = l.Outlier.restored(now, age)
	if len(l.PartOutliers) == parts {
		for i := range l.PartOutliers {
			e.partOutliers[i] = l.PartOutliers[i].restored(now, age)
		}
	}
	if l.WarmingUp {
		// Its warm-up goes on, and so does the account of what it may get: nothing is given twice.
		from := now - l.WarmupAge - age
		if e.isWarmingUp {
			from = max(from, e.warmupStart)
		}
		e.isWarmingUp, e.warmupStart, e.warmupTokens, e.warmupRefilledAt, e.servedTokens = true, min(from, now), sane(l.WarmupTokens), now, sane(l.ServedTokens)
	}
	e.breaker = breaker{baseLatency: sane(l.BaseLatency), currentLatency: sane(l.CurrentLatency)}
	if len(l.BreakerWindow) != breakerBuckets {
		return
	}
	k := &e.breaker
	k.advance(now)
	const width = breakerWindow / breakerBuckets
	for i, at := range l.BreakerWindow {
		number := k.newest - int64(breakerBuckets-1-i) - age/width
		if number <= k.newest-breakerBuckets || at[1] < 0 || at[2] < 0 || at[0] < at[1]+at[2] {
			continue
		}
		k.ring[(number+breakerBuckets)%breakerBuckets] = bucket{at[0], at[1], at[2]}
		k.requests += at[0]
		k.accepts += at[1]
	}
}

// HandOver says whether another balancer has taken over what this one had learned, and with it all that cold
// endpoints may still get: this one sends them nothing more, or the two together could push one over.
func (b *Balancer) SetHandedOver(now monotime.Micros, yes bool) {
	b.handedOver = yes
	for _, e := range b.endpoints {
		if e.isWarmingUp {
			e.warmupTokens, e.warmupRefilledAt, e.servedTokens, e.servedWorkAtRefill = 0, now, 0, b.servedWork
		}
	}
}
