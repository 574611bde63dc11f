package balancer

import "dunlinsail/internal/monotime"

const (
	probePoolSize           = 24          // endpoints with load reports that are compared for a request
	minReportLifetime       = second      // a report may be used for at least this time
	reportLifetimeRefreshes = 3           // turns of the pool for which a report may be used
	maxReportLifetime       = 30 * second // a report may be used for at most this time
)

// reportLifetime returns how long (microseconds) a load report may be used for picks: reportLifetimeRefreshes
// turns of the pool, but at least minReportLifetime and at most maxReportLifetime. A turn is
// min(probePoolSize, number of listed endpoints) over the probe rate (per second).
func (b *Balancer) reportLifetime(now monotime.Micros) monotime.Micros {
	refreshTime := float64(min(probePoolSize, len(b.endpoints))) / b.probeRate(now) * float64(second)
	return min(max(minReportLifetime, monotime.Micros(reportLifetimeRefreshes*refreshTime)), maxReportLifetime)
}

// reportedServiceTimeWeight is the weight of one report in the mean reported service time, which is over
// about a pool of reports.
const reportedServiceTimeWeight = 1.0 / probePoolSize

// recordReport records the round trip (microseconds) and the load report of a probe of e.
func (b *Balancer) recordReport(now monotime.Micros, e *endpoint, latency monotime.Micros, load []float32) {
	e.rtt.add(float64(latency), fastWeight)
	report := parseLoadReport(b.settings.LoadMetrics, load)
	if report.serviceTime >= 0 {
		b.serviceTime.add(report.serviceTime, reportedServiceTimeWeight)
	}
	if report.hasLoad {
		b.observeReportChanges(now, e, load)
		b.recordLoad(now, e, report.load)
	}
	if report.countsInflight {
		b.checkReportAge(now, e, report.load)
	}
}

// maxPlausibleLoadRatio bounds what one report adds to the typical load, as a multiple of it. An endpoint
// that reports too much is avoided for that, but it must not raise the load assumed for all others.
const maxPlausibleLoadRatio = 2.0

// recordLoad puts e into the pool with its reported load (requests), and updates the load of other balancers
// that is typical for endpoints like e.
func (b *Balancer) recordLoad(now monotime.Micros, e *endpoint, load float64) {
	e.hasReport = true
	e.reportedAt = now
	b.addToPool(e)
	e.othersLoad = max(0, load-float64(e.inflight))
	e.ownLoadAtReport = e.activeAttempts()
	typical := b.typicalLoadOf(now, e)
	plausible := min(e.othersLoad, maxPlausibleLoadRatio*(typical.value+assumedCores))
	typical.add(plausible, 1/float64(min(probePoolSize, len(b.endpoints))))
}

const (
	// deliveryRoundTrips is the number of round trips after a send by which the endpoint has received the
	// attempt.
	deliveryRoundTrips = 5.0

	loadRounding = 0.5 // requests: a reported load that is less by more than this is less by a whole request
)

// checkReportAge compares a reported load (requests) with this balancer's own attempts in flight at e. A
// report of fewer was made before they arrived: it is late. Nothing is checked without an attempt in flight
// at e, or within deliveryRoundTrips of the latest send to e. So a quiet balancer checks few reports or none,
// and reportsLate stays as it was.
func (b *Balancer) checkReportAge(now monotime.Micros, e *endpoint, load float64) {
	if e.inflight > 0 && float64(now-e.lastSentAt) > deliveryRoundTrips*e.rtt.value {
		b.observeReportAge(now, load+loadRounding < float64(e.inflight))
	}
}

const (
	maxLateReportRatio = 0.1 // of the compared reports are late: above it averages replace reports

	// lateReportHysteresis divides maxLateReportRatio: reports are used again below a third of that ratio, so
	// that the state does not flap.
	lateReportHysteresis = 3
)

// observeReportAge counts a report as late or not, and decides from the ratio of late ones whether loads are
// predicted from reports or from averages (reportsLate). With late reports the least loaded endpoint is not
// known.
func (b *Balancer) observeReportAge(now monotime.Micros, late bool) {
	b.lateReportRatio.add(indicator(late), ratioWeight)
	ratio := b.lateReportRatio.value
	becameLate := ratio > maxLateReportRatio && !b.reportsLate
	becameTimely := ratio < maxLateReportRatio/lateReportHysteresis && b.reportsLate
	if becameLate || becameTimely {
		b.reportsLate = !b.reportsLate
		b.logLateReports(now)
	}
}

const (
	// recentWorks is the age up to which a load report is recent, in mean works (microseconds each). Later,
	// many of the requests that it counted have ended.
	recentWorks = 2.0

	maxRechecks   = 6   // endpoints that are probed twice, to measure how often reports change
	recheckChance = 0.5 // of a second probe after a report, until there were maxRechecks

	// maxRecheckGap is the longest time between two compared reports, in mean works. Reports that change
	// often would seem to change once in a longer time.
	maxRecheckGap = 2 * recentWorks
)

// observeReportChanges measures how often an endpoint makes a new report, by comparing two that are close in
// time (reportInterval). At first, some endpoints are probed a second time for it: a quiet balancer has no
// attempts in flight by which it would notice a late report.
func (b *Balancer) observeReportChanges(now monotime.Micros, e *endpoint, load []float32) {
	var weightedSum float32
	for i, figure := range load {
		weightedSum += figure * float32(i+1)
	}
	gap := float64(now - e.reportedAt)
	if e.hasReport && gap < maxRecheckGap*b.meanWork.value && (weightedSum > 0 || e.reportSum > 0) {
		b.reportWatchTime += gap
		b.reportChanges += indicator(weightedSum != e.reportSum)
	}
	e.reportSum = weightedSum
	if b.recheckCount < maxRechecks && weightedSum > 0 && b.random.float() < recheckChance {
		b.recheckCount++
		b.recheckedEndpointID = e.ID
		b.actions.SetTimer(1+monotime.Micros(recentWorks*b.meanWork.value/2), tokenRecheck)
	}
}

// recheckReport handles the recheck timer: it probes the endpoint that was drawn last by
// observeReportChanges.
func (b *Balancer) recheckReport(now monotime.Micros) {
	if e := b.endpointsByID[b.recheckedEndpointID]; e != nil {
		b.sendProbe(now, e)
	}
}

// reportInterval returns the mean time (microseconds) after which an endpoint makes a new report, 0 if
// unknown.
func (b *Balancer) reportInterval() float64 { return b.reportWatchTime / max(1, b.reportChanges) }
