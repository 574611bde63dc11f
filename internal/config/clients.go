package config

import (
	"strings"

	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/stricttoml"
)

// Listener configures a socket that accepts connections from clients.
type Listener struct {
	// Name identifies the listener and must be unique. In a file with routes it defaults to Address.
	Name string `toml:"name"`

	// Address is host:port on loopback, or unix:/path with a path of at most 107 bytes.
	Address string `toml:"address"`

	// Client is the name of the client that connections to this listener belong to. On a unix socket it only
	// applies if the peer process's user and group belong to no client. On TCP it is required unless the file has
	// the table others.
	Client string `toml:"client"`

	// Mode is the file permissions of a unix socket; the default is 0600. It is not allowed on TCP.
	Mode stricttoml.Mode `toml:"mode"`
}

// Network returns the listener's network and address as net.Listen takes them.
func (l *Listener) Network() (network, address string) {
	if path, ok := strings.CutPrefix(l.Address, "unix:"); ok {
		return "unix", path
	}
	return "tcp", l.Address
}

// ClientLimits limits the resources that one client may use. Unless a field states otherwise, 0 is the default and
// means no limit.
type ClientLimits struct {
	// Weight is the client's weight when requests in flight are divided among clients. It must be positive; the
	// default is 1.
	Weight float64 `toml:"weight"`

	// MaxConnections is the largest number of open connections from the client.
	MaxConnections int `toml:"connections"`

	// MaxOpen is the largest number of the client's requests that are queued or in flight.
	MaxOpen int `toml:"open_requests"`

	// MaxBufferedBytes is the largest number of bytes that are buffered for the client's requests and responses: at
	// least 64KiB.
	MaxBufferedBytes stricttoml.Size `toml:"bytes_held"`

	// Rate is the largest average number of requests a second.
	Rate float64 `toml:"requests_per_second"`

	// Burst is the largest number of requests that may arrive at once under Rate: at least 1, and only valid with a
	// Rate. If it is 0, the default, it is a tenth of Rate, but at least 1.
	Burst float64 `toml:"burst"`
}

// ClientSpec returns the limits of the client called name in the form that package fairqueue takes.
func (limits *ClientLimits) ClientSpec(name string) fairqueue.ClientSpec {
	spec := fairqueue.ClientSpec{
		Name:    name,
		Weight:  limits.Weight,
		MaxOpen: limits.MaxOpen,
		Rate:    limits.Rate,
		Burst:   limits.Burst,
	}
	if spec.Rate > 0 && spec.Burst == 0 {
		spec.Burst = max(1, spec.Rate/10) // requests in a tenth of a second
	}
	return spec
}

// Client configures a named client.
type Client struct {
	// Name identifies the client and must be unique.
	Name string `toml:"name"`

	ClientLimits

	// UIDs and GIDs are the user and group IDs whose processes are identified as this client on unix sockets; the
	// default is none. An ID may belong to one client only.
	UIDs []uint32 `toml:"uids"`
	GIDs []uint32 `toml:"gids"`

	// PerProcess treats each process that connects on a unix socket as a separate client with these limits. The
	// default is false.
	PerProcess bool `toml:"per_process"`
}
