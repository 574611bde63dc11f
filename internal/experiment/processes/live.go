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
	Plan     *scenario.Plan
	Settings []byte // a daemon's file; its listeners, clients, discovery and fleet are filled in
	Judge    measure.Criteria
	Daemon   string    // the program: dunlinsaild, or dunlinsail, the platform's sidecar
	Beside   string    // another program that every other instance is, without what it may not know; "" is none
	Log      io.Writer // of the daemons; nil is nowhere
}

// counts are what endpoints count.
type counts struct{ attempts, cross, dials, probes, falls, twice, clientsTwice, late int64 }

// run is one that is under way.
type run struct {
	o       Options
	plan    *scenario.Plan
	site    *siteconfig.Site
	habits  simclient.Behavior
	dir     string
	base    time.Time
	offset  atomic.Int64 // microseconds from base to the run's beginning
	classOf []int        // place among the judge's classes of each of the plan's
	tenant  []int
	own     *config.Config

	endpoints []*endpoint
	instances []*instance
	peers     []string // addresses at which instances know one another; none where they do not
	relays    []*relay
	work      *labour
	groups    map[int]*group
	reports   *rand.Rand // guarded by each endpoint's lock only: any draw will do

	mu      sync.Mutex
	counts  counts
	cuts    [][2]int
	stale   monotime.Micros
	noise   *randstream.Stream
	luck    *randstream.Stream
	callers *randstream.Stream
	draws   *randstream.Stream
	changes uint64
	last    []monotime.Micros
	stories map[uint64]*story
	meter   *measure.Meter
	open    sync.WaitGroup
	fail    context.CancelCauseFunc // ends the run with an error
}

// instance is a daemon's process.
type instance struct {
	n int

	mu     sync.Mutex // guards the process
	cmd    *exec.Cmd
	ended  chan struct{} // closed once the process has
	killed *atomic.Bool  // by us
	former []former

	thawed atomic.Int64 // microseconds of the run until which it was stopped last; in the future while it is

	roster *discoveryserver.Server
	addrs  []string // of its listeners, one for each client process
	asks   []*http.Client
	config string
	calls  string // where operators call; "" is nowhere
}

// lateMost is how long after its client's time an answer may come and not be missed, in microseconds: what the machine's
// schedulers add is not the daemon's.
const lateMost = 50_000

// now is the instant of the run.
func (r *run) now() monotime.Micros { return time.Since(r.base).Microseconds() - r.offset.Load() }

// coarse is how late a timer of Go's may ring where nothing else goes on: its poller counts in milliseconds.
const coarse = 1200 * time.Microsecond

// sleep waits until an instant, more exactly than time.Sleep: what this rig is late must not be taken for the daemon's.
func sleep(until time.Time) {
	if d := time.Until(until); d > coarse {
		time.Sleep(d - coarse)
	}
	if d := time.Until(until); d > 0 {
		t := syscall.NsecToTimespec(d.Nanoseconds())
		_ = syscall.Nanosleep(&t, nil) // cut short by a signal now and then, which is no harm
	}
}

// time is when an instant of the run is.
func (r *run) time(at monotime.Micros) time.Time {
	return r.base.Add(time.Duration(at+r.offset.Load()) * time.Microsecond)
}

// arrived notes what came at an endpoint. The caller counts: it holds mu.
func (r *run) arrived(node int, what measure.Arrival) {
	if r.meter != nil {
		r.meter.RecordArrival(r.now(), node, what)
	}
}

func (r *run) count(f func(c *counts)) {
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
func (r *run) group(cell int) *group {
	if r.groups[cell] == nil {
		var window monotime.Micros
		for _, c := range r.o.Judge.Classes {
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
	r := &run{work: &labour{working: map[int]bool{}}, o: o, plan: o.Plan, own: own, site: &own.Site, habits: o.Plan.ClientBehavior(), groups: map[int]*group{}, reports: rand.New(&locked{src: rand.NewPCG(o.Plan.Seed, 5)}),
		stories: map[uint64]*story{}, last: make([]monotime.Micros, len(o.Plan.Endpoints))}
	seed := o.Plan.Seed
	r.noise, r.luck, r.callers, r.draws = randstream.New(seed, "noise"), randstream.New(seed, "luck"), randstream.New(seed, "callers"), randstream.New(seed, "discovery")
	if err := r.fit(); err != nil {
		return nil, err
	}
	if r.dir, err = os.MkdirTemp("", "dunlinlab"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(r.dir)
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
	if err := r.together(); err != nil {
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
		if err := r.ready(ctx, in); err != nil {
			return nil, err
		}
	}
	// The run begins now: what endpoints were before counts for nothing.
	r.count(func(c *counts) {
		*c = counts{}
		r.meter = measure.New(o.Judge, o.Plan.Length.Micros(), len(o.Plan.Fleet.Zones))
		r.meter.SetFaultPeriod(o.Plan.EventPeriod())
		r.meter.SetEnvironment(measure.Environment{Capacity: o.Plan.CapacityAt, Serving: o.Plan.InstanceServing})
	})
	var worked float64
	for _, e := range r.endpoints {
		e.mu.Lock()
		worked -= e.node.WorkDone()
		e.runs = 0
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
		beside.Go(func() { r.ask(ctx, i) })
	}
	beside.Wait()
	r.open.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	for _, in := range r.instances {
		in.kill() // what they spent is whole then
	}
	if err := r.spent(); err != nil {
		return nil, err
	}
	return r.result(worked), nil
}

// locked is a source for several callers.
type locked struct {
	mu  sync.Mutex
	src *rand.PCG
}

// Uint64 draws.
func (l *locked) Uint64() uint64 {
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
		nodes = append(nodes, measure.EndpointLoad{Name: n.Name, Zone: n.Zone, Executions: e.runs, MaxInFlight: e.most,
			Utilization: e.node.WorkDone() / n.Config.Speed / float64(n.Config.Cores) / float64(r.now())})
		e.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock() // probes still come
	c := &r.meter.Costs
	c.Attempts, c.CrossZone, c.Dials, c.Probes = r.counts.attempts, r.counts.cross, r.counts.dials, r.counts.probes
	c.Collapses, c.DuplicateEffects, c.ClientDuplicateEffects, c.LateResponses = r.counts.falls, r.counts.twice, r.counts.clientsTwice, r.counts.late
	c.ExecutedWork = worked
	if l := r.work; l.asked > 0 {
		r.meter.RecordMaintenance(l.asked, l.done, l.sent, l.took)
	}
	result := r.meter.Result()
	result.Scenario, result.Seed, result.Elapsed, result.Endpoints = r.plan.Name, r.plan.Seed, time.Duration(r.now())*time.Microsecond, nodes
	return result
}

// fit finds the plan's classes and tenants among the judge's.
func (r *run) fit() error {
	for _, c := range r.plan.Classes {
		at := -1
		for i, j := range r.o.Judge.Classes {
			if j.Name == c.Name {
				at = i
			}
		}
		if at < 0 {
			return fmt.Errorf("the scenario's class %q is none of the settings' classes", c.Name)
		}
		r.classOf = append(r.classOf, at)
	}
	for _, t := range r.plan.Tenants {
		at := -1
		for i, j := range r.o.Judge.Tenants {
			if j.Name == t.Name {
				at = i
			}
		}
		if at < 0 {
			return fmt.Errorf("the scenario's tenant %q is none of the settings' tenants", t.Name)
		}
		r.tenant = append(r.tenant, at)
	}
	return nil
}

func (r *run) close() {
	for _, in := range r.instances {
		in.kill()
		in.roster.Close()
		for _, a := range in.asks {
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
			close(j.HostData.(*waiting).lost)
		}
		e.mu.Unlock()
		e.close()
	}
}

// ---- Instances ---------------------------------------------------------------------

// entry is an endpoint's entry for an instance.
func (r *run) entry(n, instance int, lifecycle string, started monotime.Micros) discovery.Instance {
	p := &r.plan.Endpoints[n]
	e := discovery.Instance{ID: p.Name, Address: r.endpoints[n].fronts[instance].addr, Zone: r.plan.Fleet.Zones[p.Zone], Kind: r.plan.Scenario.EndpointKinds[p.Kind].Kind,
		Cell: uint16(p.Cell), Lifecycle: lifecycle, Weight: float32(p.Config.Cores)}
	if started > 0 {
		e.StartedMs = r.time(started).UnixMilli()
	}
	return e
}

// entries are those of all endpoints for an instance, as the run begins.
func (r *run) entries(instance int) (all []discovery.Instance) {
	for i := range r.plan.Endpoints {
		started := monotime.Micros(0)
		if r.plan.Endpoints[i].StartsWithRun {
			started = 1
		}
		all = append(all, r.entry(i, instance, "up", started))
	}
	return all
}

func (r *run) newInstance(n int) (*instance, error) {
	in := &instance{n: n}
	var err error
	if in.roster, err = discoveryserver.Start(r.entries(n)...); err != nil {
		return nil, err
	}
	listeners := r.plan.Clients.Processes
	if isSidecar(r.o.Daemon) {
		listeners = 1 // it is one application's
	}
	for range listeners {
		addr, err := freeport.Free()
		if err != nil {
			return nil, err
		}
		in.addrs = append(in.addrs, addr)
		in.asks = append(in.asks, &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1000, IdleConnTimeout: time.Minute}})
	}
	write, name := r.file, "instance-%d.toml"
	if isSidecar(r.o.Daemon) {
		write, name = r.sidecarFile, "instance-%d.json"
	}
	text, err := write(in)
	if err != nil {
		return nil, err
	}
	in.config = filepath.Join(r.dir, fmt.Sprintf(name, n))
	if err := os.WriteFile(in.config, text, 0o600); err != nil {
		return nil, err
	}
	return in, r.launch(in)
}

// program is what an instance is a process of.
func (r *run) program(in *instance) (path string, other bool) {
	if r.o.Beside != "" && in.n%2 == 1 {
		return r.o.Beside, true
	}
	return r.o.Daemon, false
}

// news are the tables of a daemon's file that another version may not know.
var news = []string{"overload", "peers", "operators", "work"}

// file is an instance's file: the settings', with what differs between instances and what is of this run.
func (r *run) file(in *instance) ([]byte, error) {
	var doc map[string]any
	if err := toml.Unmarshal(r.o.Settings, &doc); err != nil {
		return nil, err
	}
	if _, other := r.program(in); other {
		for _, table := range news {
			delete(doc, table)
		}
	}
	doc["name"] = fmt.Sprint("instance-", in.n)
	doc["discovery"] = map[string]any{"address": in.roster.Addr, "mode": r.own.Discovery.Mode}
	delete(doc, "takeover")
	if r.upgrades() {
		doc["takeover"] = map[string]any{"socket": filepath.Join(r.dir, fmt.Sprint("takeover-", in.n)), "drain_within": r.own.Takeover.DrainWithin.String()}
	}
	delete(doc, "record")
	delete(doc, "others")
	fleet, _ := doc["fleet"].(map[string]any)
	if fleet == nil {
		fleet = map[string]any{}
	}
	fleet["instances"], fleet["position"], fleet["zone"] = len(r.plan.Instances)+r.liars(), in.n, r.plan.Fleet.Zones[r.plan.Instances[in.n].Zone]
	doc["fleet"] = fleet
	if table, ok := doc["peers"].(map[string]any); ok && len(r.peers) > 0 {
		doc["peers"] = r.peersTable(in, table)
	}
	if err := r.workTables(in, doc); err != nil {
		return nil, err
	}
	if r.limits() {
		table, _ := doc["peers"].(map[string]any)
		if table == nil {
			table = map[string]any{}
			doc["peers"] = table
		}
		table["spent"] = r.spentPath(in.n)
	}
	bounds := map[string]any{}
	if len(r.own.Clients) > 0 {
		b := &r.own.Clients[0].ClientLimits
		bounds = map[string]any{"weight": b.Weight, "open_requests": b.MaxOpen, "requests_per_second": b.Rate}
		if b.Rate > 0 {
			bounds["burst"] = b.Burst
		}
	}
	var listeners, clients []any
	for i, addr := range in.addrs {
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
	program, other := r.program(in)
	if isSidecar(r.o.Daemon) {
		in.cmd = exec.Command(program)
		in.cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "ROUTER_CONFIG="+in.config)
		if r.own.Overload.On && !other {
			in.cmd.Env = append(in.cmd.Env, "ROUTER_OVERLOAD=1")
		}
	} else {
		in.cmd = exec.Command(program, "--config", in.config)
		in.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	in.cmd.Stderr = r.o.Log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		return err
	}
	cmd, ended, killed := in.cmd, make(chan struct{}), &atomic.Bool{}
	in.ended, in.killed = ended, killed
	go func() {
		defer close(ended)
		if err := cmd.Wait(); !killed.Load() {
			r.fail(fmt.Errorf("the process of instance %d has ended by itself: %v", in.n, err))
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
	for _, p := range in.former {
		p.cmd.Process.Kill()
		<-p.ended
	}
	in.former = nil
}

// former is a process whose place another takes.
type former struct {
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
	in.former = append(in.former, former{in.cmd, in.ended})
	in.mu.Unlock()
	if err := r.launch(in); err != nil {
		r.fail(err)
	}
}

// upgrades says whether processes take over from others in this run.
func (r *run) upgrades() bool {
	return slices.ContainsFunc(r.plan.PlannedEvents, func(h scenario.PlannedEvent) bool { return h.What == "upgrade" })
}

// freeze stops instances (SIGSTOP): they keep what they hold, and do nothing.
func (r *run) freeze(instances []int, until monotime.Micros) {
	for _, n := range instances {
		in := r.instances[n]
		in.thawed.Store(max(in.thawed.Load(), until+frozenSlack))
		in.signal(syscall.SIGSTOP)
	}
}

// thaw has them go on.
func (r *run) thaw(instances []int) {
	for _, n := range instances {
		in := r.instances[n]
		in.signal(syscall.SIGCONT)
		in.thawed.Store(r.now() + frozenSlack)
	}
}

// frozenSlack is until when after its going on an instance is not held to answers in time, in microseconds: what had come
// meanwhile comes to it at once.
const frozenSlack = 100_000

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended != nil && !in.killed.Load() {
		in.cmd.Process.Signal(s)
	}
}

// ready waits until an instance serves.
func (r *run) ready(ctx context.Context, in *instance) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + in.addrs[0] + "/-/ready")
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
	return fmt.Errorf("instance %d does not become ready", in.n)
}

// change tells discovery how it stands with an endpoint, after the time that it takes to hear of it.
func (r *run) change(n int, state balancer.EndpointState, vanished bool) {
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
	r.changes++
	now := r.now()
	lo, hi := float64(after.From.Microseconds()), float64(after.To.Microseconds())
	heard := now + monotime.Micros(lo+(hi-lo)*r.draws.For(uint64(n), r.changes).Float64()) + r.stale
	heard = max(heard, r.last[n]+1)
	r.last[n] = heard
	time.AfterFunc(time.Duration(heard-now)*time.Microsecond, func() {
		for _, in := range r.instances {
			in.roster.Set(r.entry(n, in.n, lifecycle, now))
		}
	})
}

// ---- Clients -----------------------------------------------------------------------

// story is a client's.
type story struct {
	simclient.Operation
	class   *balancer.Class
	worth   float64
	within  bool
	worked  monotime.Micros // by its latest attempt that ran
	effects map[int]int     // of each try
	count   map[int]int     // attempts of each try that reached an endpoint
}

// job is a request at an endpoint.
type job struct {
	simendpoint.Job
	story   *story
	try     int
	further bool // its instance sent the request before
}

// job makes an endpoint's request of what came.
func (r *run) job(q *http.Request) (*job, error) {
	v := q.URL.Query()
	id, err := strconv.ParseUint(v.Get("s"), 16, 64)
	try, err2 := strconv.Atoi(v.Get("t"))
	if err := errors.Join(err, err2); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stories[id]
	if s == nil {
		return nil, fmt.Errorf("no client asked for %x", id)
	}
	which := uint64(try)<<8 | uint64(s.count[try])
	s.count[try]++
	j := &job{story: s, try: try, further: s.count[try] > 1}
	c := 0
	for i, at := range r.classOf {
		if at == s.Class {
			c = i
		}
	}
	j.Class, j.Work = s.Class, simendpoint.DrawWork(r.noise.For(id, which), s.Work, r.plan.Classes[c].Noise)
	j.Chance = r.luck.For(id, which).Float64()
	if text := q.Header.Get("Idempotency-Key"); text != "" {
		if j.IdempotencyKey, err = strconv.ParseUint(text, 16, 64); err != nil {
			return nil, err
		}
	}
	return j, nil
}

// ran notes that a request has run.
func (r *run) ran(j *job, x simendpoint.Completion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := j.story
	s.Executions++
	s.worked = j.Work
	if !x.Effect {
		return
	}
	s.Effects++
	s.effects[j.try]++
	if s.class.Idempotency != balancer.Idempotent && s.Effects > 1 {
		if s.effects[j.try] > 1 {
			r.counts.twice++
		} else {
			r.counts.clientsTwice++
		}
	}
}

// ask has the clients of an instance ask, by the plan's clock.
func (r *run) ask(ctx context.Context, instance int) {
	next := r.plan.Operations(instance)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		x, ok := next()
		if !ok {
			return
		}
		timer.Reset(time.Until(r.time(x.StartedAt)) - coarse)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		sleep(r.time(x.StartedAt))
		s := &story{Operation: x, effects: map[int]int{}, count: map[int]int{}}
		s.Class = r.classOf[s.Class]
		if s.Tenant >= 0 {
			s.Tenant = r.tenant[s.Tenant]
		}
		s.class = &r.o.Judge.Classes[s.Class]
		if s.class.Idempotency != balancer.IdempotentByKey {
			s.IdempotencyKey = 0
		}
		r.mu.Lock()
		r.stories[s.ID] = s
		s.worth, s.within = r.meter.Weight(&s.Operation)
		// What a client waits for counts from when it wanted to ask, however late this goroutine is.
		t := s.Start(x.StartedAt, &r.habits, s.class, r.callers.For(s.ID, 0))
		r.mu.Unlock()
		r.open.Go(func() { r.tell(ctx, s, t) })
	}
}

// tell lives a story to its end.
func (r *run) tell(ctx context.Context, s *story, t simclient.Request) {
	for {
		verdict, retryAfter := r.try(ctx, s, t)
		r.mu.Lock()
		now := r.now()
		at, again := s.RequestEnded(now, t.Number, verdict, retryAfter, s.class, r.callers.For(s.ID, uint64(2*t.Number+1)))
		if !again {
			r.meter.OperationEnded(&s.Operation, r.plan.Instances[s.Instance].Zone, s.worth, s.within)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		sleep(r.time(at))
		r.mu.Lock()
		t = s.Retry(r.now(), &r.habits, s.class, r.callers.For(s.ID, uint64(2*s.Requests)))
		r.mu.Unlock()
	}
}

// try makes one request and waits for what comes of it.
func (r *run) try(ctx context.Context, s *story, t simclient.Request) (simclient.RequestOutcome, monotime.Micros) {
	began := r.now()
	r.count(func(*counts) { r.meter.Costs.ClientRequests++ })
	// A client that waits to the end is there a little longer, to see whether an answer that is owed comes at all.
	until := t.Deadline + lateMost
	if t.AbortAt > 0 {
		until = t.AbortAt
	}
	ctx, cancel := context.WithDeadline(ctx, r.time(until))
	defer cancel()
	in := r.instances[s.Instance]
	method := http.MethodGet
	var body io.Reader
	if s.class.Idempotency != balancer.Idempotent {
		method, body = http.MethodPost, strings.NewReader("{}")
	}
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/x?s=%x&t=%d", in.addrs[s.Process%len(in.addrs)], s.class.Name, s.ID, t.Number), body)
	if err != nil {
		panic(err) // of our own making
	}
	left := max(1, (t.Deadline-r.now())/1000)
	q.Header.Set("X-Trace-Id", fmt.Sprintf("%x-%d", s.ID, t.Number))
	q.Header.Set("X-Qos", s.class.Name)
	q.Header.Set("X-Object", fmt.Sprintf("%x", s.Object))
	q.Header.Set("X-Expires-In-Ms", fmt.Sprint(left))
	if s.Tenant >= 0 {
		q.Header.Set("X-Customer", r.o.Judge.Tenants[s.Tenant].Name)
	}
	if t.IdempotencyKey != 0 {
		q.Header.Set("Idempotency-Key", fmt.Sprintf("%x", t.IdempotencyKey))
	}
	if t.Retry {
		q.Header.Set("X-Second-Try", "1")
	}
	resp, err := in.asks[s.Process%len(in.asks)].Do(q)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		// An instance that was stopped meanwhile owes nothing.
		if errors.Is(err, context.DeadlineExceeded) && t.AbortAt == 0 && in.thawed.Load() < began {
			r.count(func(c *counts) { c.late++ })
		}
		return simclient.NoResponse, 0
	}
	if r.now() > t.Deadline {
		return simclient.NoResponse, 0 // it has left by then
	}
	switch resp.StatusCode {
	case http.StatusOK:
		r.count(func(*counts) { r.meter.Costs.UsefulWork += float64(s.worked) })
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
func (r *run) cut(a, b int) bool {
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
func (r *run) hush() {
	for _, e := range r.endpoints {
		if err := e.hush(); err != nil {
			r.fail(err)
		}
	}
}

// conditions sets what goes wrong at an endpoint by all that happens now.
func (r *run) conditions(n int) {
	var c simendpoint.Condition
	now := r.now()
	for i := range r.plan.PlannedEvents {
		h := &r.plan.PlannedEvents[i]
		if now < h.At || now >= h.Until {
			continue
		}
		for j, at := range h.Endpoints {
			if at == n {
				h.AddCondition(&c, now, j, r.classOf)
			}
		}
	}
	r.endpoints[n].set(c)
}

// at calls f at an instant, unless the run has ended by then.
func (r *run) at(ctx context.Context, beside *sync.WaitGroup, at monotime.Micros, f func()) {
	beside.Go(func() {
		timer := time.NewTimer(time.Until(r.time(at)))
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
				r.at(ctx, beside, h.Until+1, f)
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
				r.change(n, balancer.Gone, silent)
			}
		}
		switch h.What {
		case "slow", "errors", "mute", "full", "lies", "babble", "late-reports":
			r.at(ctx, beside, h.At, each(r.conditions))
			over(each(r.conditions))
		case "neighbour":
			for at := h.At; at < min(h.Until, end); at += max(h.Every, 1_000_000) {
				r.at(ctx, beside, at, each(r.conditions))
				if h.Every <= 0 {
					break
				}
			}
			over(each(r.conditions))
		case "pause":
			r.at(ctx, beside, h.At, each(func(n int) { r.endpoints[n].pause(h.Until - h.At) }))
		case "drain":
			r.at(ctx, beside, h.At, each(func(n int) { r.endpoints[n].drain() }))
			over(each(up))
		case "kill":
			r.at(ctx, beside, h.At, each(kill(false)))
			over(each(up))
		case "vanish":
			r.at(ctx, beside, h.At, each(kill(true)))
			over(each(up))
		case "rolling":
			for k, n := range h.Endpoints {
				if at := h.At + monotime.Micros(k)*h.Every; at < min(h.Until, end) {
					r.at(ctx, beside, at, func() { r.endpoints[n].drain() })
					r.at(ctx, beside, at+h.Every, func() { up(n) })
				}
			}
		case "cut":
			pair := [2]int{h.Zone, h.To}
			r.at(ctx, beside, h.At, func() {
				r.count(func(*counts) { r.cuts = append(r.cuts, pair) })
				r.hush()
			})
			over(func() {
				r.count(func(*counts) {
					for j, c := range r.cuts {
						if c == pair {
							r.cuts = append(r.cuts[:j:j], r.cuts[j+1:]...)
							break
						}
					}
				})
				r.hush()
			})
		case "stale":
			r.at(ctx, beside, h.At, func() { r.count(func(*counts) { r.stale += h.Delay }) })
			over(func() { r.count(func(*counts) { r.stale -= h.Delay }) })
		case "silent":
			each := func(on bool) func() {
				return func() {
					for _, in := range r.instances {
						in.roster.Silence(on)
					}
				}
			}
			r.at(ctx, beside, h.At, each(true))
			over(each(false))
		case "restart", "power":
			r.at(ctx, beside, h.At, func() {
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
				r.at(ctx, beside, h.At+1_000_000, back)
			}
		case "liar":
			r.at(ctx, beside, h.At, func() {
				stop, err := r.lie(h.Sizes[0])
				if err != nil {
					r.fail(err)
					return
				}
				r.at(ctx, beside, min(h.Until, end), stop)
			})
		case "limits":
			r.at(ctx, beside, h.At, func() { r.relimit(h.Instances, h.Sizes[0]) })
			over(func() { r.relimit(h.Instances, 1) })
		case "work":
			r.at(ctx, beside, h.At, func() { r.labour(ctx, h) })
		case "upgrade":
			r.at(ctx, beside, h.At, func() {
				for _, n := range h.Instances {
					r.upgrade(r.instances[n])
				}
			})
		case "freeze":
			for at := h.At; at < min(h.Until, end); at += 2 * h.Every {
				until, _ := h.Frozen(at)
				r.at(ctx, beside, at, func() { r.freeze(h.Instances, until) })
				r.at(ctx, beside, until, func() { r.thaw(h.Instances) })
				if h.Every <= 0 {
					break
				}
			}
		case "deaf":
			deafen := func(on bool) func() {
				return func() {
					for _, n := range h.Instances {
						r.instances[n].roster.Silence(on)
					}
				}
			}
			r.at(ctx, beside, h.At, deafen(true))
			over(deafen(false))
		case "sever":
			r.at(ctx, beside, h.At, r.hush)
			over(r.hush)
		}
	}
	for n := range r.endpoints {
		if p := r.endpoints[n].plan; p.PauseEvery > 0 && p.PauseFor > 0 {
			beside.Go(func() { r.pauses(ctx, n) })
		}
	}
}

// pauses stops an endpoint for a moment now and then, at the same instants as in the model.
func (r *run) pauses(ctx context.Context, n int) {
	p := r.endpoints[n].plan
	stream := randstream.New(r.plan.Seed, "pauses")
	at := monotime.Micros(0)
	for k := uint64(1); ; k++ {
		at += 1 + monotime.Micros(stream.For(uint64(n), k).ExpFloat64()*float64(p.PauseEvery))
		if at >= r.plan.Length.Micros() {
			return
		}
		timer := time.NewTimer(time.Until(r.time(at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		r.endpoints[n].pause(monotime.Micros(stream.For(uint64(n), k, 1).ExpFloat64() * float64(p.PauseFor)))
	}
}
