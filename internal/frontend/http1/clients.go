package http1

import (
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/engine"
)

// Client is whose connections are bounded, and whose requests are shared out, together.
type Client struct {
	Name         string
	engineClient *engine.Client
	connOwner    *connlimit.Owner[*conn] // guarded by connections.mu
}

// Spec is what a client may do. A bound of 0 is no bound.
type ClientSettings struct {
	fairqueue.ClientSpec
	MaxConnections int
	MaxBytes       int64 // that its requests and their answers may hold
}

// NewClient returns a client of the front, or the error of a spec that makes no sense.
func (s *Server) NewClient(settings ClientSettings) (*Client, error) {
	share, err := engine.NewClient(settings.ClientSpec)
	if err != nil {
		return nil, err
	}
	c := &Client{Name: settings.Name, engineClient: share}
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	c.connOwner = s.conns.table.NewOwner(settings.Weight, s.maxConnections(settings), settings.MaxBytes)
	return c, nil
}

// ChangeClient gives a client another spec; what it has open stays open.
func (s *Server) UpdateClient(c *Client, settings ClientSettings) error {
	if err := s.options.Core.SetClientSpec(c.engineClient, settings.ClientSpec); err != nil {
		return err
	}
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	s.conns.table.UpdateOwner(c.connOwner, settings.Weight, s.maxConnections(settings), settings.MaxBytes)
	return nil
}

func (s *Server) maxConnections(settings ClientSettings) int {
	if settings.MaxConnections > 0 {
		return settings.MaxConnections
	}
	return s.options.Limits.MaxConnections
}

// Held returns how many connections a client has, how many of them have an open request, and how many bytes are
// held for it.
func (s *Server) ClientUsage(c *Client) (all, busy int, bytes int64) {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	all, busy = c.connOwner.Connections()
	return all, busy, c.connOwner.ReservedBytes()
}
