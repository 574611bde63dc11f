// Package siteconfig holds the settings of a site: the settings of the decision packages, and the names that
// clients and endpoints use where the decision packages use indexes. Packages config and wire fill a Site, and all
// other packages only read it. The package must not import packages that access files or sockets.
package siteconfig

import (
	"time"

	"dunlinsail/balancer"
)

// MaxBodyBytes is the size, in bytes, of the largest body that is buffered or exchanged completely (PROTOCOL).
const MaxBodyBytes = 64 << 10

// ResponseMargin is subtracted from a client's deadline, so that the final response reaches the client before the
// deadline.
const ResponseMargin = 5 * time.Millisecond

// Site holds the settings of a program for the site that it serves. It must not be changed while it is in use.
type Site struct {
	Settings balancer.Settings

	// Names of classes, tenants, zones and machine types as they are used in requests and endpoint lists. The
	// position of a name is its index in Settings.
	Classes      []string
	Tenants      []string
	Zones        []string
	MachineTypes []string // machine types of endpoints

	// TenantLimits are the largest numbers of requests a second that all instances together admit for each tenant,
	// in the order of Tenants; 0 is no limit.
	TenantLimits []float64

	LoadReportFields   []string      // field names of a load report, in the order of Settings.LoadMetrics
	ReportsOnResponses bool          // whether responses to requests carry load reports, too
	KeepAlive          time.Duration // time after which an endpoint closes an idle connection
}
