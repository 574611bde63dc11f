package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/freeport"
)

// Pools measures what one pool has of another whose endpoints all fail, and how many attempts arrive there in any second
// with a retry budget and without one.
func Pools(ctx context.Context, w io.Writer, bin string, rate float64, each time.Duration, rounds int) error {
	const goodRate, work, badNodes = 200.0, 5 * time.Millisecond, 20
	dir, err := os.MkdirTemp("", "dunlinsail-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	good, stop, err := endpoints(2, endpoint.Options{ServiceTime: map[string]time.Duration{"": work}, Spread: 0.3, Cores: 4})
	if err != nil {
		return err
	}
	defer stop()
	ledger := &endpoint.Ledger{}
	var bad []*endpoint.Server
	var addrs []string
	for i := range badNodes {
		s, err := endpoint.Start(endpoint.Options{Name: fmt.Sprint("bad-", i), ServiceTime: map[string]time.Duration{"": work}, Ledger: ledger})
		if err != nil {
			return err
		}
		defer s.Close()
		bad, addrs = append(bad, s), append(addrs, s.Addr)
	}
	faults := func(f endpoint.Fault) {
		for _, s := range bad {
			s.SetFaults(func(*http.Request) endpoint.Fault { return f })
		}
	}
	serve := func(budget float64) (*process, error) {
		addr, err := freeport.Free()
		if err != nil {
			return nil, err
		}
		text := fmt.Sprintf("[process]\ncores = 2\ndescriptors = 8192\n[[listener]]\naddress = %q\n", addr)
		for _, p := range []struct {
			name  string
			of    []string
			extra string
		}{{"good", good, ""}, {"bad", addrs, fmt.Sprintf("retry_budget = %v\n", budget)}} {
			text += fmt.Sprintf("[[pool]]\nname = %q\nendpoints = [\"%s\"]\n%s[[route]]\npath = \"/%s/*\"\npool = %q\nclass = \"look\"\n", p.name,
				strings.Join(p.of, `", "`), p.extra, p.name, p.name)
		}
		text += "[[class]]\nname = \"look\"\nrepeat = \"safe\"\naim = \"250ms\"\ngive_up = \"500ms\"\n"
		path := filepath.Join(dir, "pools.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return nil, err
		}
		return startProcess(ctx, addr, 0, nil, bin+"/dunlinsaild", "--config", path)
	}
	ask := func(p *process, name string, rate float64, seed uint64) client.Report {
		return client.New(client.Options{Name: fmt.Sprint(name, seed), Network: "tcp", Addr: p.addr, Tenant: "acme", Rate: rate, Duration: each, MaxOpen: 1000,
			Seed: seed, Classes: []client.Class{{Name: name, Share: 1, Method: http.MethodGet, Timeout: 500 * time.Millisecond}}}).Run(ctx)
	}
	p, err := serve(0.2)
	if err != nil {
		return err
	}
	defer p.stop()
	fmt.Fprintf(w, "a good pool of %d endpoints, %v of work, %.0f requests a second; a bad one of %d, %.0f a second; %v each, %d rounds\n",
		len(good), work, goodRate, badNodes, rate, each, rounds)
	p99 := map[string][]float64{}
	ways := []struct {
		name  string
		fault endpoint.Fault
		rate  float64
	}{{"alone", endpoint.NoFault, 0}, {"beside one that is well", endpoint.NoFault, rate}, {"beside one that answers 500", endpoint.InternalError, rate},
		{"beside one that says nothing", endpoint.NoResponse, rate}, {"beside one that breaks off", endpoint.ConnectionReset, rate}}
	seed := uint64(1)
	for range rounds {
		for _, way := range ways {
			faults(way.fault)
			var beside sync.WaitGroup
			seed++
			if way.rate > 0 {
				beside.Go(func() { ask(p, "bad", way.rate, seed) })
			}
			r := ask(p, "good", goodRate, seed)
			beside.Wait()
			p99[way.name] = append(p99[way.name], ms(r.Quantile(0.99)))
			fmt.Fprintf(w, "%-29s good pool: served %6.2f%%, p50 %5.2f ms, p99 %5.2f ms\n", way.name, served(r), ms(r.Quantile(0.5)), ms(r.Quantile(0.99)))
		}
	}
	base := median(p99["beside one that is well"])
	for _, way := range ways {
		m := median(p99[way.name])
		fmt.Fprintf(w, "median p99 %s: %.2f ms, %.2f times that beside one that is well\n", way.name, m, m/base)
	}
	for _, budget := range []float64{0.1, 10} {
		faults(endpoint.InternalError)
		q, err := serve(budget)
		if err != nil {
			return err
		}
		from := len(ledger.Runs())
		r := ask(q, "bad", rate, 1)
		q.stop()
		runs := ledger.Runs()[from:]
		most := 0
		for i, j := 0, 0; i < len(runs); i++ {
			for runs[i].StartedAt.Sub(runs[j].StartedAt) > time.Second {
				j++
			}
			most = max(most, i-j+1)
		}
		fmt.Fprintf(w, "retry_budget %4.1f: %d requests, %d arrived; in the worst second %d, %.2f times the rate\n", budget, r.Scheduled, len(runs), most,
			float64(most)/rate)
	}
	return nil
}
