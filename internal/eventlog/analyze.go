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
	events := mergeByTime(fleet)
	if len(events) == 0 {
		return FleetStats{Instances: len(fleet), PerSecond: map[Kind]Distribution{}}
	}
	a := &analysis{
		stats:     FleetStats{Instances: len(fleet), PerSecond: map[Kind]Distribution{}},
		start:     events[0].At,
		end:       events[len(events)-1].At,
		endpoints: map[string]*endpointHistory{},
		names:     make([]map[string]string, len(fleet)),
		polls:     map[monotime.Micros]int{},
	}
	for _, e := range events {
		a.add(e)
	}
	return a.finish()
}

// fleetEvent is an event with the index of its instance.
type fleetEvent struct {
	Event
	instance int
}

// mergeByTime returns the events of all instances in the order of their times.
func mergeByTime(fleet [][]Event) []fleetEvent {
	var all []fleetEvent
	for i, events := range fleet {
		for _, e := range events {
			all = append(all, fleetEvent{e, i})
		}
	}
	slices.SortStableFunc(all, func(a, b fleetEvent) int { return cmp.Compare(a.At, b.At) })
	return all
}

// analysis is the state of Analyze.
type analysis struct {
	stats     FleetStats
	start     monotime.Micros // of the first event
	end       monotime.Micros // of the last event
	endpoints map[string]*endpointHistory
	names     []map[string]string // endpoint names by address, for each instance
	polls     map[monotime.Micros]int
}

// endpoint returns the history of an endpoint, a new one for a new name.
func (a *analysis) endpoint(name string) *endpointHistory {
	if a.endpoints[name] == nil {
		a.endpoints[name] = &endpointHistory{
			name:    name,
			added:   map[int]monotime.Micros{},
			removed: map[int]monotime.Micros{},
		}
	}
	return a.endpoints[name]
}

// add counts an event. Events are added in the order of their times.
func (a *analysis) add(e fleetEvent) {
	switch e.Kind {
	case EndpointUpdated:
		a.addUpdate(e)
	case AttemptStarted:
		a.stats.Attempts++
		endpoint := a.endpoint(e.Endpoint)
		endpoint.started = append(endpoint.started, attempt{e.At, e.instance, false})
	case AttemptEnded:
		failed := e.Status != "ok" && e.Status != "cancelled" && e.Status != "moot"
		a.stats.Failures += boolToInt(failed)
		endpoint := a.endpoint(e.Endpoint)
		endpoint.ended = append(endpoint.ended, attempt{e.At, e.instance, failed})
	case ProbeEnded:
		endpoint := a.endpoint(e.Endpoint)
		endpoint.probes = append(endpoint.probes, e.At)
	case ConnOpened, ConnClosed:
		a.addConn(e)
	case DiscoveryPolled:
		a.stats.Polls += boolToInt(e.Status == "ok")
		a.stats.FailedPolls += boolToInt(e.Status != "ok")
		elapsed := (e.At - a.start) / second
		a.polls[elapsed]++
		a.stats.MaxPollsPerSecond = max(a.stats.MaxPollsPerSecond, a.polls[elapsed])
	}
}

// addUpdate counts an update of an endpoint.
func (a *analysis) addUpdate(e fleetEvent) {
	if a.names[e.instance] == nil {
		a.names[e.instance] = map[string]string{}
	}
	endpoint := a.endpoint(e.Endpoint)
	if e.Addr != "" {
		a.names[e.instance][e.Addr] = e.Endpoint
	}
	if endpoint.firstUpdate == 0 {
		endpoint.firstUpdate = e.At
	}
	if e.Status == "ready" {
		setOnce(endpoint.added, e.instance, e.At)
	} else {
		setOnce(endpoint.removed, e.instance, e.At)
	}
}

// addConn counts a connection that was opened or closed, or could not be opened.
func (a *analysis) addConn(e fleetEvent) {
	name, ok := a.names[e.instance][e.Endpoint]
	if !ok {
		name = e.Endpoint
	}
	endpoint := a.endpoint(name)
	switch {
	case e.Kind == ConnClosed:
		endpoint.openConns--
	case e.Status == "ok":
		endpoint.openConns++
		endpoint.maxOpenConns = max(endpoint.maxOpenConns, endpoint.openConns)
		endpoint.dials = append(endpoint.dials, e.At)
	default:
		a.stats.FailedDials++
	}
}

// finish returns the statistics of all events added.
func (a *analysis) finish() FleetStats {
	a.stats.Seconds = float64(a.end-a.start) / float64(second)
	a.stats.Endpoints = len(a.endpoints)
	list := make([]*endpointHistory, 0, len(a.endpoints))
	for _, endpoint := range a.endpoints {
		list = append(list, endpoint)
	}
	slices.SortFunc(list, func(a, b *endpointHistory) int { return cmp.Compare(a.name, b.name) })
	var openConns []float64
	perSecond := map[Kind][]float64{}
	for _, endpoint := range list {
		openConns = append(openConns, float64(endpoint.maxOpenConns))
		from := max(a.start, endpoint.firstUpdate)
		until := a.end
		for _, t := range endpoint.removed {
			until = min(until, t)
		}
		for kind, times := range map[Kind][]monotime.Micros{
			AttemptStarted: attemptTimes(endpoint.started),
			ProbeEnded:     endpoint.probes,
			ConnOpened:     endpoint.dials,
		} {
			perSecond[kind] = append(perSecond[kind], countPerSecond(times, from, until)...)
		}
	}
	a.stats.OpenConns = newDistribution(openConns)
	for kind, counts := range perSecond {
		a.stats.PerSecond[kind] = newDistribution(counts)
	}
	a.stats.Added, a.stats.Removed = propagation(list, a.start)
	a.stats.Faults = faultStats(list)
	return a.stats
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

// countPerSecond counts instants in each whole second of a stretch of time.
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

// propagation counts how changes of the list reached the fleet. What was told within a second of the fleet's start was
// there before.
func propagation(list []*endpointHistory, start monotime.Micros) (came, left Propagation) {
	var cameTold, leftTold, used, users, unknowing []float64
	for _, o := range list {
		if o.firstUpdate > start+second && len(o.added) > 0 {
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
	came.Notified = newDistribution(cameTold)
	came.FirstUse = newDistribution(used)
	came.Users = newDistribution(users)
	left.Notified = newDistribution(leftTold)
	left.StaleFailures = newDistribution(unknowing)
	return came, left
}

// faultStats counts what endpoints cost that failed half of what the fleet sent them, for as long as that went on.
func faultStats(list []*endpointHistory) (b FaultStats) {
	var length, failures, met, each, late []float64
	for _, o := range list {
		was := b.Episodes
		for i := 0; i < len(o.ended); {
			if !o.ended[i].failed || !isFaultStart(o.ended[i:]) {
				i++
				continue
			}
			first := o.ended[i].time
			last := first
			failed := 0
			later := 0
			by := map[int]int{}
			for ; i < len(o.ended) && o.ended[i].time < last+faultQuietTime; i++ {
				if u := o.ended[i]; u.failed {
					last = u.time
					failed++
					by[u.instance]++
					later += boolToInt(u.time > first+faultWindow)
				}
			}
			b.Episodes++
			length = append(length, float64(last-first)/float64(second))
			failures = append(failures, float64(failed))
			late = append(late, float64(later))
			met = append(met, float64(len(by)))
			for _, n := range by {
				each = append(each, float64(n))
			}
		}
		b.Endpoints += boolToInt(b.Episodes > was)
	}
	b.Length = newDistribution(length)
	b.Failures = newDistribution(failures)
	b.Instances = newDistribution(met)
	b.PerInstance = newDistribution(each)
	b.Late = newDistribution(late)
	return b
}

// isFaultStart says whether, from a failure on, an endpoint fails half of what the fleet sends it.
func isFaultStart(ended []attempt) bool {
	n := 0
	failed := 0
	for _, u := range ended {
		if u.time > ended[0].time+faultWindow {
			break
		}
		n++
		failed += boolToInt(u.failed)
	}
	return n >= faultMinAttempts && float64(failed) >= faultFailureRatio*float64(n)
}
