package balancer

import "dunlinsail/internal/monotime"

// Messages of log lines. docs/operators says what to do about each.
const (
	messageWatchFailed  = "discovery failed, the last endpoint list is used"
	messageLateReports  = "load reports late"
	messageRejected     = "requests rejected"
	messageEjected      = "endpoint ejected"
	microsInMillisecond = 1000
)

// log writes a line for on-call staff, at most one a second of each message. args are alternating keys and values.
func (b *Balancer) log(now monotime.Micros, message string, args ...any) {
	if last, ok := b.lastLogged[message]; ok && now-last < second {
		return
	}
	b.lastLogged[message] = now
	b.actions.Log(message, args...)
}

func (b *Balancer) logDiscoveryFailure(now monotime.Micros) { b.log(now, messageWatchFailed) }

func (b *Balancer) logLateReports(now monotime.Micros) {
	b.log(now, messageLateReports, "late", b.reportsLate, "late_percent", int(100*b.lateReportRatio.value))
}

// logRejection says why a request is rejected: the best endpoint would answer too late. It is made only when due,
// since rejections come in thousands.
func (b *Balancer) logRejection(now monotime.Micros, best *endpoint, expected, budget float64) {
	if now-b.lastLogged[messageRejected] >= second {
		b.log(now, messageRejected, "rejected_percent", int(100*b.rejectedRatio.value), "best_endpoint", best.ID,
			"expected_ms", int(expected/microsInMillisecond), "budget_ms", int(budget/microsInMillisecond))
	}
}

// logEjection says for how long an endpoint is ejected, and for which class or tenant unless for all traffic.
func (b *Balancer) logEjection(now monotime.Micros, e *endpoint, part int) {
	o := &e.outliers[part]
	args := []any{"endpoint", e.ID, "consecutive_failures", o.consecutiveFailures,
		"for_ms", (o.ejectedUntil - now) / microsInMillisecond}
	switch {
	case part == allTraffic:
	case part <= len(b.classes):
		args = append(args, "class", part-1)
	default:
		args = append(args, "tenant", part-1-len(b.classes))
	}
	b.log(now, messageEjected, args...)
}
