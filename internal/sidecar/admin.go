package sidecar

import (
	"fmt"
	"net"

	"dunlinsail/internal/admin"
)

// adminBackend answers operators' calls.
func (s *sidecar) adminBackend() admin.Backend {
	return admin.Backend{Ready: s.readiness, Metrics: s.metrics, SetCordon: s.setCordon, Log: s.log}
}

// readiness says whether this process takes clients, and if not, why.
func (s *sidecar) readiness() (yes bool, why string) {
	switch {
	case !s.accepting.Load():
		return false, "this process takes no clients"
	case !s.core.Ready():
		return false, "no endpoint is known to serve"
	}
	return true, ""
}

// serveAdmin listens for operators where the configuration says so.
func (s *sidecar) serveAdmin() (stop func(), err error) {
	if s.config.AdminAddress == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", s.config.AdminAddress)
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := admin.Serve(listener, s.adminBackend()); err != nil {
			s.log.Error("admin server failed", "error", err)
		}
	}()
	return func() {
		listener.Close()
		<-done
	}, nil
}
