package daemon

import (
	"fmt"
	"time"

	"dunlinsail/internal/decide/canary"
)

const (
	// sampleInterval is the time over which one sample counts the outcomes of requests.
	sampleInterval = 250 * time.Millisecond
	// maxSampleAge is the longest time that a sample may cover. The process was stalled during a longer sample,
	// which is dropped.
	maxSampleAge = 10 * sampleInterval
	// maxBaselineSamples is the number of latest samples under good configurations that form the baseline of a
	// canary.
	maxBaselineSamples = 240
	// maxCanaryExtensions is how often an inconclusive canary analysis is extended, each time by its configured
	// duration.
	maxCanaryExtensions = 3
	// minCanaryDurationDivisor and maxMinCanaryDuration set the minimum duration of a canary before an analysis
	// finds a harm that is not severe: the duration of the canary divided by minCanaryDurationDivisor, but at
	// most maxMinCanaryDuration.
	minCanaryDurationDivisor = 4
	maxMinCanaryDuration     = 5_000_000 // microseconds
)

// startCanary starts the analysis that compares the running configuration (the canary) with the last known good
// configuration.
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
		p.log.Error("canary not started", "error", err) // not expected: package config has validated the settings
		p.executeCommands(p.rolloutMachine.HandleCanaryResult(now(), ""))
		return
	}
	p.canarySamples = nil
	tally := p.serving.tally
	if tally == nil {
		return
	}
	if goodConfig, err := p.configForVersion(*p.rolloutMachine.PersistentState().LastKnownGood); err == nil {
		tally.setObjectives(p.serving.options.Config.Site.Settings.Classes, goodConfig.Site.Settings.Classes)
	}
	tally.takeAndReset() // discards the outcomes under the previous configuration
}

// takeCanarySample adds the outcomes of the requests since the last sample to the canary analysis, and carries
// out the verdict of the analysis. While no analysis runs, it adds the outcomes to the baseline.
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
	switch verdict, statistics := p.canaryAnalysis.AddCanary(sample); verdict {
	case canary.Undecided:
	case canary.Degraded:
		p.canaryAnalysis = nil
		p.executeCommands(p.rolloutMachine.HandleCanaryResult(
			now(), fmt.Sprintf("worse by %s: %s", statistics.Metric, statistics.Text())))
	default:
		p.canaryAnalysis = nil
		p.log.Info("canary ended", "verdict", verdict.String(), "figures", statistics.Text())
		p.addToBaseline(p.canarySamples...)
		tally.setObjectives(p.serving.options.Config.Site.Settings.Classes, nil)
		p.executeCommands(p.rolloutMachine.HandleCanaryResult(now(), ""))
	}
}

// addToBaseline adds samples under a good configuration to the baseline, which keeps the latest
// maxBaselineSamples.
func (p *process) addToBaseline(samples ...canary.Sample) {
	p.baselineSamples = append(p.baselineSamples, samples...)
	p.baselineSamples = p.baselineSamples[max(0, len(p.baselineSamples)-maxBaselineSamples):]
}
