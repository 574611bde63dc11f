package simendpoint

import (
	"math"
	"math/rand/v2"

	"dunlinsail/internal/monotime"
)

// loadReporter holds the figures of load reports.
type loadReporter struct {
	reportedAt  monotime.Micros
	current     Load
	windowStart monotime.Micros // start of the second that is being counted
	served      int
	errors      int
	coreTime    monotime.Micros // core time within that second
	reported    Load
	history     []timedLoad // earlier reports, for late ones
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
func (n *Endpoint) Probe(now monotime.Micros, r *rand.Rand) Load {
	n.pendingOverhead += n.config.ProbeWork
	f := &n.report
	if now-f.windowStart >= second {
		f.current.Served = float64(f.served) * float64(second) / float64(now-f.windowStart)
		f.current.Errors = float64(f.errors) * float64(second) / float64(now-f.windowStart)
		f.current.Util = min(1, float64(f.coreTime)/float64(now-f.windowStart)/float64(len(n.cores)))
		f.windowStart = now
		f.served = 0
		f.errors = 0
		f.coreTime = 0
	}
	if f.reportedAt == 0 || now-f.reportedAt >= n.config.ReportInterval {
		f.reportedAt = now
		f.current.Inflight = float64(n.InFlight())
		f.current.Queue = float64(len(n.queue))
		f.reported = f.current
		if n.config.ReportNoise > 0 {
			f.reported.Inflight = max(0, f.reported.Inflight*(1+n.config.ReportNoise*r.NormFloat64()))
			f.reported.Util = max(0, f.reported.Util*(1+n.config.ReportNoise*r.NormFloat64()))
		}
		f.history = append(f.history, timedLoad{now, f.reported})
		for len(f.history) > 2 && now-f.history[1].at > 10*second {
			f.history = f.history[1:]
		}
	}
	switch {
	case n.condition.FalseReports:
		return Load{}
	case n.condition.InvalidReports && r.Float64() < 0.5:
		none := math.NaN()
		return Load{none, none, none, none, none, none}
	case n.condition.InvalidReports:
		return Load{
			Inflight:  1e9,
			Queue:     1e9,
			Util:      -3,
			LatencyMS: math.Inf(1),
			Served:    1 + 1e9*r.Float64(),
			Errors:    1e9,
		}
	case n.condition.ReportDelay > 0:
		old := Load{}
		for i := len(f.history) - 1; i >= 0; i-- {
			if f.history[i].at <= now-n.condition.ReportDelay {
				old = f.history[i].load
				break
			}
		}
		return old
	}
	return f.reported
}
