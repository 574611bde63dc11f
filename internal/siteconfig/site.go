// Package siteconfig holds what operators set for a site: the settings of the decisions, and the names that the sockets
// use for their numbers. It must not import packages of files or sockets: what reads a configuration fills a Site in,
// and all others take it as it is.
package siteconfig

import (
	"time"

	"dunlinsail/balancer"
)

// MaxBodyBytes is the greatest length of a body on the sockets (PROTOCOL).
const MaxBodyBytes = 64 << 10

// ResponseMargin is kept from a client's deadline, so that the final response reaches the client before it.
const ResponseMargin = 5 * time.Millisecond

// Site is what one program knows of the site that it serves. It must not be changed while in use.
type Site struct {
	Settings balancer.Settings

	// Names as on the sockets, in the order of the settings.
	Classes []string
	Tenants []string
	Zones   []string
	Kinds   []string // of endpoints

	// TenantLimits are the greatest rates of requests that are admitted, by tenant, in requests a second over all
	// instances; 0 is no limit.
	TenantLimits []float64

	LoadReportFields   []string      // names of the figures of a load report, in its order
	ReportsOnResponses bool          // responses carry load reports, too
	KeepAlive          time.Duration // an endpoint closes a connection that has been idle for so long
}
