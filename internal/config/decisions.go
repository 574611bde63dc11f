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

// ticksPerLease is the number of ticks of consensus, by which its timeouts are counted, in a maintenance lease.
const ticksPerLease = 20

// Consensus returns the settings by which the maintenance plan is replicated; nil if maintenance is off.
func (c *Config) Consensus() *consensus.Settings {
	w := &c.Maintenance
	if !w.On {
		return nil
	}
	return &consensus.Settings{
		Self:         c.Name,
		Voters:       c.Peers.Allocators,
		TickInterval: w.Lease.Micros() / ticksPerLease,
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

// coordinatedUses are the values of Peers.CoordinatedUses.
var coordinatedUses = map[string]func(u *engine.CoordinationScope){
	"further":  func(u *engine.CoordinationScope) { u.Retries = true },
	"probes":   func(u *engine.CoordinationScope) { u.Probes = true },
	"tenants":  func(u *engine.CoordinationScope) { u.TenantLimits = true },
	"level":    func(u *engine.CoordinationScope) { u.OverloadLevel = true },
	"suspects": func(u *engine.CoordinationScope) { u.SuspectedEndpoints = true },
}

// Coordination returns what the fleet coordinates, as the engine takes it, without the transport; nil if it is off.
func (c *Config) Coordination(seed uint64) *engine.Coordination {
	p := &c.Peers
	if !p.On {
		return nil
	}
	coordinated := &engine.Coordination{
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
		coordinatedUses[name](&coordinated.Scope)
	}
	return coordinated
}

// initialInFlight is the initial adaptive limit of requests in flight, unless the limits of Requests exclude it.
const initialInFlight = 16

// ConcurrencySettings returns the concurrency limits of all clients together, as the engine takes them: those of
// requests in flight hold in each pool.
func (c *Config) ConcurrencySettings() engine.ConcurrencySettings {
	r := &c.Requests
	s := engine.ConcurrencySettings{MaxInFlight: r.InFlight, MaxOpen: r.MaxOpen}
	if r.InFlight == 0 {
		s.Adaptive = &concurrency.Settings{
			Min:     r.MinInFlight,
			Max:     r.MaxInFlight,
			Initial: min(r.MaxInFlight, max(r.MinInFlight, initialInFlight)),
		}
	}
	return s
}

// ConnectionLimits returns the limits of clients' connections, as package connlimit takes them.
func (c *Config) ConnectionLimits() connlimit.Limits {
	n := &c.Connections
	return connlimit.Limits{
		MaxConnections: n.MaxClients,
		MaxIdle:        n.MaxIdle,
		MaxIdleTime:    n.MaxIdleTime.Micros(),
		MinIdleTime:    n.MinIdleTime.Micros(),
	}
}
