package bench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
)

// The site of the measurement Neighbour, and the two clients' rates.
const (
	neighbourEndpoints   = 4
	neighbourCores       = 4 // of an endpoint
	neighbourServiceTime = 10 * time.Millisecond
	neighbourSpread      = 0.3 // of the service time
	modestRate           = 100.0
	floodFactor          = 20   // the other client's rate is so many times the modest one's
	floodMaxOpen         = 1500 // of the other client's requests
	measuredCores        = 2    // of a program under test
)

// neighbourCase is a program, and how its two clients connect.
type neighbourCase struct {
	name                      string
	addr                      string // of the modest client
	floodNetwork, floodAddr   string
	modestAlone, modestBeside []float64 // its p99 in milliseconds, of each round
}

// Neighbour measures what a modest client has of one beside it that sends twenty times as much, more than all endpoints
// can serve: through the daemon, where both have the same weight, and through ReverseProxy.
func Neighbour(ctx context.Context, w io.Writer, o Options) error {
	s, err := newSite(neighbourEndpoints, endpoint.Options{
		ServiceTime: map[string]time.Duration{"": neighbourServiceTime}, Spread: neighbourSpread, Cores: neighbourCores,
	})
	if err != nil {
		return err
	}
	defer s.close()
	maxRate := neighbourEndpoints * neighbourCores / neighbourServiceTime.Seconds()
	fmt.Fprintf(w, "%d endpoints of %d cores, %v of work: %.0f a second at most; ",
		neighbourEndpoints, neighbourCores, neighbourServiceTime, maxRate)
	fmt.Fprintf(w, "modest asks %.0f a second, the hog %.0f; %v each, %d rounds\n",
		modestRate, floodFactor*modestRate, o.Duration, o.Rounds)
	daemon, err := s.startDaemon(ctx, o.Bin, measuredCores)
	if err != nil {
		return err
	}
	defer daemon.stop()
	proxy, err := s.startProxy(ctx, measuredCores)
	if err != nil {
		return err
	}
	defer proxy.stop()
	cases := []*neighbourCase{
		{name: daemonName, addr: daemon.addr, floodNetwork: "unix", floodAddr: clientSocket(s.dir)},
		{name: proxyName, addr: proxy.addr, floodNetwork: "tcp", floodAddr: proxy.addr},
	}
	cases[0].run(ctx, w, o, "warm-up", true)
	for range o.Rounds {
		for _, c := range cases {
			c.modestAlone = append(c.modestAlone, c.run(ctx, w, o, c.name+", alone", false))
			c.modestBeside = append(c.modestBeside, c.run(ctx, w, o, c.name+", beside", true))
		}
	}
	for _, c := range cases {
		alone := median(c.modestAlone)
		beside := median(c.modestBeside)
		fmt.Fprintf(w, "%s, medians: p99 of the modest client %.2f ms alone, %.2f ms beside the hog: %.2f times\n",
			c.name, alone, beside, beside/alone)
	}
	return nil
}

// run measures one part, prints its line, and returns the modest client's p99 in milliseconds.
func (c *neighbourCase) run(ctx context.Context, w io.Writer, o Options, title string, flood bool) float64 {
	var beside sync.WaitGroup
	var other client.Report
	if flood {
		beside.Go(func() {
			other = client.New(client.Options{
				Name: "hog", Network: c.floodNetwork, Addr: c.floodAddr, Tenant: tenant, Classes: classes,
				Rate: floodFactor * modestRate, Duration: o.Duration, MaxOpen: floodMaxOpen, Seed: 2,
			}).Run(ctx)
		})
	}
	modest := client.New(client.Options{
		Name: "modest", Network: "tcp", Addr: c.addr, Tenant: tenant, Classes: classes,
		Rate: modestRate, Duration: o.Duration, Seed: 3,
	}).Run(ctx)
	beside.Wait()
	p99 := ms(modest.Quantile(0.99))
	fmt.Fprintf(w, "%-26s modest: served %6.2f%%, p50 %6.2f ms, p99 %6.2f ms; hog: served %5.0f/s\n",
		title, servedPercent(modest), ms(modest.Quantile(0.5)), p99,
		float64(other.ByVerdict[client.Served])/o.Duration.Seconds())
	return p99
}
