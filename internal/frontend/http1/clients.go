package http1

import (
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/engine"
)

// Client is a client of the server. Limits and scheduling apply to all its connections and requests together.
type Client struct {
	Name         string
	engineClient *engine.Client
	connOwner    *connlimit.Owner[*conn] // guarded by connManager.mu
}

// ClientSettings are the settings of a client. A limit of 0 means that the client has no limit of its own.
type ClientSettings struct {
	fairqueue.ClientSpec
	MaxConnections   int
	MaxBufferedBytes int64 // limit of the bytes that are buffered for its requests and their responses
}

// NewClient returns a client, or an error if the settings are invalid.
func (s *Server) NewClient(settings ClientSettings) (*Client, error) {
	engineClient, err := engine.NewClient(settings.ClientSpec)
	if err != nil {
		return nil, err
	}
	c := &Client{Name: settings.Name, engineClient: engineClient}
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	c.connOwner = s.conns.table.NewOwner(settings.Weight, s.maxConnections(settings), settings.MaxBufferedBytes)
	return c, nil
}

// UpdateClient changes a client's settings. Open connections and requests of the client are not affected.
func (s *Server) UpdateClient(c *Client, settings ClientSettings) error {
	if err := s.options.Core.SetClientSpec(c.engineClient, settings.ClientSpec); err != nil {
		return err
	}
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	s.conns.table.UpdateOwner(c.connOwner, settings.Weight, s.maxConnections(settings), settings.MaxBufferedBytes)
	return nil
}

func (s *Server) maxConnections(settings ClientSettings) int {
	if settings.MaxConnections > 0 {
		return settings.MaxConnections
	}
	return s.options.Limits.MaxConnections
}

// ClientUsage returns the number of a client's open connections, how many of them have a request in flight
// (busy), and the number of bytes that are reserved for its buffers.
func (s *Server) ClientUsage(c *Client) (open, busy int, reservedBytes int64) {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	open, busy = c.connOwner.Connections()
	return open, busy, c.connOwner.ReservedBytes()
}
