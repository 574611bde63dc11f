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

// instance is a simulated instance of the daemon: an engine, and the state that the daemon keeps around it.
type instance struct {
	run         *run
	index       int
	zone        int
	incarnation uint32 // increased when the process is killed; events of an earlier incarnation are ignored
	down        bool

	frozenUntil     monotime.Micros // the process is frozen until this time
	stalled         bool            // the process was frozen, and the engine has not been notified of it
	stalledFrom     monotime.Micros // time on the instance's clock at which the freeze started
	discoveryBlocks int             // number of active causes that block discovery's events
	blockedEvents   []*watchEvent   // events that arrived while discovery's events were blocked

	engine   *engine.Engine
	pool     *engine.Pool
	clients  []*engine.Client // registered clients, by client process
	site     siteconfig.Site
	wakeupAt monotime.Micros // time of the scheduled wake-up; 0 if no wake-up is scheduled
	seed     uint64          // seed of the instance's random decisions

	connTable            *connlimit.Table[*clientConn]    // open client connections
	connOwners           []*connlimit.Owner[*clientConn]  // owners in connTable, by client process
	idleClientConns      [][]*connlimit.Conn[*clientConn] // by client process, most recently used last
	idleUpstreamConns    map[int][]idleConn               // idle connections by endpoint index, most recently used last
	upstreamConns        int                              // open connections to endpoints, including idle ones
	maxIdleUpstreamConns float64                          // idle connections that may be kept; 0 is no limit

	inFlight             []*clientRequest                   // accepted requests without a response
	hasEndpointList      bool                               // the instance has received an endpoint list
	takePlannedOperation func() (simclient.Operation, bool) // the plan's next operation; false after the last one
	nextOperation        simclient.Operation                // operation that is scheduled to start next
	probeCount           uint64                             // probes sent so far
	leavingSince         map[int]monotime.Micros            // by endpoint index: when it was reported as leaving
	lastWatchEventAt     monotime.Micros                    // arrival time of the latest watch event
}

// clientConn is a connection of a client process, given as its index.
type clientConn struct{ process int }

// idleConn is an idle connection to an endpoint.
type idleConn struct {
	endpointIncarnation uint32 // incarnation of the endpoint when the connection was opened
	idleSince           monotime.Micros
}

// newInstance returns an instance that is not started, or an error if the settings do not fit the plan.
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
		return nil, fmt.Errorf("zone %q of the scenario is missing from the settings",
			r.plan.Fleet.Zones[planned.Zone])
	}
	if err := in.createProcess(); err != nil {
		return nil, err
	}
	return in, nil
}

// zoneIndex returns the index of a zone's name, or -1 if the zone is unknown.
func zoneIndex(names []string, name string) int {
	for i, zone := range names {
		if zone == name {
			return i
		}
	}
	return -1
}

// createProcess replaces the engine and the other state of the process. The new process has no endpoint list yet.
func (in *instance) createProcess() error {
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
	if in.connTable, err = connlimit.New[*clientConn](r.settings.ClientConnections, nil); err != nil {
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
		spec := r.settings.ClientProcess
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

// start starts the instance. It receives discovery's complete endpoint list unless discovery is silent or its
// events are blocked. newInstance has already created the process of the first start, which always receives
// the list.
func (in *instance) start(first bool) {
	if !first {
		if err := in.createProcess(); err != nil {
			panic(err) // newInstance has accepted the same settings
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

// kill ends the process. Its requests in flight and its connections are lost.
func (in *instance) kill() {
	if in.down {
		return
	}
	in.incarnation++
	in.down = true
	in.engine = nil
}

// localTime returns the present time on the instance's clock.
func (in *instance) localTime() monotime.Micros { return in.clockAt(in.run.now) }

// clockAt returns the time on the instance's clock, which has skew and drift, at a simulated time.
func (in *instance) clockAt(at monotime.Micros) monotime.Micros {
	planned := &in.run.plan.Instances[in.index]
	return clockOrigin + planned.Skew + at + monotime.Micros(planned.Drift*float64(at))
}

// simulatedTime returns the earliest simulated time at which the instance's clock shows a given time or a
// later one.
func (in *instance) simulatedTime(localTime monotime.Micros) monotime.Micros {
	planned := &in.run.plan.Instances[in.index]
	at := monotime.Micros(float64(localTime-clockOrigin-planned.Skew) / (1 + planned.Drift))
	for in.clockAt(at) < localTime {
		at++
	}
	return at
}

// advanceEngine runs the engine's due timers, and schedules a wake-up for the next one.
func (in *instance) advanceEngine() {
	for in.engine != nil {
		at, ok := in.engine.NextTimer()
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

// onWakeup handles a wake-up that was scheduled for an instant, unless an earlier wake-up has replaced it.
func (in *instance) onWakeup(at monotime.Micros) {
	if in.down || in.wakeupAt != at {
		return
	}
	in.wakeupAt = 0
	in.run.meter.Costs.Decisions++
	in.advanceEngine()
}
