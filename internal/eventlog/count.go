package eventlog

import (
	"cmp"
	"slices"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// The bounds by which an endpoint counts as bad for a stretch of time: so many failures of so many attempts, by the whole
// fleet, within two seconds. No instance sees that; it is what the count is for.
const (
	badWindow   = 2 * second
	badAttempts = 5
	badPart     = 0.5
	badQuiet    = 5 * second // without a failure, and it is over
)

// Spread is a number over instances, endpoints or seconds.
type Spread struct {
	N                int
	Mean, Half, Most float64 // Half is the median
}

func spread(v []float64) Spread {
	if len(v) == 0 {
		return Spread{}
	}
	slices.Sort(v)
	var sum float64
	for _, x := range v {
		sum += x
	}
	return Spread{len(v), sum / float64(len(v)), v[len(v)/2], v[len(v)-1]}
}

// Counts is what a fleet did. Times are in seconds.
type Counts struct {
	Instances, Endpoints int
	Seconds              float64

	Attempts, Failures int
	PerSecond          map[Kind]Spread // at each endpoint in each second of its life: attempts, probes, new connections
	Held               Spread          // connections of all instances at one endpoint, the most at once
	DialsFailed        int

	Asked, AskedFailed int
	AskedMost          int // in one second

	New  Life // of endpoints that came while the fleet was watched
	Lost Life // of those that left the list
	Bad  BadCount
}

// Life is how a change of the list reached a fleet.
type Life struct {
	Endpoints int
	Told      Spread // time from the first instance that was told until each was
	Used      Spread // New: time from the first that was told until each instance's first attempt there; who made none is left out
	Users     Spread // New: instances that used the endpoint at all
	Unknowing Spread // Lost: attempts there that failed, before their instance was told, for each endpoint
}

// BadCount is what bad endpoints cost.
type BadCount struct {
	Endpoints int
	Stretches int
	Length    Spread // seconds from the first failure to the last
	Failures  Spread // for each stretch
	Met       Spread // instances that met it, for each stretch
	Each      Spread // failures that one instance met, in one stretch
	Late      Spread // failures later than two seconds after the fleet's first, for each stretch
}

// one is what is known of one endpoint over the fleet.
type one struct {
	name             string
	sent             []use
	ended            []use
	probes, dials    []monotime.Micros
	held, heldMost   int
	first            monotime.Micros // it was told by anyone
	toldNew, toldOut map[int]monotime.Micros
}

type use struct {
	at       monotime.Micros
	instance int
	failed   bool
}

// Count counts the events of a fleet, each instance's in the order written.
func Count(fleet [][]Event) Counts {
	c := Counts{Instances: len(fleet), PerSecond: map[Kind]Spread{}}
	endpoints := map[string]*one{}
	at := func(name string) *one {
		if endpoints[name] == nil {
			endpoints[name] = &one{name: name, toldNew: map[int]monotime.Micros{}, toldOut: map[int]monotime.Micros{}}
		}
		return endpoints[name]
	}
	type ordered struct {
		Event
		instance int
	}
	var all []ordered
	for i, events := range fleet {
		for _, e := range events {
			all = append(all, ordered{e, i})
		}
	}
	if len(all) == 0 {
		return c
	}
	slices.SortStableFunc(all, func(a, b ordered) int { return cmp.Compare(a.At, b.At) })
	begin, end := all[0].At, all[len(all)-1].At
	c.Seconds = float64(end-begin) / float64(second)
	names := make([]map[string]string, len(fleet)) // of addresses, as each instance has them
	asked := map[monotime.Micros]int{}
	for _, e := range all {
		switch e.Kind {
		case Told:
			if names[e.instance] == nil {
				names[e.instance] = map[string]string{}
			}
			o := at(e.Endpoint)
			if e.Addr != "" {
				names[e.instance][e.Addr] = e.Endpoint
			}
			if o.first == 0 {
				o.first = e.At
			}
			if e.Status == "ready" {
				note(o.toldNew, e.instance, e.At)
			} else {
				note(o.toldOut, e.instance, e.At)
			}
		case Sent:
			c.Attempts++
			at(e.Endpoint).sent = append(at(e.Endpoint).sent, use{e.At, e.instance, false})
		case Ended:
			failed := e.Status != "ok" && e.Status != "cancelled" && e.Status != "moot"
			c.Failures += count(failed)
			at(e.Endpoint).ended = append(at(e.Endpoint).ended, use{e.At, e.instance, failed})
		case Probed:
			at(e.Endpoint).probes = append(at(e.Endpoint).probes, e.At)
		case Dialed, Closed:
			name, ok := names[e.instance][e.Endpoint]
			if !ok {
				name = e.Endpoint
			}
			o := at(name)
			switch {
			case e.Kind == Closed:
				o.held--
			case e.Status == "ok":
				o.held++
				o.heldMost = max(o.heldMost, o.held)
				o.dials = append(o.dials, e.At)
			default:
				c.DialsFailed++
			}
		case Asked:
			c.Asked += count(e.Status == "ok")
			c.AskedFailed += count(e.Status != "ok")
			asked[(e.At-begin)/second]++
			c.AskedMost = max(c.AskedMost, asked[(e.At-begin)/second])
		}
	}
	c.Endpoints = len(endpoints)
	list := make([]*one, 0, len(endpoints))
	for _, o := range endpoints {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *one) int { return cmp.Compare(a.name, b.name) })
	var held []float64
	per := map[Kind][]float64{}
	for _, o := range list {
		held = append(held, float64(o.heldMost))
		until := end
		for _, t := range o.toldOut {
			until = min(until, t)
		}
		for kind, at := range map[Kind][]monotime.Micros{Sent: instants(o.sent), Probed: o.probes, Dialed: o.dials} {
			per[kind] = append(per[kind], seconds(at, max(begin, o.first), until)...)
		}
	}
	c.Held = spread(held)
	for kind, v := range per {
		c.PerSecond[kind] = spread(v)
	}
	c.New, c.Lost = lives(list, begin)
	c.Bad = bads(list)
	return c
}

func note(m map[int]monotime.Micros, instance int, at monotime.Micros) {
	if _, ok := m[instance]; !ok {
		m[instance] = at
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func instants(uses []use) (at []monotime.Micros) {
	for _, u := range uses {
		at = append(at, u.at)
	}
	return at
}

// seconds counts instants in each whole second of a stretch of time.
func seconds(at []monotime.Micros, from, to monotime.Micros) []float64 {
	n := int((to - from) / second)
	if n <= 0 {
		return nil
	}
	v := make([]float64, n)
	for _, t := range at {
		if i := (t - from) / second; t >= from && int(i) < n {
			v[i]++
		}
	}
	return v
}

// lives counts how changes of the list reached the fleet. What was told within a second of the fleet's start was there before.
func lives(list []*one, begin monotime.Micros) (came, left Life) {
	var cameTold, leftTold, used, users, unknowing []float64
	for _, o := range list {
		if o.first > begin+second && len(o.toldNew) > 0 {
			came.Endpoints++
			for _, t := range o.toldNew {
				cameTold = append(cameTold, float64(t-o.first)/float64(second))
			}
			first := map[int]monotime.Micros{}
			for _, u := range o.sent {
				note(first, u.instance, u.at)
			}
			for _, t := range first {
				used = append(used, float64(t-o.first)/float64(second))
			}
			users = append(users, float64(len(first)))
		}
		if len(o.toldOut) == 0 {
			continue
		}
		left.Endpoints++
		var first monotime.Micros
		for _, t := range o.toldOut {
			if first == 0 || t < first {
				first = t
			}
		}
		n := 0
		for _, t := range o.toldOut {
			leftTold = append(leftTold, float64(t-first)/float64(second))
		}
		for _, u := range o.ended {
			told, ever := o.toldOut[u.instance]
			n += count(u.failed && (!ever || u.at < told) && u.at > first-10*second)
		}
		unknowing = append(unknowing, float64(n))
	}
	came.Told, came.Used, came.Users = spread(cameTold), spread(used), spread(users)
	left.Told, left.Unknowing = spread(leftTold), spread(unknowing)
	return came, left
}

// bads counts what endpoints cost that failed half of what the fleet sent them, for as long as that went on.
func bads(list []*one) (b BadCount) {
	var length, failures, met, each, late []float64
	for _, o := range list {
		was := b.Stretches
		for i := 0; i < len(o.ended); {
			if !o.ended[i].failed || !badFrom(o.ended[i:]) {
				i++
				continue
			}
			first, last, n, later := o.ended[i].at, o.ended[i].at, 0, 0
			by := map[int]int{}
			for ; i < len(o.ended) && o.ended[i].at < last+badQuiet; i++ {
				if u := o.ended[i]; u.failed {
					last = u.at
					n++
					by[u.instance]++
					later += count(u.at > first+badWindow)
				}
			}
			b.Stretches++
			length = append(length, float64(last-first)/float64(second))
			failures, late, met = append(failures, float64(n)), append(late, float64(later)), append(met, float64(len(by)))
			for _, n := range by {
				each = append(each, float64(n))
			}
		}
		b.Endpoints += count(b.Stretches > was)
	}
	b.Length, b.Failures, b.Met, b.Each, b.Late = spread(length), spread(failures), spread(met), spread(each), spread(late)
	return b
}

// badFrom says whether, from a failure on, an endpoint fails half of what the fleet sends it.
func badFrom(ended []use) bool {
	n, failed := 0, 0
	for _, u := range ended {
		if u.at > ended[0].at+badWindow {
			break
		}
		n++
		failed += count(u.failed)
	}
	return n >= badAttempts && float64(failed) >= badPart*float64(n)
}
