package config

import (
	"fmt"
	"math"
	"net"
	"strings"

	"dunlinsail/internal/siteconfig"
)

// connections checks the bounds on connections, and fills in those that are left to the descriptors.
func (k *validator) connections(c *Config) {
	n := &c.Connections
	free := c.Process.Descriptors - reservedDescriptors
	if n.MaxClients == 0 {
		n.MaxClients = free / 2
	}
	if n.MaxEndpoints == 0 {
		n.MaxEndpoints = max(1, free-n.MaxClients)
	}
	if n.MaxIdle == 0 {
		n.MaxIdle = max(1, min(n.MaxClients, free/idleDivisor))
	}
	k.Require(n.MaxClients >= 1, "connections.clients", "%d: must be at least 1", n.MaxClients)
	k.Require(n.MaxEndpoints >= 1, "connections.endpoints", "%d: must be at least 1", n.MaxEndpoints)
	k.Require(n.MaxClients+n.MaxEndpoints <= free, "connections.clients",
		"%d, and %d to endpoints, are over the %d that process.descriptors leaves", n.MaxClients, n.MaxEndpoints, free)
	k.Require(n.MaxIdle >= 1 && n.MaxIdle <= n.MaxClients, "connections.at_rest",
		"%d: must be in 1..%d, connections.clients", n.MaxIdle, n.MaxClients)
	k.Require(n.MaxIdleTime.Duration > 0, "connections.rest_most", "must be positive")
	k.Require(n.MinIdleTime.Duration <= n.MaxIdleTime.Duration, "connections.rest_least", "%v is over rest_most, %v",
		n.MinIdleTime, n.MaxIdleTime)
}

func (k *validator) clients(c *Config) {
	names := map[string]bool{}
	uids := map[uint32]string{}
	gids := map[uint32]string{}
	for i := range c.Clients {
		cl := &c.Clients[i]
		at := func(key string) string { return fmt.Sprintf("client.%d.%s", i, key) }
		k.Require(cl.Name != "", at("name"), "is missing")
		k.Require(!names[cl.Name], at("name"), "%q is named twice", cl.Name)
		names[cl.Name] = true
		k.bounds(&cl.ClientLimits, at)
		for of, ids := range map[string][]uint32{"uids": cl.UIDs, "gids": cl.GIDs} {
			taken := map[string]map[uint32]string{"uids": uids, "gids": gids}[of]
			for _, id := range ids {
				k.Require(taken[id] == "", at(of), "%d is client %q already", id, taken[id])
				taken[id] = cl.Name
			}
		}
	}
	if c.OtherClients != nil {
		k.bounds(c.OtherClients, func(key string) string { return "others." + key })
	}
	k.Require(len(c.Listeners) > 0, "listener", "at least one is needed")
	listeners := map[string]bool{}
	addresses := map[string]bool{}
	for i := range c.Listeners {
		l := &c.Listeners[i]
		at := func(key string) string { return fmt.Sprintf("listener.%d.%s", i, key) }
		k.Require(l.Name != "", at("name"), "is missing")
		k.Require(!listeners[l.Name], at("name"), "%q is named twice", l.Name)
		listeners[l.Name] = true
		k.Require(!addresses[l.Address], at("address"), "%q is listened on twice", l.Address)
		addresses[l.Address] = true
		if network, address := l.Network(); network == "unix" {
			k.Require(strings.HasPrefix(address, "/"), at("address"),
				"%q: the path of a unix socket must begin with /", l.Address)
			k.Require(len(address) <= 107, at("address"), "the path of a unix socket has at most 107 bytes, not %d",
				len(address))
			if l.Mode.Bits == 0 {
				l.Mode.Bits = 0o600
			}
		} else {
			host, _, _ := net.SplitHostPort(address)
			ip := net.ParseIP(host)
			k.Require(hostPort(address, 0) && ip != nil && ip.IsLoopback(), at("address"),
				"%q is neither a loopback address with a port up to 65535, as \"127.0.0.1:8080\", nor \"unix:/path\"",
				l.Address)
			k.Require(l.Mode.Bits == 0, at("mode"), "is for unix sockets only")
			k.Require(l.Client != "" || c.OtherClients != nil, at("client"), "is missing, and there is no table others")
		}
		k.Require(l.Client == "" || names[l.Client], at("client"), "no client is named %q", l.Client)
	}
}

func (k *validator) bounds(b *ClientLimits, at func(string) string) {
	if b.Weight == 0 {
		b.Weight = 1
	}
	k.Require(b.Weight > 0 && !math.IsInf(b.Weight, 0), at("weight"), "%v: must be positive", b.Weight)
	k.Require(b.MaxConnections >= 0, at("connections"), "%d is negative", b.MaxConnections)
	k.Require(b.MaxOpen >= 0, at("open_requests"), "%d is negative", b.MaxOpen)
	k.Require(b.Rate >= 0 && !math.IsInf(b.Rate, 0), at("requests_per_second"), "%v: must not be negative", b.Rate)
	k.Require(b.Burst == 0 || b.Rate > 0, at("burst"), "means nothing without requests_per_second")
	k.Require(b.Burst == 0 || b.Burst >= 1, at("burst"), "%v: must be at least 1", b.Burst)
	k.Require(b.MaxBytesHeld.Bytes == 0 || b.MaxBytesHeld.Bytes >= siteconfig.MaxBodyBytes, at("bytes_held"),
		"under %d a whole body does not fit", siteconfig.MaxBodyBytes)
}
