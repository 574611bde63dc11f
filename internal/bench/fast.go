package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/freeport"
)

// Fast asks endpoints that answer in a fraction of a millisecond, through the sidecar and through
// net/http/httputil.ReverseProxy in turn: neither may refuse any for being fast.
func Fast(ctx context.Context, w io.Writer, bin string, rate float64, each time.Duration) error {
	dir, err := os.MkdirTemp("", "dunlinsail-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	addrs, stop, err := endpoints(4, endpoint.Options{})
	if err != nil {
		return err
	}
	defer stop()
	sidecar, err := freeport.Free()
	if err != nil {
		return err
	}
	config, err := sidecarConfig(dir, sidecar, addrs)
	if err != nil {
		return err
	}
	run := func(name, addr string, env []string, command string, args ...string) error {
		p, err := startProcess(ctx, addr, 1, env, command, args...)
		if err != nil {
			return err
		}
		c := client.New(client.Options{Name: name, Network: "tcp", Addr: addr, Tenant: "acme", Classes: classes,
			Rate: rate, Duration: each, MaxOpen: 256, Seed: 1})
		r := c.Run(ctx)
		printReport(w, name, r, p.stop())
		return nil
	}
	fmt.Fprintf(w, "%d idle endpoints that answer at once, %.0f requests a second for %v each\n", len(addrs), rate, each)
	if err := run("dunlinsail", sidecar, []string{"ROUTER_CONFIG=" + config}, bin+"/dunlinsail"); err != nil {
		return err
	}
	proxy, err := freeport.Free()
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return run("ReverseProxy", proxy, nil, self, append([]string{"proxy", proxy}, addrs...)...)
}
