package config

import (
	"strings"

	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/stricttoml"
)

// Listener is where clients connect.
type Listener struct {
	// Name identifies the listener, and must be unique. With routes the default is Address.
	Name string `toml:"name"`

	// Address is host:port on loopback, or unix:/path with a path of up to 107 bytes.
	Address string `toml:"address"`

	// Client is the name of the client whose connections these are. On a unix socket it holds where the peer's user and
	// group belong to no client. It is required on TCP, unless there is a table others.
	Client string `toml:"client"`

	// Mode is the permissions of a unix socket: default 0600. It is not allowed on TCP.
	Mode stricttoml.Mode `toml:"mode"`
}

// Network returns the listener's network and address as package net takes them.
func (l *Listener) Network() (network, address string) {
	if path, ok := strings.CutPrefix(l.Address, "unix:"); ok {
		return "unix", path
	}
	return "tcp", l.Address
}

// ClientLimits bound what one client may do. A limit of 0, the default, is none, unless stated otherwise.
type ClientLimits struct {
	// Weight is the client's weight when requests in flight are divided among clients: default 1, positive.
	Weight float64 `toml:"weight"`

	// MaxConnections is the limit of connections.
	MaxConnections int `toml:"connections"`

	// MaxOpen is the limit of requests that are queued or in flight.
	MaxOpen int `toml:"open_requests"`

	// MaxBufferedBytes is the limit of buffered bytes of requests and responses: at least 64KiB.
	MaxBufferedBytes stricttoml.Size `toml:"bytes_held"`

	// Rate is the limit of requests a second, on average.
	Rate float64 `toml:"requests_per_second"`

	// Burst is how many requests may arrive at once: at least 1, valid with a Rate only; 0, the default, is Rate/10, 1
	// at least.
	Burst float64 `toml:"burst"`
}

// ClientSpec returns the limits as package fairqueue takes them.
func (limits *ClientLimits) ClientSpec(name string) fairqueue.ClientSpec {
	spec := fairqueue.ClientSpec{
		Name:    name,
		Weight:  limits.Weight,
		MaxOpen: limits.MaxOpen,
		Rate:    limits.Rate,
		Burst:   limits.Burst,
	}
	if spec.Rate > 0 && spec.Burst == 0 {
		spec.Burst = max(1, spec.Rate/10) // the requests of a tenth of a second
	}
	return spec
}

// Client is a client by name.
type Client struct {
	// Name identifies the client, and must be unique.
	Name string `toml:"name"`

	ClientLimits

	// UIDs and GIDs are the users and groups whose processes are this client on unix sockets; default none. Each may
	// belong to one client only.
	UIDs []uint32 `toml:"uids"`
	GIDs []uint32 `toml:"gids"`

	// PerProcess makes each process on a unix socket a client of its own, with these limits; default false.
	PerProcess bool `toml:"per_process"`
}
