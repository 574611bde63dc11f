package config

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"dunlinsail/internal/stricttoml"
)

func (k *check) peers(c *Config) {
	p := &c.Peers
	seen := map[string]bool{}
	for _, name := range p.Lenders {
		k.Require(name != "", "peers.lenders", "an empty name")
		k.Require(!seen[name], "peers.lenders", "%q is named twice", name)
		seen[name] = true
	}
	for i, name := range p.Lends {
		stricttoml.Enum(&k.Validation, "peers.lends", name, uses)
		k.Require(!slices.Contains(p.Lends[:i], name), "peers.lends", "%q is named twice", name)
	}
	for _, way := range p.Ways {
		from, to, two := strings.Cut(way, "=")
		k.Require(two && hostPort(from, 1) && hostPort(to, 1), "peers.ways", "%q is not ADDRESS=VIA, each host:port", way)
	}
	k.Require(p.Ready >= 0 && p.Ready <= 1, "peers.ready", "%v: must be in 0..1", p.Ready)
	k.Require(p.Drift >= 0 && p.Drift <= 0.1, "peers.drift", "%v: must be in 0..0.1", p.Drift)
	k.Require(p.Every.Duration >= 10*time.Millisecond, "peers.every", "%v: must be at least 10ms", p.Every)
	k.Require(p.Loan.Duration >= 4*p.Every.Duration, "peers.loan", "%v: must be at least four times peers.every, or a lost word ends a loan", p.Loan)
	k.Require(p.Lease.Duration >= 2*p.Every.Duration, "peers.lease", "%v: must be at least twice peers.every", p.Lease)
	if !p.On {
		return
	}
	host, _, _ := net.SplitHostPort(p.Address)
	ip := net.ParseIP(host)
	k.Require(ip != nil && hostPort(p.Address, 1), "peers.address", "%q is no address with a port in 1..65535", p.Address)
	k.Require(p.Beyond || ip == nil || ip.IsLoopback(), "peers.address", "%q is beyond loopback: peers.beyond_loopback says that this is meant", p.Address)
	for _, other := range p.Join {
		k.Require(hostPort(other, 1), "peers.join", "%q is no host:port with a port in 1..65535", other)
	}
	k.Require(p.Fleet != "", "peers.fleet", "is missing")
	k.Require(len(p.Lenders)%2 == 1 && len(p.Lenders) <= 7, "peers.lenders", "must be 1, 3, 5 or 7 names of instances: a majority of them decides who lends")
	k.Require(len(p.Lends) > 0, "peers.lends", "is empty: nothing would be decided together")
	k.Require(c.Fleet.Instances >= len(p.Lenders), "fleet.instances", "%d is under the number of peers.lenders", c.Fleet.Instances)
	words := float64(c.Fleet.Instances) / p.Every.Seconds()
	k.Require(words <= wordsMost, "peers.every", "%v: %d instances would ask the one that lends %.0f times a second; %d are the most", p.Every, c.Fleet.Instances, words, wordsMost)
	k.Require(c.Overload.On || !slices.ContainsFunc(p.Lends, func(n string) bool { return n != "suspects" && n != "tenants" }), "peers.lends",
		"further, probes and level are decided where overload.on is true")
	for i, t := range c.Tenants {
		k.Require(t.Limit == 0 || slices.Contains(p.Lends, "tenants"), fmt.Sprintf("tenant.%d.limit", i), "%q has a limit over all instances: peers.lends must name \"tenants\"", t.Name)
	}
}

func (k *check) work(c *Config) {
	w := &c.Work
	k.Require(w.Most >= 1 && w.Most <= 1000, "work.most", "%d: must be in 1..1000", w.Most)
	for key, v := range map[string]int{"zone": w.Zone, "cell": w.Cell, "machine": w.Kind} {
		k.Require(v >= 0, "work."+key, "%d is negative; 0 is no bound of its own", v)
	}
	k.Require(w.Ahead >= w.Most, "work.ahead", "%d is under work.most, %d: what is out was told ahead", w.Ahead, w.Most)
	k.Require(w.Room >= 0 && w.Room < 1, "work.room", "%v: must be in 0..1, not 1", w.Room)
	k.Require(w.Lease.Duration >= 200*time.Millisecond, "work.lease", "%v: must be at least 200ms", w.Lease)
	k.Require(w.State == "" || strings.HasPrefix(w.State, "/"), "work.state", "%q: must begin with /", w.State)
	if !w.On {
		return
	}
	k.Require(c.Peers.On, "peers.on", "is false: machines are taken out in an order that instances settle by words")
	k.Require(c.Operators.Address != "", "operators.address", "is missing: nobody could ask for work")
	k.Require(len(c.Peers.Lenders) != 1, "peers.lenders", "one alone settles nothing that outlives it: 3, 5 or 7 are needed")
	k.Require(slices.Contains(c.Peers.Lenders, c.Name) == (w.State != ""), "work.state", "is for the instances that peers.lenders names, and needed there")
	k.Require(c.Takeover.Socket == "" || c.Takeover.DrainWithin.Duration <= w.Lease.Duration+w.Quiet.Duration, "takeover.drain_within",
		"%v: a process that gives its place must be over by work.lease and work.quiet together, %v", c.Takeover.DrainWithin, w.Lease.Duration+w.Quiet.Duration)
}

// wordsMost is how many questions a second one instance may be asked, at most: each is a millisecond's tenth of work there.
const wordsMost = 4000
