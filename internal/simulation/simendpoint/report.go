package simendpoint

import (
	"math"
	"math/rand/v2"

	"dunlinsail/internal/monotime"
)

// loadReporter measures the load of an endpoint and keeps its load reports.
type loadReporter struct {
	reportedAt     monotime.Micros // when lastReport was made
	measured       Load            // latest measured values, without noise
	windowStart    monotime.Micros // start of the present measuring window, which lasts at least a second
	windowServed   int             // requests completed within the window
	windowErrors   int             // requests failed within the window
	windowCoreTime monotime.Micros // busy time of all cores within the window
	lastReport     Load            // latest report, with noise
	pastReports    []timedLoad     // earlier reports, from which delayed ones are taken
}

// timedLoad is a load report with the time of its measurement.
type timedLoad struct {
	at   monotime.Micros
	load Load
}

// Load is a load report of an endpoint.
type Load struct {
	Inflight, Queue, Util float64
	LatencyMS             float64 // average service time in milliseconds, without time in the queue
	Served, Errors        float64 // requests per second
}

// Probe returns the load report for a probe. The probe adds Config.ProbeWork to the endpoint's work.
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
			report.lastReport.Inflight = max(0,
				report.lastReport.Inflight*(1+e.config.ReportNoise*random.NormFloat64()))
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
