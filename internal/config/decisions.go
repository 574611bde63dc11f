package config

import (
	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/engine"
)

// Consensus returns the settings by which the maintenance plan is replicated; nil is that it is not.
func (c *Config) Consensus() *consensus.Settings {
	w := &c.Work
	if !w.On {
		return nil
	}
	return &consensus.Settings{Self: c.Name, Voters: c.Peers.Lenders, TickInterval: w.Lease.Micros() / 20, Maintenance: maintenance.Settings{MaxOut: w.Most, MaxOutPerZone: w.Zone, MaxOutPerCell: w.Cell, MaxOutPerKind: w.Kind,
		MaxAnnounced: w.Ahead, Headroom: w.Room, LeaseDuration: w.Lease.Micros(), InFlightGrace: w.Quiet.Micros(), Warmup: c.Rules.WarmAfter.Micros(), MaxClockDrift: c.Peers.Drift}}
}

// uses are what peers.lends may name.
var uses = map[string]func(u *engine.CoordinationScope){
	"further":  func(u *engine.CoordinationScope) { u.Retries = true },
	"probes":   func(u *engine.CoordinationScope) { u.Probes = true },
	"tenants":  func(u *engine.CoordinationScope) { u.TenantLimits = true },
	"level":    func(u *engine.CoordinationScope) { u.OverloadLevel = true },
	"suspects": func(u *engine.CoordinationScope) { u.SuspectedEndpoints = true },
}

// Together returns what is decided together, as the engine takes it, without who carries words; nil is nothing.
func (c *Config) Together(seed uint64) *engine.Coordination {
	p := &c.Peers
	if !p.On {
		return nil
	}
	t := &engine.Coordination{Settings: coordination.Settings{Self: c.Name, Candidates: p.Lenders, LeaseDuration: p.Lease.Micros(), Seed: seed, Quota: quota.Settings{
		MaxInstances: c.Fleet.Instances, Reserve: p.Ready, LeaseDuration: p.Loan.Micros(), RequestInterval: p.Every.Micros(), MaxClockDrift: p.Drift}}}
	for _, name := range p.Lends {
		uses[name](&t.Scope)
	}
	return t
}

// Sharing returns how requests are shared out between clients, as the engine takes it.
func (c *Config) Sharing() engine.ConcurrencySettings {
	r := &c.Requests
	s := engine.ConcurrencySettings{MaxInFlight: r.InFlight, MaxOpen: r.Open}
	if r.InFlight == 0 {
		s.Adaptive = &concurrency.Settings{Min: r.InFlightLeast, Max: r.InFlightMost, Initial: min(r.InFlightMost, max(r.InFlightLeast, inFlightFirst))}
	}
	return s
}

// inFlightFirst is how many requests are in flight at first where that is learned.
const inFlightFirst = 16

// RestLimits returns the bounds on clients' connections.
func (c *Config) RestLimits() connlimit.Limits {
	n := &c.Connections
	return connlimit.Limits{MaxConnections: n.Clients, MaxIdle: n.AtRest, MaxIdleTime: n.RestMost.Micros(), MinIdleTime: n.RestLeast.Micros()}
}
