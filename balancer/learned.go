package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

// Learned is what a balancer has learned, for another that takes its place: how long requests take and where,
// windows of breakers, ejections, what cold endpoints may still get. A balancer that starts with nothing holds
// empty windows; this removes that weakness where a process is replaced by another. Instants are kept as ages
// against the moment at which it was taken, since the two may count time from different origins.
type Learned struct {
	Classes   []LearnedClass    `json:"Classes"` // in the order of the settings
	Endpoints []LearnedEndpoint `json:"Endpoints"`

	Demand      float64   `json:"Demand"`   // a second
	SentWork    float64   `json:"SentWork"` // a second
	Refused     float64   `json:"Refused"`  // a share
	Work        Average   `json:"Work"`
	Fleet       Average   `json:"Fleet"`
	Trend       float64   `json:"Trend"`
	Trust       float64   `json:"Trust"`
	Lag         Average   `json:"Lag"`
	Usual       Average   `json:"Usual"`
	Service     Average   `json:"Service"`
	UsualCold   Average   `json:"UsualCold"` // as Usual, at endpoints that are cold
	ReportsLate bool      `json:"ReportsLate"`
	Watched     float64   `json:"Watched"`
	Renewed     float64   `json:"Renewed"`
	Tenants     []float64 `json:"Tenants"` // rates a second, in the order of the settings
}

// LearnedClass is what is known of a class.
type LearnedClass struct {
	Work  Average `json:"Work"`
	Asked float64 `json:"Asked"` // a second
	Good  Average `json:"Good"`
}

// LearnedEndpoint is what is known of an endpoint.
type LearnedEndpoint struct {
	ID      uint32          `json:"ID"`    // the host's number, as in Endpoint
	Start   monotime.Micros `json:"Start"` // its StartTime: what is known is of that process
	RTT     Average         `json:"RTT"`
	Pace    Average         `json:"Pace"`
	PaceAge monotime.Micros `json:"PaceAge"`

	Cold    bool            `json:"Cold"`
	ColdAge monotime.Micros `json:"ColdAge"` // since its warm-up began
	Room    float64         `json:"Room"`    // work that it may still get while cold: as is asked for,
	Share   float64         `json:"Share"`   // and as is served

	Whole Ejection   `json:"Whole"`
	Parts []Ejection `json:"Parts"` // of each class, then of each tenant

	Base    float64  `json:"Base"`    // the breaker's averages of latency:
	Current float64  `json:"Current"` // the usual one and that of now
	Window  [][3]int `json:"Window"`  // the breaker's buckets, the oldest first: requests, accepts, failures
}

// Average is a moving average and how many samples it has.
type Average struct {
	V float64 `json:"V"`
	N float64 `json:"N"`
}

// Ejection is a run of failures, and the ejection that it led to.
type Ejection struct {
	Streak int             `json:"Streak"`
	Left   monotime.Micros `json:"Left"` // ejected for so long yet
	For    monotime.Micros `json:"For"`
	Trial  bool            `json:"Trial"`
}

func (a ewma) learned() Average { return Average{a.value, a.samples} }

func (a Average) restored() ewma { return ewma{sane(a.V), sane(a.N)} }

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
func (b *Balancer) Learned(now monotime.Micros) *Learned {
	l := &Learned{Demand: b.requestRate.rate(now), SentWork: b.sentWorkRate.rate(now), Refused: b.rejectedRatio.value,
		Work: b.meanWork.learned(), Fleet: b.fleetServiceTimeRatio.learned(), Trend: b.latencyTrend, Trust: b.hintTrust, Lag: b.lateReportRatio.learned(),
		Usual: b.typicalLoad.learned(), UsualCold: b.typicalWarmingLoad.learned(), Service: b.serviceTime.learned(), ReportsLate: b.reportsLate, Watched: b.reportWatchTime, Renewed: b.reportChanges}
	for i := range b.classes {
		c := &b.classes[i]
		l.Classes = append(l.Classes, LearnedClass{c.meanWork.learned(), c.requestRate.rate(now), c.onTimeRatio.learned()})
	}
	for i := range b.tenantRates {
		l.Tenants = append(l.Tenants, b.tenantRates[i].rate(now))
	}
	for _, e := range b.endpoints {
		if e.State == Gone {
			continue
		}
		to := LearnedEndpoint{ID: e.Endpoint.ID, Start: e.StartTime, RTT: e.rtt.learned(), Pace: e.serviceTimeRatio.learned(), PaceAge: now - e.serviceTimeObservedAt,
			Cold: e.warmingUp(now, b), Whole: e.outlier.learned(now), Base: e.breaker.baseLatency, Current: e.breaker.currentLatency}
		if to.Cold {
			b.hasWarmupCapacity(now, e, b.meanWork.value)
			to.ColdAge, to.Room, to.Share = now-e.warmupStart, e.warmupTokens, e.servedTokens
		}
		for i := range e.partOutliers {
			to.Parts = append(to.Parts, e.partOutliers[i].learned(now))
		}
		e.breaker.advance(now)
		for i := e.breaker.newest - breakerBuckets + 1; i <= e.breaker.newest && e.breaker.requests > 0; i++ {
			at := &e.breaker.ring[(i+breakerBuckets)%breakerBuckets]
			to.Window = append(to.Window, [3]int{at.requests, at.accepts, at.failures})
		}
		l.Endpoints = append(l.Endpoints, to)
	}
	return l
}

func (i *outlierStats) learned(now monotime.Micros) Ejection {
	return Ejection{Streak: i.consecutiveFailures, Left: max(0, i.ejectedUntil-now), For: i.ejectionTime, Trial: i.trialPending}
}

func (e Ejection) restored(now, age monotime.Micros) outlierStats {
	i := outlierStats{consecutiveFailures: max(0, e.Streak), ejectionTime: min(max(0, e.For), breakerWindow)}
	if left := min(e.Left, 2*breakerWindow) - age; left > 0 {
		i.ejectedUntil = now + left
	}
	return i // a trial's outcome went to the one who sent it
}

// Restore takes over what another balancer had learned so long ago, in place of what this one knows. It is meant
// for one that has no request open. Endpoints are those of this balancer's list, by their IDs; what does not fit
// the settings' classes or tenants is passed over, part by part.
func (b *Balancer) Restore(now, age monotime.Micros, l *Learned) {
	age = max(0, age)
	b.requestRate.set(now, l.Demand)
	b.sentWorkRate.set(now, l.SentWork)
	b.rejectedRatio = ewma{min(1, sane(l.Refused)), manySamples}
	b.meanWork, b.fleetServiceTimeRatio = l.Work.restored(), l.Fleet.restored()
	b.latencyTrend, b.hintTrust = min(maxTrend, max(1/maxTrend, sane(l.Trend))), min(1, sane(l.Trust))
	b.lateReportRatio, b.typicalLoad, b.serviceTime = l.Lag.restored(), l.Usual.restored(), l.Service.restored()
	b.typicalWarmingLoad = l.UsualCold.restored()
	b.reportsLate, b.reportWatchTime, b.reportChanges = l.ReportsLate, sane(l.Watched), sane(l.Renewed)
	fits := len(l.Classes) == len(b.classes)
	for i := range b.classes {
		if fits && l.Classes[i].Work.V > 0 {
			b.classes[i].meanWork, b.classes[i].onTimeRatio = l.Classes[i].Work.restored(), l.Classes[i].Good.restored()
			b.classes[i].requestRate.set(now, l.Classes[i].Asked)
		}
	}
	if len(l.Tenants) == len(b.tenantRates) {
		for i := range b.tenantRates {
			b.tenantRates[i].set(now, l.Tenants[i])
		}
	}
	for i := range l.Endpoints {
		if e := b.endpointsByID[l.Endpoints[i].ID]; e != nil && e.StartTime == l.Endpoints[i].Start {
			e.restore(now, age, &l.Endpoints[i], len(b.classes)+len(b.tenantRates))
			e.servedWorkAtRefill = b.servedWork
		}
	}
	b.capacityExpiresAt = now
}

func (e *endpoint) restore(now, age monotime.Micros, l *LearnedEndpoint, parts int) {
	e.rtt, e.serviceTimeRatio, e.serviceTimeObservedAt = l.RTT.restored(), l.Pace.restored(), now-l.PaceAge-age
	e.outlier = l.Whole.restored(now, age)
	if len(l.Parts) == parts {
		for i := range l.Parts {
			e.partOutliers[i] = l.Parts[i].restored(now, age)
		}
	}
	if l.Cold {
		// Its warm-up goes on, and so does the account of what it may get: nothing is given twice.
		from := now - l.ColdAge - age
		if e.isWarmingUp {
			from = max(from, e.warmupStart)
		}
		e.isWarmingUp, e.warmupStart, e.warmupTokens, e.warmupRefilledAt, e.servedTokens = true, min(from, now), sane(l.Room), now, sane(l.Share)
	}
	e.breaker = breaker{baseLatency: sane(l.Base), currentLatency: sane(l.Current)}
	if len(l.Window) != breakerBuckets {
		return
	}
	k := &e.breaker
	k.advance(now)
	const width = breakerWindow / breakerBuckets
	for i, at := range l.Window {
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
func (b *Balancer) HandOver(now monotime.Micros, yes bool) {
	b.handedOver = yes
	for _, e := range b.endpoints {
		if e.isWarmingUp {
			e.warmupTokens, e.warmupRefilledAt, e.servedTokens, e.servedWorkAtRefill = 0, now, 0, b.servedWork
		}
	}
}
