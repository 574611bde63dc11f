package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/freeport"
)

// The two pools of the measurement Pools.
const (
	goodEndpoints    = 2
	goodRate         = 200.0 // requests a second
	goodSpread       = 0.3   // of the service time
	goodCores        = 4     // of an endpoint
	badEndpoints     = 20
	poolsServiceTime = 5 * time.Millisecond
	usualBudget      = 0.2 // retries for each request
)

// comparedBudgets are the retry budgets with which arrivals at the failing pool are counted: a small one, and none in
// effect.
var comparedBudgets = []float64{0.1, 10}

// neighbourPool is what the other pool's endpoints do while the good pool is measured.
type neighbourPool struct {
	name  string
	fault endpoint.Fault
	rate  float64 // requests a second to it
}

// Pools measures what one pool has of another whose endpoints all fail, and how many attempts arrive there in any
// second with a retry budget and without one. The rate is that of the pool that fails.
func Pools(ctx context.Context, w io.Writer, o Options) error {
	s, err := newPoolsSite()
	if err != nil {
		return err
	}
	defer s.close()
	p, err := s.start(ctx, o.Bin, usualBudget)
	if err != nil {
		return err
	}
	defer p.stop()
	fmt.Fprintf(w, "a good pool of %d endpoints, %v of work, %.0f requests a second; a bad one of %d, %.0f a second; ",
		len(s.good), poolsServiceTime, goodRate, badEndpoints, o.Rate)
	fmt.Fprintf(w, "%v each, %d rounds\n", o.Duration, o.Rounds)
	s.compareNeighbours(ctx, w, o, p.addr)
	for _, budget := range comparedBudgets {
		if err := s.countArrivals(ctx, w, o, budget); err != nil {
			return err
		}
	}
	return nil
}

// poolsSite is two pools of endpoints.
type poolsSite struct {
	*site
	good       []string // addresses
	badServers []*endpoint.Server
	badAddrs   []string
	badLedger  *endpoint.Ledger
}

func newPoolsSite() (*poolsSite, error) {
	empty, err := newEmptySite()
	if err != nil {
		return nil, err
	}
	s := &poolsSite{site: empty, badLedger: &endpoint.Ledger{}}
	serviceTime := map[string]time.Duration{"": poolsServiceTime}
	good, stop, err := startEndpoints(goodEndpoints, endpoint.Options{
		ServiceTime: serviceTime, Spread: goodSpread, Cores: goodCores,
	})
	if err != nil {
		s.close()
		return nil, err
	}
	s.good = good
	s.cleanups = append(s.cleanups, stop)
	for i := range badEndpoints {
		server, err := endpoint.Start(endpoint.Options{
			Name: fmt.Sprint("bad-", i), ServiceTime: serviceTime, Ledger: s.badLedger,
		})
		if err != nil {
			s.close()
			return nil, err
		}
		s.badServers = append(s.badServers, server)
		s.badAddrs = append(s.badAddrs, server.Addr)
		s.cleanups = append(s.cleanups, func() { server.Close() })
	}
	return s, nil
}

// setFault has all endpoints of the bad pool fail in one way.
func (s *poolsSite) setFault(fault endpoint.Fault) {
	for _, server := range s.badServers {
		server.SetFaults(func(*http.Request) endpoint.Fault { return fault })
	}
}

// start starts a daemon with a route to each pool, and a retry budget for the bad one.
func (s *poolsSite) start(ctx context.Context, bin string, retryBudget float64) (*process, error) {
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("[process]\ncores = %d\n%s[[listener]]\naddress = %q\n", measuredCores, daemonLimits, addr)
	text += poolAndRoute("good", s.good, "")
	text += poolAndRoute("bad", s.badAddrs, fmt.Sprintf("retry_budget = %v\n", retryBudget))
	text += lookClass
	path := filepath.Join(s.dir, "pools.toml")
	if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
		return nil, err
	}
	return startProcess(ctx, addr, 0, nil, filepath.Join(bin, daemonName), "--config", path)
}

// poolAndRoute returns the tables of a pool, with further lines, and of the route by its name.
func poolAndRoute(name string, endpoints []string, poolLines string) string {
	pool := fmt.Sprintf("[[pool]]\nname = %q\nendpoints = %s\n%s", name, tomlStrings(endpoints), poolLines)
	return pool + fmt.Sprintf("[[route]]\npath = \"/%s/*\"\npool = %q\nclass = \"look\"\n", name, name)
}

// send sends requests to one of the pools.
func (s *poolsSite) send(
	ctx context.Context, addr, pool string, rate float64, d time.Duration, seed uint64,
) client.Report {
	return client.New(client.Options{
		Name: fmt.Sprint(pool, seed), Network: "tcp", Addr: addr, Tenant: tenant, Rate: rate, Duration: d,
		MaxOpen: manyOpen, Seed: seed,
		Classes: []client.Class{{Name: pool, Share: 1, Method: http.MethodGet, Timeout: clientTimeout}},
	}).Run(ctx)
}

// compareNeighbours measures the good pool beside the other one in each of its states.
func (s *poolsSite) compareNeighbours(ctx context.Context, w io.Writer, o Options, addr string) {
	const healthy = "beside one that is well"
	neighbours := []neighbourPool{
		{"alone", endpoint.NoFault, 0},
		{healthy, endpoint.NoFault, o.Rate},
		{"beside one that answers 500", endpoint.InternalError, o.Rate},
		{"beside one that says nothing", endpoint.NoResponse, o.Rate},
		{"beside one that breaks off", endpoint.ConnectionReset, o.Rate},
	}
	p99 := map[string][]float64{}
	seed := uint64(1)
	for range o.Rounds {
		for _, n := range neighbours {
			seed++
			s.setFault(n.fault)
			var beside sync.WaitGroup
			if n.rate > 0 {
				beside.Go(func() { s.send(ctx, addr, "bad", n.rate, o.Duration, seed) })
			}
			report := s.send(ctx, addr, "good", goodRate, o.Duration, seed)
			beside.Wait()
			p99[n.name] = append(p99[n.name], ms(report.Quantile(0.99)))
			fmt.Fprintf(w, "%-29s good pool: served %6.2f%%, p50 %5.2f ms, p99 %5.2f ms\n",
				n.name, servedPercent(report), ms(report.Quantile(0.5)), ms(report.Quantile(0.99)))
		}
	}
	base := median(p99[healthy])
	for _, n := range neighbours {
		figure := median(p99[n.name])
		fmt.Fprintf(w, "median p99 %s: %.2f ms, %.2f times that %s\n", n.name, figure, figure/base, healthy)
	}
}

// countArrivals counts what arrives at the failing pool with a retry budget.
func (s *poolsSite) countArrivals(ctx context.Context, w io.Writer, o Options, budget float64) error {
	s.setFault(endpoint.InternalError)
	p, err := s.start(ctx, o.Bin, budget)
	if err != nil {
		return err
	}
	earlier := len(s.badLedger.Runs())
	report := s.send(ctx, p.addr, "bad", o.Rate, o.Duration, 1)
	p.stop()
	arrivals := s.badLedger.Runs()[earlier:]
	peak := peakSecond(arrivals)
	fmt.Fprintf(w, "retry_budget %4.1f: %d requests, %d arrived; in the worst second %d, %.2f times the rate\n",
		budget, report.Scheduled, len(arrivals), peak, float64(peak)/o.Rate)
	return nil
}

// peakSecond returns the largest number of arrivals, which are sorted by time, in any second.
func peakSecond(arrivals []endpoint.Run) int {
	peak := 0
	oldest := 0
	for i := range arrivals {
		for arrivals[i].StartedAt.Sub(arrivals[oldest].StartedAt) > time.Second {
			oldest++
		}
		peak = max(peak, i-oldest+1)
	}
	return peak
}
