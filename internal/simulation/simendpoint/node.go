// Package simendpoint is an endpoint as a state machine: cores that requests queue for, a speed that differs and changes, a
// warm-up, draining, falling over, connections, keys whose repeats it drops, and reports of its load. It decides nothing
// for the fleet: it is what the fleet is tried on. It is free of I/O and reads no clock, so that the same endpoint stands
// in simulated time (package simulation) and behind a socket (package processes).
package simendpoint

import (
	"math"
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
)

const second monotime.Micros = 1_000_000

// Cancel says what becomes of a request whose sender has given it up.
type Cancel uint8

// What it may be.
const (
	CancelNone   Cancel = iota // it runs all the same
	CancelQueued               // it is dropped while it waits
	CancelAll                  // it is dropped, at work too
)

// Config is what an endpoint is.
type Config struct {
	Cores     int             // requests worked at side by side
	Speed     float64         // of a core, where 1 does a microsecond's work in a microsecond
	Queue     int             // requests that may wait
	ColdFrom  float64         // the part of its speed that it starts with, 1 for all of it,
	ColdFor   monotime.Micros // and after so long it has all of it
	Fall      float64         // sent more than so many times what it can do, while cold,
	FallAfter monotime.Micros // within so long, it falls over; 0 is never
	Cancel    Cancel
	Errors    float64         // part of its requests that fail
	CrowdAt   float64         // requests held for each core beyond which
	Crowd     float64         // it loses this part of its speed; 0 is never
	ProbeWork monotime.Micros // what a probe costs it
	Handshake monotime.Micros // what a new connection costs it
	Conns     int             // connections that it holds; 0 is no bound
	Report    monotime.Micros // its figures are made anew so often; 0 is at each look
	Noise     float64         // of its figures
}

// Condition is what goes wrong at an endpoint for a while. The zero value is nothing.
type Condition struct {
	Slow   float64 // times as long; 0 is 1
	Stolen float64 // part of the machine that another program takes
	Errors float64 // part of the requests that fail at once, without having run,
	Class  int     // of this class only, where Part is set
	Part   bool
	Mute   float64         // part of the requests that are never answered
	Full   float64         // part of the requests that it turns away unseen, although it has room
	Lies   bool            // its reports say that it holds nothing
	Babble bool            // its reports say nothing, or what cannot be
	Late   monotime.Micros // its reports are older by this
}

// Job is a request at an endpoint.
type Job struct {
	Class  int
	Work   monotime.Micros // at speed 1
	Key    uint64          // a repeat of it is dropped; 0 is none
	Luck   float64
	Host   any             // the host's own
	repeat bool            // its key was known as it came
	began  monotime.Micros // working only
	end    monotime.Micros
	state  state
	place  int // among the cores, Working only
}

type state uint8

const (
	away state = iota
	waiting
	working
)

// Verdict is what becomes of a request at an endpoint.
type Verdict uint8

// The verdicts.
const (
	Taken  Verdict = iota // it waits or is at work: its end will come
	Done                  // it ran
	Repeat                // it had run before, and was answered as then
	Error                 // it failed; it may have run
	Full                  // turned away unseen
	Muted                 // it ran, and nothing is said of it
)

// Ended is a request's end at an endpoint.
type Ended struct {
	Job     *Job
	At      monotime.Micros
	Verdict Verdict
	Effect  bool // it took effect: it was no repeat that the endpoint knew. What fails after its work has, too
}

// Group is a set of endpoints that share which keys they have seen.
type Group struct {
	window monotime.Micros
	seen   map[uint64]monotime.Micros // keys, by when each was first taken
	order  []uint64                   // the oldest first
}

// NewGroup returns a group that drops a key's repeats for so long.
func NewGroup(window monotime.Micros) *Group {
	return &Group{window: window, seen: map[uint64]monotime.Micros{}}
}

// repeat says whether a key is known, and notes it.
func (g *Group) repeat(now monotime.Micros, key uint64) bool {
	for len(g.order) > 0 && now-g.seen[g.order[0]] >= g.window {
		delete(g.seen, g.order[0])
		g.order = g.order[1:]
	}
	if _, known := g.seen[key]; known {
		return true
	}
	g.seen[key] = now
	g.order = append(g.order, key)
	return false
}

// forget takes back that a key was seen: what was seen of it never ran.
func (g *Group) forget(key uint64) {
	if _, known := g.seen[key]; known {
		delete(g.seen, key)
		g.order = slices.DeleteFunc(g.order, func(k uint64) bool { return k == key })
	}
}

// Node is an endpoint. Make one with New, and start it.
type Node struct {
	c     Config
	group *Group
	cond  Condition

	up       bool
	draining bool
	fell     bool
	started  monotime.Micros
	always   bool // it was up before everything began: it is warm

	cores  []*Job // nil where a core is free
	busy   int
	queue  []*Job
	paused monotime.Micros // nothing goes on until then
	debt   monotime.Micros // work for probes and handshakes that the next request waits for
	conns  int
	worked float64 // work done, at speed 1

	// What was sent while cold, in tenths of the time after which it falls over.
	slot    int64
	slots   [10]float64
	ended   []Ended
	figures figures
}

// figures are what reports are made of.
type figures struct {
	at     monotime.Micros
	load   Load
	from   monotime.Micros // of the present second
	served int
	errors int
	used   monotime.Micros // core time in the present second
	last   Load
	past   []stamped // for reports that come late
}

type stamped struct {
	at   monotime.Micros
	load Load
}

// Load is a report of an endpoint's load.
type Load struct {
	Inflight, Queue, Util float64
	LatencyMS             float64 // service time without waiting
	Served, Errors        float64 // a second
}

// New returns an endpoint that is down. group is that of its keys, and may be nil.
func New(c Config, group *Group) *Node {
	return &Node{c: c, group: group, cores: make([]*Job, max(1, c.Cores))}
}

// Start has it come up. One that was always up is warm.
func (n *Node) Start(now monotime.Micros, always bool) {
	n.up, n.draining, n.fell, n.started, n.always = true, false, false, now, always
	n.debt, n.conns, n.paused = 0, 0, 0
	n.slots, n.slot = [10]float64{}, 0
	n.figures = figures{from: now}
}

// Kill ends it at once, and returns what it held: nobody will be told of those.
func (n *Node) Kill(now monotime.Micros) []*Job {
	held := slices.Clone(n.queue)
	for i, j := range n.cores {
		if j != nil {
			held = append(held, j)
			n.cores[i] = nil
		}
	}
	for _, j := range held {
		n.drop(j)
	}
	n.up, n.busy, n.queue, n.ended = false, 0, nil, nil
	return held
}

// Drain has it finish what it holds and take nothing new.
func (n *Node) Drain() { n.draining = true }

// Up says whether its process runs; it may be draining, or have fallen over.
func (n *Node) Up() bool { return n.up }

// Fell says whether it was pushed over while cold. It stays so until it is started again.
func (n *Node) Fell() bool { return n.fell }

// Held returns how many requests it holds.
func (n *Node) Held() int { return n.busy + len(n.queue) }

// Worked returns the work that it has done, in microseconds at speed 1.
func (n *Node) Worked() float64 { return n.worked }

// Started returns when it last started, 0 if it was always up.
func (n *Node) Started() monotime.Micros {
	if n.always {
		return 0
	}
	return n.started
}

// Set changes what goes wrong there.
func (n *Node) Set(c Condition) { n.cond = c }

// Condition returns what goes wrong there.
func (n *Node) Condition() Condition { return n.cond }

// Pause stops it for a while, as a collector of garbage does: what is at work takes so much longer.
func (n *Node) Pause(now, length monotime.Micros) {
	n.paused = max(n.paused, now) + length
	for _, j := range n.cores {
		if j != nil {
			j.end += length
		}
	}
}

// Connect takes in a new connection, and says whether there was room.
func (n *Node) Connect() bool {
	if !n.up || n.c.Conns > 0 && n.conns >= n.c.Conns {
		return false
	}
	n.conns++
	n.debt += n.c.Handshake
	return true
}

// Disconnect gives a connection back.
func (n *Node) Disconnect() { n.conns = max(0, n.conns-1) }

// Warmth is the part of its speed that it has by now.
func (n *Node) Warmth(now monotime.Micros) float64 {
	if n.always || n.c.ColdFor <= 0 || n.c.ColdFrom <= 0 || now-n.started >= n.c.ColdFor {
		return 1
	}
	return n.c.ColdFrom + (1-n.c.ColdFrom)*float64(now-n.started)/float64(n.c.ColdFor)
}

// Capacity is the work that it can do in a microsecond, by all its cores, as things stand.
func (n *Node) Capacity(now monotime.Micros) float64 {
	if !n.up || n.fell {
		return 0
	}
	return float64(len(n.cores)) * n.speed(now)
}

// speed is that of one core.
func (n *Node) speed(now monotime.Micros) float64 {
	v := n.c.Speed * n.Warmth(now) * (1 - n.cond.Stolen)
	if n.cond.Slow > 0 {
		v /= n.cond.Slow
	}
	if n.c.Crowd > 0 && float64(n.Held()) > n.c.CrowdAt*float64(len(n.cores)) {
		v *= 1 - n.c.Crowd
	}
	return max(v, 1e-3)
}

// Arrive takes a request in, or says at once what becomes of it: Full, or Error of one that has not run.
func (n *Node) Arrive(now monotime.Micros, j *Job) Verdict {
	if n.draining || n.fell || n.c.Queue > 0 && len(n.queue) >= n.c.Queue && n.busy == len(n.cores) {
		n.push(now, j)
		return Full
	}
	n.push(now, j)
	if n.fell || j.Luck < n.cond.Full {
		return Full
	}
	if (!n.cond.Part || n.cond.Class == j.Class) && j.Luck >= n.c.Errors && j.Luck < n.c.Errors+n.cond.Errors {
		n.figures.errors++
		return Error
	}
	j.repeat = j.Key != 0 && n.group != nil && n.group.repeat(now, j.Key)
	if n.busy < len(n.cores) && len(n.queue) == 0 {
		n.begin(now, j)
		return Taken
	}
	j.state = waiting
	n.queue = append(n.queue, j)
	return Taken
}

// push counts what is sent to a cold endpoint, which falls over when that is too much for too long.
func (n *Node) push(now monotime.Micros, j *Job) {
	warmth := n.Warmth(now)
	if n.c.Fall <= 0 || n.c.FallAfter <= 0 || warmth >= 1 || n.fell {
		return
	}
	width := max(1, n.c.FallAfter/int64(len(n.slots)))
	at := now / width
	for ; n.slot < at; n.slot++ {
		if at-n.slot > int64(len(n.slots)) {
			n.slot, n.slots = at-1, [10]float64{}
		}
		n.slots[(n.slot+1)%int64(len(n.slots))] = 0
	}
	n.slots[at%int64(len(n.slots))] += float64(j.Work)
	var sent float64
	for _, v := range n.slots {
		sent += v
	}
	can := float64(len(n.cores)) * n.c.Speed * warmth * float64(n.c.FallAfter)
	if sent > n.c.Fall*can*1.1 { // a tenth for chance
		n.fell = true
	}
}

// begin has a request go to work on a free core.
func (n *Node) begin(now monotime.Micros, j *Job) {
	j.state = working
	speed := n.speed(now)
	length := monotime.Micros(float64(j.Work+n.debt)/speed) + 1
	n.debt = 0
	j.began, j.end = now, max(now, n.paused)+length
	n.figures.used += length
	n.busy++
	for i := range n.cores {
		if n.cores[i] == nil {
			n.cores[i], j.place = j, i
			return
		}
	}
}

// Next returns the instant of the next end; ok says whether there is one.
func (n *Node) Next() (at monotime.Micros, ok bool) {
	for _, j := range n.cores {
		if j != nil && (!ok || j.end < at) {
			at, ok = j.end, true
		}
	}
	return at, ok
}

// Advance works on until an instant, and returns what has ended by then. The result is good until the next call.
func (n *Node) Advance(now monotime.Micros) []Ended {
	n.ended = n.ended[:0]
	for {
		at, ok := n.Next()
		if !ok || at > now {
			return n.ended
		}
		for i, j := range n.cores {
			if j == nil || j.end != at {
				continue
			}
			n.cores[i] = nil
			n.busy--
			j.state = away
			n.ended = append(n.ended, n.end(at, j))
		}
		n.refill(at)
	}
}

// refill has what waits go to work.
func (n *Node) refill(now monotime.Micros) {
	for n.busy < len(n.cores) && len(n.queue) > 0 {
		j := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		n.begin(now, j)
	}
}

// end is what came of a request that was worked at to its end. Its luck decides, so that it is the same whatever else
// goes on.
func (n *Node) end(now monotime.Micros, j *Job) Ended {
	n.worked += float64(j.Work)
	n.figures.served++
	n.figures.load.LatencyMS += (float64(j.Work)/n.speed(now)/1000 - n.figures.load.LatencyMS) * 0.1
	e := Ended{Job: j, At: now, Verdict: Done, Effect: true}
	if j.repeat {
		e.Verdict, e.Effect = Repeat, false
	}
	switch {
	case j.Luck < n.c.Errors:
		n.figures.errors++
		e.Verdict = Error
	case j.Luck > 1-n.cond.Mute:
		e.Verdict = Muted
	}
	return e
}

// GiveUp tells that a request's sender waits no longer, and says whether that ends it.
func (n *Node) GiveUp(now monotime.Micros, j *Job) bool {
	switch {
	case j.state == waiting && n.c.Cancel != CancelNone:
		if i := slices.Index(n.queue, j); i >= 0 {
			n.queue = slices.Delete(n.queue, i, i+1)
		}
	case j.state == working && n.c.Cancel == CancelAll:
		n.cores[j.place] = nil
		n.busy--
		if length := float64(j.end - j.began); length > 0 {
			n.worked += float64(j.Work) * max(0, min(1, float64(now-j.began)/length))
		}
		n.refill(now)
	default:
		return false
	}
	n.drop(j)
	return true
}

// drop ends a request that has not run to its end. A repeat of it that comes now runs.
func (n *Node) drop(j *Job) {
	j.state = away
	if j.Key != 0 && n.group != nil && !j.repeat {
		n.group.forget(j.Key)
	}
}

// Probe returns what a probe is told. It costs the endpoint a little.
func (n *Node) Probe(now monotime.Micros, r *rand.Rand) Load {
	n.debt += n.c.ProbeWork
	f := &n.figures
	if now-f.from >= second {
		f.load.Served = float64(f.served) * float64(second) / float64(now-f.from)
		f.load.Errors = float64(f.errors) * float64(second) / float64(now-f.from)
		f.load.Util = min(1, float64(f.used)/float64(now-f.from)/float64(len(n.cores)))
		f.from, f.served, f.errors, f.used = now, 0, 0, 0
	}
	if f.at == 0 || now-f.at >= n.c.Report {
		f.at = now
		f.load.Inflight, f.load.Queue = float64(n.Held()), float64(len(n.queue))
		f.last = f.load
		if n.c.Noise > 0 {
			f.last.Inflight = max(0, f.last.Inflight*(1+n.c.Noise*r.NormFloat64()))
			f.last.Util = max(0, f.last.Util*(1+n.c.Noise*r.NormFloat64()))
		}
		f.past = append(f.past, stamped{now, f.last})
		for len(f.past) > 2 && now-f.past[1].at > 10*second {
			f.past = f.past[1:]
		}
	}
	switch {
	case n.cond.Lies:
		return Load{}
	case n.cond.Babble && r.Float64() < 0.5:
		nothing := math.NaN()
		return Load{nothing, nothing, nothing, nothing, nothing, nothing}
	case n.cond.Babble:
		return Load{Inflight: 1e9, Queue: 1e9, Util: -3, LatencyMS: math.Inf(1), Served: 1 + 1e9*r.Float64(), Errors: 1e9}
	case n.cond.Late > 0:
		old := Load{}
		for i := len(f.past) - 1; i >= 0; i-- {
			if f.past[i].at <= now-n.cond.Late {
				old = f.past[i].load
				break
			}
		}
		return old
	}
	return f.last
}

// WorkOf draws what an attempt of a request costs: the request's own work, and what differs from one run to the next.
func WorkOf(r *rand.Rand, work monotime.Micros, noise float64) monotime.Micros {
	return max(1, monotime.Micros(randstream.LogNormal(r, float64(work), noise)))
}
