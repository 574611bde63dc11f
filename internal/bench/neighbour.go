package bench

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
)

// Neighbour measures what a modest client has of one beside it that asks twenty times as much, more than all
// endpoints can do: through the daemon, where both have the same weight, and through ReverseProxy.
func Neighbour(ctx context.Context, w io.Writer, bin string, each time.Duration, rounds int) error {
	const work, cores, nodes, modest = 10 * time.Millisecond, 4, 4, 100.0
	s, err := newSite(nodes, endpoint.Options{ServiceTime: map[string]time.Duration{"": work}, Spread: 0.3, Cores: cores})
	if err != nil {
		return err
	}
	defer s.close()
	fmt.Fprintf(w, "%d endpoints of %d cores, %v of work: %.0f a second at most; modest asks %.0f a second, the hog %.0f; %v each, %d rounds\n",
		nodes, cores, work, nodes*cores/work.Seconds(), modest, 20*modest, each, rounds)
	p, err := s.daemon(ctx, bin, 2)
	if err != nil {
		return err
	}
	defer p.stop()
	proxy, err := s.proxy(ctx, 2)
	if err != nil {
		return err
	}
	defer proxy.stop()
	p99 := map[string][]float64{}
	run := func(name, addr, network, hogAddr string, hog bool) {
		var beside sync.WaitGroup
		var other client.Report
		if hog {
			beside.Go(func() {
				other = client.New(client.Options{Name: "hog", Network: network, Addr: hogAddr, Tenant: "acme", Classes: classes,
					Rate: 20 * modest, Duration: each, MaxOpen: 1500, Seed: 2}).Run(ctx)
			})
		}
		r := client.New(client.Options{Name: "modest", Network: "tcp", Addr: addr, Tenant: "acme", Classes: classes,
			Rate: modest, Duration: each, Seed: 3}).Run(ctx)
		beside.Wait()
		p99[name] = append(p99[name], ms(r.Quantile(0.99)))
		fmt.Fprintf(w, "%-26s modest: served %6.2f%%, p50 %6.2f ms, p99 %6.2f ms; hog: served %5.0f/s\n", name, served(r),
			ms(r.Quantile(0.5)), ms(r.Quantile(0.99)), float64(other.ByVerdict[client.Served])/each.Seconds())
	}
	run("warm-up", p.addr, "unix", filepath.Join(s.dir, "clients.sock"), true)
	for range rounds {
		run("dunlinsaild, alone", p.addr, "", "", false)
		run("dunlinsaild, beside", p.addr, "unix", filepath.Join(s.dir, "clients.sock"), true)
		run("ReverseProxy, alone", proxy.addr, "", "", false)
		run("ReverseProxy, beside", proxy.addr, "tcp", proxy.addr, true)
	}
	for _, name := range []string{"dunlinsaild", "ReverseProxy"} {
		a, b := median(p99[name+", alone"]), median(p99[name+", beside"])
		fmt.Fprintf(w, "%s, medians: p99 of the modest client %.2f ms alone, %.2f ms beside the hog: %.2f times\n", name, a, b, b/a)
	}
	return nil
}
