package config

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strings"

	"dunlinsail/internal/siteconfig"
)

// connections validates the limits of connections, and sets those that are 0 by the number of descriptors.
func (v *validator) connections(c *Config) {
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
	v.Require(n.MaxClients >= 1, "connections.clients", "%d: must be at least 1", n.MaxClients)
	v.Require(n.MaxEndpoints >= 1, "connections.endpoints", "%d: must be at least 1", n.MaxEndpoints)
	v.Require(n.MaxClients+n.MaxEndpoints <= free, "connections.clients",
		"%d, and %d to endpoints, are over the %d that process.descriptors leaves", n.MaxClients, n.MaxEndpoints, free)
	v.Require(n.MaxIdle >= 1 && n.MaxIdle <= n.MaxClients, "connections.at_rest",
		"%d: must be in 1..%d, connections.clients", n.MaxIdle, n.MaxClients)
	v.Require(n.MaxIdleTime.Duration > 0, "connections.rest_most", "must be positive")
	v.Require(n.MinIdleTime.Duration <= n.MaxIdleTime.Duration, "connections.rest_least", "%v is over rest_most, %v",
		n.MinIdleTime, n.MaxIdleTime)
}

// clients validates the clients and their limits. No user or group may belong to two.
func (v *validator) clients(c *Config) {
	names := map[string]bool{}
	owners := map[string]map[uint32]string{"uids": {}, "gids": {}} // names of clients, by key and ID
	for i := range c.Clients {
		cl := &c.Clients[i]
		at := func(key string) string { return fmt.Sprintf("client.%d.%s", i, key) }
		v.Require(cl.Name != "", at("name"), "is missing")
		v.Require(!names[cl.Name], at("name"), "%q is named twice", cl.Name)
		names[cl.Name] = true
		v.clientLimits(&cl.ClientLimits, at)
		for key, ids := range map[string][]uint32{"uids": cl.UIDs, "gids": cl.GIDs} {
			for _, id := range ids {
				owner := owners[key][id]
				v.Require(owner == "", at(key), "%d is client %q already", id, owner)
				owners[key][id] = cl.Name
			}
		}
	}
	if c.OtherClients != nil {
		v.clientLimits(c.OtherClients, func(key string) string { return "others." + key })
	}
}

// listeners validates the listeners. Their names and addresses must be unique.
func (v *validator) listeners(c *Config) {
	v.Require(len(c.Listeners) > 0, "listener", "at least one is needed")
	listeners := map[string]bool{}
	addresses := map[string]bool{}
	for i := range c.Listeners {
		l := &c.Listeners[i]
		at := func(key string) string { return fmt.Sprintf("listener.%d.%s", i, key) }
		v.Require(l.Name != "", at("name"), "is missing")
		v.Require(!listeners[l.Name], at("name"), "%q is named twice", l.Name)
		listeners[l.Name] = true
		v.Require(!addresses[l.Address], at("address"), "%q is listened on twice", l.Address)
		addresses[l.Address] = true
		if network, address := l.Network(); network == "unix" {
			v.unixListener(l, address, at)
		} else {
			v.tcpListener(c, l, address, at)
		}
		isClient := func(cl Client) bool { return cl.Name == l.Client }
		v.Require(l.Client == "" || slices.ContainsFunc(c.Clients, isClient), at("client"), "no client is named %q",
			l.Client)
	}
}

const (
	// maxUnixPathBytes is the longest path of a unix socket: sockaddr_un has 108 bytes with a terminating zero.
	maxUnixPathBytes = 107
	// defaultUnixMode is the permissions of a unix socket without a key.
	defaultUnixMode = 0o600
)

// unixListener validates a listener on a unix socket at a path, and sets its default permissions.
func (v *validator) unixListener(l *Listener, path string, at func(string) string) {
	v.Require(strings.HasPrefix(path, "/"), at("address"), "%q: the path of a unix socket must begin with /", l.Address)
	v.Require(len(path) <= maxUnixPathBytes, at("address"), "the path of a unix socket has at most 107 bytes, not %d",
		len(path))
	if l.Mode.Bits == 0 {
		l.Mode.Bits = defaultUnixMode
	}
}

// tcpListener validates a listener at a TCP address, which must be on loopback.
func (v *validator) tcpListener(c *Config, l *Listener, address string, at func(string) string) {
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	v.Require(isHostPort(address, 0) && ip != nil && ip.IsLoopback(), at("address"),
		"%q is neither a loopback address with a port up to 65535, as \"127.0.0.1:8080\", nor \"unix:/path\"",
		l.Address)
	v.Require(l.Mode.Bits == 0, at("mode"), "is for unix sockets only")
	v.Require(l.Client != "" || c.OtherClients != nil, at("client"), "is missing, and there is no table others")
}

// clientLimits validates the limits of a client, and sets its default weight.
func (v *validator) clientLimits(b *ClientLimits, at func(string) string) {
	if b.Weight == 0 {
		b.Weight = 1
	}
	v.Require(b.Weight > 0 && !math.IsInf(b.Weight, 0), at("weight"), "%v: must be positive", b.Weight)
	v.Require(b.MaxConnections >= 0, at("connections"), "%d is negative", b.MaxConnections)
	v.Require(b.MaxOpen >= 0, at("open_requests"), "%d is negative", b.MaxOpen)
	v.Require(b.Rate >= 0 && !math.IsInf(b.Rate, 0), at("requests_per_second"), "%v: must not be negative", b.Rate)
	v.Require(b.Burst == 0 || b.Rate > 0, at("burst"), "means nothing without requests_per_second")
	v.Require(b.Burst == 0 || b.Burst >= 1, at("burst"), "%v: must be at least 1", b.Burst)
	v.Require(b.MaxBufferedBytes.Bytes == 0 || b.MaxBufferedBytes.Bytes >= siteconfig.MaxBodyBytes, at("bytes_held"),
		"under %d a whole body does not fit", siteconfig.MaxBodyBytes)
}
