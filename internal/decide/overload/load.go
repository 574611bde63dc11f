package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// LoadReport is an endpoint's report of its load by all instances. A figure that it does not report is negative.
type LoadReport struct {
	InFlight   float64 // requests in flight at the endpoint
	ServedRate float64 // requests served a second
}

const (
	// endpointRateWeight is the weight of one report in the moving average of the rate that an endpoint serves.
	endpointRateWeight = 0.1
	// maxReportFactor is the multiple of the mean that one report counts as at most: a false report of one endpoint
	// must not hide what all of them serve.
	maxReportFactor = 4
	// minReportedRate is the served rate, in requests a second, from which on the time in flight can be derived.
	minReportedRate = 1
)

// OnLoadReport takes in an endpoint's load report. By Little's law the time that a request spends at the endpoint is
// the requests in flight over the rate served: of all instances' requests, whatever the endpoint's cores and the
// requests' cost are. Its part of the mean latency objective is a sample of the load. Reports that cannot be true are
// ignored.
func (c *Controller) OnLoadReport(now monotime.Micros, report LoadReport) {
	if !(report.ServedRate >= minReportedRate) || math.IsInf(report.ServedRate, 0) {
		return
	}
	if !(report.InFlight >= 0) || math.IsInf(report.InFlight, 0) {
		return
	}
	rate := min(report.ServedRate, maxReportFactor*c.endpointRate.valueOr(report.ServedRate))
	c.endpointRate.add(rate, endpointRateWeight)
	c.level.addSample(now, report.InFlight/report.ServedRate*float64(second)/c.meanObjective(now))
}

// meanObjective returns the mean latency objective over the demand, in microseconds; that of the first class without
// demand.
func (c *Controller) meanObjective(now monotime.Micros) float64 {
	var weightedSum, totalRate float64
	for i := range c.classDemand {
		classRate := c.classDemand[i].rate(now)
		weightedSum += classRate * float64(c.settings.Classes[i].LatencyObjective)
		totalRate += classRate
	}
	if totalRate == 0 {
		return float64(c.settings.Classes[0].LatencyObjective)
	}
	return weightedSum / totalRate
}
