// Package processes plays a scenario's plan in real time on loopback: daemon or sidecar processes, endpoints behind
// sockets, a discovery server for each instance, and open-loop clients that send requests at their planned instants
// whether or not earlier ones have been answered, so that latency counts from the planned instant (no coordinated
// omission: Tene, "How NOT to measure latency", 2015). Endpoints and clients are the state machines of the simulation
// (packages simendpoint and simclient), and package measure computes the same figures for both: what differs between a
// real run and a simulated one is due to the daemon, its sockets and the machine.
package processes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/config"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/scenario"
	"dunlinsail/internal/simulation/simclient"
	"dunlinsail/internal/simulation/simendpoint"
	"dunlinsail/internal/siteconfig"
)

// Options are what a run plays and by which programs.
type Options struct {
	Plan            *scenario.Plan
	Settings        []byte // a daemon's file; its listeners, clients, discovery and fleet are filled in
	Criteria        measure.Criteria
	Daemon          string    // the program: dunlinsaild, or dunlinsail, the platform's sidecar
	AlternateDaemon string    // the program of every other instance, without settings that it may not know; "" is none
	Log             io.Writer // receives what the daemons log; nil drops it
}

// counts are the events that are counted at endpoints and clients.
type counts struct {
	attempts               int64
	crossZone              int64 // attempts from another zone
	dials                  int64
	probes                 int64
	collapses              int64 // of endpoints under overload
	duplicateEffects       int64 // of non-idempotent requests, by retries of an instance
	clientDuplicateEffects int64 // the same, by retries of a client
	unanswered             int64 // requests without a response in time
}

// run is a run in progress.
type run struct {
	options        Options
	plan           *scenario.Plan
	site           *siteconfig.Site
	clientBehavior simclient.Behavior
	workDir        string
	base           time.Time
	offset         atomic.Int64 // microseconds from base to the start of the run's clock
	criteriaClass  []int        // of each of the plan's classes, its index in the criteria
	criteriaTenant []int        // the same for tenants
	config         *config.Config

	endpoints   []*endpoint
	instances   []*instance
	peerAddrs   []string // gossip addresses of the instances; none where they do not coordinate
	relays      []*relay
	maintenance *maintenanceRun
	groups      map[int]*group
	reportRand  *rand.Rand // safe for concurrent use; the order of draws does not matter

	mu               sync.Mutex
	counts           counts
	cuts             [][2]int
	discoveryDelay   monotime.Micros
	workNoise        *randstream.Stream
	outcomeRand      *randstream.Stream
	clientRand       *randstream.Stream
	discoveryRand    *randstream.Stream
	discoveryChanges uint64
	lastAnnounced    []monotime.Micros
	operations       map[uint64]*operation
	meter            *measure.Meter
	openOperations   sync.WaitGroup
	fail             context.CancelCauseFunc // ends the run with an error
}

// recordArrival records a request, probe or connection at an endpoint. The caller holds mu.
func (r *run) recordArrival(node int, what measure.Arrival) {
	if r.meter != nil {
		r.meter.RecordArrival(r.now(), node, what)
	}
}

func (r *run) updateCounts(f func(c *counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}

// group is the endpoints of a cell, which share the idempotency keys that they have seen, and the lock of these.
type group struct {
	sync.Mutex
	keys *simendpoint.DedupGroup
}

// groupOf returns the deduplication group of a cell.
func (r *run) groupOf(cell int) *group {
	if r.groups[cell] == nil {
		var window monotime.Micros
		for _, c := range r.options.Criteria.Classes {
			if c.Idempotency == balancer.IdempotentByKey {
				window = max(window, c.DedupWindow)
			}
		}
		r.groups[cell] = &group{keys: simendpoint.NewDedupGroup(window)}
	}
	return r.groups[cell]
}

// Run plays a plan and returns its figures. It returns an error where the settings are invalid, a process does not
// start or ends unexpectedly, or ctx ends: then the error is ctx's cause.
func Run(ctx context.Context, o Options) (*measure.Result, error) {
	r, err := newRun(o)
	if err != nil {
		return nil, err
	}
	if r.workDir, err = os.MkdirTemp("", "dunlinsail-experiment"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(r.workDir)
	defer r.close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.fail = cancel
	if err := r.startProcesses(ctx); err != nil {
		return nil, err
	}
	workBefore := r.startClock()
	var background sync.WaitGroup
	r.scheduleEvents(ctx, &background)
	for i := range r.instances {
		background.Go(func() { r.runClients(ctx, i) })
	}
	background.Wait()
	r.openOperations.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	for _, in := range r.instances {
		in.kill() // its log of spent quota is complete then
	}
	if err := r.readSpent(); err != nil {
		return nil, err
	}
	return r.result(workBefore), nil
}

func newRun(o Options) (*run, error) {
	parsed, err := config.Parse(o.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	seed := o.Plan.Seed
	r := &run{
		options:        o,
		plan:           o.Plan,
		config:         parsed,
		site:           &parsed.Site,
		clientBehavior: o.Plan.ClientBehavior(),
		maintenance:    &maintenanceRun{underMaintenance: map[int]bool{}},
		groups:         map[int]*group{},
		reportRand:     rand.New(&lockedSource{src: rand.NewPCG(seed, 5)}),
		operations:     map[uint64]*operation{},
		lastAnnounced:  make([]monotime.Micros, len(o.Plan.Endpoints)),
		workNoise:      randstream.New(seed, "noise"),
		outcomeRand:    randstream.New(seed, "luck"),
		clientRand:     randstream.New(seed, "callers"),
		discoveryRand:  randstream.New(seed, "discovery"),
	}
	if err := r.mapClassesAndTenants(); err != nil {
		return nil, err
	}
	return r, nil
}

// startProcesses opens the endpoints' listeners, starts all instances and waits until they serve.
func (r *run) startProcesses(ctx context.Context) error {
	r.base = time.Now()
	for i := range r.plan.Endpoints {
		e := newEndpoint(r, i)
		r.endpoints = append(r.endpoints, e)
		if err := e.listen(); err != nil {
			return err
		}
	}
	if err := r.setUpPeers(); err != nil {
		return err
	}
	for i := range r.plan.Instances {
		in, err := r.newInstance(i)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, in)
	}
	for _, in := range r.instances {
		if err := r.awaitReady(ctx, in); err != nil {
			return err
		}
	}
	return nil
}

// startClock sets the run's clock to 0 and drops what was counted while the processes started. It returns the work
// that endpoints had done until then, negated.
func (r *run) startClock() (workBefore float64) {
	r.updateCounts(func(c *counts) {
		*c = counts{}
		r.meter = measure.New(r.options.Criteria, r.plan.Length.Micros(), len(r.plan.Fleet.Zones))
		r.meter.SetFaultPeriod(r.plan.EventPeriod())
		r.meter.SetEnvironment(measure.Environment{Capacity: r.plan.CapacityAt, Serving: r.plan.InstanceServing})
	})
	for _, e := range r.endpoints {
		e.mu.Lock()
		workBefore -= e.node.WorkDone()
		e.executions = 0
		e.mu.Unlock()
	}
	r.offset.Store(time.Since(r.base).Microseconds())
	for _, e := range r.endpoints {
		e.mu.Lock()
		e.node.Start(0, !e.plan.StartsWithRun)
		e.mu.Unlock()
	}
	return workBefore
}

// lockedSource is a random source that is safe for concurrent use.
type lockedSource struct {
	mu  sync.Mutex
	src *rand.PCG
}

// Uint64 returns the next random number.
func (l *lockedSource) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.src.Uint64()
}

// result returns the run's figures. workBefore is the endpoints' work before the run, negated.
func (r *run) result(workBefore float64) *measure.Result {
	work := workBefore
	var loads []measure.EndpointLoad
	for i, e := range r.endpoints {
		planned := &r.plan.Endpoints[i]
		e.mu.Lock()
		done := e.node.WorkDone()
		work += done
		loads = append(loads, measure.EndpointLoad{
			Name:        planned.Name,
			Zone:        planned.Zone,
			Executions:  e.executions,
			MaxInFlight: e.maxInFlight,
			Utilization: done / planned.Config.Speed / float64(planned.Config.Cores) / float64(r.now()),
		})
		e.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock() // probes still come
	costs := &r.meter.Costs
	costs.Attempts = r.counts.attempts
	costs.CrossZone = r.counts.crossZone
	costs.Dials = r.counts.dials
	costs.Probes = r.counts.probes
	costs.Collapses = r.counts.collapses
	costs.DuplicateEffects = r.counts.duplicateEffects
	costs.ClientDuplicateEffects = r.counts.clientDuplicateEffects
	costs.LateResponses = r.counts.unanswered
	costs.ExecutedWork = work
	if m := r.maintenance; m.requested > 0 {
		r.meter.RecordMaintenance(m.requested, m.completed, m.requestsDuring, m.duration)
	}
	result := r.meter.Result()
	result.Scenario = r.plan.Name
	result.Seed = r.plan.Seed
	result.Elapsed = time.Duration(r.now()) * time.Microsecond
	result.Endpoints = loads
	return result
}

// mapClassesAndTenants finds the index of each of the plan's classes and tenants among the criteria's. Names are unique
// there: package config rejects settings that name a class or a tenant twice.
func (r *run) mapClassesAndTenants() error {
	for _, c := range r.plan.Classes {
		at := slices.IndexFunc(
			r.options.Criteria.Classes, func(known balancer.Class) bool { return known.Name == c.Name },
		)
		if at < 0 {
			return fmt.Errorf("the scenario's class %q is none of the settings' classes", c.Name)
		}
		r.criteriaClass = append(r.criteriaClass, at)
	}
	for _, t := range r.plan.Tenants {
		at := slices.IndexFunc(
			r.options.Criteria.Tenants, func(known balancer.Tenant) bool { return known.Name == t.Name },
		)
		if at < 0 {
			return fmt.Errorf("the scenario's tenant %q is none of the settings' tenants", t.Name)
		}
		r.criteriaTenant = append(r.criteriaTenant, at)
	}
	return nil
}

func (r *run) close() {
	for _, in := range r.instances {
		in.kill()
		in.discovery.Close()
		for _, a := range in.httpClients {
			a.CloseIdleConnections()
		}
	}
	for _, y := range r.relays {
		y.close()
	}
	for _, e := range r.endpoints {
		e.timer.Stop()
		e.mu.Lock()
		for _, j := range e.node.Kill(r.now()) {
			close(j.HostData.(*pendingJob).killed)
		}
		e.mu.Unlock()
		e.close()
	}
}
