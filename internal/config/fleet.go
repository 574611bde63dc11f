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
	Instances       int                 `toml:"instances"`
	Position        int                 `toml:"position"`
	Zone            string              `toml:"zone"`
	Zones           []string            `toml:"zones"`
	Machines        []string            `toml:"machines"`
	KeepAlive       stricttoml.Duration `toml:"keep_alive"`
	OverShareWeight float64             `toml:"over_share_worth"`
	WeightBy        string              `toml:"worth_by"` // "request" or "work"

	// For a fleet of many instances with little traffic (package subset).
	Subset         int     `toml:"subset"`      // least number of endpoints that this instance uses; 0: all
	EndpointProbes float64 `toml:"node_probes"` // a second, of the whole fleet at one endpoint; 0: no bound
	EndpointIdle   float64 `toml:"node_idle"`   // connections of the whole fleet at one endpoint; 0: no bound
}

// SubsetSettings returns which part of the endpoint list the instance uses; nil is all of it.
func (f *Fleet) SubsetSettings() *subset.Settings {
	if f.Subset == 0 && f.EndpointProbes == 0 && f.EndpointIdle == 0 {
		return nil
	}
	s := &subset.Settings{
		Position:                uint64(f.Position),
		Instances:               f.Instances,
		MinMembers:              f.Subset,
		EndpointProbes:          f.EndpointProbes,
		EndpointIdleConnections: f.EndpointIdle,
	}
	if f.Subset == 0 {
		s.MinMembers = math.MaxInt32
	}
	return s
}

// Overload bounds what the instance adds to the load of endpoints that it shares with other instances.
type Overload struct {
	On                   bool    `toml:"on"`
	RetryRatio           float64 `toml:"further"`
	OverloadedRetryRatio float64 `toml:"further_sick"`
	ProbeRatio           float64 `toml:"probes"`
	MaxEndpointProbes    float64 `toml:"node_probes"`
	MinEndpointProbes    float64 `toml:"node_least"`
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
		MaxEndpointProbeRate: o.MaxEndpointProbes,
		MinEndpointProbeRate: o.MinEndpointProbes,
	}
}

func defaultOverload() Overload {
	s := overload.DefaultSettings()
	return Overload{
		RetryRatio:           s.RetryRatio,
		OverloadedRetryRatio: s.OverloadedRetryRatio,
		ProbeRatio:           s.ProbeRatio,
		MaxEndpointProbes:    s.MaxEndpointProbeRate,
		MinEndpointProbes:    s.MinEndpointProbeRate,
	}
}

// Peers configures gossip between the instances of a fleet, and what they coordinate.
type Peers struct {
	On                   bool                `toml:"on"`
	Fleet                string              `toml:"fleet"`   // name; fleets of different names do not mix
	Address              string              `toml:"address"` // host:port for UDP and TCP
	AllowBeyondLoopback  bool                `toml:"beyond_loopback"`
	Join                 []string            `toml:"join"`    // addresses of some others
	Allocators           []string            `toml:"lenders"` // names of instances: one of them grants quota leases
	CoordinatedUses      []string            `toml:"lends"`   // see coordinatedUses
	QuotaLease           stricttoml.Duration `toml:"loan"`
	LeaseRequestInterval stricttoml.Duration `toml:"every"`
	LeaderLease          stricttoml.Duration `toml:"lease"`
	ReserveFraction      float64             `toml:"ready"` // of each budget, for instances without a lease
	MaxClockDrift        float64             `toml:"drift"`
	AddressMappings      []string            `toml:"ways"`  // "ADDRESS=VIA": reach ADDRESS at VIA
	SpentLog             string              `toml:"spent"` // file with a line for each unit spent of a budget
}

// Maintenance configures how machines are taken out for maintenance, by a plan that is replicated by consensus.
type Maintenance struct {
	On                bool                `toml:"on"`
	StateFile         string              `toml:"state"` // file of the raft log, of a voter
	MaxOut            int                 `toml:"most"`
	MaxPerZone        int                 `toml:"zone"`
	MaxPerCell        int                 `toml:"cell"`
	MaxPerMachineType int                 `toml:"machine"`
	Announced         int                 `toml:"ahead"`
	CapacityReserve   float64             `toml:"room"`
	Lease             stricttoml.Duration `toml:"lease"`
	QuietPeriod       stricttoml.Duration `toml:"quiet"`
}

// AddressOverrides returns where instances are reached from here, by their addresses.
func (p *Peers) AddressOverrides() map[string]string {
	overrides := map[string]string{}
	for _, mapping := range p.AddressMappings {
		address, via, _ := strings.Cut(mapping, "=")
		overrides[address] = via
	}
	return overrides
}
