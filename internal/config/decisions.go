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

// ticksPerLease is the number of consensus ticks during a maintenance lease. Consensus counts its timeouts in
// ticks.
const ticksPerLease = 20

// Consensus returns the settings of the consensus group that replicates the maintenance plan, or nil if maintenance
// is off.
func (c *Config) Consensus() *consensus.Settings {
	plan := &c.Maintenance
	if !plan.On {
		return nil
	}
	return &consensus.Settings{
		Self:         c.Name,
		Voters:       c.Peers.Allocators,
		TickInterval: plan.Lease.Micros() / ticksPerLease,
		Maintenance: maintenance.Settings{
			MaxOut:        plan.MaxOut,
			MaxOutPerZone: plan.MaxOutPerZone,
			MaxOutPerCell: plan.MaxOutPerCell,
			MaxOutPerKind: plan.MaxOutPerMachineType,
			MaxAnnounced:  plan.MaxAnnounced,
			Headroom:      plan.CapacityReserve,
			LeaseDuration: plan.Lease.Micros(),
			InFlightGrace: plan.InFlightGrace.Micros(),
			Warmup:        c.Rules.WarmupDuration.Micros(),
			MaxClockDrift: c.Peers.MaxClockDrift,
		},
	}
}

// coordinatedUses maps each value of Peers.CoordinatedUses to a function that enables it in a coordination scope.
var coordinatedUses = map[string]func(u *engine.CoordinationScope){
	"further":  func(u *engine.CoordinationScope) { u.Retries = true },
	"probes":   func(u *engine.CoordinationScope) { u.Probes = true },
	"tenants":  func(u *engine.CoordinationScope) { u.TenantLimits = true },
	"level":    func(u *engine.CoordinationScope) { u.OverloadLevel = true },
	"suspects": func(u *engine.CoordinationScope) { u.SuspectedEndpoints = true },
}

// Coordination returns the engine's settings for coordination within the fleet, without the transport. It returns
// nil if coordination is off. seed seeds the random numbers of coordination.
func (c *Config) Coordination(seed uint64) *engine.Coordination {
	peers := &c.Peers
	if !peers.On {
		return nil
	}
	coordinated := &engine.Coordination{
		Settings: coordination.Settings{
			Self:          c.Name,
			Candidates:    peers.Allocators,
			LeaseDuration: peers.LeaderLease.Micros(),
			Seed:          seed,
			Quota: quota.Settings{
				MaxInstances:    c.Fleet.Instances,
				Reserve:         peers.ReserveFraction,
				LeaseDuration:   peers.QuotaLease.Micros(),
				RequestInterval: peers.LeaseRequestInterval.Micros(),
				MaxClockDrift:   peers.MaxClockDrift,
			},
		},
	}
	for _, name := range peers.CoordinatedUses {
		coordinatedUses[name](&coordinated.Scope)
	}
	return coordinated
}

// initialInFlight is the initial adaptive limit of requests in flight. It is clamped to Requests.MinInFlight and
// Requests.MaxInFlight.
const initialInFlight = 16

// ConcurrencySettings returns the concurrency limits that all clients share, in the form that the engine takes. The
// limits of requests in flight apply to each pool separately.
func (c *Config) ConcurrencySettings() engine.ConcurrencySettings {
	requests := &c.Requests
	settings := engine.ConcurrencySettings{MaxInFlight: requests.InFlight, MaxOpen: requests.MaxOpen}
	if requests.InFlight == 0 {
		settings.Adaptive = &concurrency.Settings{
			Min:     requests.MinInFlight,
			Max:     requests.MaxInFlight,
			Initial: min(requests.MaxInFlight, max(requests.MinInFlight, initialInFlight)),
		}
	}
	return settings
}

// ConnectionLimits returns the limits of client connections in the form that package connlimit takes.
func (c *Config) ConnectionLimits() connlimit.Limits {
	connections := &c.Connections
	return connlimit.Limits{
		MaxConnections: connections.MaxClients,
		MaxIdle:        connections.MaxIdle,
		MaxIdleTime:    connections.MaxIdleTime.Micros(),
		MinIdleTime:    connections.MinIdleTime.Micros(),

		MaxReservedBytes: connlimit.MaxReservedBytes(c.Process.Memory.Bytes),
	}
}
