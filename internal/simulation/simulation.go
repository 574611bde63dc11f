// Package simulation runs a fleet in simulated time. The decision code is the production code: each instance
// is an engine.Engine with a connlimit.Table for its client connections. Everything around an instance is
// modeled: endpoints (package simendpoint), clients (package simclient), the network, discovery and clocks.
//
// The result of a run is a pure function of the plan, the settings and the build: the simulation reads no
// clock (only its own duration is measured with the real one), does no I/O, and draws all random numbers from
// package randstream. A run uses one goroutine; concurrent runs share no state.
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

// second is one second of simulated time.
const second monotime.Micros = 1_000_000

// Version identifies the simulation's behavior. It is increased when a change to this package changes the
// result of a run with the same plan and settings.
const Version = 2

// Settings configure the instances of a simulated fleet.
type Settings struct {
	Site              siteconfig.Site            // site configuration; each instance gets a position and a zone
	Concurrency       engine.ConcurrencySettings // concurrency limits of each instance
	RetryBudget       float64                    // retries allowed per request, for each instance's pool
	Subset            *subset.Settings           // endpoint subsetting, with each instance's own position; nil: off
	Overload          *overload.Settings         // overload control, with the run's number of instances; nil: off
	Coordination      *engine.Coordination       // fleet coordination, with each instance's own name; nil: off
	MaxConnections    int                        // connections that an instance may open to endpoints; 0 is no limit
	ClientConnections connlimit.Limits           // limits on the client connections of each instance
	ClientProcess     fairqueue.ClientSpec       // limits of each client process

	// DecisionSeed is the seed of the instances' own random decisions. Runs with the same plan, the same
	// other settings and different decision seeds differ only in these decisions and their consequences.
	DecisionSeed uint64
	// KnownHarm is the share of operations, from 0 to 1, that is counted as unserved on purpose, to test that
	// a comparison of variants detects it.
	KnownHarm float64
}

// Options are the inputs and the callbacks of a run.
type Options struct {
	Plan     *scenario.Plan
	Settings *Settings
	// Criteria define how the run is measured. They must include the plan's classes and tenants, matched by
	// name.
	Criteria measure.Criteria
	// Trace is called at each traced step of an operation; it may be nil.
	Trace func(Trace)
	// Record is called with each request that an instance accepted, after the request has ended; it may be
	// nil.
	Record func(x *RequestRecord)
	// Log is called with each log line of an instance; it may be nil.
	Log func(at monotime.Micros, instance int, line string)
	// Progress is called with the simulated time every 4096 events; it may be nil.
	Progress func(at monotime.Micros)
}

// Trace is one step of an operation.
type Trace struct {
	At        monotime.Micros
	Operation uint64
	Request   int
	Instance  int
	Attempt   int    // number of the attempt, from 0; -1 if the step belongs to no attempt
	Endpoint  string // name of the endpoint; empty if the step involves no endpoint
	Step      string
}

// RequestRecord describes a client's request as its instance observed it.
type RequestRecord struct {
	Instance, Process      int
	Operation              uint64
	Class, Tenant          int    // indices in the lists of the criteria; Tenant is -1 for a request without a tenant
	IdempotencyKey, Object uint64 // Object identifies the object that the request concerns
	Retry                  bool
	ArrivedAt              monotime.Micros // on the instance's clock
	Duration               monotime.Micros // from the arrival to the response, or to the client's leaving
	Timeout                monotime.Micros // from the arrival to the deadline of the request
	ClientGone             bool            // the client left before it received a response
	Response               engine.Response
}

// clockOrigin is the Unix time in microseconds at which a run starts, on the clocks of instances without skew
// and of discovery.
const clockOrigin monotime.Micros = 1_700_000_000_000_000

// maxDrainTime bounds how long a run continues after its planned length, so that the operations in progress
// can end.
const maxDrainTime = 120 * second

// run is the state of a simulation run.
type run struct {
	options  Options
	plan     *scenario.Plan
	settings *Settings
	now      monotime.Micros
	events   eventQueue

	criteriaClassOf  []int // index of a class in the criteria, by its index in the plan
	settingsClassOf  []int // index of a class in the settings, by its index in the criteria
	criteriaTenantOf []int // index of a tenant in the criteria, by its index in the plan
	settingsTenantOf []int // index of a tenant in the settings, by its index in the criteria
	behavior         simclient.Behavior

	instances          []*instance
	endpoints          []*endpoint
	pathBlockingEvents []int // indices of the active planned events that block network paths
	discovery          *discoveryService
	network            network

	workRand, faultRand, clientRand, reportRand *randstream.Stream
	meter                                       *measure.Meter
	pendingOperations                           int // operations that have started and not ended
	instancesWithArrivals                       int // instances that still have operations to start
	fleetMessageCount                           uint64
}

// Run simulates a plan. It returns an error if the settings do not fit the plan, and the cause of ctx when
// ctx ends.
func Run(ctx context.Context, options Options) (*measure.Result, error) {
	startedAt := time.Now()
	r := &run{options: options, plan: options.Plan, settings: options.Settings, behavior: options.Plan.ClientBehavior()}
	if err := r.mapNames(); err != nil {
		return nil, err
	}
	if options.Plan.Replay != nil && options.Plan.Source == nil {
		return nil, errors.New("the scenario replays a recording, which was not read")
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

// mapNames finds the index of each of the plan's classes and tenants in the criteria, and of each of the
// criteria's in the settings.
func (r *run) mapNames() error {
	for _, class := range r.plan.Classes {
		index := slices.IndexFunc(r.options.Criteria.Classes,
			func(candidate balancer.Class) bool { return candidate.Name == class.Name })
		if index < 0 {
			return fmt.Errorf("class %q of the scenario is missing from the criteria", class.Name)
		}
		r.criteriaClassOf = append(r.criteriaClassOf, index)
	}
	for _, tenant := range r.plan.Tenants {
		index := slices.IndexFunc(r.options.Criteria.Tenants,
			func(candidate balancer.Tenant) bool { return candidate.Name == tenant.Name })
		if index < 0 {
			return fmt.Errorf("tenant %q of the scenario is missing from the criteria", tenant.Name)
		}
		r.criteriaTenantOf = append(r.criteriaTenantOf, index)
	}
	for _, class := range r.options.Criteria.Classes {
		index := slices.Index(r.settings.Site.Classes, class.Name)
		if index < 0 {
			return fmt.Errorf("class %q of the criteria is missing from the settings", class.Name)
		}
		r.settingsClassOf = append(r.settingsClassOf, index)
	}
	for _, tenant := range r.options.Criteria.Tenants {
		index := slices.Index(r.settings.Site.Tenants, tenant.Name)
		if index < 0 {
			return fmt.Errorf("tenant %q of the criteria is missing from the settings", tenant.Name)
		}
		r.settingsTenantOf = append(r.settingsTenantOf, index)
	}
	return nil
}
