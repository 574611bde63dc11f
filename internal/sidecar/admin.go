package sidecar

import (
	"fmt"
	"net"

	"dunlinsail/internal/admin"
)

// adminBackend returns the functions that the admin server calls to handle operators' requests.
func (s *sidecar) adminBackend() admin.Backend {
	return admin.Backend{Ready: s.readiness, Metrics: s.metrics, SetCordon: s.setCordon, Log: s.log}
}

// readiness reports whether this process accepts clients, and the reason if it does not.
func (s *sidecar) readiness() (ready bool, reason string) {
	switch {
	case !s.accepting.Load():
		return false, "this process takes no clients"
	case !s.core.Ready():
		return false, "no endpoint is known to serve"
	}
	return true, ""
}

// serveAdmin serves operators' requests at the configured address. An empty address disables the admin server. stop
// closes the listener and returns once the server's goroutine has ended.
func (s *sidecar) serveAdmin() (stop func(), err error) {
	if s.config.AdminAddress == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", s.config.AdminAddress)
	if err != nil {
		return nil, fmt.Errorf("listen on the operator address: %w", err)
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
