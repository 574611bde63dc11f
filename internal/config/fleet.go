package config

import (
	"math"
	"strings"

	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/stricttoml"
)

// Fleet describes the fleet and this instance's place in it.
type Fleet struct {
	// Instances is the number of instances of the daemon, this one included: default 1, at least 1.
	Instances int `toml:"instances"`

	// Position is the index of this instance among them: default 0, under Instances.
	Position int `toml:"position"`

	// Zone is where this instance runs, one of Zones; default "".
	Zone string `toml:"zone"`

	// Zones are the names of all zones, 254 at most; default none.
	Zones []string `toml:"zones"`

	// Machines are the names of the endpoints' machine types, 254 at most; default none.
	MachineTypes []string `toml:"machines"`

	// KeepAlive is after how long endpoints close an idle connection: default 15s, positive.
	KeepAlive stricttoml.Duration `toml:"keep_alive"`

	// OverQuotaWeight is the part of its priority weight that a request over its tenant's quota has: default 1, which
	// turns this off, 0 to 1.
	OverQuotaWeight float64 `toml:"over_share_worth"`

	// WeightUnit is "request", the default, or "work": priority weights then count per unit of work.
	WeightUnit string `toml:"worth_by"`

	// Subset is the least number of endpoints that this instance uses, by Position: 1 to 1000; 0, the default, is all.
	// Like MaxEndpointProbeRate and MaxEndpointIdleConnections it is for a fleet of many instances with little traffic (package subset).
	MinSubsetSize int `toml:"subset"`

	// MaxEndpointProbeRate is the limit of health checks a second of one endpoint, by all instances: up to 1000000; 0, the
	// default, is no bound.
	MaxEndpointProbeRate float64 `toml:"node_probes"`

	// MaxEndpointIdleConnections is the limit of idle connections to one endpoint, of all instances: up to 1000000; 0, the default,
	// is no bound.
	MaxEndpointIdleConnections float64 `toml:"node_idle"`
}

// SubsetSettings returns which part of the endpoint list the instance uses, and its bounds of probes and idle
// connections; nil without any of them. With bounds only, the part is the whole list.
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

// Overload bounds what the instance adds to the load of endpoints that it shares with other instances. Ratios are of
// first attempts that were accepted, within any second.
type Overload struct {
	// On turns overload control on; default false.
	On bool `toml:"on"`

	// RetryRatio is the limit of retries, as a ratio: default 0.2, 0 to 10.
	RetryRatio float64 `toml:"further"`

	// OverloadedRetryRatio is that limit while requests are rejected or many attempts fail: default 0.05, up to
	// RetryRatio.
	OverloadedRetryRatio float64 `toml:"further_sick"`

	// ProbeRatio is the limit of health checks, as a ratio: default 2, 0 to 10.
	ProbeRatio float64 `toml:"probes"`

	// MaxEndpointProbeRate is the limit of health checks a second of one endpoint, by all instances: default 100, up to
	// 1000000; 0 is no bound.
	MaxEndpointProbeRate float64 `toml:"node_probes"`

	// MinEndpointProbeRate is how many health checks a second of one endpoint are always allowed, to all instances:
	// default 1, over 0, up to MaxEndpointProbeRate, so that an endpoint that recovers is found.
	MinEndpointProbeRate float64 `toml:"node_least"`
}

// Settings returns the settings of package overload, without those of the site; nil if it is off.
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

// Peers configures gossip between the instances of a fleet, and what they coordinate.
type Peers struct {
	// On turns gossip and coordination on; default false.
	On bool `toml:"on"`

	// Fleet is the fleet's name: default "dunlinsail". Instances with different names ignore each other.
	Fleet string `toml:"fleet"`

	// Address is host:port for UDP and TCP, at which the others reach this instance. It is required with On.
	Address string `toml:"address"`

	// AllowBeyondLoopback allows an Address that is not on loopback; default false.
	AllowBeyondLoopback bool `toml:"beyond_loopback"`

	// Join are the addresses of some other instances; default none. Gossip finds the rest.
	Join []string `toml:"join"`

	// Allocators are the names of 1, 3, 5 or 7 instances, the same in all files. One of them, which a majority elects,
	// grants quota leases.
	Allocators []string `toml:"lenders"`

	// CoordinatedUses are what the fleet coordinates: names in coordinatedUses, all by default, at least one.
	CoordinatedUses []string `toml:"lends"`

	// QuotaLease is how long a quota lease lasts: default 2s, at least 4 times LeaseRequestInterval. An instance that
	// is cut off has only its minimum afterwards.
	QuotaLease stricttoml.Duration `toml:"loan"`

	// LeaseRequestInterval is how often an instance requests quota leases: default 250ms, at least 10ms, and so that
	// the allocator receives at most maxLeaseRequestRate requests a second.
	LeaseRequestInterval stricttoml.Duration `toml:"every"`

	// LeaderLease is how long the allocator stays elected without a majority: default 1s, at least twice
	// LeaseRequestInterval.
	LeaderLease stricttoml.Duration `toml:"lease"`

	// ReserveFraction is the part of each budget that instances have without a lease, divided by Fleet.Instances:
	// default 0.1, 0 to 1.
	ReserveFraction float64 `toml:"ready"`

	// MaxClockDrift is the largest error of a clock's rate, as a fraction: default 0.005, 0 to 0.1.
	MaxClockDrift float64 `toml:"drift"`

	// AddressMappings are entries "ADDRESS=VIA": the instance at ADDRESS is reached at VIA from here; default none.
	AddressMappings []string `toml:"ways"`

	// SpentLog is a file with a line for each unit spent of a budget; "", the default, turns it off.
	SpentLog string `toml:"spent"`
}

// Maintenance configures how machines are taken out for maintenance, by a plan that is replicated by consensus.
type Maintenance struct {
	// On turns maintenance plans on; default false. Peers.On and Admin.Address are required with it.
	On bool `toml:"on"`

	// StateFile is the file of the raft log, absolute. It is required for the instances in Peers.Allocators, the
	// voters, and not allowed for others.
	StateFile string `toml:"state"`

	// MaxOut is the limit of machines that are out at once: default 1, 1 to 1000.
	MaxOut int `toml:"most"`

	// MaxPerZone and MaxPerCell are that limit within one zone and one cell: default 1; 0 is no bound of its own.
	MaxPerZone int `toml:"zone"`
	MaxPerCell int `toml:"cell"`

	// MaxPerMachineType is that limit for machines of one type; 0, the default, is no bound of its own.
	MaxPerMachineType int `toml:"machine"`

	// Announced is how many machines are announced as next to go out, beside those that are out: default 4, at least
	// MaxOut. An instance that is cut off sends them no new requests.
	MaxAnnounced int `toml:"ahead"`

	// CapacityReserve is the part of the remaining capacity that must stay unused: default 0.2, 0 to under 1.
	CapacityReserve float64 `toml:"room"`

	// Lease is how long a plan is valid at an instance that is cut off: default 2s, at least 200ms.
	Lease stricttoml.Duration `toml:"lease"`

	// InFlightGrace is how long after the lease requests to announced machines may stay in flight: default 5s. They are
	// ended then.
	InFlightGrace stricttoml.Duration `toml:"quiet"`
}

// AddressOverrides returns AddressMappings by the instances' addresses.
func (p *Peers) AddressOverrides() map[string]string {
	overrides := map[string]string{}
	for _, mapping := range p.AddressMappings {
		address, via, _ := strings.Cut(mapping, "=")
		overrides[address] = via
	}
	return overrides
}
