package config

import (
	"strings"

	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/stricttoml"
)

// Listener is where clients connect.
type Listener struct {
	Name    string          `toml:"name"`
	Address string          `toml:"address"` // host:port on loopback, or unix:/path
	Client  string          `toml:"client"`  // by name; on a unix socket, if neither UID nor GID tells
	Mode    stricttoml.Mode `toml:"mode"`    // of a unix socket
}

// Network returns the listener's network and address as package net takes them.
func (l *Listener) Network() (network, address string) {
	if path, ok := strings.CutPrefix(l.Address, "unix:"); ok {
		return "unix", path
	}
	return "tcp", l.Address
}

// ClientLimits bound what one client may do; 0 is no bound.
type ClientLimits struct {
	Weight         float64         `toml:"weight"`
	MaxConnections int             `toml:"connections"`
	MaxOpen        int             `toml:"open_requests"`
	MaxBytesHeld   stricttoml.Size `toml:"bytes_held"`
	Rate           float64         `toml:"requests_per_second"`
	Burst          float64         `toml:"burst"` // requests at once; 0: Rate of a tenth of a second
}

// ClientSpec returns the limits as package fairqueue takes them.
func (b *ClientLimits) ClientSpec(name string) fairqueue.ClientSpec {
	s := fairqueue.ClientSpec{Name: name, Weight: b.Weight, MaxOpen: b.MaxOpen, Rate: b.Rate, Burst: b.Burst}
	if s.Rate > 0 && s.Burst == 0 {
		s.Burst = max(1, s.Rate/10)
	}
	return s
}

// Client is a client by name.
type Client struct {
	Name string `toml:"name"`
	ClientLimits
	UIDs       []uint32 `toml:"uids"`
	GIDs       []uint32 `toml:"gids"`
	PerProcess bool     `toml:"per_process"` // each process on a unix socket is a client of its own
}
