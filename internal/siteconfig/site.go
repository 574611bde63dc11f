// Package siteconfig holds the settings that operators make for a site: those of the decision packages, and the
// names that clients and endpoints use for their indexes. It must not import packages of files or sockets: packages
// config and wire fill a Site, and all others only read it.
package siteconfig

import (
	"time"

	"dunlinsail/balancer"
)

// MaxBodyBytes is the largest body, in bytes, that is buffered or exchanged completely (PROTOCOL).
const MaxBodyBytes = 64 << 10

// ResponseMargin is subtracted from a client's deadline, so that the final response reaches the client before it.
const ResponseMargin = 5 * time.Millisecond

// Site is the settings of one program for the site that it serves. It must not be changed while in use.
type Site struct {
	Settings balancer.Settings

	// The names of classes, tenants, zones and machine types in requests and endpoint lists, in the order of Settings.
	Classes []string
	Tenants []string
	Zones   []string
	Kinds   []string // machine types of endpoints

	// TenantLimits are the limits of admitted requests by tenant, in requests a second over all instances; 0 is no
	// limit.
	TenantLimits []float64

	LoadReportFields   []string      // names of the fields of a load report, in the order of Settings.LoadMetrics
	ReportsOnResponses bool          // load reports are also read from responses to requests
	KeepAlive          time.Duration // after which an endpoint closes an idle connection
}
