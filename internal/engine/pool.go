package engine

import (
	"hash/fnv"
	"slices"
	"sync/atomic"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/monotime"
)

// PoolConfig is what a pool needs.
type PoolConfig struct {
	Name   string
	Source string        // where its list comes from: what another pool of this name has learned holds here if it is the same
	Listed bool          // the list is a part of the configuration: another's is not taken over
	Known  Told          // the list as last held; perhaps old. Its Kind is not read; a negative Generation is no list
	Watch  func(on bool) // asks for the list's changes, or ends that; must not wait

	Subset *subset.Settings // the instance deals with a part of the list only; nil is with all
	Rest   func(n float64)  // told how many idle connections the pool may hold, with Subset; may be nil; must not wait

	Overload *overload.Settings // what the fleet's overload leaves is decided with the others in mind; nil is not. The site's part is filled in

	RetryShare  float64         // retries at its endpoints, as a part of their requests; 0 is the site's
	RetryWithin monotime.Micros // as balancer.Settings has it
	RetryLeast  float64
}

// Pool is a set of endpoints with a balancer, and with places for requests in flight, of its own. Its fields belong
// to the engine, but for those that do not change.
type Pool struct {
	engine   *Engine
	name     string
	config   PoolConfig
	balancer *balancer.Balancer

	shares  *fairqueue.Scheduler
	limit   *concurrency.Limiter // nil where the number in flight is not learned
	wake    *alarm               // for shares
	wakeAt  monotime.Micros
	touched bool
	source  string

	byName     map[string]*Endpoint
	byNumber   map[uint32]*Endpoint
	numbers    uint32
	list       map[string]Member // as held, by name
	generation int64             // of the list
	narrowed   *narrowed         // nil where all of the list is dealt with
	loaded     *loaded           // nil where each request is judged by itself
	lending    bool              // its budgets are lent among instances

	calls  int  // not forgotten
	closed bool // nothing new is taken
	gone   bool // and nothing is left
}

// NewPool makes a pool, or returns the *balancer.SettingError of settings that make no sense. It is the engine's from
// Begin on; until then it is not, and may be made while the engine is at work elsewhere.
func (x *Engine) NewPool(c PoolConfig) (*Pool, error) {
	p := &Pool{engine: x, name: c.Name, config: c, source: c.Source, byName: map[string]*Endpoint{}, byNumber: map[uint32]*Endpoint{}, list: map[string]Member{}}
	seed := x.config.Seed
	if c.Name != "" {
		h := fnv.New64a()
		h.Write([]byte(c.Name))
		seed ^= h.Sum64()
	}
	if err := p.share(x.config.Sharing, seed); err != nil {
		return nil, err
	}
	if c.Subset != nil {
		if err := p.narrow(*c.Subset, seed); err != nil {
			return nil, err
		}
	}
	settings := x.config.Site.Settings
	if c.RetryShare > 0 {
		settings.RetryShare = c.RetryShare
	}
	settings.RetryWithin, settings.RetryLeast = c.RetryWithin, c.RetryLeast
	var err error
	if p.balancer, err = balancer.New(settings, seed, actions{x, p}); err != nil {
		return nil, err
	}
	if c.Overload != nil {
		// No more is tried again than the pool has without it.
		o := *c.Overload
		if settings.RetryShare > 0 {
			o.RetryRatio = min(o.RetryRatio, settings.RetryShare)
		}
		o.OverloadedRetryRatio = min(o.OverloadedRetryRatio, o.RetryRatio)
		if err := p.bound(o, seed); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Begin adds a pool, with the list that is known.
func (p *Pool) Begin(now monotime.Micros) {
	x := p.engine
	x.now = now
	x.pools = append(x.pools, p)
	p.lends()
	p.balancer.Start(now)
	if known := p.config.Known; known.Generation >= 0 {
		known.Kind, known.Anew = balancer.ListCached, true
		p.members(now, known)
	} else {
		// No list is known: what the first one names has not just appeared.
		p.generation = known.Generation
	}
	x.pump(now)
}

// Name returns the pool's name.
func (p *Pool) Name() string { return p.name }

// Gone says whether the pool was closed and nothing is left of it.
func (p *Pool) Gone() bool { return p.gone }

// Moved tells that the list comes from another source from now on.
func (p *Pool) Moved(source string) { p.source = source }

// Members tells news of the list.
func (p *Pool) Members(now monotime.Micros, told Told) {
	if p.gone {
		return
	}
	p.engine.now = now
	p.members(now, told)
	p.engine.pump(now)
}

// Close takes nothing new; what is open goes on to its end, at the endpoints of the pool.
func (p *Pool) Close(now monotime.Micros) {
	p.engine.now = now
	p.closed = true
	p.shares.Close()
	p.dissolve()
	p.engine.pump(now)
}

// dissolve lets the endpoints of a closed pool go once nothing is open there.
func (p *Pool) dissolve() {
	if !p.closed || p.gone || p.calls > 0 {
		return
	}
	p.gone = true
	p.unlends()
	p.engine.pools = slices.DeleteFunc(p.engine.pools, func(o *Pool) bool { return o == p })
	p.engine.callOff(p.wake)
	if p.narrowed != nil {
		p.engine.callOff(p.narrowed.alarm)
		if p.narrowed.rest != nil {
			p.narrowed.rest(0)
		}
	}
	for _, e := range p.byName {
		e.Target.Drop()
	}
	p.byName, p.byNumber, p.list = nil, nil, nil
}

// Endpoint is an entry of the list.
type Endpoint struct {
	Number uint32 // for the balancer
	Name   string
	Addr   string
	Target Target // of the address
	state  balancer.State
	banned bool         // out by hand, or by order
	util   float64      // how busy it says that it is, 0 to 1, on the mean
	stopAt atomic.Int64 // nothing new goes out from this instant on; 0: no such instant. Attempts read it
}

// MaySend says whether the first byte of an attempt may still go out: an endpoint that drains gets nothing new past the
// grace, and connecting may have outlasted it. It may be called beside the engine.
func (e *Endpoint) MaySend(now monotime.Micros) bool {
	stop := e.stopAt.Load()
	return stop == 0 || now < stop
}

// graceMargin is kept from the grace for drains: the send's first byte must arrive within it.
const graceMargin = 50_000

// Member is an entry of the list of endpoints, with names where the balancer has numbers.
type Member struct {
	Name    string          `json:"Name"`
	Addr    string          `json:"Addr"` // may be empty for what is gone
	Zone    string          `json:"Zone"`
	Kind    string          `json:"Kind"`
	Cell    uint16          `json:"Cell"`
	State   balancer.State  `json:"State"`
	Weight  float32         `json:"Weight"`
	Started monotime.Micros `json:"Started"` // Unix time of its latest start; 0 for long ago
}

// Told is news of the list of endpoints. The generations of one discovery only grow.
type Told struct {
	Kind       balancer.ListKind
	Generation int64
	Anew       bool // it comes from another discovery, whose generations are its own
	Back       bool // with Anew: it is the same discovery, whose generations have begun anew
	Members    []Member
}

// ---- The list ---------------------------------------------------------------

// members passes news of the list on, with names turned into numbers. What is older than the list held is passed
// over: it would bring back endpoints that are known to be draining.
func (p *Pool) members(now monotime.Micros, told Told) {
	if told.Kind == balancer.ListFailed {
		p.balancer.Members(now, told.Kind, nil)
		return
	}
	if told.Generation < p.generation && !told.Anew {
		p.engine.config.Host.Warn("stale list passed over", "pool", p.name, "generation", told.Generation, "have", p.generation)
		return
	}
	p.generation = told.Generation
	if o := p.engine.config.Observe; o != nil {
		o.Told(now, told)
	}
	if p.narrowed != nil {
		told = p.narrowed.take(now, told)
		defer p.setAlarm()
	}
	p.apply(now, told)
}

// apply tells the balancer of endpoints.
func (p *Pool) apply(now monotime.Micros, told Told) {
	entries := make([]balancer.Endpoint, 0, len(told.Members))
	named := map[string]bool{}
	for _, m := range told.Members {
		if m.Name == "" || m.Addr == "" && m.State != balancer.Gone {
			p.engine.config.Host.Warn("entry of the list passed over: no id or no address", "pool", p.name, "id", m.Name)
			continue
		}
		named[m.Name] = true
		e := p.byName[m.Name]
		if e == nil {
			if m.State == balancer.Gone {
				continue
			}
			p.numbers++
			e = &Endpoint{Number: p.numbers, Name: m.Name, Addr: m.Addr, Target: p.engine.config.Host.Target(m.Addr)}
			p.byName[m.Name], p.byNumber[e.Number] = e, e
		}
		if m.Addr != "" && m.Addr != e.Addr {
			e.Target.Drop()
			e.Addr, e.Target = m.Addr, p.engine.config.Host.Target(m.Addr)
		}
		if old := p.list[m.Name]; told.Back && e.state == balancer.Draining && old.Started == m.Started {
			m.State = max(m.State, balancer.Draining) // it may be older than what told of the drain
		}
		p.list[m.Name] = m
		p.setState(now, m.Name, e, m.State)
		entries = append(entries, balancer.Endpoint{ID: e.Number, Zone: index(p.engine.config.Site.Zones, m.Zone),
			Kind: index(p.engine.config.Site.Kinds, m.Kind), Cell: m.Cell, State: m.State, Share: m.Weight,
			StartTime: m.Started})
	}
	if told.Kind != balancer.ListDelta {
		for name, e := range p.byName {
			if !named[name] {
				p.setState(now, name, e, balancer.Gone)
			}
		}
	}
	p.balancer.Members(now, told.Kind, entries)
	for name, e := range p.byName { // one that is new is in, and has had no chance to get anything
		p.obey(now, name, e)
	}
	p.counted()
	for _, e := range p.byName {
		if e.state == balancer.Ready {
			if !p.engine.ready {
				p.engine.ready = true
				p.engine.config.Host.Ready()
			}
			break
		}
	}
}

// setState notes from when on nothing new may go to an endpoint. The balancer stops at once; this is for
// attempts that are waiting for a connection.
func (p *Pool) setState(now monotime.Micros, name string, e *Endpoint, state balancer.State) {
	switch {
	case e.banned: // nothing goes out since then, whatever is told
	case state == balancer.Ready:
		e.stopAt.Store(0)
	case e.state == balancer.Ready:
		e.stopAt.Store(max(1, now+p.engine.config.Site.Settings.Contract.DrainGrace-graceMargin))
	}
	e.state = state
	if state == balancer.Gone {
		e.Target.Drop()
		delete(p.byName, name)
		delete(p.list, name)
		delete(p.byNumber, e.Number)
	}
}

// index returns the place of a name in the settings, or one past all places.
func index(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 {
		return uint8(i)
	}
	return 255
}

// text is a hash of a text.
func text(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}
