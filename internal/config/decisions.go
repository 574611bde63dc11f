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
	w := &c.Maintenance
	if !w.On {
		return nil
	}
	return &consensus.Settings{
		Self:         c.Name,
		Voters:       c.Peers.Allocators,
		TickInterval: w.Lease.Micros() / 20,
		Maintenance: maintenance.Settings{
			MaxOut:        w.MaxOut,
			MaxOutPerZone: w.MaxPerZone,
			MaxOutPerCell: w.MaxPerCell,
			MaxOutPerKind: w.MaxPerMachineType,
			MaxAnnounced:  w.Announced,
			Headroom:      w.CapacityReserve,
			LeaseDuration: w.Lease.Micros(),
			InFlightGrace: w.QuietPeriod.Micros(),
			Warmup:        c.Rules.WarmupDuration.Micros(),
			MaxClockDrift: c.Peers.MaxClockDrift,
		},
	}
}

// coordinatedUses are the names in peers.lends.
var coordinatedUses = map[string]func(u *engine.CoordinationScope){
	"further":  func(u *engine.CoordinationScope) { u.Retries = true },
	"probes":   func(u *engine.CoordinationScope) { u.Probes = true },
	"tenants":  func(u *engine.CoordinationScope) { u.TenantLimits = true },
	"level":    func(u *engine.CoordinationScope) { u.OverloadLevel = true },
	"suspects": func(u *engine.CoordinationScope) { u.SuspectedEndpoints = true },
}

// Coordination returns what the fleet coordinates, as the engine takes it, without the transport; nil is nothing.
func (c *Config) Coordination(seed uint64) *engine.Coordination {
	p := &c.Peers
	if !p.On {
		return nil
	}
	t := &engine.Coordination{
		Settings: coordination.Settings{
			Self:          c.Name,
			Candidates:    p.Allocators,
			LeaseDuration: p.LeaderLease.Micros(),
			Seed:          seed,
			Quota: quota.Settings{
				MaxInstances:    c.Fleet.Instances,
				Reserve:         p.ReserveFraction,
				LeaseDuration:   p.QuotaLease.Micros(),
				RequestInterval: p.LeaseRequestInterval.Micros(),
				MaxClockDrift:   p.MaxClockDrift,
			},
		},
	}
	for _, name := range p.CoordinatedUses {
		coordinatedUses[name](&t.Scope)
	}
	return t
}

// ConcurrencySettings returns the concurrency limits of all clients together, as the engine takes them.
func (c *Config) ConcurrencySettings() engine.ConcurrencySettings {
	r := &c.Requests
	s := engine.ConcurrencySettings{MaxInFlight: r.InFlight, MaxOpen: r.MaxOpen}
	if r.InFlight == 0 {
		s.Adaptive = &concurrency.Settings{
			Min:     r.MinInFlight,
			Max:     r.MaxInFlight,
			Initial: min(r.MaxInFlight, max(r.MinInFlight, inFlightFirst)),
		}
	}
	return s
}

// inFlightFirst is the initial adaptive limit of requests in flight.
const inFlightFirst = 16

// ConnectionLimits returns the limits of clients' connections.
func (c *Config) ConnectionLimits() connlimit.Limits {
	n := &c.Connections
	return connlimit.Limits{
		MaxConnections: n.MaxClients,
		MaxIdle:        n.MaxIdle,
		MaxIdleTime:    n.MaxIdleTime.Micros(),
		MinIdleTime:    n.MinIdleTime.Micros(),
	}
}
