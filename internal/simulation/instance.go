package simulation

import (
	"fmt"
	"math"

	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/simclient"
	"dunlinsail/internal/siteconfig"
)

// instance is one instance of the daemon: an engine, and the state that a process keeps around it.
type instance struct {
	run         *run
	index       int
	zone        int
	incarnation uint32 // changes at each start; events of an earlier one are ignored
	down        bool

	frozenUntil     monotime.Micros // the process is stopped until then
	stalled         bool            // it was stopped, and the engine has not been notified of it
	stalledFrom     monotime.Micros // the instance's instant at which it was stopped
	discoveryBlocks int             // causes that block discovery's events
	blockedEvents   []*watchEvent   // events that arrived while blocked

	engine   *engine.Engine
	pool     *engine.Pool
	clients  []*engine.Client // of each process
	site     siteconfig.Site
	wakeupAt monotime.Micros // instant of the scheduled wake-up; 0 is none
	seed     uint64

	connTable            *connlimit.Table[*clientConn]
	connOwners           []*connlimit.Owner[*clientConn]
	idleClientConns      [][]*connlimit.Conn[*clientConn] // by client process, the latest used last
	idleUpstreamConns    map[int][]idleConn               // connections to endpoints without an open request
	upstreamConns        int                              // open connections to endpoints
	maxIdleUpstreamConns float64                          // idle connections that may be kept; 0 is no bound

	inFlight             []*clientRequest // accepted, without a response
	hasEndpointList      bool             // it has received an endpoint list
	takePlannedOperation func() (simclient.Operation, bool)
	nextOperation        simclient.Operation
	probeCount           uint64
	leavingSince         map[int]monotime.Micros // by endpoint known to be draining or gone: when it became known
	lastWatchEventAt     monotime.Micros         // when the latest watch event arrives
}

// clientConn is a client's connection.
type clientConn struct{ process int }

// idleConn is an idle connection to an endpoint.
type idleConn struct {
	endpointIncarnation uint32 // incarnation of the endpoint when it was opened
	idleSince           monotime.Micros
}

func newInstance(r *run, index int) (*instance, error) {
	planned := &r.plan.Instances[index]
	in := &instance{
		run:   r,
		index: index,
		zone:  planned.Zone,
		site:  r.settings.Site,
		down:  true,
		seed:  randstream.New(r.plan.Seed, "decisions").For(uint64(index), r.settings.DecisionSeed).Uint64(),
	}
	settings := &in.site.Settings
	settings.Balancers = len(r.plan.Instances)
	settings.Position = index
	settings.Zone = zoneIndex(in.site.Zones, r.plan.Fleet.Zones[planned.Zone])
	if settings.Zone < 0 {
		return nil, fmt.Errorf("the scenario's zone %q is none of the settings' zones",
			r.plan.Fleet.Zones[planned.Zone])
	}
	if err := in.create(); err != nil {
		return nil, err
	}
	return in, nil
}

func zoneIndex(names []string, name string) int {
	for i, zone := range names {
		if zone == name {
			return i
		}
	}
	return -1
}

// create makes the engine and the process's other state, without an endpoint list.
func (in *instance) create() error {
	r := in.run
	in.engine = engine.New(engine.Config{
		Site:         &in.site,
		Seed:         in.seed + uint64(in.incarnation),
		Concurrency:  r.settings.Concurrency,
		Host:         in,
		OnQuotaSpent: func(_ monotime.Micros, budget string) { r.meter.QuotaSpent(r.now, budget) },
	})
	if err := in.joinFleet(); err != nil {
		return err
	}
	var err error
	var subsetSettings *subset.Settings
	if r.settings.Subset != nil {
		instanceSettings := *r.settings.Subset
		instanceSettings.Position = uint64(in.index)
		instanceSettings.Instances = len(r.plan.Instances)
		subsetSettings = &instanceSettings
	}
	var overloadSettings *overload.Settings
	if r.settings.Overload != nil {
		instanceSettings := *r.settings.Overload
		instanceSettings.Instances = len(r.plan.Instances)
		overloadSettings = &instanceSettings
	}
	in.pool, err = in.engine.NewPool(engine.PoolConfig{
		Subset:            subsetSettings,
		Overload:          overloadSettings,
		OnIdleConnections: func(n float64) { in.maxIdleUpstreamConns = n },
		RetryRatio:        r.settings.RetryBudget,
		InitialEndpoints:  engine.EndpointUpdate{Generation: -1},
		SetWatch:          in.setWatch,
	})
	if err != nil {
		return err
	}
	if in.connTable, err = connlimit.New[*clientConn](r.settings.Clients, nil); err != nil {
		return err
	}
	if err := in.createClients(); err != nil {
		return err
	}
	in.inFlight = nil
	in.hasEndpointList = false
	in.idleUpstreamConns = map[int][]idleConn{}
	in.upstreamConns = 0
	in.leavingSince = map[int]monotime.Micros{}
	return nil
}

// createClients registers the instance's client processes with its engine and its connection table.
func (in *instance) createClients() error {
	r := in.run
	in.clients = nil
	in.connOwners = nil
	in.idleClientConns = nil
	for process := range r.plan.Clients.Processes {
		spec := r.settings.Client
		spec.Name = fmt.Sprint(process)
		client, err := engine.NewClient(spec)
		if err != nil {
			return err
		}
		in.clients = append(in.clients, client)
		in.connOwners = append(in.connOwners, in.connTable.NewOwner(spec.Weight, math.MaxInt, 0))
		in.idleClientConns = append(in.idleClientConns, nil)
	}
	return nil
}

// start has the instance serve, with discovery's complete list. newInstance has made the engine of the first start.
func (in *instance) start(first bool) {
	if !first {
		if err := in.create(); err != nil {
			panic(err) // newInstance accepted the same settings
		}
	}
	in.down = false
	in.wakeupAt = 0
	in.frozenUntil = 0
	in.stalled = false
	in.blockedEvents = nil
	in.pool.Start(in.localTime())
	in.engine.StartCoordination(in.localTime())
	if first || !in.run.discovery.silent && in.discoveryBlocks == 0 {
		in.updateEndpoints(in.run.discovery.snapshot(in))
	}
	in.advanceEngine()
}

// kill ends the process: its requests in flight are lost, and its connections are reset.
func (in *instance) kill() {
	if in.down {
		return
	}
	in.incarnation++
	in.down = true
	in.engine = nil
}

// localTime is the time of the instance's clock.
func (in *instance) localTime() monotime.Micros { return in.clockAt(in.run.now) }

func (in *instance) clockAt(at monotime.Micros) monotime.Micros {
	planned := &in.run.plan.Instances[in.index]
	return clockOrigin + planned.Skew + at + monotime.Micros(planned.Drift*float64(at))
}

// simulatedTime is the earliest simulated time at which the instance's clock has reached an instant.
func (in *instance) simulatedTime(local monotime.Micros) monotime.Micros {
	planned := &in.run.plan.Instances[in.index]
	at := monotime.Micros(float64(local-clockOrigin-planned.Skew) / (1 + planned.Drift))
	for in.clockAt(at) < local {
		at++
	}
	return at
}

// advanceEngine runs the engine's due timers, and schedules the wake-up for the next one.
func (in *instance) advanceEngine() {
	for in.engine != nil {
		at, ok := in.engine.Next()
		if !ok {
			return
		}
		if at > in.localTime() {
			if due := in.simulatedTime(at); in.wakeupAt == 0 || due < in.wakeupAt {
				in.wakeupAt = due
				in.run.events.push(due, instanceWakeup, in.incarnation, in)
			}
			return
		}
		in.engine.Advance(in.localTime())
	}
}

func (in *instance) onWakeup(at monotime.Micros) {
	if in.down || in.wakeupAt != at {
		return
	}
	in.wakeupAt = 0
	in.run.meter.Costs.Decisions++
	in.advanceEngine()
}
