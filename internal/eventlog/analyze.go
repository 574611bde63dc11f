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
func newDistribution(values []float64) Distribution {
	if len(values) == 0 {
		return Distribution{}
	}
	slices.Sort(values)
	var sum float64
	for _, value := range values {
		sum += value
	}
	return Distribution{len(values), sum / float64(len(values)), values[len(values)/2], values[len(values)-1]}
}

// FleetStats are the statistics of a fleet. Times are in seconds.
type FleetStats struct {
	Instances, Endpoints int
	Seconds              float64 // from the first event to the last

	Attempts, Failures int
	EventsPerSecond    map[Kind]Distribution // attempts, probes and new connections, by endpoint and second
	MaxOpenConns       Distribution          // largest number of connections of all instances, by endpoint
	FailedDials        int

	SuccessfulPolls, FailedPolls int
	MaxPollsPerSecond            int // of all instances together

	Added   Propagation // of endpoints that were added after the first second
	Removed Propagation // of endpoints that were removed from the list
	Faults  FaultStats
}

// Propagation describes how a change of the endpoint list reached the instances of a fleet. Times are from the update
// at the first instance.
type Propagation struct {
	Endpoints             int
	NotificationDelay     Distribution // time until an instance's update
	FirstUseDelay         Distribution // added: time until an instance's first attempt there, of instances with any
	InstancesWithAttempts Distribution // added: instances with an attempt there, by endpoint
	StaleFailures         Distribution // removed: failed attempts there before their instance's update, by endpoint
}

// FaultStats describe the fault episodes of endpoints and their cost.
type FaultStats struct {
	FaultyEndpoints     int          // with an episode
	Episodes            int          // of all endpoints
	DurationSeconds     Distribution // seconds from the first failure to the last, by episode
	Failures            Distribution // failures, by episode
	AffectedInstances   Distribution // instances with a failure, by episode
	FailuresPerInstance Distribution // failures of one instance in one episode
	LateFailures        Distribution // failures later than faultDetectionWindow after the first, by episode
}

// endpointHistory is the events of one endpoint at all instances.
type endpointHistory struct {
	name                      string
	attemptStarts             []attemptEvent
	attemptEnds               []attemptEvent
	probeTimes, connOpenTimes []monotime.Micros
	openConns, maxOpenConns   int
	firstUpdateAt             monotime.Micros         // at any instance
	addedAt, removedAt        map[int]monotime.Micros // the first such update, by instance
}

// attempt is the start or the end of an attempt.
type attemptEvent struct {
	time     monotime.Micros
	instance int
	failed   bool
}

// Analyze returns the statistics of a fleet's events, by instance and in the order in which each has written them.
func Analyze(fleet [][]Event) FleetStats {
	events := mergeEventsByTime(fleet)
	if len(events) == 0 {
		return FleetStats{Instances: len(fleet), EventsPerSecond: map[Kind]Distribution{}}
	}
	a := &analysis{
		stats:          FleetStats{Instances: len(fleet), EventsPerSecond: map[Kind]Distribution{}},
		start:          events[0].At,
		end:            events[len(events)-1].At,
		endpoints:      map[string]*endpointHistory{},
		endpointNames:  make([]map[string]string, len(fleet)),
		pollsPerSecond: map[monotime.Micros]int{},
	}
	for _, e := range events {
		a.addEvent(e)
	}
	return a.fleetStats()
}

// fleetEvent is an event with the index of its instance.
type fleetEvent struct {
	Event
	instance int
}

// mergeEventsByTime returns the events of all instances in the order of their times.
func mergeEventsByTime(fleet [][]Event) []fleetEvent {
	var merged []fleetEvent
	for i, events := range fleet {
		for _, e := range events {
			merged = append(merged, fleetEvent{e, i})
		}
	}
	slices.SortStableFunc(merged, func(a, b fleetEvent) int { return cmp.Compare(a.At, b.At) })
	return merged
}

// analysis is the state of Analyze.
type analysis struct {
	stats          FleetStats
	start          monotime.Micros // of the first event
	end            monotime.Micros // of the last event
	endpoints      map[string]*endpointHistory
	endpointNames  []map[string]string     // endpoint names by address, for each instance
	pollsPerSecond map[monotime.Micros]int // by second since start
}

// endpoint returns the history of an endpoint, and creates it for a new name.
func (a *analysis) endpointHistory(name string) *endpointHistory {
	if a.endpoints[name] == nil {
		a.endpoints[name] = &endpointHistory{
			name:      name,
			addedAt:   map[int]monotime.Micros{},
			removedAt: map[int]monotime.Micros{},
		}
	}
	return a.endpoints[name]
}

// add counts an event. Events are added in the order of their times.
func (a *analysis) addEvent(e fleetEvent) {
	switch e.Kind {
	case EndpointUpdated:
		a.addEndpointUpdate(e)
	case AttemptStarted:
		a.stats.Attempts++
		endpoint := a.endpointHistory(e.Endpoint)
		endpoint.attemptStarts = append(endpoint.attemptStarts, attemptEvent{e.At, e.instance, false})
	case AttemptEnded:
		failed := isEndpointFailure(e.Status)
		a.stats.Failures += boolToInt(failed)
		endpoint := a.endpointHistory(e.Endpoint)
		endpoint.attemptEnds = append(endpoint.attemptEnds, attemptEvent{e.At, e.instance, failed})
	case ProbeEnded:
		endpoint := a.endpointHistory(e.Endpoint)
		endpoint.probeTimes = append(endpoint.probeTimes, e.At)
	case ConnOpened, ConnClosed:
		a.addConnEvent(e)
	case DiscoveryPolled:
		a.stats.SuccessfulPolls += boolToInt(e.Status == statusOK)
		a.stats.FailedPolls += boolToInt(e.Status != statusOK)
		elapsed := (e.At - a.start) / second
		a.pollsPerSecond[elapsed]++
		a.stats.MaxPollsPerSecond = max(a.stats.MaxPollsPerSecond, a.pollsPerSecond[elapsed])
	}
}

// isEndpointFailure reports whether a status is a failure of the endpoint: not one that was cancelled or never sent.
func isEndpointFailure(status string) bool {
	switch status {
	case statusOK, statusNames[balancer.Cancelled], statusNames[balancer.NotSent]:
		return false
	}
	return true
}

// addEndpointUpdate counts an update of an endpoint.
func (a *analysis) addEndpointUpdate(e fleetEvent) {
	if a.endpointNames[e.instance] == nil {
		a.endpointNames[e.instance] = map[string]string{}
	}
	endpoint := a.endpointHistory(e.Endpoint)
	if e.Addr != "" {
		a.endpointNames[e.instance][e.Addr] = e.Endpoint
	}
	if endpoint.firstUpdateAt == 0 {
		endpoint.firstUpdateAt = e.At
	}
	if e.Status == stateNames[balancer.Ready] {
		setFirstTime(endpoint.addedAt, e.instance, e.At)
	} else {
		setFirstTime(endpoint.removedAt, e.instance, e.At)
	}
}

// addConnEvent counts a connection that was opened or closed, or could not be opened.
func (a *analysis) addConnEvent(e fleetEvent) {
	name, ok := a.endpointNames[e.instance][e.Endpoint]
	if !ok {
		name = e.Endpoint
	}
	endpoint := a.endpointHistory(name)
	switch {
	case e.Kind == ConnClosed:
		endpoint.openConns--
	case e.Status == statusOK:
		endpoint.openConns++
		endpoint.maxOpenConns = max(endpoint.maxOpenConns, endpoint.openConns)
		endpoint.connOpenTimes = append(endpoint.connOpenTimes, e.At)
	default:
		a.stats.FailedDials++
	}
}

// finish returns the statistics of all events added.
func (a *analysis) fleetStats() FleetStats {
	a.stats.Seconds = float64(a.end-a.start) / float64(second)
	a.stats.Endpoints = len(a.endpoints)
	histories := make([]*endpointHistory, 0, len(a.endpoints))
	for _, endpoint := range a.endpoints {
		histories = append(histories, endpoint)
	}
	slices.SortFunc(histories, func(a, b *endpointHistory) int { return cmp.Compare(a.name, b.name) })
	var openConns []float64
	perSecond := map[Kind][]float64{}
	for _, endpoint := range histories {
		openConns = append(openConns, float64(endpoint.maxOpenConns))
		activeFrom := max(a.start, endpoint.firstUpdateAt)
		activeUntil := a.end
		for _, t := range endpoint.removedAt {
			activeUntil = min(activeUntil, t)
		}
		for kind, times := range map[Kind][]monotime.Micros{
			AttemptStarted: attemptTimes(endpoint.attemptStarts),
			ProbeEnded:     endpoint.probeTimes,
			ConnOpened:     endpoint.connOpenTimes,
		} {
			perSecond[kind] = append(perSecond[kind], countPerSecond(times, activeFrom, activeUntil)...)
		}
	}
	a.stats.MaxOpenConns = newDistribution(openConns)
	for kind, counts := range perSecond {
		a.stats.EventsPerSecond[kind] = newDistribution(counts)
	}
	a.stats.Added, a.stats.Removed = newPropagation(histories, a.start)
	a.stats.Faults = newFaultStats(histories)
	return a.stats
}

// setFirstTime sets the instant of an instance unless it is set.
func setFirstTime(firstTimes map[int]monotime.Micros, instance int, at monotime.Micros) {
	if _, ok := firstTimes[instance]; !ok {
		firstTimes[instance] = at
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
func attemptTimes(attempts []attemptEvent) (times []monotime.Micros) {
	for _, attempt := range attempts {
		times = append(times, attempt.time)
	}
	return times
}

// countPerSecond returns the number of instants in each complete second of a period.
func countPerSecond(times []monotime.Micros, from, to monotime.Micros) []float64 {
	seconds := int((to - from) / second)
	if seconds <= 0 {
		return nil
	}
	counts := make([]float64, seconds)
	for _, t := range times {
		if i := (t - from) / second; t >= from && int(i) < seconds {
			counts[i]++
		}
	}
	return counts
}

// initialPeriod is the time from the start within which an endpoint's first update means that it was there before.
const initialPeriod = second

// propagation returns how added and removed endpoints reached the fleet.
func newPropagation(histories []*endpointHistory, logStart monotime.Micros) (added, removed Propagation) {
	var addedSamples, removedSamples propagationSamples
	for _, endpoint := range histories {
		if endpoint.firstUpdateAt > logStart+initialPeriod && len(endpoint.addedAt) > 0 {
			added.Endpoints++
			addedSamples.recordAddition(endpoint)
		}
		if len(endpoint.removedAt) > 0 {
			removed.Endpoints++
			removedSamples.recordRemoval(endpoint)
		}
	}
	added.NotificationDelay = newDistribution(addedSamples.notificationDelays)
	added.FirstUseDelay = newDistribution(addedSamples.firstUseDelays)
	added.InstancesWithAttempts = newDistribution(addedSamples.instancesWithAttempts)
	removed.NotificationDelay = newDistribution(removedSamples.notificationDelays)
	removed.StaleFailures = newDistribution(removedSamples.staleFailures)
	return added, removed
}

// propagationSamples are the values of a Propagation's distributions.
type propagationSamples struct{ notificationDelays, firstUseDelays, instancesWithAttempts, staleFailures []float64 }

// recordAddition adds the values of an endpoint that was added.
func (s *propagationSamples) recordAddition(endpoint *endpointHistory) {
	for _, notifiedAt := range endpoint.addedAt {
		s.notificationDelays = append(s.notificationDelays, float64(notifiedAt-endpoint.firstUpdateAt)/float64(second))
	}
	firstUses := map[int]monotime.Micros{} // by instance
	for _, attempt := range endpoint.attemptStarts {
		setFirstTime(firstUses, attempt.instance, attempt.time)
	}
	for _, firstUseAt := range firstUses {
		s.firstUseDelays = append(s.firstUseDelays, float64(firstUseAt-endpoint.firstUpdateAt)/float64(second))
	}
	s.instancesWithAttempts = append(s.instancesWithAttempts, float64(len(firstUses)))
}

// staleFailureWindow is the time before the first update that an endpoint is removed, from which on its failures count as stale.
const staleFailureWindow = 10 * second

// recordRemoval adds the values of an endpoint that was removed.
func (s *propagationSamples) recordRemoval(endpoint *endpointHistory) {
	var firstRemovedAt monotime.Micros
	for _, removedAt := range endpoint.removedAt {
		if firstRemovedAt == 0 || removedAt < firstRemovedAt {
			firstRemovedAt = removedAt
		}
	}
	for _, removedAt := range endpoint.removedAt {
		s.notificationDelays = append(s.notificationDelays, float64(removedAt-firstRemovedAt)/float64(second))
	}
	staleFailures := 0
	for _, attempt := range endpoint.attemptEnds {
		notifiedAt, notified := endpoint.removedAt[attempt.instance]
		stale := (!notified || attempt.time < notifiedAt) && attempt.time > firstRemovedAt-staleFailureWindow
		staleFailures += boolToInt(attempt.failed && stale)
	}
	s.staleFailures = append(s.staleFailures, float64(staleFailures))
}

// Bounds of a fault episode of an endpoint, by the attempts of the whole fleet. A single instance has too few to detect
// one.
const (
	faultDetectionWindow = 2 * second // from a failure, within which an episode is detected
	minFaultAttempts     = 5          // attempts within faultDetectionWindow
	minFaultFailureRatio = 0.5        // of the attempts within faultDetectionWindow
	faultEndDelay        = 5 * second // without a failure, after which an episode has ended
)

// newFaultStats returns the fault episodes of all endpoints.
func newFaultStats(histories []*endpointHistory) (stats FaultStats) {
	var durations, failures, affectedInstances, failuresPerInstance, lateFailures []float64
	for _, endpoint := range histories {
		episodes := findFaultEpisodes(endpoint.attemptEnds)
		for _, episode := range episodes {
			durations = append(durations, float64(episode.lastFailureAt-episode.firstFailureAt)/float64(second))
			failures = append(failures, float64(episode.failures))
			lateFailures = append(lateFailures, float64(episode.lateFailures))
			affectedInstances = append(affectedInstances, float64(len(episode.failuresByInstance)))
			for _, count := range episode.failuresByInstance {
				failuresPerInstance = append(failuresPerInstance, float64(count))
			}
		}
		stats.Episodes += len(episodes)
		stats.FaultyEndpoints += boolToInt(len(episodes) > 0)
	}
	stats.DurationSeconds = newDistribution(durations)
	stats.Failures = newDistribution(failures)
	stats.AffectedInstances = newDistribution(affectedInstances)
	stats.FailuresPerInstance = newDistribution(failuresPerInstance)
	stats.LateFailures = newDistribution(lateFailures)
	return stats
}

// faultEpisode is a period in which an endpoint failed much of the fleet's attempts.
type faultEpisode struct {
	firstFailureAt, lastFailureAt monotime.Micros // of its failures
	failures, lateFailures        int
	failuresByInstance            map[int]int // failures
}

// findFaultEpisodes returns the fault episodes in the ends of an endpoint's attempts.
func findFaultEpisodes(attemptEnds []attemptEvent) (episodes []faultEpisode) {
	for i := 0; i < len(attemptEnds); {
		if !attemptEnds[i].failed || !isFaultStart(attemptEnds[i:]) {
			i++
			continue
		}
		episode := faultEpisode{
			firstFailureAt:     attemptEnds[i].time,
			lastFailureAt:      attemptEnds[i].time,
			failuresByInstance: map[int]int{},
		}
		for ; i < len(attemptEnds) && attemptEnds[i].time < episode.lastFailureAt+faultEndDelay; i++ {
			if attempt := attemptEnds[i]; attempt.failed {
				episode.lastFailureAt = attempt.time
				episode.failures++
				episode.failuresByInstance[attempt.instance]++
				episode.lateFailures += boolToInt(attempt.time > episode.firstFailureAt+faultDetectionWindow)
			}
		}
		episodes = append(episodes, episode)
	}
	return episodes
}

// isFaultStart reports whether a fault episode begins with the first of the attempts, which has failed.
func isFaultStart(attemptEnds []attemptEvent) bool {
	attempts := 0
	failures := 0
	for _, attempt := range attemptEnds {
		if attempt.time > attemptEnds[0].time+faultDetectionWindow {
			break
		}
		attempts++
		failures += boolToInt(attempt.failed)
	}
	return attempts >= minFaultAttempts && float64(failures) >= minFaultFailureRatio*float64(attempts)
}
