// Package processes plays a plan of the fleet's model on loopback, in real time: real daemons, endpoints behind sockets, a
// discovery for each instance, and clients that ask by the plan's clock whether or not answers come, so that what waits is
// measured from when it was wanted (no coordinated omission: Tene, "How NOT to measure latency", 2015). Endpoints and
// clients are the same state machines as in the model (packages simendpoint and caller), and what it comes to is judged by the same
// meter: where a real run and the model differ, the difference is the daemon's, its sockets' and its machine's.
package processes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
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

// Options say what is played.
type Options struct {
	Plan            *scenario.Plan
	Settings        []byte // a daemon's file; its listeners, clients, discovery and fleet are filled in
	Criteria        measure.Criteria
	Daemon          string    // the program: dunlinsaild, or dunlinsail, the platform's sidecar
	AlternateDaemon string    // another program that every other instance is, without what it may not know; "" is none
	Log             io.Writer // of the daemons; nil is nowhere
}

// counts are what endpoints count.
type counts struct{ attempts, crossZone, dials, probes, collapses, duplicateEffects, clientDuplicateEffects, unanswered int64 }

// run is one that is under way.
type run struct {
	options        Options
	plan           *scenario.Plan
	site           *siteconfig.Site
	clientBehavior simclient.Behavior
	workDir        string
	base           time.Time
	offset         atomic.Int64 // microseconds from base to the run's beginning
	criteriaClass  []int        // place among the judge's classes of each of the plan's
	criteriaTenant []int
	config         *config.Config

	endpoints   []*endpoint
	instances   []*instance
	peerAddrs   []string // addresses at which instances know one another; none where they do not
	relays      []*relay
	maintenance *maintenanceRun
	groups      map[int]*group
	reportRand  *rand.Rand // guarded by each endpoint's lock only: any draw will do

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

// arrived notes what came at an endpoint. The caller counts: it holds mu.
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

// group is endpoints that share which keys they have seen, and a lock for that.
type group struct {
	sync.Mutex
	keys *simendpoint.DedupGroup
}

// group returns that of a cell.
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

// Run plays a plan, and returns what it came to.
func Run(ctx context.Context, o Options) (*measure.Result, error) {
	own, err := config.Parse(o.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := &run{maintenance: &maintenanceRun{underMaintenance: map[int]bool{}}, options: o, plan: o.Plan, config: own, site: &own.Site, clientBehavior: o.Plan.ClientBehavior(), groups: map[int]*group{}, reportRand: rand.New(&lockedSource{src: rand.NewPCG(o.Plan.Seed, 5)}),
		operations: map[uint64]*operation{}, lastAnnounced: make([]monotime.Micros, len(o.Plan.Endpoints))}
	seed := o.Plan.Seed
	r.workNoise, r.outcomeRand, r.clientRand, r.discoveryRand = randstream.New(seed, "noise"), randstream.New(seed, "luck"), randstream.New(seed, "callers"), randstream.New(seed, "discovery")
	if err := r.mapClassesAndTenants(); err != nil {
		return nil, err
	}
	if r.workDir, err = os.MkdirTemp("", "dunlinlab"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(r.workDir)
	defer r.close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.fail = cancel
	r.base = time.Now()
	for i := range o.Plan.Endpoints {
		e := newEndpoint(r, i)
		r.endpoints = append(r.endpoints, e)
		if err := e.listen(); err != nil {
			return nil, err
		}
	}
	if err := r.setUpPeers(); err != nil {
		return nil, err
	}
	for i := range o.Plan.Instances {
		in, err := r.newInstance(i)
		if err != nil {
			return nil, err
		}
		r.instances = append(r.instances, in)
	}
	for _, in := range r.instances {
		if err := r.awaitReady(ctx, in); err != nil {
			return nil, err
		}
	}
	// The run begins now: what endpoints were before counts for nothing.
	r.updateCounts(func(c *counts) {
		*c = counts{}
		r.meter = measure.New(o.Criteria, o.Plan.Length.Micros(), len(o.Plan.Fleet.Zones))
		r.meter.SetFaultPeriod(o.Plan.EventPeriod())
		r.meter.SetEnvironment(measure.Environment{Capacity: o.Plan.CapacityAt, Serving: o.Plan.InstanceServing})
	})
	var worked float64
	for _, e := range r.endpoints {
		e.mu.Lock()
		worked -= e.node.WorkDone()
		e.executions = 0
		e.mu.Unlock()
	}
	r.offset.Store(time.Since(r.base).Microseconds())
	for _, e := range r.endpoints {
		e.mu.Lock()
		e.node.Start(0, !e.plan.StartsWithRun)
		e.mu.Unlock()
	}
	var beside sync.WaitGroup
	r.scheduleEvents(ctx, &beside)
	for i := range r.instances {
		beside.Go(func() { r.runClients(ctx, i) })
	}
	beside.Wait()
	r.openOperations.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	for _, in := range r.instances {
		in.kill() // what they spent is whole then
	}
	if err := r.readSpent(); err != nil {
		return nil, err
	}
	return r.result(worked), nil
}

// locked is a source for several callers.
type lockedSource struct {
	mu  sync.Mutex
	src *rand.PCG
}

// Uint64 draws.
func (l *lockedSource) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.src.Uint64()
}

func (r *run) result(worked float64) *measure.Result {
	var nodes []measure.EndpointLoad
	for i, e := range r.endpoints {
		n := &r.plan.Endpoints[i]
		e.mu.Lock()
		worked += e.node.WorkDone()
		nodes = append(nodes, measure.EndpointLoad{Name: n.Name, Zone: n.Zone, Executions: e.executions, MaxInFlight: e.maxInFlight,
			Utilization: e.node.WorkDone() / n.Config.Speed / float64(n.Config.Cores) / float64(r.now())})
		e.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock() // probes still come
	c := &r.meter.Costs
	c.Attempts, c.CrossZone, c.Dials, c.Probes = r.counts.attempts, r.counts.crossZone, r.counts.dials, r.counts.probes
	c.Collapses, c.DuplicateEffects, c.ClientDuplicateEffects, c.LateResponses = r.counts.collapses, r.counts.duplicateEffects, r.counts.clientDuplicateEffects, r.counts.unanswered
	c.ExecutedWork = worked
	if l := r.maintenance; l.requested > 0 {
		r.meter.RecordMaintenance(l.requested, l.completed, l.requestsDuring, l.duration)
	}
	result := r.meter.Result()
	result.Scenario, result.Seed, result.Elapsed, result.Endpoints = r.plan.Name, r.plan.Seed, time.Duration(r.now())*time.Microsecond, nodes
	return result
}

// fit finds the plan's classes and tenants among the judge's.
func (r *run) mapClassesAndTenants() error {
	for _, c := range r.plan.Classes {
		at := -1
		for i, j := range r.options.Criteria.Classes {
			if j.Name == c.Name {
				at = i
			}
		}
		if at < 0 {
			return fmt.Errorf("the scenario's class %q is none of the settings' classes", c.Name)
		}
		r.criteriaClass = append(r.criteriaClass, at)
	}
	for _, t := range r.plan.Tenants {
		at := -1
		for i, j := range r.options.Criteria.Tenants {
			if j.Name == t.Name {
				at = i
			}
		}
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
