package bench

import (
	"context"
	"fmt"
	"io"
	"path/filepath"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/freeport"
)

// Fast sends requests to endpoints that answer in a fraction of a millisecond, through the sidecar and through
// net/http/httputil.ReverseProxy in turn: neither may reject any for being fast.
func Fast(ctx context.Context, w io.Writer, o Options) error {
	s, err := newSite(fastEndpoints, endpoint.Options{})
	if err != nil {
		return err
	}
	defer s.close()
	fmt.Fprintf(w, "%d idle endpoints that answer at once, %.0f requests a second for %v each\n",
		len(s.endpoints), o.Rate, o.Duration)
	sidecar, err := s.startSidecar(ctx, filepath.Join(o.Bin, sidecarName), nil)
	if err != nil {
		return err
	}
	measureFast(ctx, w, o, sidecarName, sidecar)
	proxy, err := s.startProxy(ctx, 1)
	if err != nil {
		return err
	}
	measureFast(ctx, w, o, proxyName, proxy)
	return nil
}

// startSidecar starts a build of the sidecar over the site, on one core.
func (s *site) startSidecar(ctx context.Context, program string, env []string) (*process, error) {
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	path, err := writeSidecarConfig(s.dir, addr, s.endpoints)
	if err != nil {
		return nil, err
	}
	return startProcess(ctx, addr, 1, append(env, "ROUTER_CONFIG="+path), program)
}

// measureFast sends requests to a program, stops it, and prints its line.
func measureFast(ctx context.Context, w io.Writer, o Options, name string, p *process) {
	report := client.New(client.Options{
		Name: name, Network: "tcp", Addr: p.addr, Tenant: tenant, Classes: classes,
		Rate: o.Rate, Duration: o.Duration, MaxOpen: maxOpenRequests, Seed: 1,
	}).Run(ctx)
	printReport(w, name, report, p.stop())
}
