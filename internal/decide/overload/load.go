package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// LoadReport is the load that an endpoint reports, for the requests of all instances. A value that the endpoint
// does not report is negative.
type LoadReport struct {
	InFlight   float64 // requests in flight at the endpoint
	ServedRate float64 // requests served per second
}

const (
	// endpointRateWeight is the weight of one load report in the moving average of the rate that an endpoint
	// serves.
	endpointRateWeight = 0.1
	// maxReportFactor limits the served rate of one report to this multiple of the mean served rate, so that a
	// false report of one endpoint does not hide the rate that the others serve.
	maxReportFactor = 4
	// minReportedRate is the least reported served rate, in requests per second, for which the time in flight
	// is derived.
	minReportedRate = 1
)

// OnLoadReport processes an endpoint's load report. By Little's law, the time that a request spends at the
// endpoint is the number of requests in flight divided by the served rate. It covers the requests of all
// instances, whatever the endpoint's cores and the requests' cost. This time, as a fraction of the mean latency
// objective, is a sample of the load. Invalid reports are ignored.
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

// meanObjective returns the mean latency objective of the requested classes, in microseconds, weighted by
// demand. Without demand it returns the objective of the first class.
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
