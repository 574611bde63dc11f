package config

import (
	"math"
	"strings"

	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/stricttoml"
)

// Fleet says what this instance is among others.
type Fleet struct {
	Instances       int                 `toml:"instances"`
	Position        int                 `toml:"position"`
	Zone            string              `toml:"zone"`
	Zones           []string            `toml:"zones"`
	Machines        []string            `toml:"machines"`
	KeepAlive       stricttoml.Duration `toml:"keep_alive"`
	OverShareWeight float64             `toml:"over_share_worth"`
	WeightBy        string              `toml:"worth_by"` // "request" or "work"

	// Of a fleet of many quiet instances (package subset).
	Subset         int     `toml:"subset"`      // endpoints that this instance deals with, at least; 0 is all
	EndpointProbes float64 `toml:"node_probes"` // probes a second that one endpoint has for the whole fleet; 0 is no bound
	EndpointIdle   float64 `toml:"node_idle"`   // idle connections that one endpoint holds for the whole fleet; 0 is no bound
}

// Part is which part of the list an instance deals with; nil is all of it.
func (f *Fleet) SubsetSettings() *subset.Settings {
	if f.Subset == 0 && f.EndpointProbes == 0 && f.EndpointIdle == 0 {
		return nil
	}
	s := &subset.Settings{Position: uint64(f.Position), Instances: f.Instances, MinMembers: f.Subset, EndpointProbes: f.EndpointProbes, EndpointIdleConnections: f.EndpointIdle}
	if f.Subset == 0 {
		s.MinMembers = math.MaxInt32
	}
	return s
}

// Overload says whether the instance bounds what it adds to the load of endpoints that other instances load, too.
type Overload struct {
	On          bool    `toml:"on"`
	Further     float64 `toml:"further"`
	FurtherSick float64 `toml:"further_sick"`
	Probes      float64 `toml:"probes"`
	NodeProbes  float64 `toml:"node_probes"`
	NodeLeast   float64 `toml:"node_least"`
}

// Decides returns the settings of that decision, without what the site says; nil is that it is off.
func (o *Overload) Settings(instances int) *overload.Settings {
	if !o.On {
		return nil
	}
	return &overload.Settings{Instances: instances, RetryRatio: o.Further, OverloadedRetryRatio: o.FurtherSick, ProbeRatio: o.Probes,
		MaxEndpointProbes: o.NodeProbes, MinEndpointProbes: o.NodeLeast}
}

func defaultOverload() Overload {
	s := overload.DefaultSettings()
	return Overload{Further: s.RetryRatio, FurtherSick: s.OverloadedRetryRatio, Probes: s.ProbeRatio, NodeProbes: s.MaxEndpointProbes, NodeLeast: s.MinEndpointProbes}
}

// Peers says how this instance and the others know of one another, and what they decide together.
type Peers struct {
	On                   bool                `toml:"on"`
	Fleet                string              `toml:"fleet"`   // of another name is another fleet: they do not mix
	Address              string              `toml:"address"` // host:port, UDP and TCP, that the others reach this instance at
	AllowBeyondLoopback  bool                `toml:"beyond_loopback"`
	Join                 []string            `toml:"join"`    // addresses of some others
	Allocators           []string            `toml:"lenders"` // names of instances, of which one lends
	CoordinatedUses      []string            `toml:"lends"`   // what is decided together
	QuotaLease           stricttoml.Duration `toml:"loan"`
	LeaseRequestInterval stricttoml.Duration `toml:"every"`
	LeaderLease          stricttoml.Duration `toml:"lease"`
	ReserveFraction      float64             `toml:"ready"` // the part of each budget that instances have without a loan
	MaxClockDrift        float64             `toml:"drift"`
	AddressMappings      []string            `toml:"ways"`  // "ADDRESS=VIA": an instance's address, and where it is reached from here
	SpentLog             string              `toml:"spent"` // a file: a line for each unit that is spent of a budget
}

// Work says how machines are taken out for work, in an order that the instances settle among themselves.
type Maintenance struct {
	On                bool                `toml:"on"`
	StateFile         string              `toml:"state"` // a file, of an instance that peers.lenders names: its part of the order's log
	MaxOut            int                 `toml:"most"`
	MaxPerZone        int                 `toml:"zone"`
	MaxPerCell        int                 `toml:"cell"`
	MaxPerMachineType int                 `toml:"machine"`
	Announced         int                 `toml:"ahead"`
	CapacityReserve   float64             `toml:"room"`
	Lease             stricttoml.Duration `toml:"lease"`
	QuietPeriod       stricttoml.Duration `toml:"quiet"`
}

// Via returns where an instance's address is reached from here.
func (p *Peers) AddressOverrides() map[string]string {
	via := map[string]string{}
	for _, way := range p.AddressMappings {
		from, to, _ := strings.Cut(way, "=")
		via[from] = to
	}
	return via
}
