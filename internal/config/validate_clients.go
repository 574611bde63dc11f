package config

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strings"

	"dunlinsail/internal/siteconfig"
)

// connections validates the limits of connections. A limit that is 0 is first set to its default, which depends on
// the number of descriptors.
func (v *validator) connections(c *Config) {
	connections := &c.Connections
	availableDescriptors := c.Process.Descriptors - reservedDescriptors
	if connections.MaxClients == 0 {
		connections.MaxClients = availableDescriptors / 2
	}
	if connections.MaxEndpoints == 0 {
		connections.MaxEndpoints = max(1, availableDescriptors-connections.MaxClients)
	}
	if connections.MaxIdle == 0 {
		connections.MaxIdle = max(1, min(connections.MaxClients, availableDescriptors/idleDivisor))
	}
	v.Require(connections.MaxClients >= 1, "connections.clients", "%d: must be at least 1", connections.MaxClients)
	v.Require(connections.MaxEndpoints >= 1, "connections.endpoints", "%d: must be at least 1",
		connections.MaxEndpoints)
	v.Require(connections.MaxClients+connections.MaxEndpoints <= availableDescriptors, "connections.clients",
		"%d, and %d to endpoints, are over the %d that process.descriptors leaves", connections.MaxClients,
		connections.MaxEndpoints, availableDescriptors)
	v.Require(connections.MaxIdle >= 1 && connections.MaxIdle <= connections.MaxClients, "connections.at_rest",
		"%d: must be in 1..%d, connections.clients", connections.MaxIdle, connections.MaxClients)
	v.Require(connections.MaxIdleTime.Duration > 0, "connections.rest_most", "must be positive")
	v.Require(connections.MinIdleTime.Duration <= connections.MaxIdleTime.Duration, "connections.rest_least",
		"%v is over rest_most, %v",
		connections.MinIdleTime, connections.MaxIdleTime)
}

// clients validates the clients and their limits. Each user and group ID may belong to one client only.
func (v *validator) clients(c *Config) {
	names := map[string]bool{}
	ownerOf := map[string]map[uint32]string{"uids": {}, "gids": {}} // client name by key ("uids" or "gids") and ID
	for i := range c.Clients {
		client := &c.Clients[i]
		keyAt := func(key string) string { return fmt.Sprintf("client.%d.%s", i, key) }
		v.Require(client.Name != "", keyAt("name"), "is missing")
		v.Require(!names[client.Name], keyAt("name"), "%q is named twice", client.Name)
		names[client.Name] = true
		v.clientLimits(&client.ClientLimits, keyAt)
		for key, ids := range map[string][]uint32{"uids": client.UIDs, "gids": client.GIDs} {
			for _, id := range ids {
				owner := ownerOf[key][id]
				v.Require(owner == "", keyAt(key), "%d is client %q already", id, owner)
				ownerOf[key][id] = client.Name
			}
		}
	}
	if c.OtherClients != nil {
		v.clientLimits(c.OtherClients, func(key string) string { return "others." + key })
	}
}

// listeners validates the listeners. The names and addresses of listeners must be unique.
func (v *validator) listeners(c *Config) {
	v.Require(len(c.Listeners) > 0, "listener", "at least one is needed")
	names := map[string]bool{}
	addresses := map[string]bool{}
	for i := range c.Listeners {
		listener := &c.Listeners[i]
		keyAt := func(key string) string { return fmt.Sprintf("listener.%d.%s", i, key) }
		v.Require(listener.Name != "", keyAt("name"), "is missing")
		v.Require(!names[listener.Name], keyAt("name"), "%q is named twice", listener.Name)
		names[listener.Name] = true
		v.Require(!addresses[listener.Address], keyAt("address"), "%q is listened on twice", listener.Address)
		addresses[listener.Address] = true
		if network, address := listener.Network(); network == "unix" {
			v.unixListener(listener, address, keyAt)
		} else {
			v.tcpListener(c, listener, address, keyAt)
		}
		isClient := func(client Client) bool { return client.Name == listener.Client }
		v.Require(listener.Client == "" || slices.ContainsFunc(c.Clients, isClient), keyAt("client"),
			"no client is named %q",
			listener.Client)
	}
}

const (
	// maxUnixPathBytes is the length of the longest valid path of a unix socket: sockaddr_un has 108 bytes
	// including a terminating zero byte.
	maxUnixPathBytes = 107
	// defaultUnixMode is the default of Listener.Mode on unix sockets.
	defaultUnixMode = 0o600
)

// unixListener validates a listener on the unix socket at path, and sets its default permissions. keyAt returns the
// full key of one of the listener's keys.
func (v *validator) unixListener(listener *Listener, path string, keyAt func(string) string) {
	v.Require(strings.HasPrefix(path, "/"), keyAt("address"), "%q: the path of a unix socket must begin with /",
		listener.Address)
	v.Require(len(path) <= maxUnixPathBytes, keyAt("address"),
		"the path of a unix socket has at most 107 bytes, not %d",
		len(path))
	if listener.Mode.Bits == 0 {
		listener.Mode.Bits = defaultUnixMode
	}
}

// tcpListener validates a listener at a TCP address, which must be on loopback. keyAt returns the full key of one
// of the listener's keys.
func (v *validator) tcpListener(c *Config, listener *Listener, address string, keyAt func(string) string) {
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	v.Require(isHostPort(address, 0) && ip != nil && ip.IsLoopback(), keyAt("address"),
		"%q is neither a loopback address with a port up to 65535, as \"127.0.0.1:8080\", nor \"unix:/path\"",
		listener.Address)
	v.Require(listener.Mode.Bits == 0, keyAt("mode"), "is for unix sockets only")
	v.Require(listener.Client != "" || c.OtherClients != nil, keyAt("client"),
		"is missing, and there is no table others")
}

// clientLimits validates the limits of a client, and sets the default weight. keyAt returns the full key of one of
// the limits.
func (v *validator) clientLimits(limits *ClientLimits, keyAt func(string) string) {
	if limits.Weight == 0 {
		limits.Weight = 1
	}
	v.Require(limits.Weight > 0 && !math.IsInf(limits.Weight, 0), keyAt("weight"), "%v: must be positive",
		limits.Weight)
	v.Require(limits.MaxConnections >= 0, keyAt("connections"), "%d is negative", limits.MaxConnections)
	v.Require(limits.MaxOpen >= 0, keyAt("open_requests"), "%d is negative", limits.MaxOpen)
	v.Require(limits.Rate >= 0 && !math.IsInf(limits.Rate, 0), keyAt("requests_per_second"), "%v: must not be negative",
		limits.Rate)
	v.Require(limits.Burst == 0 || limits.Rate > 0, keyAt("burst"), "means nothing without requests_per_second")
	v.Require(limits.Burst == 0 || limits.Burst >= 1, keyAt("burst"), "%v: must be at least 1", limits.Burst)
	v.Require(limits.MaxBufferedBytes.Bytes == 0 || limits.MaxBufferedBytes.Bytes >= siteconfig.MaxBodyBytes,
		keyAt("bytes_held"),
		"under %d a whole body does not fit", siteconfig.MaxBodyBytes)
}
