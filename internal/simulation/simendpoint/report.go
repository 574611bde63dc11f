package simendpoint

import (
	"math"
	"math/rand/v2"

	"dunlinsail/internal/monotime"
)

// loadReporter holds the figures of load reports.
type loadReporter struct {
	reportedAt     monotime.Micros
	measured       Load
	windowStart    monotime.Micros // start of the second that is being counted
	windowServed   int
	windowErrors   int
	windowCoreTime monotime.Micros // core time within that second
	lastReport     Load
	pastReports    []timedLoad // earlier reports, for late ones
}

type timedLoad struct {
	at   monotime.Micros
	load Load
}

// Load is a report of an endpoint's load.
type Load struct {
	Inflight, Queue, Util float64
	LatencyMS             float64 // service time without waiting
	Served, Errors        float64 // a second
}

// Probe returns the load report for a probe. The probe costs the endpoint Config.ProbeWork.
func (e *Endpoint) Probe(now monotime.Micros, random *rand.Rand) Load {
	e.pendingOverhead += e.config.ProbeWork
	report := &e.report
	if now-report.windowStart >= second {
		report.measured.Served = float64(report.windowServed) * float64(second) / float64(now-report.windowStart)
		report.measured.Errors = float64(report.windowErrors) * float64(second) / float64(now-report.windowStart)
		report.measured.Util = min(1,
			float64(report.windowCoreTime)/float64(now-report.windowStart)/float64(len(e.cores)))
		report.windowStart = now
		report.windowServed = 0
		report.windowErrors = 0
		report.windowCoreTime = 0
	}
	if report.reportedAt == 0 || now-report.reportedAt >= e.config.ReportInterval {
		report.reportedAt = now
		report.measured.Inflight = float64(e.InFlight())
		report.measured.Queue = float64(len(e.queue))
		report.lastReport = report.measured
		if e.config.ReportNoise > 0 {
			report.lastReport.Inflight = max(0, report.lastReport.Inflight*(1+e.config.ReportNoise*random.NormFloat64()))
			report.lastReport.Util = max(0, report.lastReport.Util*(1+e.config.ReportNoise*random.NormFloat64()))
		}
		report.pastReports = append(report.pastReports, timedLoad{now, report.lastReport})
		for len(report.pastReports) > 2 && now-report.pastReports[1].at > 10*second {
			report.pastReports = report.pastReports[1:]
		}
	}
	switch {
	case e.condition.FalseReports:
		return Load{}
	case e.condition.InvalidReports && random.Float64() < 0.5:
		nan := math.NaN()
		return Load{nan, nan, nan, nan, nan, nan}
	case e.condition.InvalidReports:
		return Load{
			Inflight:  1e9,
			Queue:     1e9,
			Util:      -3,
			LatencyMS: math.Inf(1),
			Served:    1 + 1e9*random.Float64(),
			Errors:    1e9,
		}
	case e.condition.ReportDelay > 0:
		delayed := Load{}
		for i := len(report.pastReports) - 1; i >= 0; i-- {
			if report.pastReports[i].at <= now-e.condition.ReportDelay {
				delayed = report.pastReports[i].load
				break
			}
		}
		return delayed
	}
	return report.lastReport
}
