package eventlog

import (
	"cmp"
	"slices"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// The bounds by which an endpoint counts as bad for a stretch of time: so many failures of so many attempts, by the
// whole fleet, within two seconds. No instance sees that; it is what the count is for.
const (
	faultWindow       = 2 * second
	faultMinAttempts  = 5
	faultFailureRatio = 0.5
	faultQuietTime    = 5 * second // without a failure, and it is over
)

// Distribution summarizes a number over instances, endpoints or seconds.
type Distribution struct {
	Count             int
	Mean, Median, Max float64
}

func newDistribution(v []float64) Distribution {
	if len(v) == 0 {
		return Distribution{}
	}
	slices.Sort(v)
	var sum float64
	for _, x := range v {
		sum += x
	}
	return Distribution{len(v), sum / float64(len(v)), v[len(v)/2], v[len(v)-1]}
}

// FleetStats is what a fleet did. Times are in seconds.
type FleetStats struct {
	Instances, Endpoints int
	Seconds              float64

	Attempts, Failures int
	PerSecond          map[Kind]Distribution // at each endpoint in each second of its life: attempts, probes, new connections
	OpenConns          Distribution          // connections of all instances at one endpoint, the most at once
	FailedDials        int

	Polls, FailedPolls int
	MaxPollsPerSecond  int // in one second

	Added   Propagation // of endpoints that came while the fleet was watched
	Removed Propagation // of those that left the list
	Faults  FaultStats
}

// Propagation is how a change of the list reached a fleet.
type Propagation struct {
	Endpoints     int
	Notified      Distribution // time from the first instance that was told until each was
	FirstUse      Distribution // New: time from the first that was told until each instance's first attempt there; who made none is left out
	Users         Distribution // New: instances that used the endpoint at all
	StaleFailures Distribution // Lost: attempts there that failed, before their instance was told, for each endpoint
}

// FaultStats is what bad endpoints cost.
type FaultStats struct {
	Endpoints   int
	Episodes    int
	Length      Distribution // seconds from the first failure to the last
	Failures    Distribution // for each stretch
	Instances   Distribution // instances that met it, for each stretch
	PerInstance Distribution // failures that one instance met, in one stretch
	Late        Distribution // failures later than two seconds after the fleet's first, for each stretch
}

// endpointHistory is what is known of one endpoint over the fleet.
type endpointHistory struct {
	name                    string
	started                 []attempt
	ended                   []attempt
	probes, dials           []monotime.Micros
	openConns, maxOpenConns int
	firstUpdate             monotime.Micros // it was told by anyone
	added, removed          map[int]monotime.Micros
}

type attempt struct {
	time     monotime.Micros
	instance int
	failed   bool
}

// Analyze counts the events of a fleet, each instance's in the order written.
func Analyze(fleet [][]Event) FleetStats {
	c := FleetStats{Instances: len(fleet), PerSecond: map[Kind]Distribution{}}
	endpoints := map[string]*endpointHistory{}
	at := func(name string) *endpointHistory {
		if endpoints[name] == nil {
			endpoints[name] = &endpointHistory{name: name, added: map[int]monotime.Micros{}, removed: map[int]monotime.Micros{}}
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
		case EndpointUpdated:
			if names[e.instance] == nil {
				names[e.instance] = map[string]string{}
			}
			o := at(e.Endpoint)
			if e.Addr != "" {
				names[e.instance][e.Addr] = e.Endpoint
			}
			if o.firstUpdate == 0 {
				o.firstUpdate = e.At
			}
			if e.Status == "ready" {
				setOnce(o.added, e.instance, e.At)
			} else {
				setOnce(o.removed, e.instance, e.At)
			}
		case AttemptStarted:
			c.Attempts++
			at(e.Endpoint).started = append(at(e.Endpoint).started, attempt{e.At, e.instance, false})
		case AttemptEnded:
			failed := e.Status != "ok" && e.Status != "cancelled" && e.Status != "moot"
			c.Failures += boolToInt(failed)
			at(e.Endpoint).ended = append(at(e.Endpoint).ended, attempt{e.At, e.instance, failed})
		case ProbeEnded:
			at(e.Endpoint).probes = append(at(e.Endpoint).probes, e.At)
		case ConnOpened, ConnClosed:
			name, ok := names[e.instance][e.Endpoint]
			if !ok {
				name = e.Endpoint
			}
			o := at(name)
			switch {
			case e.Kind == ConnClosed:
				o.openConns--
			case e.Status == "ok":
				o.openConns++
				o.maxOpenConns = max(o.maxOpenConns, o.openConns)
				o.dials = append(o.dials, e.At)
			default:
				c.FailedDials++
			}
		case DiscoveryPolled:
			c.Polls += boolToInt(e.Status == "ok")
			c.FailedPolls += boolToInt(e.Status != "ok")
			asked[(e.At-begin)/second]++
			c.MaxPollsPerSecond = max(c.MaxPollsPerSecond, asked[(e.At-begin)/second])
		}
	}
	c.Endpoints = len(endpoints)
	list := make([]*endpointHistory, 0, len(endpoints))
	for _, o := range endpoints {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *endpointHistory) int { return cmp.Compare(a.name, b.name) })
	var held []float64
	per := map[Kind][]float64{}
	for _, o := range list {
		held = append(held, float64(o.maxOpenConns))
		until := end
		for _, t := range o.removed {
			until = min(until, t)
		}
		for kind, at := range map[Kind][]monotime.Micros{AttemptStarted: attemptTimes(o.started), ProbeEnded: o.probes, ConnOpened: o.dials} {
			per[kind] = append(per[kind], countPerSecond(at, max(begin, o.firstUpdate), until)...)
		}
	}
	c.OpenConns = newDistribution(held)
	for kind, v := range per {
		c.PerSecond[kind] = newDistribution(v)
	}
	c.Added, c.Removed = propagation(list, begin)
	c.Faults = faultStats(list)
	return c
}

func setOnce(m map[int]monotime.Micros, instance int, at monotime.Micros) {
	if _, ok := m[instance]; !ok {
		m[instance] = at
	}
}

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func attemptTimes(uses []attempt) (at []monotime.Micros) {
	for _, u := range uses {
		at = append(at, u.time)
	}
	return at
}

// seconds counts instants in each whole second of a stretch of time.
func countPerSecond(at []monotime.Micros, from, to monotime.Micros) []float64 {
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

// lives counts how changes of the list reached the fleet. What was told within a second of the fleet's start was
// there before.
func propagation(list []*endpointHistory, begin monotime.Micros) (came, left Propagation) {
	var cameTold, leftTold, used, users, unknowing []float64
	for _, o := range list {
		if o.firstUpdate > begin+second && len(o.added) > 0 {
			came.Endpoints++
			for _, t := range o.added {
				cameTold = append(cameTold, float64(t-o.firstUpdate)/float64(second))
			}
			first := map[int]monotime.Micros{}
			for _, u := range o.started {
				setOnce(first, u.instance, u.time)
			}
			for _, t := range first {
				used = append(used, float64(t-o.firstUpdate)/float64(second))
			}
			users = append(users, float64(len(first)))
		}
		if len(o.removed) == 0 {
			continue
		}
		left.Endpoints++
		var first monotime.Micros
		for _, t := range o.removed {
			if first == 0 || t < first {
				first = t
			}
		}
		n := 0
		for _, t := range o.removed {
			leftTold = append(leftTold, float64(t-first)/float64(second))
		}
		for _, u := range o.ended {
			told, ever := o.removed[u.instance]
			n += boolToInt(u.failed && (!ever || u.time < told) && u.time > first-10*second)
		}
		unknowing = append(unknowing, float64(n))
	}
	came.Notified, came.FirstUse, came.Users = newDistribution(cameTold), newDistribution(used), newDistribution(users)
	left.Notified, left.StaleFailures = newDistribution(leftTold), newDistribution(unknowing)
	return came, left
}

// bads counts what endpoints cost that failed half of what the fleet sent them, for as long as that went on.
func faultStats(list []*endpointHistory) (b FaultStats) {
	var length, failures, met, each, late []float64
	for _, o := range list {
		was := b.Episodes
		for i := 0; i < len(o.ended); {
			if !o.ended[i].failed || !isFaultStart(o.ended[i:]) {
				i++
				continue
			}
			first, last, n, later := o.ended[i].time, o.ended[i].time, 0, 0
			by := map[int]int{}
			for ; i < len(o.ended) && o.ended[i].time < last+faultQuietTime; i++ {
				if u := o.ended[i]; u.failed {
					last = u.time
					n++
					by[u.instance]++
					later += boolToInt(u.time > first+faultWindow)
				}
			}
			b.Episodes++
			length = append(length, float64(last-first)/float64(second))
			failures, late, met = append(failures, float64(n)), append(late, float64(later)), append(met, float64(len(by)))
			for _, n := range by {
				each = append(each, float64(n))
			}
		}
		b.Endpoints += boolToInt(b.Episodes > was)
	}
	b.Length, b.Failures, b.Instances, b.PerInstance, b.Late = newDistribution(length), newDistribution(failures), newDistribution(met), newDistribution(each), newDistribution(late)
	return b
}

// badFrom says whether, from a failure on, an endpoint fails half of what the fleet sends it.
func isFaultStart(ended []attempt) bool {
	n, failed := 0, 0
	for _, u := range ended {
		if u.time > ended[0].time+faultWindow {
			break
		}
		n++
		failed += boolToInt(u.failed)
	}
	return n >= faultMinAttempts && float64(failed) >= faultFailureRatio*float64(n)
}
