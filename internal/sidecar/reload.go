package sidecar

import (
	"context"
	"os"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/platform"
)

// reloadOnSignal reads the configuration again at each signal until ctx ends, and switches to the discovery address of
// the file if that has changed. ROUTER_DISCOVERY overrides the file at the start only; otherwise no reload could
// change the address. Every other setting takes effect at the next start. A file that cannot be read is logged and
// changes nothing.
func (s *sidecar) reloadOnSignal(ctx context.Context, signals <-chan os.Signal, read func() (*platform.Config, error)) {
	c := s.config
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		next, err := read()
		if err != nil {
			s.log.Error("configuration not reloaded", "error", err)
			continue
		}
		moved := next.FileDiscovery != c.FileDiscovery && next.FileDiscovery != ""
		c = next
		s.log.Info("configuration reloaded", "moved", moved, "discovery", c.FileDiscovery)
		if moved {
			s.endpoints.SetSource(c.FileDiscovery)
			s.source.SwitchTo(s.watchDiscovery(c.FileDiscovery, discovery.NoGeneration))
		}
	}
}
