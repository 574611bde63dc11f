package balancer

import "dunlinsail/internal/monotime"

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
