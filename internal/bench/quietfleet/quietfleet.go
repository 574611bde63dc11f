// Package quietfleet runs many instances with little traffic each in one process, to measure what a fleet costs its
// endpoints. Each has an engine, a core and connections of its own, as the sidecar has; its requests are made here
// instead of by a frontend. It must not import the measurement (package bench), which counts at the endpoints.
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

// Options configure a fleet. They are sent as JSON to the process that runs it.
type Options struct {
	Instances int
	Endpoints []string      // addresses
	Rate      float64       // requests a second of all instances together
	Duration  time.Duration // how long new requests are made

	// Subset is the least number of endpoints that an instance uses, and 0 for no subsets and no budgets.
	Subset int
	// Budgets of all instances together at an endpoint, as in the daemon's table [fleet].
	EndpointProbes          float64 // probes a second
	EndpointIdleConnections float64
}

// Result counts the requests of a run by their end.
type Result struct {
	Requested, Served, Rejected, Failed int64
	// OutOfDescriptors counts attempts without a connection for want of file descriptors.
	OutOfDescriptors int64
}

const (
	latencyObjective = 250 * time.Millisecond
	clientTimeout    = 500 * time.Millisecond
	keepAlive        = 15 * time.Second
	maxConnections   = 256 // of an instance
)

// settings returns the balancers' settings in a fleet of so many instances.
func settings(instances int) balancer.Settings {
	return balancer.Settings{
		Balancers:   instances,
		LoadMetrics: []balancer.LoadMetric{balancer.MetricInflight, balancer.MetricQueueLength},
		Classes: []balancer.Class{{
			Name:             "look",
			LatencyObjective: clock.Micros(latencyObjective),
			ClientTimeout:    clock.Micros(clientTimeout),
			PriorityWeight:   1,
		}},
		Limits: balancer.Limits{
			Cancel:          true,
			Probes:          true,
			Hedging:         true,
			RetryAfter:      true,
			MaxAttempts:     3,
			MaxOpenRequests: 1000,
			MaxRetryAfter:   1_000_000,
			DialTimeout:     250_000,
		},
		Contract: balancer.Contract{
			DrainGrace:          250_000,
			WarmupStartCapacity: 0.2,
			WarmupTime:          20_000_000,
			CollapseMultiple:    2.5,
			CollapseAfter:       2_000_000,
			PollInterval:        10_000_000,
		},
		Prices: balancer.Prices{Probe: 0.002},
		Goal:   balancer.Goal{Overall: 1},
	}
}

// instance is one instance of a fleet.
type instance struct {
	core     *core.Core
	pool     *core.Pool
	upstream *upstream.Pool
	client   *engine.Client
}

// fleet is all instances and what they share.
type fleet struct {
	options   Options
	clock     clock.Clock
	log       *slog.Logger
	site      *siteconfig.Site
	instances []*instance
	running   sync.WaitGroup // goroutines of the instances
}

// Run runs a fleet until its time is over and all its requests have ended.
func Run(ctx context.Context, options Options) (Result, error) {
	outOfDescriptors := &atomic.Int64{}
	f := &fleet{
		options: options,
		clock:   clock.New(),
		log: slog.New(&descriptorShortage{
			Handler: slog.NewTextHandler(io.Discard, nil),
			count:   outOfDescriptors,
		}),
		site: &siteconfig.Site{
			Settings:         settings(options.Instances),
			Classes:          []string{"look"},
			Zones:            []string{"a"},
			MachineTypes:     []string{""},
			LoadReportFields: []string{"inflight", "queue"},
			KeepAlive:        keepAlive,
		},
	}
	running, cancel := context.WithCancel(context.Background())
	defer f.running.Wait()
	defer cancel()
	for i := range options.Instances {
		if err := f.startInstance(running, i); err != nil {
			return Result{}, err
		}
	}
	result := f.sendRequests(ctx)
	result.OutOfDescriptors = outOfDescriptors.Load()
	return result, ctx.Err()
}

// startInstance starts the instance at a position of the fleet; it runs until ctx ends.
func (f *fleet) startInstance(ctx context.Context, position int) error {
	in := &instance{upstream: upstream.New(upstream.Options{
		Clock:       f.clock,
		Log:         f.log,
		MaxConns:    maxConnections,
		KeepAlive:   f.site.KeepAlive,
		LoadFields:  f.site.LoadReportFields,
		DialTimeout: clientTimeout / 2,
	})}
	in.core = core.New(core.Config{
		Clock:    f.clock,
		Site:     f.site,
		Seed:     uint64(position),
		Upstream: in.upstream,
		Log:      f.log,
	})
	config := engine.PoolConfig{
		InitialEndpoints: endpointsource.StaticList(f.options.Endpoints, "a", 0),
		StaticList:       true,
		SetWatch:         func(bool) {},
	}
	if f.options.Subset > 0 {
		config.Subset = &subset.Settings{
			Position:                uint64(position),
			Instances:               f.options.Instances,
			MinMembers:              f.options.Subset,
			EndpointProbes:          f.options.EndpointProbes,
			EndpointIdleConnections: f.options.EndpointIdleConnections,
		}
		config.OnIdleConnections = func(n float64) { in.upstream.LimitIdle("", n) }
	}
	var err error
	if in.pool, err = in.core.NewPool(config); err != nil {
		return err
	}
	if in.client, err = engine.NewClient(fairqueue.ClientSpec{Name: "c", Weight: 1}); err != nil {
		return err
	}
	f.running.Go(func() { in.core.Run(ctx) })
	f.running.Go(func() { in.upstream.Run(ctx) })
	f.instances = append(f.instances, in)
	return nil
}

// sendRequests makes requests at instances drawn at random, with exponential gaps, and waits for their ends.
func (f *fleet) sendRequests(ctx context.Context) Result {
	var result Result
	var open sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	for at := time.Duration(0); at < f.options.Duration && ctx.Err() == nil; result.Requested++ {
		at += time.Duration(rng.ExpFloat64() / f.options.Rate * float64(time.Second))
		if wait := at - time.Since(start); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		in := f.instances[rng.IntN(len(f.instances))]
		id := fmt.Sprintf("%016x", result.Requested)
		open.Go(func() {
			switch in.send(f.clock, id) {
			case engine.Served:
				atomic.AddInt64(&result.Served, 1)
			case engine.Rejected, engine.RateLimited:
				atomic.AddInt64(&result.Rejected, 1)
			default:
				atomic.AddInt64(&result.Failed, 1)
			}
		})
	}
	open.Wait()
	return result
}

// send sends one request through the instance and returns how it ended.
func (in *instance) send(clk clock.Clock, id string) engine.Verdict {
	now := clk.Now()
	call := &core.Call{
		Client:    in.client,
		Pool:      in.pool,
		ID:        id,
		Request:   balancer.Request{Deadline: now + clock.Micros(clientTimeout)},
		ArrivedAt: now,
		Response:  make(chan engine.Response, 1),
	}
	request := &upstream.BufferedRequest{
		Method: "GET",
		URI:    "/look/" + id,
		Host:   "fleet",
		Header: map[string][]string{"X-Trace-Id": {id}},
	}
	call.Attempt = func(ctx context.Context, attempt *core.AttemptContext) engine.AttemptResult {
		return in.upstream.SendBuffered(ctx, attempt, request)
	}
	in.core.Submit(call)
	return (<-call.Response).Verdict
}

// descriptorShortage is a log handler that counts the lines of package upstream which say that no file descriptor
// was left.
type descriptorShortage struct {
	slog.Handler
	count *atomic.Int64
}

// Handle counts a record.
func (s *descriptorShortage) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "no connection for an attempt" {
		s.count.Add(1)
	}
	return nil
}
