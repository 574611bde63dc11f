package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
)

const (
	fastEndpoints = 4  // that answer at once
	fullWorkers   = 64 // clients that send one request after another, to find the highest throughput
)

// programCost are the figures of one program on some cores, a figure for each round.
type programCost struct {
	cpu        []float64 // microseconds a request, at the steady rate
	throughput []float64 // requests a second, at most
}

// Cost measures what a request costs the daemon and ReverseProxy: processor time at a steady rate, and how many a
// second either serves at most, on one and on two cores, in turn.
func Cost(ctx context.Context, w io.Writer, o Options) error {
	s, err := newSite(fastEndpoints, endpoint.Options{})
	if err != nil {
		return err
	}
	defer s.close()
	fmt.Fprintf(w, "%d endpoints that answer at once; %.0f requests a second, then %d clients one after another; ",
		len(s.endpoints), o.Rate, fullWorkers)
	fmt.Fprintf(w, "%v each, %d rounds\n", o.Duration, o.Rounds)
	for _, cores := range []int{1, 2} {
		if err := s.compareCost(ctx, w, o, cores); err != nil {
			return err
		}
	}
	return nil
}

// compareCost measures both programs on some cores, and prints the medians of the rounds.
func (s *site) compareCost(ctx context.Context, w io.Writer, o Options, cores int) error {
	var daemon, proxy programCost
	for range o.Rounds {
		start := func() (*process, error) { return s.startDaemon(ctx, o.Bin, cores) }
		if err := daemon.measure(ctx, w, o, cores, daemonName, start); err != nil {
			return err
		}
		start = func() (*process, error) { return s.startProxy(ctx, cores) }
		if err := proxy.measure(ctx, w, o, cores, proxyName, start); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "%d core(s), medians: cpu %.1f us against %.1f, %.2f times; most %.0f/s against %.0f, %.2f times\n",
		cores, median(daemon.cpu), median(proxy.cpu), median(daemon.cpu)/median(proxy.cpu),
		median(daemon.throughput), median(proxy.throughput), median(daemon.throughput)/median(proxy.throughput))
	return nil
}

// measure adds one round of a program and prints its line.
func (c *programCost) measure(
	ctx context.Context, w io.Writer, o Options, cores int, name string, start func() (*process, error),
) error {
	steady, cpu, err := runClient(ctx, start, client.Options{
		Rate: o.Rate, Duration: o.Duration, MaxOpen: maxOpenRequests,
	})
	if err != nil {
		return err
	}
	full, _, err := runClient(ctx, start, client.Options{Workers: fullWorkers, Duration: o.Duration})
	if err != nil {
		return err
	}
	throughput := float64(full.ByVerdict[client.Served]) / o.Duration.Seconds()
	c.cpu = append(c.cpu, microsPerRequest(cpu, steady))
	c.throughput = append(c.throughput, throughput)
	fmt.Fprintf(w, "%d core(s) %-13s steady: served %6.2f%%, p50 %5.2f ms, p99 %5.2f ms, cpu %6.1f us/request; ",
		cores, name, servedPercent(steady), ms(steady.Quantile(0.5)), ms(steady.Quantile(0.99)),
		microsPerRequest(cpu, steady))
	fmt.Fprintf(w, "most: %6.0f/s, served %6.2f%%, p99 %5.2f ms\n",
		throughput, servedPercent(full), ms(full.Quantile(0.99)))
	return nil
}

// runClient starts a program, sends it a client's requests, and returns the processor time that it took for them.
func runClient(
	ctx context.Context, start func() (*process, error), o client.Options,
) (report client.Report, cpu time.Duration, err error) {
	p, err := start()
	if err != nil {
		return client.Report{}, 0, err
	}
	defer p.stop()
	o.Name = "c"
	o.Network = "tcp"
	o.Addr = p.addr
	o.Tenant = tenant
	o.Classes = classes
	o.Seed = 1
	before := p.cpuTime()
	report = client.New(o).Run(ctx)
	return report, p.cpuTime() - before, nil
}
