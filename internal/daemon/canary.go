package daemon

import (
	"fmt"
	"time"

	"dunlinsail/internal/decide/canary"
)

// startCanary begins the canary analysis of the configuration that runs now against the one that was good until
// then.
func (p *process) startCanary() {
	c := &p.control
	s := canary.Settings{
		Duration:      c.CanaryDuration.Micros(),
		HarmMargin:    c.HarmMargin,
		Alpha:         c.Alpha,
		MaxExtensions: maxCanaryRestarts,
	}
	s.MinDuration = min(s.Duration/4, 5_000_000)
	var err error
	if p.canary, err = canary.NewAnalysis(s, p.baselineSamples...); err != nil {
		p.log.Error("canary not started", "error", err) // config has checked what it needs
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
	t.take() // what was before
}

// takeSample takes in the outcomes of requests in the last interval.
func (p *process) takeSample() {
	at := time.Now()
	length := at.Sub(p.lastSample)
	p.lastSample = at
	t := p.serving.tally
	if t == nil || length > 10*sampleInterval {
		return
	}
	s := t.take()
	s.Duration = length.Microseconds()
	if p.canary == nil {
		p.baselineSamples = append(p.baselineSamples, s)
		p.baselineSamples = p.baselineSamples[max(0, len(p.baselineSamples)-maxBaselineSamples):]
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
		p.baselineSamples = append(p.baselineSamples, p.canarySamples...)
		p.baselineSamples = p.baselineSamples[max(0, len(p.baselineSamples)-maxBaselineSamples):]
		t.setObjectives(p.serving.options.Config.Site.Settings.Classes, nil)
		p.carryOut(p.machine.HandleCanaryResult(now(), ""))
	}
}
