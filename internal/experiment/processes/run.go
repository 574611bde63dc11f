// Package processes runs a scenario's plan in real time on loopback. It starts daemon or sidecar processes,
// endpoints on real sockets, a discovery server for each instance, and open-loop clients. The clients send requests
// at their planned times whether or not earlier requests have completed, and latency is measured from the planned
// time. This avoids coordinated omission (Tene, "How NOT to measure latency", 2015). Endpoints and clients use the
// state machines of the simulation (packages simendpoint and simclient), and package measure computes the same
// figures for both. A real run and a simulated run therefore differ only because of the daemon, its sockets and the
// machine.
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

// Options are the plan, the settings and the programs of a run.
type Options struct {
	Plan     *scenario.Plan
	Settings []byte // a daemon's configuration file; its listeners, clients, discovery and fleet are replaced
	Criteria measure.Criteria
	Daemon   string // path of the program: dunlinsaild, or dunlinsail, the platform's sidecar
	// AlternateDaemon is the program of instances with an odd index, which run without the tables that it may not
	// support. It is empty if all instances run Daemon.
	AlternateDaemon string
	Log             io.Writer // receives the daemons' logs; nil discards them
}

// counts are the totals that endpoints and clients count during a run.
type counts struct {
	attempts               int64
	crossZoneAttempts      int64 // attempts from an instance in another zone
	dials                  int64
	probes                 int64
	collapses              int64 // collapses of endpoints under overload
	duplicateEffects       int64 // repeated effects of non-idempotent requests, from retries of an instance
	clientDuplicateEffects int64 // repeated effects of non-idempotent requests, from retries of a client
	unansweredRequests     int64 // client requests without a response in time
}

// run is the state of a run in progress.
type run struct {
	options             Options
	plan                *scenario.Plan
	site                *siteconfig.Site
	clientBehavior      simclient.Behavior
	workDir             string
	clockBase           time.Time
	clockOffset         atomic.Int64 // microseconds from clockBase to the start of the run
	criteriaClassIndex  []int        // for each class of the plan, its index in the classes of the criteria
	criteriaTenantIndex []int        // for each tenant of the plan, its index in the tenants of the criteria
	config              *config.Config

	endpoints   []*endpoint
	instances   []*instance
	peerAddrs   []string // gossip addresses of the instances; empty if the instances do not coordinate
	relays      []*relay
	maintenance *maintenanceRun
	dedupGroups map[int]*dedupGroup
	reportRand  *rand.Rand // safe for concurrent use; the order of draws is irrelevant

	mu               sync.Mutex
	counts           counts
	zonePartitions   [][2]int
	discoveryDelay   monotime.Micros
	workNoiseRand    *randstream.Stream
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

// recordEndpointArrival records a request, probe or connection that arrives at an endpoint. The caller holds mu.
func (r *run) recordEndpointArrival(endpointIndex int, arrival measure.Arrival) {
	if r.meter != nil {
		r.meter.RecordArrival(r.now(), endpointIndex, arrival)
	}
}

func (r *run) updateCounts(update func(c *counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.counts)
}

// dedupGroup holds the idempotency keys that the endpoints of a cell share, and a mutex that guards the endpoints
// and the keys.
type dedupGroup struct {
	sync.Mutex
	keys *simendpoint.DedupGroup
}

// dedupGroupOf returns the deduplication group of a cell, and creates it on first use.
func (r *run) dedupGroupOf(cell int) *dedupGroup {
	if r.dedupGroups[cell] == nil {
		var window monotime.Micros
		for _, class := range r.options.Criteria.Classes {
			if class.Idempotency == balancer.IdempotentByKey {
				window = max(window, class.DedupWindow)
			}
		}
		r.dedupGroups[cell] = &dedupGroup{keys: simendpoint.NewDedupGroup(window)}
	}
	return r.dedupGroups[cell]
}

// Run runs a plan and returns the figures. It returns an error if the settings are invalid, or if a process does
// not start or ends unexpectedly. If ctx is canceled, it returns the cause.
func Run(ctx context.Context, options Options) (*measure.Result, error) {
	r, err := newRun(options)
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
	negatedPriorWork := r.startClock()
	var background sync.WaitGroup
	r.scheduleEvents(ctx, &background)
	for instanceIndex := range r.instances {
		background.Go(func() { r.runClients(ctx, instanceIndex) })
	}
	background.Wait()
	r.openOperations.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	for _, inst := range r.instances {
		inst.kill() // the log of spent quota is complete once the process has ended
	}
	if err := r.readQuotaLogs(); err != nil {
		return nil, err
	}
	return r.collectResult(negatedPriorWork), nil
}

func newRun(options Options) (*run, error) {
	parsedConfig, err := config.Parse(options.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	seed := options.Plan.Seed
	r := &run{
		options:        options,
		plan:           options.Plan,
		config:         parsedConfig,
		site:           &parsedConfig.Site,
		clientBehavior: options.Plan.ClientBehavior(),
		maintenance:    &maintenanceRun{underMaintenance: map[int]bool{}},
		dedupGroups:    map[int]*dedupGroup{},
		reportRand:     rand.New(&lockedSource{source: rand.NewPCG(seed, 5)}),
		operations:     map[uint64]*operation{},
		lastAnnounced:  make([]monotime.Micros, len(options.Plan.Endpoints)),
		workNoiseRand:  randstream.New(seed, "noise"),
		outcomeRand:    randstream.New(seed, "luck"),
		clientRand:     randstream.New(seed, "callers"),
		discoveryRand:  randstream.New(seed, "discovery"),
	}
	if err := r.mapClassesAndTenants(); err != nil {
		return nil, err
	}
	return r, nil
}

// startProcesses opens the endpoints' listeners, starts all instances and waits until they are ready.
func (r *run) startProcesses(ctx context.Context) error {
	r.clockBase = time.Now()
	for index := range r.plan.Endpoints {
		e := newEndpoint(r, index)
		r.endpoints = append(r.endpoints, e)
		if err := e.listen(); err != nil {
			return err
		}
	}
	if err := r.assignPeerAddresses(); err != nil {
		return err
	}
	for index := range r.plan.Instances {
		inst, err := r.newInstance(index)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, inst)
	}
	for _, inst := range r.instances {
		if err := r.awaitReady(ctx, inst); err != nil {
			return err
		}
	}
	return nil
}

// startClock sets the run's clock to 0 and resets everything that was counted while the processes started. It
// returns the negative of the work that endpoints had executed by then.
func (r *run) startClock() (negatedPriorWork float64) {
	r.updateCounts(func(c *counts) {
		*c = counts{}
		r.meter = measure.New(r.options.Criteria, r.plan.Length.Micros(), len(r.plan.Fleet.Zones))
		r.meter.SetFaultPeriod(r.plan.EventPeriod())
		r.meter.SetEnvironment(measure.Environment{Capacity: r.plan.CapacityAt, Serving: r.plan.InstanceServing})
	})
	for _, e := range r.endpoints {
		e.mu.Lock()
		negatedPriorWork -= e.model.WorkDone()
		e.executions = 0
		e.mu.Unlock()
	}
	r.clockOffset.Store(time.Since(r.clockBase).Microseconds())
	for _, e := range r.endpoints {
		e.mu.Lock()
		e.model.Start(0, !e.planned.StartsWithRun)
		e.mu.Unlock()
	}
	return negatedPriorWork
}

// lockedSource is a random source that is safe for concurrent use.
type lockedSource struct {
	mu     sync.Mutex
	source *rand.PCG
}

// Uint64 returns the next random number.
func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}

// collectResult returns the figures of the run. negatedPriorWork is the negative of the work that endpoints
// executed before the run started.
func (r *run) collectResult(negatedPriorWork float64) *measure.Result {
	executedWork := negatedPriorWork
	var endpointLoads []measure.EndpointLoad
	for endpointIndex, e := range r.endpoints {
		planned := &r.plan.Endpoints[endpointIndex]
		e.mu.Lock()
		workDone := e.model.WorkDone()
		executedWork += workDone
		endpointLoads = append(endpointLoads, measure.EndpointLoad{
			Name:        planned.Name,
			Zone:        planned.Zone,
			Executions:  e.executions,
			MaxInFlight: e.maxInFlight,
			Utilization: workDone / planned.Config.Speed / float64(planned.Config.Cores) / float64(r.now()),
		})
		e.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock() // probes may still arrive and change the counts
	costs := &r.meter.Costs
	costs.Attempts = r.counts.attempts
	costs.CrossZone = r.counts.crossZoneAttempts
	costs.Dials = r.counts.dials
	costs.Probes = r.counts.probes
	costs.Collapses = r.counts.collapses
	costs.DuplicateEffects = r.counts.duplicateEffects
	costs.ClientDuplicateEffects = r.counts.clientDuplicateEffects
	costs.LateResponses = r.counts.unansweredRequests
	costs.ExecutedWork = executedWork
	if m := r.maintenance; m.requestedMachines > 0 {
		r.meter.RecordMaintenance(m.requestedMachines, m.completedMachines,
			m.requestsDuringMaintenance, m.totalDuration)
	}
	result := r.meter.Result()
	result.Scenario = r.plan.Name
	result.Seed = r.plan.Seed
	result.Elapsed = time.Duration(r.now()) * time.Microsecond
	result.Endpoints = endpointLoads
	return result
}

// mapClassesAndTenants finds the classes and tenants of the plan among those of the criteria, by name. Names are
// unique there, because package config rejects settings that define a class or a tenant twice.
func (r *run) mapClassesAndTenants() error {
	for _, class := range r.plan.Classes {
		index := slices.IndexFunc(
			r.options.Criteria.Classes, func(candidate balancer.Class) bool { return candidate.Name == class.Name },
		)
		if index < 0 {
			return fmt.Errorf("the scenario's class %q is not among the settings' classes", class.Name)
		}
		r.criteriaClassIndex = append(r.criteriaClassIndex, index)
	}
	for _, tenant := range r.plan.Tenants {
		index := slices.IndexFunc(
			r.options.Criteria.Tenants, func(candidate balancer.Tenant) bool { return candidate.Name == tenant.Name },
		)
		if index < 0 {
			return fmt.Errorf("the scenario's tenant %q is not among the settings' tenants", tenant.Name)
		}
		r.criteriaTenantIndex = append(r.criteriaTenantIndex, index)
	}
	return nil
}

func (r *run) close() {
	for _, inst := range r.instances {
		inst.kill()
		inst.discoveryServer.Close()
		for _, httpClient := range inst.httpClients {
			httpClient.CloseIdleConnections()
		}
	}
	for _, rl := range r.relays {
		rl.close()
	}
	for _, e := range r.endpoints {
		e.completionTimer.Stop()
		e.mu.Lock()
		for _, killedJob := range e.model.Kill(r.now()) {
			close(killedJob.HostData.(*pendingJob).killed)
		}
		e.mu.Unlock()
		e.close()
	}
}
