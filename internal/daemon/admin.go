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

// startAdminServer serves operators' calls at the configured address. An empty address disables the admin
// server. It retries for bindTimeout, because the predecessor may still use the address.
func (g *generation) startAdminServer() error {
	addr := g.config.Admin.Address
	if addr == "" || g.closeAdminServer != nil {
		return nil
	}
	var socket net.Listener
	var err error
	for deadline := time.Now().Add(bindTimeout); ; time.Sleep(bindRetryInterval) {
		if socket, err = net.Listen("tcp", addr); err == nil || time.Now().After(deadline) {
			break
		}
	}
	if err != nil {
		return err
	}
	serveEnded := make(chan struct{})
	go func() {
		defer close(serveEnded)
		if err := admin.Serve(socket, g.adminBackend()); err != nil {
			g.log.Error("admin server failed", "error", err)
		}
	}()
	g.closeAdminServer = func() {
		socket.Close()
		<-serveEnded
	}
	return nil
}

// stopAdminServer closes the admin server and returns once its goroutine has ended. It does nothing if no
// server runs.
func (g *generation) stopAdminServer() {
	if g.closeAdminServer != nil {
		g.closeAdminServer()
		g.closeAdminServer = nil
	}
}

// readiness reports whether requests can be served, and the reason if they cannot.
func (g *generation) readiness() (ready bool, reason string) {
	return g.core.Ready(), "no endpoint is known to serve"
}

// adminBackend returns the functions and the log with which the admin server handles operators' calls.
func (g *generation) adminBackend() admin.Backend {
	return admin.Backend{
		Ready:       g.readiness,
		Metrics:     g.metrics,
		SetCordon:   g.setCordon,
		Members:     g.fleetView,
		Maintenance: g.maintenance,
		Log:         g.log,
	}
}

// setCordon sets the cordon of an endpoint, which is identified by its name or address, or removes it. The
// cordon applies to this instance only, is part of its snapshot and, during a hot restart, is sent to the other
// generations. The error is admin.ErrUnknownEndpoint if the endpoint is in no endpoint list.
func (g *generation) setCordon(ctx context.Context, target string, cordoned bool) error {
	record, known, err := g.core.SetCordon(ctx, target, cordoned, takeover.Monotonic())
	switch {
	case err != nil:
		return err
	case !known:
		return admin.ErrUnknownEndpoint
	}
	g.cordonPeers.Broadcast(record)
	return nil
}

// metrics returns the metrics as lines of the form "name=value". The metrics of the core are all read at the
// same time.
func (g *generation) metrics(ctx context.Context) ([]byte, error) {
	stats, err := g.core.Statistics(ctx, func() {})
	if err != nil {
		return nil, fmt.Errorf("the figures are not to be had in time: %w", err)
	}
	var text strings.Builder
	writeMetric := func(name string, value uint64) { fmt.Fprintf(&text, "%s=%d\n", name, value) }
	writeMetric("registry_entries", uint64(stats.ListedEndpoints))
	writeMetric("out_of_rotation", uint64(stats.AvoidedEndpoints))
	writeMetric("surplus_responses", g.upstreams.SurplusResponses())
	writeMetric("suspect_responses", g.upstreams.SuspectResponses())
	if processors := g.options.processors; processors != nil {
		pauses, pausedTime := processors.Pauses()
		writeMetric("client_pauses", pauses)
		writeMetric("client_paused_ms", uint64(pausedTime.Milliseconds()))
	}
	writeMetric("late_responses", g.frontend.LateResponses())
	for _, closed := range g.frontend.ClosedConnections() {
		writeMetric("client_connections_closed."+closed.Reason, closed.Count)
	}
	if stats.OverloadControlled {
		writeMetric("overload_level_percent", uint64(100*stats.OverloadLevel+0.5))
		writeMetric("overload_shed", stats.ShedRequests)
		writeMetric("overload_probes_kept_in", stats.SuppressedProbes)
	}
	if stats.HasTenantLimits {
		writeMetric("tenants_over_limit", stats.RequestsOverLimit)
	}
	if gossip := g.gossip.Load(); gossip != nil {
		aliveMembers := 0
		for _, member := range gossip.Members() {
			if member.Alive {
				aliveMembers++
			}
		}
		gossipStats := gossip.Stats()
		writeMetric("peers_alive", uint64(aliveMembers))
		writeMetric("peers_lent", map[bool]uint64{true: 1}[stats.QuotaLeased])
		writeMetric("peers_suspects", uint64(stats.SuspectedEndpoints))
		writeMetric("peers_words_sent", gossipStats.Sent)
		writeMetric("peers_words_heard", gossipStats.Received)
		writeMetric("peers_words_dropped", gossipStats.Dropped)
		writeMetric("peers_words_spoilt", gossipStats.Malformed)
		writeMetric("peers_bytes_sent", gossipStats.Bytes)
	}
	return []byte(text.String()), nil
}
