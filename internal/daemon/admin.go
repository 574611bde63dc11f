package daemon

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"dunlinsail/internal/admin"
	"dunlinsail/internal/takeover"
)

// serveAdmin serves operators' calls at the configured address; an empty one turns the admin server off. It retries
// for bindTimeout, because the predecessor may still have the address.
func (d *generation) serveAdmin() error {
	addr := d.config.Admin.Address
	if addr == "" || d.stopAdmin != nil {
		return nil
	}
	var ln net.Listener
	var err error
	for end := time.Now().Add(bindTimeout); ; time.Sleep(bindRetryInterval) {
		if ln, err = net.Listen("tcp", addr); err == nil || time.Now().After(end) {
			break
		}
	}
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := admin.Serve(ln, d.adminBackend()); err != nil {
			d.log.Error("admin server failed", "error", err)
		}
	}()
	d.stopAdmin = func() {
		ln.Close()
		<-ended
	}
	return nil
}

// stopServingAdmin closes the admin server and returns once its goroutine has ended. Without a server it does nothing.
func (d *generation) stopServingAdmin() {
	if d.stopAdmin != nil {
		d.stopAdmin()
		d.stopAdmin = nil
	}
}

// readiness reports whether requests can be served, and the reason if they cannot.
func (d *generation) readiness() (ready bool, reason string) {
	return d.core.Ready(), "no endpoint is known to serve"
}

// adminBackend returns what the admin server calls to answer operators.
func (d *generation) adminBackend() admin.Backend {
	return admin.Backend{
		Ready:       d.readiness,
		Metrics:     d.metrics,
		SetCordon:   d.setCordon,
		Members:     d.fleetView,
		Maintenance: d.maintenance,
		Log:         d.log,
	}
}

// setCordon cordons an endpoint, given by name or address, or lifts its cordon. A cordon is in effect at this instance
// only, and is part of its snapshot. An endpoint that is in no list is admin.ErrUnknownEndpoint.
func (d *generation) setCordon(ctx context.Context, target string, cordoned bool) error {
	_, known, err := d.core.SetCordon(ctx, target, cordoned, takeover.Monotonic())
	if err == nil && !known {
		err = admin.ErrUnknownEndpoint
	}
	return err
}

// metrics returns the metrics, all read at one moment, as one line "name=value" each.
func (d *generation) metrics(ctx context.Context) ([]byte, error) {
	f, err := d.core.Statistics(ctx, func() {})
	if err != nil {
		return nil, fmt.Errorf("the figures are not to be had in time: %w", err)
	}
	var b strings.Builder
	line := func(name string, v uint64) { fmt.Fprintf(&b, "%s=%d\n", name, v) }
	line("registry_entries", uint64(f.ListedEndpoints))
	line("out_of_rotation", uint64(f.AvoidedEndpoints))
	line("surplus_responses", d.upstreams.SurplusResponses())
	line("suspect_responses", d.upstreams.SuspectResponses())
	for _, closed := range d.front.ClosedConnections() {
		line("client_connections_closed."+closed.Reason, closed.Count)
	}
	if f.OverloadControlled {
		line("overload_level_percent", uint64(100*f.OverloadLevel+0.5))
		line("overload_shed", f.ShedRequests)
		line("overload_probes_kept_in", f.SuppressedProbes)
	}
	if f.HasTenantLimits {
		line("tenants_over_limit", f.RequestsOverLimit)
	}
	if p := d.gossip.Load(); p != nil {
		alive := 0
		for _, m := range p.Members() {
			if m.Alive {
				alive++
			}
		}
		w := p.Stats()
		line("peers_alive", uint64(alive))
		line("peers_lent", map[bool]uint64{true: 1}[f.QuotaLeased])
		line("peers_suspects", uint64(f.SuspectedEndpoints))
		line("peers_words_sent", w.Sent)
		line("peers_words_heard", w.Received)
		line("peers_words_dropped", w.Dropped)
		line("peers_words_spoilt", w.Malformed)
		line("peers_bytes_sent", w.Bytes)
	}
	return []byte(b.String()), nil
}
