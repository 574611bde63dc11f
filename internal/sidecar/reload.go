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
func (s *sidecar) reloadOnSignal(ctx context.Context, signals <-chan os.Signal,
	readConfig func() (*platform.Config, error)) {
	current := s.config
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		next, err := readConfig()
		if err != nil {
			s.log.Error("configuration not reloaded", "error", err)
			continue
		}
		discoveryMoved := next.FileDiscovery != current.FileDiscovery && next.FileDiscovery != ""
		current = next
		s.log.Info("configuration reloaded", "moved", discoveryMoved, "discovery", current.FileDiscovery)
		if discoveryMoved {
			s.endpointPool.SetSource(current.FileDiscovery)
			s.listSource.SwitchTo(s.watchDiscovery(current.FileDiscovery, discovery.NoGeneration))
		}
	}
}
