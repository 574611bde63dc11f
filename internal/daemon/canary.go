package daemon

import (
	"fmt"
	"time"

	"dunlinsail/internal/decide/canary"
)

const (
	sampleInterval      = 250 * time.Millisecond // length of a sample of outcomes
	maxSampleAge        = 10 * sampleInterval    // a longer sample is dropped: the process stood still
	maxBaselineSamples  = 240                    // latest samples of good configurations, the baseline of a canary
	maxCanaryExtensions = 3                      // of an inconclusive canary analysis, each by its duration
	// A verdict of harm that is not severe needs this part of the canary's duration, but maxMinDuration at most.
	minDurationDivisor = 4
	maxMinDuration     = 5_000_000 // microseconds
)

// startCanary starts the canary analysis of the running configuration against the last known good one.
func (p *process) startCanary() {
	c := &p.control
	s := canary.Settings{
		Duration:      c.CanaryDuration.Micros(),
		HarmMargin:    c.HarmMargin,
		Alpha:         c.Alpha,
		MaxExtensions: maxCanaryExtensions,
	}
	s.MinDuration = min(s.Duration/minDurationDivisor, maxMinDuration)
	var err error
	if p.canary, err = canary.NewAnalysis(s, p.baselineSamples...); err != nil {
		p.log.Error("canary not started", "error", err) // not expected: package config has checked the settings
		p.carryOut(p.machine.HandleCanaryResult(now(), ""))
		return
	}
	p.canarySamples = nil
	t := p.serving.tally
	if t == nil {
		return
	}
	if good, err := p.configOf(*p.machine.PersistentState().LastKnownGood); err == nil {
		t.setObjectives(p.serving.options.Config.Site.Settings.Classes, good.Site.Settings.Classes)
	}
	t.take() // drops the outcomes under the configuration before
}

// takeSample adds the outcomes of requests since the last sample to the canary analysis, or to its baseline while none
// runs, and carries out the analysis's verdict.
func (p *process) takeSample() {
	at := time.Now()
	length := at.Sub(p.lastSample)
	p.lastSample = at
	t := p.serving.tally
	if t == nil || length > maxSampleAge {
		return
	}
	s := t.take()
	s.Duration = length.Microseconds()
	if p.canary == nil {
		p.addToBaseline(s)
		return
	}
	p.canarySamples = append(p.canarySamples, s)
	switch verdict, figures := p.canary.AddCanary(s); verdict {
	case canary.Undecided:
	case canary.Degraded:
		p.canary = nil
		p.carryOut(p.machine.HandleCanaryResult(now(), fmt.Sprintf("worse by %s: %s", figures.Metric, figures.Text())))
	default:
		p.canary = nil
		p.log.Info("canary ended", "verdict", verdict.String(), "figures", figures.Text())
		p.addToBaseline(p.canarySamples...)
		t.setObjectives(p.serving.options.Config.Site.Settings.Classes, nil)
		p.carryOut(p.machine.HandleCanaryResult(now(), ""))
	}
}

// addToBaseline adds samples under a good configuration, and keeps the last maxBaselineSamples.
func (p *process) addToBaseline(samples ...canary.Sample) {
	p.baselineSamples = append(p.baselineSamples, samples...)
	p.baselineSamples = p.baselineSamples[max(0, len(p.baselineSamples)-maxBaselineSamples):]
}
