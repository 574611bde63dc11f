package eventlog

import (
	"cmp"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// Distribution is the summary of a number over instances, endpoints or seconds.
type Distribution struct {
	Count             int
	Mean, Median, Max float64
}

// newDistribution returns the summary of values, which it sorts.
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

// FleetStats are the statistics of a fleet. Times are in seconds.
type FleetStats struct {
	Instances, Endpoints int
	Seconds              float64 // from the first event to the last

	Attempts, Failures int
	PerSecond          map[Kind]Distribution // attempts, probes and new connections, by endpoint and second
	OpenConns          Distribution          // largest number of connections of all instances, by endpoint
	FailedDials        int

	Polls, FailedPolls int
	MaxPollsPerSecond  int // of all instances together

	Added   Propagation // of endpoints that were added after the first second
	Removed Propagation // of endpoints that were removed from the list
	Faults  FaultStats
}

// Propagation describes how a change of the endpoint list reached the instances of a fleet. Times are from the update
// at the first instance.
type Propagation struct {
	Endpoints     int
	Notified      Distribution // time until an instance's update
	FirstUse      Distribution // added: time until an instance's first attempt there, of instances with any
	Users         Distribution // added: instances with an attempt there, by endpoint
	StaleFailures Distribution // removed: failed attempts there before their instance's update, by endpoint
}

// FaultStats describe the fault episodes of endpoints and their cost.
type FaultStats struct {
	Endpoints   int          // with an episode
	Episodes    int          // of all endpoints
	Length      Distribution // seconds from the first failure to the last, by episode
	Failures    Distribution // failures, by episode
	Instances   Distribution // instances with a failure, by episode
	PerInstance Distribution // failures of one instance in one episode
	Late        Distribution // failures later than faultWindow after the first, by episode
}

// endpointHistory is the events of one endpoint at all instances.
type endpointHistory struct {
	name                    string
	started                 []attempt
	ended                   []attempt
	probes, dials           []monotime.Micros
	openConns, maxOpenConns int
	firstUpdate             monotime.Micros         // at any instance
	added, removed          map[int]monotime.Micros // the first such update, by instance
}

// attempt is the start or the end of an attempt.
type attempt struct {
	time     monotime.Micros
	instance int
	failed   bool
}

// Analyze returns the statistics of a fleet's events, by instance and in the order in which each has written them.
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
	names     []map[string]string     // endpoint names by address, for each instance
	polls     map[monotime.Micros]int // by second since start
}

// endpoint returns the history of an endpoint, and creates it for a new name.
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
		failed := hasFailed(e.Status)
		a.stats.Failures += boolToInt(failed)
		endpoint := a.endpoint(e.Endpoint)
		endpoint.ended = append(endpoint.ended, attempt{e.At, e.instance, failed})
	case ProbeEnded:
		endpoint := a.endpoint(e.Endpoint)
		endpoint.probes = append(endpoint.probes, e.At)
	case ConnOpened, ConnClosed:
		a.addConn(e)
	case DiscoveryPolled:
		a.stats.Polls += boolToInt(e.Status == statusOK)
		a.stats.FailedPolls += boolToInt(e.Status != statusOK)
		elapsed := (e.At - a.start) / second
		a.polls[elapsed]++
		a.stats.MaxPollsPerSecond = max(a.stats.MaxPollsPerSecond, a.polls[elapsed])
	}
}

// hasFailed reports whether a status is a failure of the endpoint: not one that was cancelled or never sent.
func hasFailed(status string) bool {
	switch status {
	case statusOK, statusNames[balancer.Cancelled], statusNames[balancer.NotSent]:
		return false
	}
	return true
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
	if e.Status == stateNames[balancer.Ready] {
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
	case e.Status == statusOK:
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

// setOnce sets the instant of an instance unless it is set.
func setOnce(m map[int]monotime.Micros, instance int, at monotime.Micros) {
	if _, ok := m[instance]; !ok {
		m[instance] = at
	}
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// attemptTimes returns the instants of attempts.
func attemptTimes(uses []attempt) (at []monotime.Micros) {
	for _, u := range uses {
		at = append(at, u.time)
	}
	return at
}

// countPerSecond returns the number of instants in each complete second of a period.
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

// initialTime is the time from the start within which an endpoint's first update means that it was there before.
const initialTime = second

// propagation returns how added and removed endpoints reached the fleet.
func propagation(list []*endpointHistory, start monotime.Micros) (added, removed Propagation) {
	var addedSamples, removedSamples propagationSamples
	for _, endpoint := range list {
		if endpoint.firstUpdate > start+initialTime && len(endpoint.added) > 0 {
			added.Endpoints++
			addedSamples.addAdded(endpoint)
		}
		if len(endpoint.removed) > 0 {
			removed.Endpoints++
			removedSamples.addRemoved(endpoint)
		}
	}
	added.Notified = newDistribution(addedSamples.notified)
	added.FirstUse = newDistribution(addedSamples.firstUse)
	added.Users = newDistribution(addedSamples.users)
	removed.Notified = newDistribution(removedSamples.notified)
	removed.StaleFailures = newDistribution(removedSamples.staleFailures)
	return added, removed
}

// propagationSamples are the values of a Propagation's distributions.
type propagationSamples struct{ notified, firstUse, users, staleFailures []float64 }

// addAdded adds the values of an endpoint that was added.
func (s *propagationSamples) addAdded(endpoint *endpointHistory) {
	for _, t := range endpoint.added {
		s.notified = append(s.notified, float64(t-endpoint.firstUpdate)/float64(second))
	}
	firstUses := map[int]monotime.Micros{} // by instance
	for _, u := range endpoint.started {
		setOnce(firstUses, u.instance, u.time)
	}
	for _, t := range firstUses {
		s.firstUse = append(s.firstUse, float64(t-endpoint.firstUpdate)/float64(second))
	}
	s.users = append(s.users, float64(len(firstUses)))
}

// staleTime is the time before the first update that an endpoint is removed, from which on its failures count as stale.
const staleTime = 10 * second

// addRemoved adds the values of an endpoint that was removed.
func (s *propagationSamples) addRemoved(endpoint *endpointHistory) {
	var first monotime.Micros
	for _, t := range endpoint.removed {
		if first == 0 || t < first {
			first = t
		}
	}
	for _, t := range endpoint.removed {
		s.notified = append(s.notified, float64(t-first)/float64(second))
	}
	staleFailures := 0
	for _, u := range endpoint.ended {
		notifiedAt, notified := endpoint.removed[u.instance]
		stale := (!notified || u.time < notifiedAt) && u.time > first-staleTime
		staleFailures += boolToInt(u.failed && stale)
	}
	s.staleFailures = append(s.staleFailures, float64(staleFailures))
}

// Bounds of a fault episode of an endpoint, by the attempts of the whole fleet. A single instance has too few to detect
// one.
const (
	faultWindow       = 2 * second // from a failure, within which an episode is detected
	faultMinAttempts  = 5          // attempts within faultWindow
	faultFailureRatio = 0.5        // of the attempts within faultWindow
	faultQuietTime    = 5 * second // without a failure, after which an episode has ended
)

// faultStats returns the fault episodes of all endpoints.
func faultStats(list []*endpointHistory) (stats FaultStats) {
	var length, failures, instances, perInstance, late []float64
	for _, endpoint := range list {
		episodes := faultEpisodes(endpoint.ended)
		for _, e := range episodes {
			length = append(length, float64(e.last-e.first)/float64(second))
			failures = append(failures, float64(e.failed))
			late = append(late, float64(e.late))
			instances = append(instances, float64(len(e.byInstance)))
			for _, n := range e.byInstance {
				perInstance = append(perInstance, float64(n))
			}
		}
		stats.Episodes += len(episodes)
		stats.Endpoints += boolToInt(len(episodes) > 0)
	}
	stats.Length = newDistribution(length)
	stats.Failures = newDistribution(failures)
	stats.Instances = newDistribution(instances)
	stats.PerInstance = newDistribution(perInstance)
	stats.Late = newDistribution(late)
	return stats
}

// faultEpisode is a period in which an endpoint failed much of the fleet's attempts.
type faultEpisode struct {
	first, last  monotime.Micros // of its failures
	failed, late int
	byInstance   map[int]int // failures
}

// faultEpisodes returns the fault episodes in the ends of an endpoint's attempts.
func faultEpisodes(ended []attempt) (all []faultEpisode) {
	for i := 0; i < len(ended); {
		if !ended[i].failed || !isFaultStart(ended[i:]) {
			i++
			continue
		}
		e := faultEpisode{first: ended[i].time, last: ended[i].time, byInstance: map[int]int{}}
		for ; i < len(ended) && ended[i].time < e.last+faultQuietTime; i++ {
			if u := ended[i]; u.failed {
				e.last = u.time
				e.failed++
				e.byInstance[u.instance]++
				e.late += boolToInt(u.time > e.first+faultWindow)
			}
		}
		all = append(all, e)
	}
	return all
}

// isFaultStart reports whether a fault episode begins with the first of the attempts, which has failed.
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
