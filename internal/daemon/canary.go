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
	// A verdict of harm that is not severe needs this part of the canary's duration, but maxMinCanaryDuration at most.
	minCanaryDurationDivisor = 4
	maxMinCanaryDuration     = 5_000_000 // microseconds
)

// startCanary starts the canary analysis of the running configuration against the last known good one.
func (p *process) startCanary() {
	controlPlane := &p.controlPlane
	settings := canary.Settings{
		Duration:      controlPlane.CanaryDuration.Micros(),
		HarmMargin:    controlPlane.HarmMargin,
		Alpha:         controlPlane.Alpha,
		MaxExtensions: maxCanaryExtensions,
	}
	settings.MinDuration = min(settings.Duration/minCanaryDurationDivisor, maxMinCanaryDuration)
	var err error
	if p.canaryAnalysis, err = canary.NewAnalysis(settings, p.baselineSamples...); err != nil {
		p.log.Error("canary not started", "error", err) // not expected: package config has checked the settings
		p.executeCommands(p.machine.HandleCanaryResult(now(), ""))
		return
	}
	p.canarySamples = nil
	tally := p.serving.tally
	if tally == nil {
		return
	}
	if goodConfig, err := p.configOf(*p.machine.PersistentState().LastKnownGood); err == nil {
		tally.setObjectives(p.serving.options.Config.Site.Settings.Classes, goodConfig.Site.Settings.Classes)
	}
	tally.takeAndReset() // drops the outcomes under the configuration before
}

// takeCanarySample adds the outcomes of requests since the last sample to the canary analysis, or to its baseline while none
// runs, and carries out the analysis's verdict.
func (p *process) takeCanarySample() {
	sampleEnd := time.Now()
	sampleLength := sampleEnd.Sub(p.lastSampleEnd)
	p.lastSampleEnd = sampleEnd
	tally := p.serving.tally
	if tally == nil || sampleLength > maxSampleAge {
		return
	}
	sample := tally.takeAndReset()
	sample.Duration = sampleLength.Microseconds()
	if p.canaryAnalysis == nil {
		p.addToBaseline(sample)
		return
	}
	p.canarySamples = append(p.canarySamples, sample)
	switch verdict, figures := p.canaryAnalysis.AddCanary(sample); verdict {
	case canary.Undecided:
	case canary.Degraded:
		p.canaryAnalysis = nil
		p.executeCommands(p.machine.HandleCanaryResult(
			now(), fmt.Sprintf("worse by %s: %s", figures.Metric, figures.Text())))
	default:
		p.canaryAnalysis = nil
		p.log.Info("canary ended", "verdict", verdict.String(), "figures", figures.Text())
		p.addToBaseline(p.canarySamples...)
		tally.setObjectives(p.serving.options.Config.Site.Settings.Classes, nil)
		p.executeCommands(p.machine.HandleCanaryResult(now(), ""))
	}
}

// addToBaseline adds samples under a good configuration, and keeps the last maxBaselineSamples.
func (p *process) addToBaseline(samples ...canary.Sample) {
	p.baselineSamples = append(p.baselineSamples, samples...)
	p.baselineSamples = p.baselineSamples[max(0, len(p.baselineSamples)-maxBaselineSamples):]
}
