package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	maxProbeInterval       = second / 10 // longest pause between rounds of several probes
	probeRateRecheck       = second / 2  // about so often the probe rate is computed anew
	probeBudget            = 0.005       // of the result, at most, is spent on probes while some are rejected;
	calmProbeShare         = 0.2         // while none are, this part of it tells as much (docs/design/model.md)
	fullProbeRejectedRatio = 0.05        // ratio of rejected requests from which all of the budget is used
	minFirstAttemptRatio   = 0.3         // least part of the requests that counts as admitted
	maxProbesPerRequest    = 4.0
	minProbeRate           = 0.1         // probes a second
	minLimitedProbeRate    = 0.01        // the same under an overload policy (rates divide by it)
	queuedProbeBudget      = 0.015       // of the result, at most, is spent on probes that requests wait for
	maxProbesPerQueued     = 3.0         // probes for a queued request
	limitedRoundShare      = 0.2         // of the probes of an overload policy, for rounds
	maxLimitedPerQueued    = 2.0         // probes for a queued request under an overload policy
	maxQueueTimeDivisor    = 10          // a request is queued for this part of its latency objective at most
	probePoolSize          = 24          // endpoints with reports that are compared
	probeBatch             = 3           // endpoints a round
	recentWorks            = 2.0         // mean works that a report is recent for
	maxRechecks            = 6           // endpoints probed twice to learn how often reports change
	minReportLifetime      = second      // a report may be used for so long,
	reportLifetimeRounds   = 3           // or for so many turns of the pool,
	maxReportLifetime      = 30 * second // but no longer
	maxLateReportRatio     = 0.1         // ratio of late reports from which averages are used
	ratioWeight            = 0.02
	maxPlausibleLoadRatio  = 2.0 // a report counts for the average as no more than so many times the typical one
	deliveryRoundTrips     = 5.0 // round trips after which an attempt has surely arrived
	lostProbeAfter         = 5 * second
)

// probeRate is how many probes a second the settings' price of a probe allows.
func (b *Balancer) probeRate(now monotime.Micros) float64 {
	perRequest := min(maxProbesPerRequest, probeBudget/max(1e-9, b.settings.Prices.Probe))
	perRequest *= calmProbeShare + (1-calmProbeShare)*min(1, b.rejectedRatio.value/fullProbeRejectedRatio)
	// The price counts first attempts. While all is rejected, reports must still show when that may end.
	rate := perRequest * b.requestRate.rate(now) * max(minFirstAttemptRatio, 1-b.rejectedRatio.value)
	rate = max(minProbeRate, rate)
	if b.overload != nil {
		// Probes that requests wait for are of more use: they are recent, and many requests share them.
		rate = max(minLimitedProbeRate, limitedRoundShare*min(rate, b.overload.MaxProbeRate))
	}
	return rate
}

// reportLifetime is how long a report in the pool may be used.
func (b *Balancer) reportLifetime(now monotime.Micros) monotime.Micros {
	turn := float64(min(probePoolSize, len(b.endpoints))) / b.probeRate(now) * float64(second)
	return min(max(minReportLifetime, monotime.Micros(reportLifetimeRounds*turn)), maxReportLifetime)
}

// sendProbe probes e unless it is not eligible or a probe of it is open, and says whether it did.
func (b *Balancer) sendProbe(now monotime.Micros, e *endpoint) bool {
	if !b.settings.Limits.Probes || !e.isEligible() || e.probing {
		return false
	}
	e.probing = true
	e.probedAt = now
	e.warmupTokens -= probeCharge * b.classes[0].meanWork.value * indicator(e.warmingUp(now, b))
	b.actions.Probe(e.ID)
	return true
}

// probeRound sends the probes that have come due at the present rate, and starts the timer of the next round.
// That comes soon even at a low rate: a rate of before the first requests would leave a busy balancer blind.
func (b *Balancer) probeRound(now monotime.Micros) {
	rate := b.probeRate(now)
	b.dueProbes = min(probeBatch, b.dueProbes+rate*float64(now-b.dueProbesAt)/float64(second))
	b.dueProbesAt = now
	if n := int(b.dueProbes); n > 0 {
		b.probeRandom(now, n, false)
		b.dueProbes -= float64(n)
	}
	batch := max(1, min(probeBatch, rate*float64(maxProbeInterval)/float64(second)))
	wait := monotime.Micros(max(0, batch-b.dueProbes) / rate * (0.5 + b.random.float()) * float64(second))
	limit := probeRateRecheck/2 + b.random.durationBelow(probeRateRecheck)
	b.actions.SetTimer(1+min(wait, limit), tokenProbe)
}

// probeRandom probes n random eligible endpoints; awaited says that queued requests wait for their reports.
func (b *Balancer) probeRandom(now monotime.Micros, n int, awaited bool) {
	for draws := 0; n > 0 && draws < 4*probeBatch && len(b.endpoints) > 0; draws++ {
		e := b.endpoints[b.random.index(len(b.endpoints))]
		if e.probing && now-e.probedAt > lostProbeAfter {
			e.probing = false
		}
		if awaited && e.isEjected(now) || !b.sendProbe(now, e) {
			continue
		}
		e.awaitedInRound = 0
		if awaited {
			e.awaitedInRound = b.queueRound
			b.awaitedProbes++
		}
		n--
	}
}

// HandleProbe handles the end of a probe; load is the report, valid during the call only.
func (b *Balancer) HandleProbe(now monotime.Micros, id uint32, status Status, latency monotime.Micros,
	load []float32) {
	e := b.endpointsByID[id]
	if e == nil {
		return
	}
	e.probing = false
	if status == OK && e.isEligible() {
		b.recordReport(now, e, latency, load)
	}
	if e.awaitedInRound == b.queueRound && b.awaitedProbes > 0 {
		e.awaitedInRound = 0
		b.awaitedProbes--
		if b.awaitedProbes == 0 {
			b.dispatchQueued(now)
		}
	}
}

// recordReport feeds a probe's round trip and report to the averages, and puts the endpoint into the pool.
func (b *Balancer) recordReport(now monotime.Micros, e *endpoint, latency monotime.Micros, load []float32) {
	e.rtt.add(float64(latency), fastWeight)
	report := parseLoadReport(b.settings.LoadMetrics, load)
	if report.serviceTime >= 0 {
		b.serviceTime.add(report.serviceTime, 1.0/probePoolSize)
	}
	if report.hasLoad {
		b.observeReportChanges(now, e, load)
		e.hasReport = true
		e.reportedAt = now
		b.addToPool(e)
		e.othersLoad = max(0, report.load-float64(e.inflight))
		e.ownLoadAtReport = e.activeAttempts()
		typical := b.typicalLoadOf(now, e)
		// An endpoint that reports nonsense is avoided for that; it must not count for all.
		plausible := min(e.othersLoad, maxPlausibleLoadRatio*(typical.value+assumedCores))
		typical.add(plausible, 1/float64(min(probePoolSize, len(b.endpoints))))
	}
	if report.countsInflight && e.inflight > 0 && float64(now-e.lastSentAt) > deliveryRoundTrips*e.rtt.value {
		b.observeReportAge(now, report.load+0.5 < float64(e.inflight))
	}
}

// observeReportAge counts late reports: those of less load than this balancer alone has there.
func (b *Balancer) observeReportAge(now monotime.Micros, late bool) {
	b.lateReportRatio.add(indicator(late), ratioWeight)
	ratio := b.lateReportRatio.value
	if ratio > maxLateReportRatio && !b.reportsLate || ratio < maxLateReportRatio/3 && b.reportsLate {
		b.reportsLate = !b.reportsLate
		b.logLateReports(now)
	}
}

// observeReportChanges learns how often reports are made anew: at first, endpoints are probed again after a
// while. A quiet balancer has no attempts of its own there by which it would see a late report.
func (b *Balancer) observeReportChanges(now monotime.Micros, e *endpoint, load []float32) {
	var sum float32
	for i, v := range load {
		sum += v * float32(i+1)
	}
	gap := float64(now - e.reportedAt)
	if e.hasReport && gap < 2*recentWorks*b.meanWork.value && (sum > 0 || e.reportSum > 0) {
		b.reportWatchTime += gap
		b.reportChanges += indicator(sum != e.reportSum)
	}
	e.reportSum = sum
	if b.recheckCount < maxRechecks && sum > 0 && b.random.float() < 0.5 {
		b.recheckCount++
		b.recheckedID = e.ID
		b.actions.SetTimer(1+monotime.Micros(recentWorks*b.meanWork.value/2), tokenRecheck)
	}
}

// queueUntilProbed queues r until probes sent now have answered, and says whether it did: the reports that a
// quiet balancer has are too old. It does not where enough are recent, or none can be had.
func (b *Balancer) queueUntilProbed(now monotime.Micros, r *request) bool {
	probes := min(maxProbesPerQueued, queuedProbeBudget/max(1e-9, b.settings.Prices.Probe))
	maxRecentRequests := float64(second) // a busy balancer's reports are recent without that
	if b.overload != nil {
		probes = min(probes, maxLimitedPerQueued)
		maxRecentRequests = math.Inf(1)
	}
	n := min(int(probes+b.random.float()), len(b.endpoints))
	span := recentWorks * b.meanWork.value
	// Where reports are rarely made anew, all balancers would see the same one and follow it.
	if b.reportInterval() > span || b.requestRate.rate(now)*span > maxRecentRequests {
		n = 0
	}
	for i := len(b.probePool) - 1; i >= 0 && n > 0 && float64(now-b.probePool[i].reportedAt) < span; i-- {
		n--
	}
	b.probeRandom(now, n-b.awaitedProbes, true)
	if b.awaitedProbes == 0 {
		return false
	}
	r.queued = true
	b.queued = append(b.queued, r)
	wait := min(b.classOf(r).LatencyObjective/maxQueueTimeDivisor, r.Deadline-now)
	b.actions.SetTimer(max(1, wait), r.timerToken)
	return true
}

// dispatchQueued dispatches all queued requests and ends the round: later answers do not count for the next.
func (b *Balancer) dispatchQueued(now monotime.Micros) {
	for _, r := range b.queued {
		r.queued = false
		b.dispatch(now, r)
	}
	b.queued = b.queued[:0]
	b.awaitedProbes = 0
	b.queueRound++
}
