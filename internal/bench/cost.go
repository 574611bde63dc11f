package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
)

// Cost measures what a request costs the daemon and ReverseProxy: processor time at a steady rate, and how many a
// second either serves at most, on one and on two cores, in turn.
func Cost(ctx context.Context, w io.Writer, bin string, rate float64, each time.Duration, rounds int) error {
	s, err := newSite(4, endpoint.Options{})
	if err != nil {
		return err
	}
	defer s.close()
	fmt.Fprintf(w, "%d endpoints that answer at once; %.0f requests a second, then 64 clients one after another; %v each, %d rounds\n",
		len(s.addrs), rate, each, rounds)
	for _, cores := range []int{1, 2} {
		cpu, most := map[string][]float64{}, map[string][]float64{}
		for range rounds {
			for _, name := range []string{"dunlinsaild", "ReverseProxy"} {
				start := func() (*process, error) {
					if name == "dunlinsaild" {
						return s.daemon(ctx, bin, cores)
					}
					return s.proxy(ctx, cores)
				}
				steady, used, err := one(ctx, start, client.Options{Rate: rate, Duration: each, MaxOpen: 256})
				if err != nil {
					return err
				}
				full, _, err := one(ctx, start, client.Options{Workers: 64, Duration: each})
				if err != nil {
					return err
				}
				cpu[name] = append(cpu[name], used.Seconds()*1e6/float64(max(1, steady.Scheduled)))
				most[name] = append(most[name], float64(full.ByVerdict[client.Served])/each.Seconds())
				fmt.Fprintf(w, "%d core(s) %-13s steady: served %6.2f%%, p50 %5.2f ms, p99 %5.2f ms, cpu %6.1f us/request; most: %6.0f/s, served %6.2f%%, p99 %5.2f ms\n",
					cores, name, served(steady), ms(steady.Quantile(0.5)), ms(steady.Quantile(0.99)), cpu[name][len(cpu[name])-1],
					most[name][len(most[name])-1], served(full), ms(full.Quantile(0.99)))
			}
		}
		a, b := "dunlinsaild", "ReverseProxy"
		fmt.Fprintf(w, "%d core(s), medians: cpu %.1f us against %.1f, %.2f times; most %.0f/s against %.0f, %.2f times\n",
			cores, median(cpu[a]), median(cpu[b]), median(cpu[a])/median(cpu[b]), median(most[a]), median(most[b]), median(most[a])/median(most[b]))
	}
	return nil
}

// one asks a program for a time, and returns the processor time that it took.
func one(ctx context.Context, start func() (*process, error), o client.Options) (client.Report, time.Duration, error) {
	p, err := start()
	if err != nil {
		return client.Report{}, 0, err
	}
	o.Name, o.Network, o.Addr, o.Tenant, o.Classes, o.Seed = "c", "tcp", p.addr, "acme", classes, 1
	before := p.cpu()
	r := client.New(o).Run(ctx)
	used := p.cpu() - before
	p.stop()
	return r, used, nil
}

func served(r client.Report) float64 {
	return 100 * float64(r.ByVerdict[client.Served]) / float64(max(1, r.Scheduled))
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }
