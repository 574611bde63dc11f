// Package quietfleet is many instances in one process: each has an engine, a core and connections of its own as the sidecar
// has, and takes its requests from here instead of from a front. It is for measuring what fleets cost nodes, and may not know
// how that is measured.
package quietfleet

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/core"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/endpointsource"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/upstream"
)

// Options say what a fleet is.
type Options struct {
	Instances int
	Nodes     []string      // addresses
	Rate      float64       // requests a second of all instances together
	For       time.Duration // clients ask for so long

	// As the daemon's [fleet] has them; a Subset of 0 is no subsets and no budgets.
	Subset               int
	NodeProbes, NodeIdle float64
}

// Result is what became of the requests.
type Result struct {
	Asked, Served, Refused, Failed int64
	Short                          int64 // attempts that found no connection for want of descriptors
}

const (
	aim    = 250 * time.Millisecond
	giveUp = 500 * time.Millisecond
)

func settings(instances int) balancer.Settings {
	return balancer.Settings{Balancers: instances, ZoneCount: 1, MachineKinds: 1, LoadMetrics: []balancer.LoadMetric{balancer.MetricInflight, balancer.MetricQueueLength},
		Classes: []balancer.Class{{Name: "look", LatencyObjective: clock.Micros(aim), ClientTimeout: clock.Micros(giveUp), PriorityWeight: 1}},
		Limits: balancer.Limits{Cancel: true, Probes: true, Hedging: true, RetryAfter: true, MaxAttempts: 3, MaxOpenRequests: 1000,
			MaxRetryAfter: 1_000_000, DialTimeout: 250_000},
		Contract: balancer.Contract{DrainGrace: 250_000, WarmupStartCapacity: 0.2, WarmupTime: 20_000_000, CollapseMultiple: 2.5, CollapseAfter: 2_000_000, PollInterval: 10_000_000},
		Prices:   balancer.Prices{Probe: 0.002}, Goal: balancer.Goal{Overall: 1}}
}

// instance is one of them.
type instance struct {
	core   *core.Core
	pool   *core.Pool
	up     *upstream.Pool
	client *engine.Client
}

// Run runs a fleet until its time is over and all that was asked is answered.
func Run(ctx context.Context, o Options) (Result, error) {
	clk := clock.New()
	short := &atomic.Int64{}
	log := slog.New(&shortage{Handler: slog.NewTextHandler(io.Discard, nil), n: short})
	where := &siteconfig.Site{Settings: settings(o.Instances), Classes: []string{"look"}, Zones: []string{"a"}, Kinds: []string{""},
		LoadReportFields: []string{"inflight", "queue"}, KeepAlive: 15 * time.Second}
	beside, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	fleet := make([]*instance, o.Instances)
	for i := range fleet {
		in := &instance{up: upstream.New(upstream.Options{Clock: clk, Log: log, MaxConns: 256, KeepAlive: where.KeepAlive, LoadFields: where.LoadReportFields, DialTimeout: giveUp / 2})}
		in.core = core.New(core.Config{Clock: clk, Site: where, Seed: uint64(i), Upstream: in.up, Log: log})
		c := engine.PoolConfig{InitialEndpoints: endpointsource.StaticList(o.Nodes, "a", 0), StaticList: true, SetWatch: func(bool) {}}
		if o.Subset > 0 {
			c.Subset = &subset.Settings{Position: uint64(i), Instances: o.Instances, MinMembers: o.Subset, EndpointProbes: o.NodeProbes, EndpointIdleConnections: o.NodeIdle}
			c.OnIdleConnections = func(n float64) { in.up.LimitIdle("", n) }
		}
		var err error
		if in.pool, err = in.core.NewPool(c); err != nil {
			return Result{}, err
		}
		if in.client, err = engine.NewClient(fairqueue.ClientSpec{Name: "c", Weight: 1}); err != nil {
			return Result{}, err
		}
		all.Go(func() { in.core.Run(beside) })
		all.Go(func() { in.up.Run(beside) })
		fleet[i] = in
	}
	var r Result
	var open sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 2))
	begin := time.Now()
	for at := time.Duration(0); at < o.For && ctx.Err() == nil; r.Asked++ {
		at += time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second))
		if wait := at - time.Since(begin); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		in, id := fleet[rng.IntN(len(fleet))], fmt.Sprintf("%016x", r.Asked)
		open.Go(func() {
			switch in.ask(clk, id) {
			case engine.Served:
				atomic.AddInt64(&r.Served, 1)
			case engine.Rejected, engine.RateLimited:
				atomic.AddInt64(&r.Refused, 1)
			default:
				atomic.AddInt64(&r.Failed, 1)
			}
		})
	}
	open.Wait()
	r.Short = short.Load()
	return r, ctx.Err()
}

// ask asks for one thing and waits for its answer.
func (in *instance) ask(clk clock.Clock, id string) engine.Verdict {
	now := clk.Now()
	c := &core.Call{Client: in.client, Pool: in.pool, ID: id, Request: balancer.Request{Deadline: now + clock.Micros(giveUp)}, ArrivedAt: now,
		Response: make(chan engine.Response, 1)}
	m := &upstream.BufferedRequest{Method: "GET", URI: "/look/" + id, Host: "fleet", Header: map[string][]string{"X-Trace-Id": {id}}}
	c.Attempt = func(ctx context.Context, t *core.AttemptContext) engine.AttemptResult {
		return in.up.SendBuffered(ctx, t, m)
	}
	in.core.Submit(c)
	return (<-c.Response).Verdict
}

// shortage is a log that counts the lines which say that no connection could be had.
type shortage struct {
	slog.Handler
	n *atomic.Int64
}

func (s *shortage) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "no connection for an attempt" {
		s.n.Add(1)
	}
	return nil
}
