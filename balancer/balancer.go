// Package balancer makes the decisions of a client-side balancer. Settings, events and actions stand in
// api.go, records in state.go; all decisions stand here.
package balancer

import (
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

// New returns a balancer, or a *SettingError for settings that make no sense. Call Start before any event.
func New(settings Settings, seed uint64, actions Actions) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	if settings.RetryRatio == 0 {
		settings.RetryRatio = DefaultRetryRatio
	}
	b := &Balancer{
		settings: settings, actions: actions, random: randomSource(seed), seed: seed,
		classes: make([]classStats, len(settings.Classes)), tenantRates: make([]rateMeter, len(settings.Tenants)),
		requests: map[uint64]*request{}, endpointsByID: map[uint32]*endpoint{}, queueRound: 1, dueProbes: 1,
		lateReportRatio: ewma{samples: manySamples}, rejectedRatio: ewma{samples: manySamples},
		lastLogged: map[string]monotime.Micros{}, latencyTrend: 1, hintTrust: 0.5, retryCredit: retryBurst,
	}
	b.recentRequests.ring = make([]int, retrySlots)
	b.recentRetries.ring = make([]int, retrySlots+1)
	b.withoutLoadReports = !settings.Limits.Probes || !reportsLoad(settings.LoadMetrics)
	for i := range b.classes {
		work := float64(settings.Classes[i].LatencyObjective) / 5
		b.classes[i].meanWork = ewma{value: work, samples: manySamples}
		b.classes[i].onTimeRatio = ewma{value: 1, samples: manySamples}
		b.meanWork.add(work, 1/float64(i+1))
	}
	return b, nil
}

// Start begins to count time, and starts the timers of polls and probes.
func (b *Balancer) Start(now monotime.Micros) {
	b.dueProbesAt = now
	b.lastServedAt = now - b.settings.Contract.CollapseAfter
	if b.settings.Subscribe {
		// All instances of a fleet may start at once: spread their first polls.
		b.schedulePoll(now, 1+b.random.durationBelow(b.pollJitter()))
	}
	if b.settings.Limits.Probes {
		b.actions.SetTimer(1+b.random.durationBelow(maxProbeInterval), tokenProbe)
	}
}

// HandleTimer handles a token given to Actions.SetTimer. Tokens of finished requests have no effect.
func (b *Balancer) HandleTimer(now monotime.Micros, token uint32) {
	switch {
	case token == tokenProbe:
		b.probeRound(now)
	case token == tokenDiscovery:
		b.poll(now)
	case token == tokenRecheck:
		if e := b.endpointsByID[b.recheckedID]; e != nil {
			b.sendProbe(now, e)
		}
	case token >= firstRequestToken:
		if r := b.requestOfToken(token); r != nil && !r.finished && !r.streaming {
			b.onRequestTimer(now, r)
		}
	}
}

// UpdateEndpoints handles an endpoint list, a change of it, or discovery's failure to send one.
func (b *Balancer) UpdateEndpoints(now monotime.Micros, kind ListKind, entries []Endpoint) {
	if kind == ListFailed {
		b.subscribed = false
		b.logDiscoveryFailure(now)
		b.retryPoll(now)
		return
	}
	if kind != ListCached && b.settings.Subscribe {
		b.subscribed = true
		b.pollBackoff = 0
	}
	for _, e := range b.endpoints {
		e.listed = false
	}
	for i := range entries {
		b.updateEndpoint(now, &entries[i], kind)
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(e *endpoint) bool {
		if kind != ListDelta && !e.listed {
			e.State = Gone
		}
		if !e.isEligible() {
			b.removeFromPool(e)
		}
		forget := e.State == Gone && e.inflight == 0
		if forget {
			delete(b.endpointsByID, e.ID)
		}
		return forget
	})
	b.capacityExpiresAt = now
	b.listReceived = b.listReceived || kind != ListCached || !b.settings.Subscribe
}

// updateEndpoint applies one entry of a list. An endpoint that has just started begins to warm up.
func (b *Balancer) updateEndpoint(now monotime.Micros, entry *Endpoint, kind ListKind) {
	e := b.endpointsByID[entry.ID]
	added := e == nil
	if added {
		e = &endpoint{outliers: b.newOutliers()}
		b.endpointsByID[entry.ID] = e
		b.endpoints = append(b.endpoints, e)
	}
	restarted := !added && entry.StartTime != 0 && entry.StartTime != e.StartTime
	if restarted {
		b.resetEndpoint(e)
		b.removeFromPool(e)
	}
	started := entry.StartTime
	if started == 0 && added && b.listReceived && kind != ListCached {
		started = now // what appears later than the first list has just started; a cached list may be older
	}
	e.Endpoint = *entry
	e.listed = true
	if started != 0 && now-started < b.settings.Contract.WarmupTime && (added || restarted) {
		b.startWarmup(now, e, min(started, now))
	}
}

// SetCordon takes an endpoint out of service by hand, or brings it back. A cordoned one gets nothing new,
// whatever the list says; open attempts go on. One that is brought back counts as restarted, and warms up.
func (b *Balancer) SetCordon(now monotime.Micros, id uint32, on bool) {
	e := b.endpointsByID[id]
	if e == nil || e.cordoned == on {
		return
	}
	e.cordoned = on
	b.capacityExpiresAt = now
	b.removeFromPool(e)
	if !on {
		lastSentAt := e.lastSentAt
		silentSince := e.silentSince
		b.resetEndpoint(e)
		e.lastSentAt = lastSentAt
		e.silentSince = silentSince
		b.startWarmup(now, e, now)
	}
}

// SetPaused has nothing new go to an endpoint for a while, or ends that. What was learned of it stays.
func (b *Balancer) SetPaused(now monotime.Micros, id uint32, on bool) {
	if e := b.endpointsByID[id]; e != nil && e.paused != on {
		e.paused = on
		b.capacityExpiresAt = now
		b.removeFromPool(e)
	}
}

const pollCallTime = 50_000 // microseconds that discovery is assumed to need for a call

func (b *Balancer) schedulePoll(now, delay monotime.Micros) {
	b.nextPollAt = now + delay
	b.actions.SetTimer(delay, tokenDiscovery)
}

// pollJitter is the time over which the polls of a fleet that starts at once are spread, so that they come no
// faster than discovery may be able to answer.
func (b *Balancer) pollJitter() monotime.Micros {
	interval := b.settings.Contract.PollInterval
	return min(max(interval/10, monotime.Micros(b.settings.Balancers)*pollCallTime), interval/2)
}

// poll subscribes to discovery unless that is done. The answer may be lost, so it polls again later.
func (b *Balancer) poll(now monotime.Micros) {
	if b.settings.Subscribe && !b.subscribed && now >= b.nextPollAt {
		b.actions.Watch(true)
		interval := b.settings.Contract.PollInterval
		b.schedulePoll(now, 1+interval/2+b.random.durationBelow(interval/4))
	}
}

// retryPoll polls again after a failure, with exponential backoff and jitter.
func (b *Balancer) retryPoll(now monotime.Micros) {
	if b.settings.Subscribe {
		b.pollBackoff = min(max(2*b.pollBackoff, b.pollJitter()/2), b.settings.Contract.PollInterval/4)
		b.schedulePoll(now, 1+b.pollBackoff/2+b.random.durationBelow(b.pollBackoff))
	}
}

// While an endpoint warms up, a token bucket limits the work that it gets: at most a share, by its present
// capacity, of this balancer's own work per warm endpoint. As all balancers do so, their sum stays within its
// capacity. Where most capacity is warming up, as after a power cut, demand is no measure of it. But a fleet
// is served no more than its endpoints can do, however much it is offered. So a second bucket limits the work
// to a multiple of what this balancer was served per unit of warm capacity, times the endpoint's present one.
const (
	warmupShare         = 0.4  // of the multiple at which an endpoint collapses
	warmupCharge        = 1.15 // tokens per work of a request: it may need a handshake, too
	probeCharge         = 0.01 // of a request's work, for a probe
	warmupServedShare   = 0.75 // of the multiple at which an endpoint collapses
	warmupInitialShare  = 0.2  // of an endpoint's capacity, for all balancers that have been served nothing yet
	warmupSavedRequests = 4    // requests' worth that the second bucket holds
)

// startWarmup begins e's warm-up. It gets a random part of a request's tokens: many balancers may be quiet.
func (b *Balancer) startWarmup(now monotime.Micros, e *endpoint, from monotime.Micros) {
	e.isWarmingUp = true
	e.warmupStart = from
	e.warmupTokens = b.random.float() * b.meanWork.value * warmupCharge
	e.warmupRefilledAt = now
	e.servedTokens = e.warmupTokens / warmupCharge
	e.servedWorkAtRefill = b.servedWork
}

// hasWarmupCapacity refills the buckets of a warming endpoint and says whether a request of this work fits.
func (b *Balancer) hasWarmupCapacity(now monotime.Micros, e *endpoint, work float64) bool {
	contract := &b.settings.Contract
	rate := max(b.sentWorkRate.rate(now), b.requestRate.rate(now)*b.meanWork.value)
	capacity := b.effectiveCapacity(now)
	if b.warmCount == 0 { // the rate of sends would only follow what the bucket allows
		rate = b.requestRate.rate(now) * work
	}
	fraction := e.capacityFraction(now, b)
	fill := min(1, warmupShare*contract.CollapseMultiple) * fraction * rate / max(1, capacity)
	window := float64(contract.CollapseAfter)
	size := max(fill*window/float64(second)/2, work*warmupCharge)
	e.warmupTokens = min(size, e.warmupTokens+fill*float64(now-e.warmupRefilledAt)/float64(second))

	// A balancer that was served lately has grown beyond the initial share.
	since := max(e.warmupRefilledAt, b.lastServedAt+contract.CollapseAfter)
	initial := warmupInitialShare * fraction * assumedCores / float64(b.settings.Balancers)
	initial *= float64(max(0, now-since))
	multiple := warmupServedShare * contract.CollapseMultiple * fraction
	e.servedTokens += multiple*(b.servedWork-e.servedWorkAtRefill) + initial
	e.servedTokens = min(e.servedTokens, max(size, warmupSavedRequests*work*warmupCharge))
	e.warmupRefilledAt = now
	e.servedWorkAtRefill = b.servedWork

	// Where one request of each balancer at once is half of what an endpoint may get, the balancers are too few
	// to need the second bucket, and its first tokens would be less than a request for long.
	limit := contract.CollapseMultiple * contract.WarmupStartCapacity * assumedCores * window
	fewBalancers := 2*float64(b.settings.Balancers)*work <= limit
	return e.warmupTokens >= work*warmupCharge &&
		(fewBalancers || 2*capacity >= b.readyCount || e.servedTokens >= work)
}

// effectiveCapacity is the capacity of all eligible endpoints, in warm ones. Were only warm ones counted, a
// deploy that leaves few of them would seem to leave a large part of the traffic for each warming one.
func (b *Balancer) effectiveCapacity(now monotime.Micros) float64 {
	if now < b.capacityExpiresAt {
		return b.readyCapacity
	}
	b.capacityExpiresAt = now + second/10
	b.readyCapacity = 0
	b.readyCount = 0
	b.warmCount = 0
	b.warmingEndpoints = b.warmingEndpoints[:0]
	for _, e := range b.endpoints {
		if e.isEligible() {
			b.readyCapacity += e.capacityFraction(now, b)
			b.readyCount++
			if e.isWarmingUp {
				b.warmingEndpoints = append(b.warmingEndpoints, e)
			} else {
				b.warmCount++
			}
		}
	}
	return b.readyCapacity
}

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
	e.rtt.add(float64(latency), 0.25)
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

const (
	maxQueueWaitFraction = 0.6  // for the class of the highest weight: latencies vary
	minQueueWaitFraction = 0.2  // for any class
	minTenantMix         = 0.05 // part of all quotas that a balancer must carry to compare tenants
	tenantQuotaSlack     = 1.25 // a rejected ratio below a fifth tells nothing of quotas
	forcedAdmitOneOf     = 10.0 // requests, of which one is admitted where nothing else tells latencies
	worstWindowGain      = 4.0  // weights count more in the worst windows, and requests are rejected in those
)

// SetOverloadPolicy sets what the fleet's overload control admits from now on; nil is that it has no say.
func (b *Balancer) SetOverloadPolicy(policy *OverloadPolicy) { b.overload = policy }

// requestRand is a request's own random source: it is judged alike before it queues at the host and after.
func (b *Balancer) requestRand(id uint64) randomSource {
	return randomSource(b.seed ^ id*0x9e3779b97f4a7c15)
}

// ShouldReject says whether the overload policy rejects a request that has just arrived, and when the client
// may retry. The host calls it before the request queues there, and does not pass on what is rejected.
func (b *Balancer) ShouldReject(in Request) (retryAfter monotime.Micros, reject bool) {
	if b.overload == nil || int(in.Class) >= len(b.classes) {
		return 0, false
	}
	admit := b.overload.AdmitRatio[in.Class]
	random := b.requestRand(in.ID)
	rank := random.float()
	within := b.overload.WithinQuotaRatio
	if tenant := int(in.Tenant); tenant < len(within) && random.float() >= within[tenant] {
		admit = b.overload.OverQuotaAdmitRatio[in.Class]
	}
	if in.Retry {
		admit *= b.overload.RetryAdmitRatio
	}
	if rank < admit {
		return 0, false
	}
	return b.retryAfter(&b.settings.Classes[in.Class]), true
}

// HandleRequest handles a client's request: it is sent, queued until probes answer, or rejected.
func (b *Balancer) HandleRequest(now monotime.Micros, in Request) {
	if b.requests[in.ID] != nil {
		return
	}
	if int(in.Class) >= len(b.classes) {
		b.actions.Reject(in.ID, 0)
		return
	}
	r := b.newRequest(now, in)
	b.requestRate.add(now, 1)
	b.retryCredit = min(retryBurst, b.retryCredit+b.settings.RetryRatio)
	b.recentRequests.add(b.retrySlot(now))
	c := &b.classes[in.Class]
	c.requestRate.add(now, 1)
	if int(in.Tenant) < len(b.tenantRates) {
		b.tenantRates[in.Tenant].add(now, 1)
	}
	r.work = c.meanWork.value
	if in.HasWorkHint && in.WorkHint > 0 {
		c.meanWork.add(float64(in.WorkHint), 0.02)
		r.logHintRatio = math.Log(float64(in.WorkHint) / c.meanWork.value)
		r.work = c.meanWork.value * math.Exp(b.hintTrust*r.logHintRatio)
	}
	b.meanWork.add(r.work, 0.02)
	if now >= in.Deadline || b.openRequests > b.settings.Limits.MaxOpenRequests {
		b.reject(now, r)
		return
	}
	if !b.queueUntilProbed(now, r) {
		b.dispatch(now, r)
	}
}

// dispatch sends a new request or rejects it.
func (b *Balancer) dispatch(now monotime.Micros, r *request) {
	sent := b.attemptRequest(now, r, true)
	b.rejectedRatio.add(indicator(!sent), ratioWeight)
	if !sent {
		b.reject(now, r)
	}
}

// attemptRequest picks an endpoint and sends r there, and says whether it did. Where the breaker rejects the
// first pick, it picks once more.
func (b *Balancer) attemptRequest(now monotime.Micros, r *request, first bool) bool {
	e := b.pickEndpoint(now, r, nil)
	if e == nil {
		return false
	}
	expected := b.predictLatency(now, e, r.work)
	if budget := b.latencyBudget(now, r, e); expected > budget {
		// The answer would be too late to be worth its work. Now and then one is admitted all the same, so
		// that a wrong prediction does not sustain itself.
		c := &b.classes[r.Class]
		if !first || now-c.lastForcedAdmit < b.forcedAdmitInterval(now, c) {
			b.logRejection(now, e, expected, budget)
			return false
		}
		c.lastForcedAdmit = now
	}
	if !b.breakerAllows(now, r, e) {
		e = b.pickEndpoint(now, r, e)
		if e == nil || !b.breakerAllows(now, r, e) {
			return false
		}
	}
	return b.sendAttempt(now, r, e)
}

// forcedAdmitInterval is the time between two requests of a class that are admitted against the prediction.
func (b *Balancer) forcedAdmitInterval(now monotime.Micros, c *classStats) monotime.Micros {
	switch {
	case b.overload == nil && b.withoutLoadReports:
		// Only what is admitted tells latencies, and one request a second would tell them too late.
		interval := forcedAdmitOneOf * float64(second) / max(1, c.requestRate.rate(now))
		return min(forcedPassInterval, monotime.Micros(interval))
	case b.overload == nil:
		return forcedPassInterval
	}
	if c.lastForcedAdmit == 0 { // not at the same time as balancers that have started with this one
		c.lastForcedAdmit = now - b.random.durationBelow(b.overload.ForcedAdmitInterval)
	}
	return b.overload.ForcedAdmitInterval
}

// latencyBudget is the longest predicted latency at which r is still sent to e: that with no other request
// there, and for queueing a part of what remains of the objective, less for classes of little weight.
func (b *Balancer) latencyBudget(now monotime.Micros, r *request, e *endpoint) float64 {
	idle := e.rtt.valueOr(0) + r.work*b.fleetSlowdown()*e.currentServiceTimeRatio(now, b)
	fraction := b.queueWaitFraction(now, r)
	if b.reportsLate {
		fraction = 1 // the least loaded endpoint is not known: averages must not reject what it would serve
	}
	remaining := float64(b.classOf(r).LatencyObjective) - float64(now-r.arrivedAt) - idle
	return min(idle+fraction*remaining, float64(r.Deadline-now))
}

// QueueWaitFraction is the part of what remains of its latency objective that a request may spend in the
// host's queue: the same that latencyBudget allows for an endpoint's.
func (b *Balancer) QueueWaitFraction(now monotime.Micros, in Request) float64 {
	if int(in.Class) >= len(b.classes) {
		return minQueueWaitFraction
	}
	return b.queueWaitFraction(now, &request{Request: in})
}

func (b *Balancer) queueWaitFraction(now monotime.Micros, r *request) float64 {
	if b.overload == nil {
		return max(minQueueWaitFraction, maxQueueWaitFraction*b.priorityWeight(now, r))
	}
	fraction := b.overload.QueueWaitFraction[r.Class]
	random := b.requestRand(r.ID)
	if random.float() < b.overload.TopRatio {
		fraction = max(b.overload.TopQueueWaitFraction, fraction)
	}
	return fraction
}

// priorityWeight ranks requests from 0 to 1 by what the goal gains from a unit of their work: by the class's
// weight, and more for classes of which fewer are answered in time.
func (b *Balancer) priorityWeight(now monotime.Micros, r *request) float64 {
	goal := &b.settings.Goal
	var work, weight float64
	worst := 1.0
	for i := range b.classes {
		c := &b.classes[i]
		rate := c.requestRate.rate(now)
		work += rate * c.meanWork.value
		weight += rate * b.classWeight(i)
		worst = min(worst, c.onTimeRatio.valueOr(1))
	}
	var top, own float64
	for i := range b.classes {
		c := &b.classes[i]
		part := c.requestRate.rate(now) * c.meanWork.value / work
		gain := (goal.Overall + worstWindowGain*goal.WorstWindow) * b.classWeight(i) / c.meanWork.value
		gain = gain * work / weight
		gain += goal.WorstClass / max(0.05, part) * math.Exp((worst-c.onTimeRatio.valueOr(1))/0.1)
		top = max(top, gain)
		own += gain * indicator(i == int(r.Class))
	}
	if !(top > 0) {
		return 1 // the settings have no weights
	}
	return own / top * b.tenantWeight(now, r)
}

// tenantWeight is the mean weight of a request of r's tenant, by how much of its traffic is over quota. The
// fleet's traffic is assumed to exceed the quotas as much as this balancer's exceeds what it admits.
func (b *Balancer) tenantWeight(now monotime.Micros, r *request) float64 {
	if int(r.Tenant) >= len(b.tenantRates) {
		return 1
	}
	var rate, quota float64
	for i := range b.tenantRates {
		rate += b.tenantRates[i].rate(now)
		quota += b.settings.Tenants[i].Quota
	}
	if quota <= 0 || rate < minTenantMix*quota {
		return 1 // the mix of so few requests tells nothing of the fleet's
	}
	part := b.tenantRates[r.Tenant].rate(now) / rate
	within := b.settings.Tenants[r.Tenant].Quota / quota / part * (1 - b.rejectedRatio.value) * tenantQuotaSlack
	within = min(1, within)
	return within + (1-within)*b.settings.OverQuotaWeight
}

const (
	warmingDraws    = 2   // warming endpoints that are considered for a request
	randomDraws     = 2   // random endpoints, where the pool is not enough
	maxDraws        = 8   // to find so many that may be used
	crossZoneWeight = 2.0 // latency objectives that the price of another zone counts as
)

// pickEndpoint returns the best endpoint of the probe pool that r may go to, nil for none; without recent
// reports, the better of two random ones. Ejected endpoints are used only when nothing else is left.
func (b *Balancer) pickEndpoint(now monotime.Micros, r *request, except *endpoint) *endpoint {
	best := b.pickAmong(now, r, except, false)
	if best == nil {
		best = b.pickAmong(now, r, except, true)
	}
	return best
}

func (b *Balancer) pickAmong(now monotime.Micros, r *request, except *endpoint, ejectedToo bool) *endpoint {
	oldest := now - b.reportLifetime(now)
	b.effectiveCapacity(now)
	var best *endpoint
	var bestCost float64
	// consider compares e with the best so far, and says whether r may go there.
	consider := func(e *endpoint) bool {
		if e == except || r.hasAttempted(e) || !ejectedToo && b.isEjectedFor(now, e, r) || !b.maySend(now, r, e) {
			return false
		}
		if cost := b.candidateCost(now, r, e); best == nil || cost < bestCost {
			best = e
			bestCost = cost
		}
		return true
	}
	pooled := 0
	for i := len(b.probePool) - 1; i >= 0 && b.probePool[i].reportedAt >= oldest; i-- {
		if consider(b.probePool[i]) {
			pooled++
		}
	}
	// Few of the pool's reports are from warming endpoints, and their capacity is lost if nobody uses it.
	for i := 0; i < warmingDraws && len(b.warmingEndpoints) > 0; i++ {
		consider(b.warmingEndpoints[b.random.index(len(b.warmingEndpoints))])
	}
	// A pool of few would take all: while most endpoints have no recent report, random ones compete.
	count := len(b.endpoints)
	if pooled < randomDraws || count <= probePoolSize && 2*pooled < count {
		found := 0
		for i := 0; found < randomDraws && i < maxDraws && count > 0; i++ {
			if consider(b.endpoints[b.random.index(count)]) {
				found++
			}
		}
	}
	// Where only a few may be used, random draws do not find them.
	start := b.random.index(count)
	for i := 0; best == nil && i < count; i++ {
		consider(b.endpoints[(start+i)%count])
	}
	return best
}

// candidateCost ranks endpoints: by predicted latency, with the price of another zone as time.
func (b *Balancer) candidateCost(now monotime.Micros, r *request, e *endpoint) float64 {
	objective := float64(b.classOf(r).LatencyObjective)
	cost := b.predictLatency(now, e, r.work)
	// One that answers in time goes first; of these a warming one: it gets little, and warms up by it.
	if cost > b.latencyBudget(now, r, e) {
		cost += objective
	} else if e.isWarmingUp {
		cost -= objective
	}
	work := b.classes[r.Class].meanWork.valueOr(0)
	cost += 0.05 * work * e.currentServiceTimeRatio(now, b) * b.predictLoad(now, e)
	otherZone := indicator(int(e.Zone) != b.settings.Zone)
	return cost + crossZoneWeight*b.settings.Prices.CrossZone*objective*otherZone
}

const (
	loadMemoryWorks   = 10.0 // mean works after which little of a report is still true
	maxHerdFactor     = 2.0  // attempts of others, at most, assumed for each of our own since a report
	serviceTimeMemory = 10 * second
	serviceTimeWeight = 0.03
	hintTrustWeight   = 0.005
	trendWeight       = 0.1
	maxTrendStep      = 4.0 // one outcome counts as no more than so many times its prediction
	trendNoise        = 1.5
	maxTrend          = 8.0
)

// predictLoad is how many requests e is expected to hold: by its latest report, and our attempts since, with
// as many of a few others, which have seen the same report. The older it is, the less it counts.
func (b *Balancer) predictLoad(now monotime.Micros, e *endpoint) float64 {
	typical := b.typicalLoadOf(now, e).value
	own := e.activeAttempts()
	if b.reportsLate || !e.hasReport {
		return typical + own
	}
	age := float64(now-e.reportedAt) + b.reportInterval()/2
	trust := math.Exp(-age / (loadMemoryWorks * b.meanWork.value))
	herd := min(maxHerdFactor, float64(b.settings.Balancers-1)/2)
	return typical + (e.othersLoad-typical)*trust + own + herd*max(0, own-e.ownLoadAtReport)
}

// typicalLoadOf is the load by others of endpoints like e: warming ones hold little, since all limit them.
func (b *Balancer) typicalLoadOf(now monotime.Micros, e *endpoint) *ewma {
	if e.warmingUp(now, b) {
		return &b.typicalWarmingLoad
	}
	return &b.typicalLoad
}

// coreFraction is the part of a request's service time for which it needs a core. It is known where endpoints
// report service times without waiting: while a request waits it slows no other down.
func (b *Balancer) coreFraction() float64 {
	if !(b.serviceTime.value > 0) {
		return 1
	}
	return min(1, b.serviceTime.value/(b.meanWork.value*b.fleetServiceTimeRatio.valueOr(1)))
}

// queueDelayFactor is how many times longer than at an idle endpoint a request takes at e's load.
func (b *Balancer) queueDelayFactor(now monotime.Micros, e *endpoint) float64 {
	return max(1, (b.predictLoad(now, e)*b.coreFraction()+1)/assumedCores)
}

// currentServiceTimeRatio is e's service time per unit of work, longer while it warms up. What was observed
// loses its weight with time, so that an endpoint that was slow once is used again.
func (e *endpoint) currentServiceTimeRatio(now monotime.Micros, b *Balancer) float64 {
	fleet := b.fleetServiceTimeRatio.valueOr(1)
	trust := max(0, 1-float64(now-e.serviceTimeObservedAt)/float64(serviceTimeMemory))
	trust *= indicator(e.serviceTimeRatio.samples > 0)
	return (fleet + (e.serviceTimeRatio.value-fleet)*trust) / e.capacityFraction(now, b)
}

// predictLatency is the latency expected of a request of this work sent to e now.
func (b *Balancer) predictLatency(now monotime.Micros, e *endpoint, work float64) float64 {
	service := work * b.fleetSlowdown() * e.currentServiceTimeRatio(now, b)
	expected := e.rtt.valueOr(0) + service*b.queueDelayFactor(now, e)
	// An endpoint that owes answers and sends none is stuck, long before averages show it.
	return max(expected, float64(now-e.silentSince)*indicator(e.inflight > e.streaming))
}

// learnLatency learns from an attempt's latency; atLeast says that it is only a lower bound.
func (b *Balancer) learnLatency(now monotime.Micros, r *request, a *attempt, latency float64, atLeast bool) {
	e := a.endpoint
	known := e.currentServiceTimeRatio(now, b)
	observed := max(0, latency-e.rtt.valueOr(0)) / a.workFactor
	if atLeast {
		// A timeout may have other causes: a single one must not make a fast endpoint seem out of reach.
		observed = min(observed, maxTrendStep*known)
		if observed <= known {
			return
		}
	}
	b.updateLatencyTrend(latency / a.expectedLatency)
	if !atLeast && r.logHintRatio != 0 && observed > 0 {
		// Rough hints overstate large requests and understate small ones: learn how far they are right.
		trust := b.hintTrust + hintTrustWeight*r.logHintRatio*math.Log(observed/known)
		b.hintTrust = min(1, max(0, trust))
	}
	capacity := e.capacityFraction(now, b) // what is recorded is the ratio of the warm endpoint
	e.serviceTimeRatio = ewma{value: known * capacity, samples: manySamples}
	e.serviceTimeRatio.add(observed*capacity, serviceTimeWeight)
	e.serviceTimeObservedAt = now
	switch {
	case atLeast || e.isWarmingUp:
	case r.HasWorkHint:
		b.fleetServiceTimeRatio.add(observed, 0.02)
	default:
		// Without hints a class's work is its mean service time, and the fleet's ratio is 1.
		b.classes[r.Class].meanWork.add(observed*r.work/known, 0.02)
	}
}

// updateLatencyTrend shifts all predictions by one outcome: a change of the whole fleet is learned at once.
func (b *Balancer) updateLatencyTrend(ratio float64) {
	step := trendWeight * (min(ratio, maxTrendStep) - 1)
	b.latencyTrend = min(maxTrend, max(1/maxTrend, b.latencyTrend*(1+step)))
}

// fleetSlowdown is the latency trend beyond what chance makes of it.
func (b *Balancer) fleetSlowdown() float64 { return max(1, b.latencyTrend/trendNoise) }

const (
	timeoutFactor     = 6.0  // times the expected latency,
	minTimeoutDivisor = 10   // but at least this part of the objective: busy hosts are silent for shorter times
	retryBurst        = 10.0 // retries that a budget without a window saves up
	retrySlots        = 10   // parts of the window of a budget with one
)

// Attempts, rejections and failures go through sendAttempt, reject and failRequest, which enforce the rules.

// finishRequest marks that the final answer is out. The record stays while attempts are in flight.
func (b *Balancer) finishRequest(r *request) {
	if !r.finished {
		b.classes[r.Class].onTimeRatio.add(r.onTime, 0.02)
		r.finished = true
		b.openRequests--
		if r.queued {
			b.removeFromQueue(r)
		}
		b.cancelAttempts(r, -1)
	}
	if r.inflight == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		b.freeRequests = append(b.freeRequests, r)
	}
}

// cancelAttempts cancels the attempts in flight but one.
func (b *Balancer) cancelAttempts(r *request, except int) {
	for i := range r.attempts {
		if i != except && r.attempts[i].inflight && b.settings.Limits.Cancel {
			b.actions.Cancel(r.ID, i)
		}
	}
}

// attemptsLeft says whether r may have another attempt by its number of attempts.
func (b *Balancer) attemptsLeft(r *request) bool {
	limit := b.settings.Limits.MaxAttempts
	if r.MaxAttempts > 0 {
		limit = min(limit, r.MaxAttempts)
	}
	return len(r.attempts) < limit
}

// maySend says whether the rules allow an attempt of r at e now. A request that may have run is sent again
// only where a second run has no effect: a keyed one within the deduplication window and scope of the first.
func (b *Balancer) maySend(now monotime.Micros, r *request, e *endpoint) bool {
	if r.finished || r.streaming || now >= r.Deadline || !b.attemptsLeft(r) || !e.isEligible() {
		return false
	}
	if r.inflight > 0 && !b.settings.Limits.Hedging {
		return false
	}
	if e.warmingUp(now, b) && (b.handedOver || !b.hasWarmupCapacity(now, e, r.work)) {
		return false
	}
	c := b.classOf(r)
	first := r.firstMayHaveRun()
	if first == nil || c.Idempotency == Idempotent {
		return true
	}
	if c.Idempotency != IdempotentByKey || now >= first.sentAt+c.DedupWindow {
		return false
	}
	return c.DedupScope == DedupAll || c.DedupScope == DedupZone && e.Zone == first.zone ||
		c.DedupScope == DedupCell && e.Cell == first.cell
}

// FirstByteDeadline is until when the first byte of a request's latest attempt may go out: the end of its
// deduplication window, if an earlier attempt may have run; 0 is no such instant.
func (b *Balancer) FirstByteDeadline(id uint64) monotime.Micros {
	if r := b.requests[id]; r != nil && b.classOf(r).Idempotency == IdempotentByKey {
		if first := r.firstMayHaveRun(); first != nil && first != &r.attempts[len(r.attempts)-1] {
			return first.sentAt + b.classOf(r).DedupWindow
		}
	}
	return 0
}

// mayReject says whether a rejection of r, which promises that a retry is harmless, would be true.
func (b *Balancer) mayReject(r *request) bool {
	c := b.classOf(r)
	return c.Idempotency == Idempotent || r.firstMayHaveRun() == nil ||
		c.Idempotency == IdempotentByKey && c.DedupScope == DedupAll && !b.settings.StrictIdempotencyKeys
}

// sendAttempt starts an attempt if the rules allow it, and says whether it did.
func (b *Balancer) sendAttempt(now monotime.Micros, r *request, e *endpoint) bool {
	if !b.maySend(now, r, e) {
		return false
	}
	if e.warmingUp(now, b) {
		e.warmupTokens -= r.work * warmupCharge
		e.servedTokens -= r.work
	}
	expected := b.predictLatency(now, e, r.work)
	r.attempts = append(r.attempts, attempt{
		endpoint: e, zone: e.Zone, cell: e.Cell, sentAt: now, inflight: true, mayHaveRun: true,
		expectedLatency: expected, workFactor: r.work * b.queueDelayFactor(now, e),
	})
	r.inflight++
	if e.inflight == 0 {
		e.silentSince = now
	}
	e.inflight++
	if r.Upload {
		r.attempts[len(r.attempts)-1].markStreaming()
	}
	e.lastSentAt = now
	for _, part := range b.trafficParts(r) {
		e.outliers[part].recordSend(now)
	}
	b.sentWorkRate.add(now, r.work)
	b.actions.Send(r.ID, e.ID, b.attemptTimeout(now, r, expected))
	b.actions.SetTimer(max(1, r.Deadline-now), r.timerToken)
	return true
}

// attemptTimeout is how long an attempt is waited for, 0 for as long as the client waits. One that takes much
// longer than expected has most likely lost its connection: it is retried where that is harmless and in time.
func (b *Balancer) attemptTimeout(now monotime.Micros, r *request, expected float64) monotime.Micros {
	c := b.classOf(r)
	objective := float64(c.LatencyObjective)
	timeout := max(timeoutFactor*expected, objective/minTimeoutDivisor)
	if c.Idempotency != Idempotent || r.Upload || !b.attemptsLeft(r) || !b.mayRetry(now) ||
		float64(now-r.arrivedAt)+timeout+expected > objective {
		return 0
	}
	return monotime.Micros(timeout)
}

// reject gives the final answer "rejected" where that is true, else "failed".
func (b *Balancer) reject(now monotime.Micros, r *request) {
	if r.finished || !b.mayReject(r) {
		b.failRequest(r)
		return
	}
	b.actions.Reject(r.ID, b.retryAfter(b.classOf(r)))
	b.finishRequest(r)
}

// retryAfter spreads the retries of rejected clients, within the time in which an answer is still of use.
func (b *Balancer) retryAfter(c *Class) monotime.Micros {
	if !b.settings.Limits.RetryAfter {
		return 0
	}
	wait := monotime.Micros((0.1 + 0.2*b.random.float()) * float64(c.LatencyObjective))
	return min(wait, b.settings.Limits.MaxRetryAfter)
}

func (b *Balancer) failRequest(r *request) {
	if !r.finished {
		b.actions.Fail(r.ID)
		b.finishRequest(r)
	}
}

// HandleClientGone handles a client that left before its final answer.
func (b *Balancer) HandleClientGone(now monotime.Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.finishRequest(r)
	}
}

// onRequestTimer handles a request that has waited long enough for probes, or whose deadline is over.
func (b *Balancer) onRequestTimer(now monotime.Micros, r *request) {
	if r.queued {
		b.dispatchQueued(now)
	} else if now >= r.Deadline {
		b.reject(now, r)
	}
}

// HandleHeaders handles the start of a streamed answer: from then on there is no deadline and no retry.
func (b *Balancer) HandleHeaders(now monotime.Micros, id uint64, number int, latency monotime.Micros) {
	r, a := b.findAttempt(id, number)
	if a == nil || r.finished {
		return
	}
	r.streaming = true
	a.endpoint.silentSince = now
	if r.Upload || now-r.arrivedAt <= b.classOf(r).LatencyObjective {
		r.onTime = 1
	}
	a.markStreaming()
	b.cancelAttempts(r, number)
}

// HandleOutcome handles the end of an attempt: the request is finished, retried, rejected or failed.
func (b *Balancer) HandleOutcome(now monotime.Micros, o Outcome) {
	r, a := b.findAttempt(o.ID, o.Attempt)
	if a == nil || !a.inflight {
		return
	}
	r.inflight--
	a.end(now)
	if o.Status == Rejected || o.Status == ConnectFailed || o.Status == NotSent {
		a.mayHaveRun = false
	}
	b.recordOutcome(now, r, a, &o)
	if o.Status == OK && !r.finished && now-r.arrivedAt <= b.classOf(r).LatencyObjective {
		r.onTime = 1
	}
	if o.Answered || o.Status == OK || r.finished {
		b.finishRequest(r)
		return
	}
	if r.inflight > 0 {
		return
	}
	if !o.NotReplayable && b.mayRetry(now) && b.attemptRequest(now, r, false) {
		// What never ran counts, too: where most endpoints reject, free retries would be a storm.
		b.retryCredit--
		b.recentRetries.add(b.retrySlot(now))
		return
	}
	b.reject(now, r)
}

// mayRetry says whether the retry budget has one left.
func (b *Balancer) mayRetry(now monotime.Micros) bool {
	if b.overload != nil {
		return b.overload.RetryAllowed
	}
	if b.settings.RetryWindow == 0 {
		return b.retryCredit >= 1
	}
	least := b.settings.MinRetryRate * float64(b.settings.RetryWindow) / float64(second)
	earned := b.settings.RetryRatio * float64(b.recentRequests.advance(b.retrySlot(now)))
	return float64(b.recentRetries.advance(b.retrySlot(now))+1) <= max(least, earned)
}

// retrySlot numbers the parts of the retry window.
func (b *Balancer) retrySlot(now monotime.Micros) int64 {
	return now / max(1, b.settings.RetryWindow/retrySlots)
}

// The breaker's constants are those of go-zero (core/breaker/googlebreaker.go).
const (
	breakerWindow          = 10 * second
	breakerBuckets         = 40
	maxAcceptWeight        = 1.5
	minAcceptWeight        = 1.1
	protectedRequests      = 5
	forcedPassInterval     = second
	latencyActivation      = 3
	latencyCeilingShare    = 0.95
	fallDivisor            = 4
	riseDivisor            = 100
	currentDivisor         = 4
	maxLatencyRejectChance = 0.3
	suspectTrialsPerSecond = 4 // of all balancers, at an endpoint that others suspect
)

// errorRejectChance is the chance of a rejection by the outcomes in the window (Google SRE, throttling).
func (k *breaker) errorRejectChance(now monotime.Micros) float64 {
	k.advance(now)
	failing := 0
	for i := k.newest + 1; i <= k.newest+breakerBuckets; i++ {
		if bucket := &k.ring[i%breakerBuckets]; bucket.accepts > 0 {
			failing = 0
		} else if bucket.failures > 0 {
			failing++
		}
	}
	weight := maxAcceptWeight - (maxAcceptWeight-minAcceptWeight)*float64(failing)/breakerBuckets
	weight = max(minAcceptWeight, weight)
	total := float64(k.requests)
	return max(0, (total-protectedRequests-weight*float64(k.accepts))/(total+1))
}

// latencyRejectChance is the chance of a rejection by how far the present latency is above the usual one.
func (k *breaker) latencyRejectChance(timeout float64) float64 {
	threshold := latencyActivation * k.baseLatency
	ceiling := latencyCeilingShare * timeout
	if k.baseLatency <= 0 || ceiling <= threshold {
		return 0
	}
	chance := (k.currentLatency - threshold) / (ceiling - threshold) * maxLatencyRejectChance
	return min(maxLatencyRejectChance, max(0, chance))
}

// breakerAllows decides at random whether e's breaker lets a request pass. A rejection counts as a request.
func (b *Balancer) breakerAllows(now monotime.Micros, r *request, e *endpoint) bool {
	timeout := float64(b.classOf(r).ClientTimeout)
	chance := max(e.breaker.errorRejectChance(now), e.breaker.latencyRejectChance(timeout))
	suspicion := e.suspicion(int(r.Class))
	interval := monotime.Micros(forcedPassInterval)
	if suspicion > chance {
		interval = b.suspectTrialInterval()
	}
	if max(chance, suspicion) <= 0 {
		return true
	}
	if now-e.breaker.lastForcedPass > interval {
		e.breaker.lastForcedPass = now
		return true
	}
	x := b.random.float()
	if x < chance {
		e.breaker.record(now, 0, 0) // rejections by the suspicion of others do not count
	}
	return x >= max(chance, suspicion)
}

// SetSuspicion sets with what chance, 0 to 1, an endpoint is left out for a class of requests by what other
// balancers have observed. A quiet balancer uses a failing endpoint too seldom to observe it itself.
func (b *Balancer) SetSuspicion(now monotime.Micros, id uint32, class int, chance float64) {
	e := b.endpointsByID[id]
	if e == nil || class < 0 || class >= len(b.classes) {
		return
	}
	if e.suspicions == nil {
		e.suspicions = make([]float64, len(b.classes))
	}
	if e.suspicions[class] == 0 && chance > 0 { // the first trial is not at the same time as that of others
		e.breaker.lastForcedPass = now - b.random.durationBelow(b.suspectTrialInterval())
	}
	e.suspicions[class] = min(1, max(0, chance))
}

// suspectTrialInterval is the time between two requests of this balancer to an endpoint that others suspect.
func (b *Balancer) suspectTrialInterval() monotime.Micros {
	return max(forcedPassInterval, second*monotime.Micros(b.settings.Balancers)/suspectTrialsPerSecond)
}

const ejectAfter = 3 // consecutive failures of all traffic, one more of a part: the whole is ejected first

// recordOutcome feeds the end of an attempt to the averages, the breaker and the outlier detection.
func (b *Balancer) recordOutcome(now monotime.Micros, r *request, a *attempt, o *Outcome) {
	e := a.endpoint
	switch o.Status {
	case OK:
		b.servedWork += r.work / max(b.settings.Contract.WarmupStartCapacity, b.effectiveCapacity(now))
		b.lastServedAt = now
		e.breaker.record(now, 1, 0)
		e.breaker.recordLatency(float64(o.Latency))
		for _, part := range b.trafficParts(r) {
			e.outliers[part] = outlierStats{}
		}
		b.learnLatency(now, r, a, float64(o.Latency), false)
	case Cancelled, NotSent:
	default:
		e.breaker.record(now, 0, 1)
		for _, part := range b.trafficParts(r) {
			b.recordFailure(now, e, part)
		}
		if o.Status == Timeout {
			b.learnLatency(now, r, a, float64(o.Latency), true)
		}
	}
}

// recordFailure counts a failure of a part of the traffic, and ejects the endpoint for a few in a row.
// The first request after an ejection is a trial: until its outcome no other follows.
func (b *Balancer) recordFailure(now monotime.Micros, e *endpoint, part int) {
	o := &e.outliers[part]
	o.consecutiveFailures++
	limit := ejectAfter
	if part != allTraffic {
		limit++
	}
	if o.consecutiveFailures < limit || now < o.ejectedUntil && !o.trialPending || !b.canEject(now, e, part) {
		return
	}
	o.trialPending = false
	o.ejectionTime = min(max(2*o.ejectionTime, second), breakerWindow)
	o.ejectedUntil = now + o.ejectionTime/2 + b.random.durationBelow(o.ejectionTime)
	b.logEjection(now, e, part)
}

// isEjectedFor says whether e is ejected for any part of the traffic that r belongs to.
func (b *Balancer) isEjectedFor(now monotime.Micros, e *endpoint, r *request) bool {
	for _, part := range b.trafficParts(r) {
		if now < e.outliers[part].ejectedUntil {
			return true
		}
	}
	return false
}

// canEject keeps half of the endpoints in service, a third for a part of the traffic: fewer are overloaded.
func (b *Balancer) canEject(now monotime.Micros, e *endpoint, part int) bool {
	out := 1
	for _, other := range b.endpoints {
		if other != e && (other.isAvoided(now) || now < other.outliers[part].ejectedUntil) {
			out++
		}
	}
	if part == allTraffic {
		return 2*out <= len(b.endpoints)
	}
	return 3*out <= 2*len(b.endpoints)
}
