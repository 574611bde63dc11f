package config

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"dunlinsail/internal/stricttoml"
)

const (
	// maxLeaseRequestRate is the largest number of lease requests a second that an allocator receives: it spends
	// about 0.1 ms on each.
	maxLeaseRequestRate = 4000
	// maxAllocators is the largest number of instances in Peers.Allocators.
	maxAllocators = 7
)

// peers validates the settings of gossip and coordination.
func (v *validator) peers(c *Config) {
	peers := &c.Peers
	seenNames := map[string]bool{}
	for _, name := range peers.Allocators {
		v.Require(name != "", "peers.lenders", "an empty name")
		v.Require(!seenNames[name], "peers.lenders", "%q is named twice", name)
		seenNames[name] = true
	}
	for i, name := range peers.CoordinatedUses {
		stricttoml.Enum(&v.Validation, "peers.lends", name, coordinatedUses)
		v.Require(!slices.Contains(peers.CoordinatedUses[:i], name), "peers.lends", "%q is named twice", name)
	}
	for _, mapping := range peers.AddressMappings {
		address, via, complete := strings.Cut(mapping, "=")
		v.Require(complete && isHostPort(address, 1) && isHostPort(via, 1), "peers.ways",
			"%q is not ADDRESS=VIA, each host:port", mapping)
	}
	v.Require(peers.ReserveFraction >= 0 && peers.ReserveFraction <= 1, "peers.ready", "%v: must be in 0..1",
		peers.ReserveFraction)
	v.Require(peers.MaxClockDrift >= 0 && peers.MaxClockDrift <= 0.1, "peers.drift", "%v: must be in 0..0.1",
		peers.MaxClockDrift)
	v.Require(peers.LeaseRequestInterval.Duration >= 10*time.Millisecond, "peers.every", "%v: must be at least 10ms",
		peers.LeaseRequestInterval)
	v.Require(peers.QuotaLease.Duration >= 4*peers.LeaseRequestInterval.Duration, "peers.loan",
		"%v: must be at least four times peers.every, so that a lost message does not end a lease", peers.QuotaLease)
	v.Require(peers.LeaderLease.Duration >= 2*peers.LeaseRequestInterval.Duration, "peers.lease",
		"%v: must be at least twice peers.every", peers.LeaderLease)
	if peers.On {
		v.activePeers(c)
	}
}

// activePeers validates the settings that gossip and coordination require when they are on.
func (v *validator) activePeers(c *Config) {
	peers := &c.Peers
	host, _, _ := net.SplitHostPort(peers.Address)
	ip := net.ParseIP(host)
	v.Require(ip != nil && isHostPort(peers.Address, 1), "peers.address", "%q is no address with a port in 1..65535",
		peers.Address)
	v.Require(peers.AllowBeyondLoopback || ip == nil || ip.IsLoopback(), "peers.address",
		"%q is beyond loopback: set peers.beyond_loopback to allow this", peers.Address)
	for _, other := range peers.Join {
		v.Require(isHostPort(other, 1), "peers.join", "%q is no host:port with a port in 1..65535", other)
	}
	v.Require(peers.Fleet != "", "peers.fleet", "is missing")
	v.Require(len(peers.Allocators)%2 == 1 && len(peers.Allocators) <= maxAllocators, "peers.lenders",
		"must be 1, 3, 5 or 7 names of instances: a majority of them elects the one that grants leases")
	v.Require(len(peers.CoordinatedUses) > 0, "peers.lends", "is empty: nothing would be coordinated")
	v.Require(c.Fleet.Instances >= len(peers.Allocators), "fleet.instances", "%d is under the number of peers.lenders",
		c.Fleet.Instances)
	requestRate := float64(c.Fleet.Instances) / peers.LeaseRequestInterval.Seconds()
	v.Require(requestRate <= maxLeaseRequestRate, "peers.every",
		"%v: %d instances would send the allocator %.0f lease requests a second; %d are the most",
		peers.LeaseRequestInterval,
		c.Fleet.Instances, requestRate, maxLeaseRequestRate)
	needsOverload := func(use string) bool { return use != "suspects" && use != "tenants" }
	v.Require(c.Overload.On || !slices.ContainsFunc(peers.CoordinatedUses, needsOverload), "peers.lends",
		"further, probes and level need overload.on = true")
	for i, tenant := range c.Tenants {
		v.Require(tenant.RateLimit == 0 || slices.Contains(peers.CoordinatedUses, "tenants"),
			fmt.Sprintf("tenant.%d.limit", i), "%q has a limit over all instances: peers.lends must name \"tenants\"",
			tenant.Name)
	}
}

// maintenance validates the settings of maintenance plans.
func (v *validator) maintenance(c *Config) {
	plan := &c.Maintenance
	v.Require(plan.MaxOut >= 1 && plan.MaxOut <= 1000, "work.most", "%d: must be in 1..1000", plan.MaxOut)
	for key, value := range map[string]int{
		"zone":    plan.MaxOutPerZone,
		"cell":    plan.MaxOutPerCell,
		"machine": plan.MaxOutPerMachineType,
	} {
		v.Require(value >= 0, "work."+key, "%d is negative; 0 is no bound of its own", value)
	}
	v.Require(plan.MaxAnnounced >= plan.MaxOut, "work.ahead",
		"%d is under work.most, %d: machines are announced before they go out",
		plan.MaxAnnounced, plan.MaxOut)
	v.Require(plan.CapacityReserve >= 0 && plan.CapacityReserve < 1, "work.room", "%v: must be in 0..1, not 1",
		plan.CapacityReserve)
	v.Require(plan.Lease.Duration >= 200*time.Millisecond, "work.lease", "%v: must be at least 200ms", plan.Lease)
	v.Require(plan.StateFile == "" || strings.HasPrefix(plan.StateFile, "/"), "work.state", "%q: must begin with /",
		plan.StateFile)
	if !plan.On {
		return
	}
	v.Require(c.Peers.On, "peers.on", "is false: maintenance plans need coordination between instances")
	v.Require(c.Admin.Address != "", "operators.address", "is missing: operators request maintenance there")
	v.Require(len(c.Peers.Allocators) != 1, "peers.lenders",
		"a plan must outlive a single instance: 3, 5 or 7 are needed")
	v.Require(slices.Contains(c.Peers.Allocators, c.Name) == (plan.StateFile != ""), "work.state",
		"is for the instances that peers.lenders names, and needed there")
	v.Require(c.Takeover.Socket == "" || c.Takeover.DrainTimeout.Duration <= plan.maxDrain(), "takeover.drain_within",
		"%v: a process that is replaced must end within work.lease and work.quiet together, %v",
		c.Takeover.DrainTimeout, plan.maxDrain())
}
