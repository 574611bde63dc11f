// Package siteconfig holds what a site's operators have settled: the settings of the decisions, and the names that
// stand for their numbers on the sockets. It knows neither files nor sockets: what reads a configuration fills
// it, and all else takes it as it is.
package siteconfig

import (
	"time"

	"dunlinsail/balancer"
)

// BodyMost is the most bytes that a body may have on the sockets (PROTOCOL).
const MaxBodyBytes = 64 << 10

// AnswerMargin is kept from a client's time, so that the final answer reaches it before that is up.
const ResponseMargin = 5 * time.Millisecond

// Site is what one program is told of the site that it serves.
type Site struct {
	Settings balancer.Settings

	// Names as on the sockets, in the order of the settings.
	Classes          []string
	Tenants          []string
	TenantLimits     []float64 // by tenant: requests a second over all instances that are let in at most; 0 is no limit
	Zones            []string
	Kinds            []string
	LoadReportFields []string // of a load report

	ReportsOnResponses bool          // answers carry load reports, too
	KeepAlive          time.Duration // an endpoint closes a connection that has been idle for so long
}
