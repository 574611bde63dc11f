// Package simulation runs a fleet in simulated time. The decision code is the production code: each instance is an
// engine.Engine with a connlimit.Table before it. What surrounds an instance is modelled: endpoints (package
// simendpoint), clients (package simclient), the network, discovery and clocks.
//
// A run is a pure function of the plan, the settings and the build: the package reads no clock, does no I/O and draws
// all random numbers from package randstream. A run belongs to one goroutine; several runs share nothing.
package simulation

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/scenario"
	"dunlinsail/internal/simulation/simclient"
	"dunlinsail/internal/siteconfig"
)

const second monotime.Micros = 1_000_000

// Version is increased when a change to this package changes the result of the same plan and settings.
const Version = 2

// Settings are what a fleet runs on.
type Settings struct {
	Site           siteconfig.Site // of any instance; each gets its own position and zone
	Concurrency    engine.ConcurrencySettings
	RetryBudget    float64              // of the pool
	Subset         *subset.Settings     // of each instance, which gets its own position; nil is none
	Overload       *overload.Settings   // of each instance, with the number of instances of the run; nil is none
	Coordination   *engine.Coordination // of each instance, which gets its own name and transport; nil is none
	MaxConnections int                  // to endpoints, of an instance; 0 is no bound
	Clients        connlimit.Limits
	Client         fairqueue.ClientSpec // limits of each client process

	// DecisionSeed is the seed of the instances' own random decisions. Two runs of the same plan with different
	// decision seeds differ in nothing else.
	DecisionSeed uint64
	// KnownHarm is the share of operations, 0 to 1, that is spoilt on purpose, to test that a comparison finds it.
	KnownHarm float64
}

// Options are the inputs and callbacks of a run.
type Options struct {
	Plan     *scenario.Plan
	Settings *Settings
	// Criteria are what the run is measured by. The plan's classes and tenants are among its, by name.
	Criteria measure.Criteria
	// Trace is called at each step of an operation, to trace causes; may be nil.
	Trace func(Trace)
	// Record is called with each request that an instance accepted, once it has ended; may be nil.
	Record func(x *RequestRecord)
	// Log is called with each log line of an instance; may be nil.
	Log func(at monotime.Micros, instance int, line string)
	// Progress is called now and then with the simulated time; may be nil.
	Progress func(at monotime.Micros)
}

// Trace is one step of an operation.
type Trace struct {
	At        monotime.Micros
	Operation uint64
	Request   int
	Instance  int
	Attempt   int    // from 0; -1 is none
	Endpoint  string // "" is none
	Step      string
}

// RequestRecord is a client's request as its instance saw it.
type RequestRecord struct {
	Instance, Process      int
	Operation              uint64
	Class, Tenant          int // indices in the criteria's lists; no tenant is -1
	IdempotencyKey, Object uint64
	Retry                  bool
	ArrivedAt              monotime.Micros // the instance's clock
	Duration               monotime.Micros
	Timeout                monotime.Micros
	ClientGone             bool // its client left before the response
	Response               engine.Response
}

// clockOrigin is the Unix time at which a run begins, in microseconds, on the clocks of instances and discovery.
const clockOrigin monotime.Micros = 1_700_000_000_000_000

// maxDrainTime bounds how long a run goes on after its last operation began.
const maxDrainTime = 120 * second

// run is a run that is under way.
type run struct {
	options  Options
	plan     *scenario.Plan
	settings *Settings
	now      monotime.Micros
	events   eventQueue

	criteriaClassOf  []int // by index of the plan's class: its index in the criteria
	settingsClassOf  []int // by index of the criteria's class: its index in the settings
	criteriaTenantOf []int
	settingsTenantOf []int
	behavior         simclient.Behavior

	instances          []*instance
	endpoints          []*endpoint
	pathBlockingEvents []int // indices of the planned events that block network paths
	discovery          *discoveryService
	network            network

	workRand, faultRand, clientRand, reportRand *randstream.Stream
	meter                                       *measure.Meter
	pendingOperations                           int // started and not ended
	instancesWithArrivals                       int // instances with operations still to start
	fleetMessageCount                           uint64
}

// Run simulates a plan, or returns the error of settings that do not fit it. When ctx ends it returns its cause.
func Run(ctx context.Context, options Options) (*measure.Result, error) {
	startedAt := time.Now()
	r := &run{options: options, plan: options.Plan, settings: options.Settings, behavior: options.Plan.ClientBehavior()}
	if err := r.mapNames(); err != nil {
		return nil, err
	}
	if options.Plan.Replay != nil && options.Plan.Source == nil {
		return nil, errors.New("the scenario plays a record again, and that was not read")
	}
	seed := options.Plan.Seed
	r.workRand = randstream.New(seed, "noise")
	r.faultRand = randstream.New(seed, "luck")
	r.clientRand = randstream.New(seed, "callers")
	r.reportRand = randstream.New(seed, "reports")
	r.meter = measure.New(options.Criteria, options.Plan.Length.Micros(), len(options.Plan.Fleet.Zones))
	r.network = newNetwork(options.Plan)
	r.discovery = newDiscoveryService(r)
	for i := range options.Plan.Endpoints {
		r.endpoints = append(r.endpoints, newEndpoint(r, i))
	}
	for i := range options.Plan.Instances {
		in, err := newInstance(r, i)
		if err != nil {
			return nil, err
		}
		r.instances = append(r.instances, in)
	}
	for _, in := range r.instances {
		in.start(true)
		r.scheduleNextOperation(in)
	}
	r.scheduleEvents()
	r.meter.SetFaultPeriod(r.plan.EventPeriod())
	r.meter.SetEnvironment(measure.Environment{Capacity: r.plan.CapacityAt, Serving: r.plan.InstanceServing})
	if err := r.handleEvents(ctx); err != nil {
		return nil, err
	}
	result := r.meter.Result()
	result.Scenario = options.Plan.Name
	result.Seed = seed
	result.Elapsed = time.Since(startedAt)
	for i, e := range r.endpoints {
		planned := &options.Plan.Endpoints[i]
		result.Endpoints = append(result.Endpoints, measure.EndpointLoad{
			Name:        planned.Name,
			Zone:        planned.Zone,
			Executions:  e.executions,
			MaxInFlight: e.maxInFlight,
			Arrivals:    e.arrivalsByBin,
			Utilization: float64(e.model.WorkDone()) / planned.Config.Speed / float64(planned.Config.Cores) /
				float64(max(r.now, 1)),
		})
	}
	return result, nil
}

// mapNames finds the plan's classes and tenants among the criteria's and the settings'.
func (r *run) mapNames() error {
	for _, class := range r.plan.Classes {
		index := slices.IndexFunc(r.options.Criteria.Classes,
			func(candidate balancer.Class) bool { return candidate.Name == class.Name })
		if index < 0 {
			return fmt.Errorf("the scenario's class %q is none of the settings' classes", class.Name)
		}
		r.criteriaClassOf = append(r.criteriaClassOf, index)
	}
	for _, tenant := range r.plan.Tenants {
		index := slices.IndexFunc(r.options.Criteria.Tenants,
			func(candidate balancer.Tenant) bool { return candidate.Name == tenant.Name })
		if index < 0 {
			return fmt.Errorf("the scenario's tenant %q is none of the settings' tenants", tenant.Name)
		}
		r.criteriaTenantOf = append(r.criteriaTenantOf, index)
	}
	for _, class := range r.options.Criteria.Classes {
		index := slices.Index(r.settings.Site.Classes, class.Name)
		if index < 0 {
			return fmt.Errorf("the class %q, by which is judged, is missing in these settings", class.Name)
		}
		r.settingsClassOf = append(r.settingsClassOf, index)
	}
	for _, tenant := range r.options.Criteria.Tenants {
		index := slices.Index(r.settings.Site.Tenants, tenant.Name)
		if index < 0 {
			return fmt.Errorf("the tenant %q, by whom is judged, is missing in these settings", tenant.Name)
		}
		r.settingsTenantOf = append(r.settingsTenantOf, index)
	}
	return nil
}
