package config

import (
	"math"
	"strings"

	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/stricttoml"
)

// Fleet describes the fleet and the place of this instance in it.
type Fleet struct {
	// Instances is the number of instances of the daemon including this one: at least 1, the default.
	Instances int `toml:"instances"`

	// Position is the index of this instance in the fleet, from 0 to Instances-1. The default is 0.
	Position int `toml:"position"`

	// Zone is the zone in which this instance runs. It must be one of Zones, or "", the default, if Zones is empty.
	Zone string `toml:"zone"`

	// Zones are the names of all zones, at most 254. The default is none.
	Zones []string `toml:"zones"`

	// MachineTypes are the names of the machine types of endpoints, at most 254. The default is none.
	MachineTypes []string `toml:"machines"`

	// KeepAlive is the time after which endpoints close an idle connection. It must be positive; the default is
	// 15s.
	KeepAlive stricttoml.Duration `toml:"keep_alive"`

	// OverQuotaWeight is the fraction of its priority weight, from 0 to 1, that a request over its tenant's quota
	// has. The default is 1, which makes quotas ineffective.
	OverQuotaWeight float64 `toml:"over_share_worth"`

	// WeightUnit is "request", the default, or "work". With "work", priority weights apply to a unit of work
	// instead of a request.
	WeightUnit string `toml:"worth_by"`

	// MinSubsetSize is the smallest number of endpoints that this instance uses, from 1 to 1000; Position selects
	// which. With 0, the default, the instance uses all endpoints. MinSubsetSize, MaxEndpointProbeRate and
	// MaxEndpointIdleConnections are for a fleet of many instances with little traffic (package subset).
	MinSubsetSize int `toml:"subset"`

	// MaxEndpointProbeRate is the largest number of health checks a second that all instances together send to one
	// endpoint: at most 1000000. 0, the default, is no limit.
	MaxEndpointProbeRate float64 `toml:"node_probes"`

	// MaxEndpointIdleConnections is the largest number of idle connections from all instances together to one
	// endpoint: at most 1000000. 0, the default, is no limit.
	MaxEndpointIdleConnections float64 `toml:"node_idle"`
}

// SubsetSettings returns the settings for using a subset of the endpoint list and for limiting probes and idle
// connections. It returns nil if none of them is configured. If only limits are configured, the subset is the whole
// list.
func (f *Fleet) SubsetSettings() *subset.Settings {
	if f.MinSubsetSize == 0 && f.MaxEndpointProbeRate == 0 && f.MaxEndpointIdleConnections == 0 {
		return nil
	}
	settings := &subset.Settings{
		Position:                uint64(f.Position),
		Instances:               f.Instances,
		MinMembers:              f.MinSubsetSize,
		EndpointProbes:          f.MaxEndpointProbeRate,
		EndpointIdleConnections: f.MaxEndpointIdleConnections,
	}
	if f.MinSubsetSize == 0 {
		settings.MinMembers = math.MaxInt32
	}
	return settings
}

// Overload limits the load that this instance adds to endpoints that it shares with other instances.
type Overload struct {
	// On enables overload control. The default is false.
	On bool `toml:"on"`

	// RetryRatio is the largest ratio of retries to accepted first attempts within any second, from 0 to 10. The
	// default is 0.2.
	RetryRatio float64 `toml:"further"`

	// OverloadedRetryRatio replaces RetryRatio while requests are rejected or many attempts fail: from 0 to
	// RetryRatio. The default is 0.05.
	OverloadedRetryRatio float64 `toml:"further_sick"`

	// ProbeRatio is the largest ratio of health checks to accepted first attempts within any second, from 0 to 10.
	// The default is 2.
	ProbeRatio float64 `toml:"probes"`

	// MaxEndpointProbeRate is the largest number of health checks a second that all instances together send to one
	// endpoint: at most 1000000. The default is 100; 0 is no limit.
	MaxEndpointProbeRate float64 `toml:"node_probes"`

	// MinEndpointProbeRate is the number of health checks a second to one endpoint that all instances together may
	// always send, so that a recovering endpoint is detected: over 0, up to MaxEndpointProbeRate. The default is 1.
	MinEndpointProbeRate float64 `toml:"node_least"`
}

// Settings returns the settings of package overload for a fleet of the given number of instances, without the
// settings that depend on the site. It returns nil if overload control is off.
func (o *Overload) Settings(instances int) *overload.Settings {
	if !o.On {
		return nil
	}
	return &overload.Settings{
		Instances:            instances,
		RetryRatio:           o.RetryRatio,
		OverloadedRetryRatio: o.OverloadedRetryRatio,
		ProbeRatio:           o.ProbeRatio,
		MaxEndpointProbeRate: o.MaxEndpointProbeRate,
		MinEndpointProbeRate: o.MinEndpointProbeRate,
	}
}

// defaultOverload returns the defaults of package overload, with overload control off.
func defaultOverload() Overload {
	settings := overload.DefaultSettings()
	return Overload{
		RetryRatio:           settings.RetryRatio,
		OverloadedRetryRatio: settings.OverloadedRetryRatio,
		ProbeRatio:           settings.ProbeRatio,
		MaxEndpointProbeRate: settings.MaxEndpointProbeRate,
		MinEndpointProbeRate: settings.MinEndpointProbeRate,
	}
}

// Peers configures gossip between the instances of a fleet and the coordination of budgets and limits.
type Peers struct {
	// On enables gossip and coordination. The default is false.
	On bool `toml:"on"`

	// Fleet is the name of the fleet. Instances with different names ignore each other. The default is
	// "dunlinsail".
	Fleet string `toml:"fleet"`

	// Address is the host:port for UDP and TCP at which other instances reach this one. It is required if On is
	// set.
	Address string `toml:"address"`

	// AllowBeyondLoopback permits an Address that is not on loopback. The default is false.
	AllowBeyondLoopback bool `toml:"beyond_loopback"`

	// Join are the addresses of some other instances; the default is none. Gossip discovers the rest of the fleet.
	Join []string `toml:"join"`

	// Allocators are the names of 1, 3, 5 or 7 instances; all instances must have the same list. A majority of them
	// elects the allocator, which grants quota leases.
	Allocators []string `toml:"lenders"`

	// CoordinatedUses selects what the fleet coordinates: at least one of the names in coordinatedUses. The default
	// is all of them.
	CoordinatedUses []string `toml:"lends"`

	// QuotaLease is the duration of a quota lease: at least 4 times LeaseRequestInterval. An instance that cannot
	// renew its lease is limited to its share of ReserveFraction afterwards. The default is 2s.
	QuotaLease stricttoml.Duration `toml:"loan"`

	// LeaseRequestInterval is the interval at which an instance requests quota leases: at least 10ms, and long
	// enough that the allocator receives at most maxLeaseRequestRate requests a second. The default is 250ms.
	LeaseRequestInterval stricttoml.Duration `toml:"every"`

	// LeaderLease is the time that an allocator stays elected without contact to a majority: at least twice
	// LeaseRequestInterval. The default is 1s.
	LeaderLease stricttoml.Duration `toml:"lease"`

	// ReserveFraction is the fraction of each budget, from 0 to 1, that instances may use without a lease. Each
	// instance gets an equal share of it. The default is 0.1.
	ReserveFraction float64 `toml:"ready"`

	// MaxClockDrift is the largest error of a clock's rate as a fraction, from 0 to 0.1. The default is 0.005.
	MaxClockDrift float64 `toml:"drift"`

	// AddressMappings are entries "ADDRESS=VIA": this instance connects to VIA to reach the instance whose address
	// is ADDRESS. The default is none.
	AddressMappings []string `toml:"ways"`

	// SpentBudgetLog is the path of a file that gets one line for each unit of a budget that is spent. The
	// default is "", which disables the file.
	SpentBudgetLog string `toml:"spent"`
}

// Maintenance configures maintenance plans, which are replicated by consensus and decide when machines are taken
// out of service.
type Maintenance struct {
	// On enables maintenance plans. It requires Peers.On and Admin.Address. The default is false.
	On bool `toml:"on"`

	// StateFile is the absolute path of the file with the raft log. It is required for the voters, which are the
	// instances in Peers.Allocators, and not allowed for other instances.
	StateFile string `toml:"state"`

	// MaxOut is the largest number of machines that are out of service at once, from 1 to 1000. The default is 1.
	MaxOut int `toml:"most"`

	// MaxOutPerZone and MaxOutPerCell are the largest numbers of machines in one zone and in one cell that are out of
	// service at once. The default is 1; 0 is no limit besides MaxOut.
	MaxOutPerZone int `toml:"zone"`
	MaxOutPerCell int `toml:"cell"`

	// MaxOutPerMachineType is the largest number of machines of one type that are out of service at once. 0, the
	// default, is no limit besides MaxOut.
	MaxOutPerMachineType int `toml:"machine"`

	// MaxAnnounced is the largest number of machines that are announced to go out of service next, in addition to
	// those already out: at least MaxOut. An instance that is cut off from the voters sends no new requests to
	// announced machines. The default is 4.
	MaxAnnounced int `toml:"ahead"`

	// CapacityReserve is the fraction of the remaining capacity that must stay unused: at least 0, less than 1. The
	// default is 0.2.
	CapacityReserve float64 `toml:"room"`

	// Lease is the time that a plan stays valid at an instance that is cut off from the voters: at least 200ms. The
	// default is 2s.
	Lease stricttoml.Duration `toml:"lease"`

	// InFlightGrace is the time that requests to announced machines may stay in flight after the lease has expired.
	// Requests still in flight then are aborted. The default is 5s.
	InFlightGrace stricttoml.Duration `toml:"quiet"`
}

// AddressOverrides returns AddressMappings as a map from ADDRESS to VIA.
func (p *Peers) AddressOverrides() map[string]string {
	overrides := map[string]string{}
	for _, mapping := range p.AddressMappings {
		address, via, _ := strings.Cut(mapping, "=")
		overrides[address] = via
	}
	return overrides
}
