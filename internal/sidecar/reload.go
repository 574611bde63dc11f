package sidecar

import (
	"context"
	"os"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/platform"
)

// reloadOnSignal reads the configuration at each signal until ctx ends, and switches discovery to the address in
// the file if that address has changed. ROUTER_DISCOVERY overrides the address in the file only at the start of
// the process; otherwise a reload could never change the address. Changes of all other settings take effect at the
// next start. If the file cannot be read, the error is logged and nothing changes.
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
