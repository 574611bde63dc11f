// Package processes plays a plan of the fleet's model on loopback, in real time: real daemons, endpoints behind sockets, a
// discovery for each instance, and clients that ask by the plan's clock whether or not answers come, so that what waits is
// measured from when it was wanted (no coordinated omission: Tene, "How NOT to measure latency", 2015). Endpoints and
// clients are the same state machines as in the model (packages simendpoint and caller), and what it comes to is judged by the same
// meter: where a real run and the model differ, the difference is the daemon's, its sockets' and its machine's.
package processes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"dunlinsail/balancer"
	"dunlinsail/internal/config"
	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/freeport"
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

// instance is a daemon's process.
type instance struct {
	index int

	mu           sync.Mutex // guards the process
	cmd          *exec.Cmd
	ended        chan struct{} // closed once the process has
	killed       *atomic.Bool  // by us
	predecessors []predecessor

	suspendedUntil atomic.Int64 // microseconds of the run until which it was stopped last; in the future while it is

	discovery   *discoveryserver.Server
	listenAddrs []string // of its listeners, one for each client process
	httpClients []*http.Client
	configPath  string
	adminAddr   string // where operators call; "" is nowhere
}

// lateMost is how long after its client's time an answer may come and not be missed, in microseconds: what the machine's
// schedulers add is not the daemon's.
const answerTolerance = 50_000

// now is the instant of the run.
func (r *run) now() monotime.Micros { return time.Since(r.base).Microseconds() - r.offset.Load() }

// coarse is how late a timer of Go's may ring where nothing else goes on: its poller counts in milliseconds.
const timerGranularity = 1200 * time.Microsecond

// sleep waits until an instant, more exactly than time.Sleep: what this rig is late must not be taken for the daemon's.
func sleepUntil(until time.Time) {
	if d := time.Until(until); d > timerGranularity {
		time.Sleep(d - timerGranularity)
	}
	if d := time.Until(until); d > 0 {
		t := syscall.NsecToTimespec(d.Nanoseconds())
		_ = syscall.Nanosleep(&t, nil) // cut short by a signal now and then, which is no harm
	}
}

// time is when an instant of the run is.
func (r *run) wallTime(at monotime.Micros) time.Time {
	return r.base.Add(time.Duration(at+r.offset.Load()) * time.Microsecond)
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
	r.schedule(ctx, &beside)
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

// ---- Instances ---------------------------------------------------------------------

// entry is an endpoint's entry for an instance.
func (r *run) discoveryEntry(n, instance int, lifecycle string, started monotime.Micros) discovery.Instance {
	p := &r.plan.Endpoints[n]
	e := discovery.Instance{ID: p.Name, Address: r.endpoints[n].fronts[instance].addr, Zone: r.plan.Fleet.Zones[p.Zone], Kind: r.plan.Scenario.EndpointKinds[p.Kind].Kind,
		Cell: uint16(p.Cell), Lifecycle: lifecycle, Weight: float32(p.Config.Cores)}
	if started > 0 {
		e.StartedMs = r.wallTime(started).UnixMilli()
	}
	return e
}

// entries are those of all endpoints for an instance, as the run begins.
func (r *run) discoveryEntries(instance int) (all []discovery.Instance) {
	for i := range r.plan.Endpoints {
		started := monotime.Micros(0)
		if r.plan.Endpoints[i].StartsWithRun {
			started = 1
		}
		all = append(all, r.discoveryEntry(i, instance, "up", started))
	}
	return all
}

func (r *run) newInstance(n int) (*instance, error) {
	in := &instance{index: n}
	var err error
	if in.discovery, err = discoveryserver.Start(r.discoveryEntries(n)...); err != nil {
		return nil, err
	}
	listeners := r.plan.Clients.Processes
	if isSidecar(r.options.Daemon) {
		listeners = 1 // it is one application's
	}
	for range listeners {
		addr, err := freeport.Free()
		if err != nil {
			return nil, err
		}
		in.listenAddrs = append(in.listenAddrs, addr)
		in.httpClients = append(in.httpClients, &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1000, IdleConnTimeout: time.Minute}})
	}
	write, name := r.daemonConfig, "instance-%d.toml"
	if isSidecar(r.options.Daemon) {
		write, name = r.sidecarConfig, "instance-%d.json"
	}
	text, err := write(in)
	if err != nil {
		return nil, err
	}
	in.configPath = filepath.Join(r.workDir, fmt.Sprintf(name, n))
	if err := os.WriteFile(in.configPath, text, 0o600); err != nil {
		return nil, err
	}
	return in, r.launch(in)
}

// program is what an instance is a process of.
func (r *run) programOf(in *instance) (path string, other bool) {
	if r.options.AlternateDaemon != "" && in.index%2 == 1 {
		return r.options.AlternateDaemon, true
	}
	return r.options.Daemon, false
}

// news are the tables of a daemon's file that another version may not know.
var alternateUnknownTables = []string{"overload", "peers", "operators", "work"}

// file is an instance's file: the settings', with what differs between instances and what is of this run.
func (r *run) daemonConfig(in *instance) ([]byte, error) {
	var doc map[string]any
	if err := toml.Unmarshal(r.options.Settings, &doc); err != nil {
		return nil, err
	}
	if _, other := r.programOf(in); other {
		for _, table := range alternateUnknownTables {
			delete(doc, table)
		}
	}
	doc["name"] = fmt.Sprint("instance-", in.index)
	doc["discovery"] = map[string]any{"address": in.discovery.Addr, "mode": r.config.Discovery.Mode}
	delete(doc, "takeover")
	if r.hasUpgrades() {
		doc["takeover"] = map[string]any{"socket": filepath.Join(r.workDir, fmt.Sprint("takeover-", in.index)), "drain_within": r.config.Takeover.DrainWithin.String()}
	}
	delete(doc, "record")
	delete(doc, "others")
	fleet, _ := doc["fleet"].(map[string]any)
	if fleet == nil {
		fleet = map[string]any{}
	}
	fleet["instances"], fleet["position"], fleet["zone"] = len(r.plan.Instances)+r.misreporterCount(), in.index, r.plan.Fleet.Zones[r.plan.Instances[in.index].Zone]
	doc["fleet"] = fleet
	if table, ok := doc["peers"].(map[string]any); ok && len(r.peerAddrs) > 0 {
		doc["peers"] = r.fillPeersTable(in, table)
	}
	if err := r.addMaintenanceTables(in, doc); err != nil {
		return nil, err
	}
	if r.hasTenantLimits() {
		table, _ := doc["peers"].(map[string]any)
		if table == nil {
			table = map[string]any{}
			doc["peers"] = table
		}
		table["spent"] = r.spentPath(in.index)
	}
	bounds := map[string]any{}
	if len(r.config.Clients) > 0 {
		b := &r.config.Clients[0].ClientLimits
		bounds = map[string]any{"weight": b.Weight, "open_requests": b.MaxOpen, "requests_per_second": b.Rate}
		if b.Rate > 0 {
			bounds["burst"] = b.Burst
		}
	}
	var listeners, clients []any
	for i, addr := range in.listenAddrs {
		name := fmt.Sprint("process-", i)
		listeners = append(listeners, map[string]any{"name": name, "address": addr, "client": name})
		client := map[string]any{"name": name}
		for k, v := range bounds {
			client[k] = v
		}
		clients = append(clients, client)
	}
	doc["listener"], doc["client"] = listeners, clients
	return toml.Marshal(doc)
}

// launch starts an instance's process.
func (r *run) launch(in *instance) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	program, other := r.programOf(in)
	if isSidecar(r.options.Daemon) {
		in.cmd = exec.Command(program)
		in.cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "ROUTER_CONFIG="+in.configPath)
		if r.config.Overload.On && !other {
			in.cmd.Env = append(in.cmd.Env, "ROUTER_OVERLOAD=1")
		}
	} else {
		in.cmd = exec.Command(program, "--config", in.configPath)
		in.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	in.cmd.Stderr = r.options.Log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		return err
	}
	cmd, ended, killed := in.cmd, make(chan struct{}), &atomic.Bool{}
	in.ended, in.killed = ended, killed
	go func() {
		defer close(ended)
		if err := cmd.Wait(); !killed.Load() {
			r.fail(fmt.Errorf("the process of instance %d has ended by itself: %v", in.index, err))
		}
	}()
	return nil
}

// kill ends an instance's process without a word, and waits until it is gone. One that is being replaced is ended with it.
func (in *instance) kill() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended == nil {
		return
	}
	in.killed.Store(true)
	in.cmd.Process.Kill()
	<-in.ended
	for _, p := range in.predecessors {
		p.cmd.Process.Kill()
		<-p.ended
	}
	in.predecessors = nil
}

// former is a process whose place another takes.
type predecessor struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// upgrade starts another process of an instance, which takes over from the one that serves. That ends by itself then.
func (r *run) upgrade(in *instance) {
	in.mu.Lock()
	if in.killed.Load() {
		in.mu.Unlock()
		return
	}
	in.killed.Store(true) // its end is no fault
	in.predecessors = append(in.predecessors, predecessor{in.cmd, in.ended})
	in.mu.Unlock()
	if err := r.launch(in); err != nil {
		r.fail(err)
	}
}

// upgrades says whether processes take over from others in this run.
func (r *run) hasUpgrades() bool {
	return slices.ContainsFunc(r.plan.PlannedEvents, func(h scenario.PlannedEvent) bool { return h.What == "upgrade" })
}

// freeze stops instances (SIGSTOP): they keep what they hold, and do nothing.
func (r *run) freeze(instances []int, until monotime.Micros) {
	for _, n := range instances {
		in := r.instances[n]
		in.suspendedUntil.Store(max(in.suspendedUntil.Load(), until+resumeGrace))
		in.signal(syscall.SIGSTOP)
	}
}

// thaw has them go on.
func (r *run) thaw(instances []int) {
	for _, n := range instances {
		in := r.instances[n]
		in.signal(syscall.SIGCONT)
		in.suspendedUntil.Store(r.now() + resumeGrace)
	}
}

// frozenSlack is until when after its going on an instance is not held to answers in time, in microseconds: what had come
// meanwhile comes to it at once.
const resumeGrace = 100_000

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended != nil && !in.killed.Load() {
		in.cmd.Process.Signal(s)
	}
}

// ready waits until an instance serves.
func (r *run) awaitReady(ctx context.Context, in *instance) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + in.listenAddrs[0] + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return fmt.Errorf("instance %d does not become ready", in.index)
}

// change tells discovery how it stands with an endpoint, after the time that it takes to hear of it.
func (r *run) announceState(n int, state balancer.EndpointState, vanished bool) {
	d := &r.plan.Discovery
	after := d.Add
	lifecycle := "up"
	switch {
	case vanished:
		after, lifecycle = d.Silent, "removed"
	case state == balancer.Draining:
		after, lifecycle = d.Drain, "draining"
	case state == balancer.Gone:
		after, lifecycle = d.Gone, "removed"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discoveryChanges++
	now := r.now()
	lo, hi := float64(after.From.Microseconds()), float64(after.To.Microseconds())
	announceAt := now + monotime.Micros(lo+(hi-lo)*r.discoveryRand.For(uint64(n), r.discoveryChanges).Float64()) + r.discoveryDelay
	announceAt = max(announceAt, r.lastAnnounced[n]+1)
	r.lastAnnounced[n] = announceAt
	time.AfterFunc(time.Duration(announceAt-now)*time.Microsecond, func() {
		for _, in := range r.instances {
			in.discovery.Set(r.discoveryEntry(n, in.index, lifecycle, now))
		}
	})
}

// ---- Clients -----------------------------------------------------------------------

// story is a client's.
type operation struct {
	simclient.Operation
	class       *balancer.Class
	weight      float64
	within      bool
	serviceTime monotime.Micros // by its latest attempt that ran
	effects     map[int]int     // of each try
	arrivals    map[int]int     // attempts of each try that reached an endpoint
}

// job is a request at an endpoint.
type job struct {
	simendpoint.Job
	operation *operation
	attempt   int
	retry     bool // its instance sent the request before
}

// job makes an endpoint's request of what came.
func (r *run) parseJob(q *http.Request) (*job, error) {
	v := q.URL.Query()
	id, err := strconv.ParseUint(v.Get("s"), 16, 64)
	try, err2 := strconv.Atoi(v.Get("t"))
	if err := errors.Join(err, err2); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.operations[id]
	if s == nil {
		return nil, fmt.Errorf("no client asked for %x", id)
	}
	which := uint64(try)<<8 | uint64(s.arrivals[try])
	s.arrivals[try]++
	j := &job{operation: s, attempt: try, retry: s.arrivals[try] > 1}
	c := 0
	for i, at := range r.criteriaClass {
		if at == s.Class {
			c = i
		}
	}
	j.Class, j.Work = s.Class, simendpoint.DrawWork(r.workNoise.For(id, which), s.Work, r.plan.Classes[c].Noise)
	j.Chance = r.outcomeRand.For(id, which).Float64()
	if text := q.Header.Get("Idempotency-Key"); text != "" {
		if j.IdempotencyKey, err = strconv.ParseUint(text, 16, 64); err != nil {
			return nil, err
		}
	}
	return j, nil
}

// ran notes that a request has run.
func (r *run) recordExecution(j *job, x simendpoint.Completion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := j.operation
	s.Executions++
	s.serviceTime = j.Work
	if !x.Effect {
		return
	}
	s.Effects++
	s.effects[j.attempt]++
	if s.class.Idempotency != balancer.Idempotent && s.Effects > 1 {
		if s.effects[j.attempt] > 1 {
			r.counts.duplicateEffects++
		} else {
			r.counts.clientDuplicateEffects++
		}
	}
}

// ask has the clients of an instance ask, by the plan's clock.
func (r *run) runClients(ctx context.Context, instance int) {
	next := r.plan.Operations(instance)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		x, ok := next()
		if !ok {
			return
		}
		timer.Reset(time.Until(r.wallTime(x.StartedAt)) - timerGranularity)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		sleepUntil(r.wallTime(x.StartedAt))
		s := &operation{Operation: x, effects: map[int]int{}, arrivals: map[int]int{}}
		s.Class = r.criteriaClass[s.Class]
		if s.Tenant >= 0 {
			s.Tenant = r.criteriaTenant[s.Tenant]
		}
		s.class = &r.options.Criteria.Classes[s.Class]
		if s.class.Idempotency != balancer.IdempotentByKey {
			s.IdempotencyKey = 0
		}
		r.mu.Lock()
		r.operations[s.ID] = s
		s.weight, s.within = r.meter.Weight(&s.Operation)
		// What a client waits for counts from when it wanted to ask, however late this goroutine is.
		t := s.Start(x.StartedAt, &r.clientBehavior, s.class, r.clientRand.For(s.ID, 0))
		r.mu.Unlock()
		r.openOperations.Go(func() { r.runOperation(ctx, s, t) })
	}
}

// tell lives a story to its end.
func (r *run) runOperation(ctx context.Context, s *operation, t simclient.Request) {
	for {
		verdict, retryAfter := r.attempt(ctx, s, t)
		r.mu.Lock()
		now := r.now()
		at, again := s.RequestEnded(now, t.Number, verdict, retryAfter, s.class, r.clientRand.For(s.ID, uint64(2*t.Number+1)))
		if !again {
			r.meter.OperationEnded(&s.Operation, r.plan.Instances[s.Instance].Zone, s.weight, s.within)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		sleepUntil(r.wallTime(at))
		r.mu.Lock()
		t = s.Retry(r.now(), &r.clientBehavior, s.class, r.clientRand.For(s.ID, uint64(2*s.Requests)))
		r.mu.Unlock()
	}
}

// try makes one request and waits for what comes of it.
func (r *run) attempt(ctx context.Context, s *operation, t simclient.Request) (simclient.RequestOutcome, monotime.Micros) {
	began := r.now()
	r.updateCounts(func(*counts) { r.meter.Costs.ClientRequests++ })
	// A client that waits to the end is there a little longer, to see whether an answer that is owed comes at all.
	until := t.Deadline + answerTolerance
	if t.AbortAt > 0 {
		until = t.AbortAt
	}
	ctx, cancel := context.WithDeadline(ctx, r.wallTime(until))
	defer cancel()
	in := r.instances[s.Instance]
	method := http.MethodGet
	var body io.Reader
	if s.class.Idempotency != balancer.Idempotent {
		method, body = http.MethodPost, strings.NewReader("{}")
	}
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/x?s=%x&t=%d", in.listenAddrs[s.Process%len(in.listenAddrs)], s.class.Name, s.ID, t.Number), body)
	if err != nil {
		panic(err) // of our own making
	}
	left := max(1, (t.Deadline-r.now())/1000)
	q.Header.Set("X-Trace-Id", fmt.Sprintf("%x-%d", s.ID, t.Number))
	q.Header.Set("X-Qos", s.class.Name)
	q.Header.Set("X-Object", fmt.Sprintf("%x", s.Object))
	q.Header.Set("X-Expires-In-Ms", fmt.Sprint(left))
	if s.Tenant >= 0 {
		q.Header.Set("X-Customer", r.options.Criteria.Tenants[s.Tenant].Name)
	}
	if t.IdempotencyKey != 0 {
		q.Header.Set("Idempotency-Key", fmt.Sprintf("%x", t.IdempotencyKey))
	}
	if t.Retry {
		q.Header.Set("X-Second-Try", "1")
	}
	resp, err := in.httpClients[s.Process%len(in.httpClients)].Do(q)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		// An instance that was stopped meanwhile owes nothing.
		if errors.Is(err, context.DeadlineExceeded) && t.AbortAt == 0 && in.suspendedUntil.Load() < began {
			r.updateCounts(func(c *counts) { c.unanswered++ })
		}
		return simclient.NoResponse, 0
	}
	if r.now() > t.Deadline {
		return simclient.NoResponse, 0 // it has left by then
	}
	switch resp.StatusCode {
	case http.StatusOK:
		r.updateCounts(func(*counts) { r.meter.Costs.UsefulWork += float64(s.serviceTime) })
		return simclient.OK, 0
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		var after float64
		if text := resp.Header.Get("Retry-After"); text != "" {
			after, _ = strconv.ParseFloat(text, 64)
		}
		return simclient.Rejected, monotime.Micros(after * 1e6)
	}
	return simclient.Failed, 0
}

// ---- What goes wrong ------------------------------------------------------------------

// cut says whether nothing comes through between two zones.
func (r *run) isPartitioned(a, b int) bool {
	if a == b {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cuts {
		if c[0] == a && (c[1] < 0 || c[1] == b) || c[0] == b && (c[1] < 0 || c[1] == a) {
			return true
		}
	}
	return false
}

// hush has nothing come through to the endpoints that are cut off.
func (r *run) applySilence() {
	for _, e := range r.endpoints {
		if err := e.applySilence(); err != nil {
			r.fail(err)
		}
	}
}

// conditions sets what goes wrong at an endpoint by all that happens now.
func (r *run) updateCondition(n int) {
	var c simendpoint.Condition
	now := r.now()
	for i := range r.plan.PlannedEvents {
		h := &r.plan.PlannedEvents[i]
		if now < h.At || now >= h.Until {
			continue
		}
		for j, at := range h.Endpoints {
			if at == n {
				h.AddCondition(&c, now, j, r.criteriaClass)
			}
		}
	}
	r.endpoints[n].setCondition(c)
}

// at calls f at an instant, unless the run has ended by then.
func (r *run) scheduleAt(ctx context.Context, beside *sync.WaitGroup, at monotime.Micros, f func()) {
	beside.Go(func() {
		timer := time.NewTimer(time.Until(r.wallTime(at)))
		defer timer.Stop()
		select {
		case <-timer.C:
			f()
		case <-ctx.Done():
		}
	})
}

// schedule has happen what happens.
func (r *run) schedule(ctx context.Context, beside *sync.WaitGroup) {
	end := r.plan.Length.Micros()
	up := func(n int) {
		if err := r.endpoints[n].start(); err != nil {
			r.fail(fmt.Errorf("endpoint %d does not start again: %w", n, err))
		}
	}
	for i := range r.plan.PlannedEvents {
		h := &r.plan.PlannedEvents[i]
		over := func(f func()) {
			if h.Until < math.MaxInt64 && h.Until < end {
				r.scheduleAt(ctx, beside, h.Until+1, f)
			}
		}
		each := func(f func(n int)) func() {
			return func() {
				for _, n := range h.Endpoints {
					f(n)
				}
			}
		}
		kill := func(silent bool) func(n int) {
			return func(n int) {
				r.endpoints[n].kill(silent)
				r.announceState(n, balancer.Gone, silent)
			}
		}
		switch h.What {
		case "slow", "errors", "mute", "full", "lies", "babble", "late-reports":
			r.scheduleAt(ctx, beside, h.At, each(r.updateCondition))
			over(each(r.updateCondition))
		case "neighbour":
			for at := h.At; at < min(h.Until, end); at += max(h.Every, 1_000_000) {
				r.scheduleAt(ctx, beside, at, each(r.updateCondition))
				if h.Every <= 0 {
					break
				}
			}
			over(each(r.updateCondition))
		case "pause":
			r.scheduleAt(ctx, beside, h.At, each(func(n int) { r.endpoints[n].pause(h.Until - h.At) }))
		case "drain":
			r.scheduleAt(ctx, beside, h.At, each(func(n int) { r.endpoints[n].drain() }))
			over(each(up))
		case "kill":
			r.scheduleAt(ctx, beside, h.At, each(kill(false)))
			over(each(up))
		case "vanish":
			r.scheduleAt(ctx, beside, h.At, each(kill(true)))
			over(each(up))
		case "rolling":
			for k, n := range h.Endpoints {
				if at := h.At + monotime.Micros(k)*h.Every; at < min(h.Until, end) {
					r.scheduleAt(ctx, beside, at, func() { r.endpoints[n].drain() })
					r.scheduleAt(ctx, beside, at+h.Every, func() { up(n) })
				}
			}
		case "cut":
			pair := [2]int{h.Zone, h.To}
			r.scheduleAt(ctx, beside, h.At, func() {
				r.updateCounts(func(*counts) { r.cuts = append(r.cuts, pair) })
				r.applySilence()
			})
			over(func() {
				r.updateCounts(func(*counts) {
					for j, c := range r.cuts {
						if c == pair {
							r.cuts = append(r.cuts[:j:j], r.cuts[j+1:]...)
							break
						}
					}
				})
				r.applySilence()
			})
		case "stale":
			r.scheduleAt(ctx, beside, h.At, func() { r.updateCounts(func(*counts) { r.discoveryDelay += h.Delay }) })
			over(func() { r.updateCounts(func(*counts) { r.discoveryDelay -= h.Delay }) })
		case "silent":
			each := func(on bool) func() {
				return func() {
					for _, in := range r.instances {
						in.discovery.Silence(on)
					}
				}
			}
			r.scheduleAt(ctx, beside, h.At, each(true))
			over(each(false))
		case "restart", "power":
			r.scheduleAt(ctx, beside, h.At, func() {
				if h.What == "power" {
					for n := range r.endpoints {
						kill(false)(n)
					}
				}
				for _, n := range h.Instances {
					r.instances[n].kill()
				}
			})
			back := func() {
				if h.What == "power" {
					for n := range r.endpoints {
						up(n)
					}
				}
				for _, n := range h.Instances {
					if err := r.launch(r.instances[n]); err != nil {
						r.fail(err)
					}
				}
			}
			if h.Until < math.MaxInt64 {
				over(back)
			} else {
				r.scheduleAt(ctx, beside, h.At+1_000_000, back)
			}
		case "liar":
			r.scheduleAt(ctx, beside, h.At, func() {
				stop, err := r.startMisreporter(h.Sizes[0])
				if err != nil {
					r.fail(err)
					return
				}
				r.scheduleAt(ctx, beside, min(h.Until, end), stop)
			})
		case "limits":
			r.scheduleAt(ctx, beside, h.At, func() { r.scaleTenantLimits(h.Instances, h.Sizes[0]) })
			over(func() { r.scaleTenantLimits(h.Instances, 1) })
		case "work":
			r.scheduleAt(ctx, beside, h.At, func() { r.runMaintenance(ctx, h) })
		case "upgrade":
			r.scheduleAt(ctx, beside, h.At, func() {
				for _, n := range h.Instances {
					r.upgrade(r.instances[n])
				}
			})
		case "freeze":
			for at := h.At; at < min(h.Until, end); at += 2 * h.Every {
				until, _ := h.Frozen(at)
				r.scheduleAt(ctx, beside, at, func() { r.freeze(h.Instances, until) })
				r.scheduleAt(ctx, beside, until, func() { r.thaw(h.Instances) })
				if h.Every <= 0 {
					break
				}
			}
		case "deaf":
			deafen := func(on bool) func() {
				return func() {
					for _, n := range h.Instances {
						r.instances[n].discovery.Silence(on)
					}
				}
			}
			r.scheduleAt(ctx, beside, h.At, deafen(true))
			over(deafen(false))
		case "sever":
			r.scheduleAt(ctx, beside, h.At, r.applySilence)
			over(r.applySilence)
		}
	}
	for n := range r.endpoints {
		if p := r.endpoints[n].plan; p.PauseEvery > 0 && p.PauseFor > 0 {
			beside.Go(func() { r.runRandomPauses(ctx, n) })
		}
	}
}

// pauses stops an endpoint for a moment now and then, at the same instants as in the model.
func (r *run) runRandomPauses(ctx context.Context, n int) {
	p := r.endpoints[n].plan
	stream := randstream.New(r.plan.Seed, "pauses")
	at := monotime.Micros(0)
	for k := uint64(1); ; k++ {
		at += 1 + monotime.Micros(stream.For(uint64(n), k).ExpFloat64()*float64(p.PauseEvery))
		if at >= r.plan.Length.Micros() {
			return
		}
		timer := time.NewTimer(time.Until(r.wallTime(at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		r.endpoints[n].pause(monotime.Micros(stream.For(uint64(n), k, 1).ExpFloat64() * float64(p.PauseFor)))
	}
}
