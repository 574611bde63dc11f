package eventlog

import (
	"cmp"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// second is one second in the unit of event times.
const second = monotime.Second

// Distribution summarizes the distribution of a quantity.
type Distribution struct {
	Count             int
	Mean, Median, Max float64
}

// newDistribution returns the summary of a list of values, and sorts the list.
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

// FleetStats are the statistics of the events of a fleet. Durations and delays are in seconds.
type FleetStats struct {
	Instances, Endpoints int
	DurationSeconds      float64 // time from the first event to the last

	Attempts, Failures int
	EventsPerSecond    map[Kind]Distribution // by kind: attempts, probes and new connections per second at one endpoint
	MaxOpenConns       Distribution          // per endpoint: peak number of connections of all instances together
	FailedDials        int

	SuccessfulPolls, FailedPolls int
	MaxPollsPerSecond            int // polls of all instances in the busiest second

	Added   Propagation // additions of endpoints after initialPeriod
	Removed Propagation // removals of endpoints from the list
	Faults  FaultStats
}

// Propagation describes how changes of the endpoint list reached the instances of a fleet. Delays are in seconds,
// from the time at which the first instance received the change.
type Propagation struct {
	Endpoints             int          // number of endpoints that were added or removed
	NotificationDelay     Distribution // per endpoint and instance: until the instance received the change
	FirstUseDelay         Distribution // added only: until an instance's first attempt at the endpoint
	InstancesWithAttempts Distribution // added only: instances with an attempt, per endpoint
	StaleFailures         Distribution // removed only: failures before the instance was notified, per endpoint
}

// FaultStats describe the fault episodes of endpoints and the failed attempts in them.
type FaultStats struct {
	FaultyEndpoints     int          // endpoints with an episode
	Episodes            int          // episodes of all endpoints
	DurationSeconds     Distribution // from the first failure of the episode to its last, in seconds
	Failures            Distribution // failures per episode
	AffectedInstances   Distribution // instances with a failure, per episode
	FailuresPerInstance Distribution // failures per episode and affected instance
	LateFailures        Distribution // failures per episode later than faultDetectionWindow after its first failure
}

// endpointHistory contains the events of one endpoint at all instances, in the order of their times.
type endpointHistory struct {
	name                      string
	attemptStarts             []attemptEvent
	attemptEnds               []attemptEvent
	probeTimes, connOpenTimes []monotime.Micros
	openConns, maxOpenConns   int
	firstUpdateAt             monotime.Micros         // first update of the endpoint at any instance
	addedAt, removedAt        map[int]monotime.Micros // first update that adds or removes the endpoint, by instance
}

// attemptEvent is the start or the end of an attempt at an endpoint.
type attemptEvent struct {
	at       monotime.Micros
	instance int
	failed   bool // whether the attempt ended with a failure of the endpoint
}

// Analyze returns the statistics of a fleet. fleet contains the events of each instance in the order in which the
// instance has written them.
func Analyze(fleet [][]Event) FleetStats {
	events := mergeEventsByTime(fleet)
	if len(events) == 0 {
		return FleetStats{Instances: len(fleet), EventsPerSecond: map[Kind]Distribution{}}
	}
	a := &analysis{
		stats:          FleetStats{Instances: len(fleet), EventsPerSecond: map[Kind]Distribution{}},
		firstEventAt:   events[0].At,
		lastEventAt:    events[len(events)-1].At,
		endpoints:      map[string]*endpointHistory{},
		endpointNames:  make([]map[string]string, len(fleet)),
		pollsPerSecond: map[monotime.Micros]int{},
	}
	for _, e := range events {
		a.addEvent(e)
	}
	return a.fleetStats()
}

// fleetEvent is an event with the index of its instance in the fleet.
type fleetEvent struct {
	Event
	instance int
}

// mergeEventsByTime returns the events of all instances, sorted by time.
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

// analysis is the intermediate state of Analyze.
type analysis struct {
	stats          FleetStats
	firstEventAt   monotime.Micros
	lastEventAt    monotime.Micros
	endpoints      map[string]*endpointHistory
	endpointNames  []map[string]string     // by instance: endpoint names by address
	pollsPerSecond map[monotime.Micros]int // polls of all instances, by second since firstEventAt
}

// endpointHistory returns the history of an endpoint, and creates it if it does not exist.
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

// addEvent adds an event to the statistics. Events must be added in the order of their times.
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
		secondIndex := (e.At - a.firstEventAt) / second
		a.pollsPerSecond[secondIndex]++
		a.stats.MaxPollsPerSecond = max(a.stats.MaxPollsPerSecond, a.pollsPerSecond[secondIndex])
	}
}

// isEndpointFailure reports whether the status of an attempt is a failure of the endpoint. Attempts that were
// cancelled or never sent are not failures of the endpoint.
func isEndpointFailure(status string) bool {
	switch status {
	case statusOK, statusNames[balancer.Cancelled], statusNames[balancer.NotSent]:
		return false
	}
	return true
}

// addEndpointUpdate adds an update of an endpoint to the statistics.
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

// addConnEvent adds the opening or close of a connection, or a failure to open one, to the statistics.
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

// fleetStats returns the statistics of all events that were added.
func (a *analysis) fleetStats() FleetStats {
	a.stats.DurationSeconds = float64(a.lastEventAt-a.firstEventAt) / float64(second)
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
		activeFrom := max(a.firstEventAt, endpoint.firstUpdateAt)
		activeUntil := a.lastEventAt
		for _, removedAt := range endpoint.removedAt {
			activeUntil = min(activeUntil, removedAt)
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
	a.stats.Added, a.stats.Removed = newPropagation(histories, a.firstEventAt)
	a.stats.Faults = newFaultStats(histories)
	return a.stats
}

// setFirstTime records a time for an instance in firstTimes, unless the instance already has one.
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

// attemptTimes returns the times of attempt events.
func attemptTimes(attempts []attemptEvent) (times []monotime.Micros) {
	for _, attempt := range attempts {
		times = append(times, attempt.at)
	}
	return times
}

// countPerSecond returns the number of the given event times in each complete second between start and end.
func countPerSecond(times []monotime.Micros, start, end monotime.Micros) []float64 {
	seconds := int((end - start) / second)
	if seconds <= 0 {
		return nil
	}
	counts := make([]float64, seconds)
	for _, eventTime := range times {
		if secondIndex := (eventTime - start) / second; eventTime >= start && int(secondIndex) < seconds {
			counts[secondIndex]++
		}
	}
	return counts
}

// initialPeriod is the period after the first event of the log in which an endpoint's first update does not count
// as an addition: the endpoint is assumed to have existed before.
const initialPeriod = second

// newPropagation returns the statistics of the endpoints that were added and of those that were removed.
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

// propagationSamples are the values from which the distributions of a Propagation are computed.
type propagationSamples struct{ notificationDelays, firstUseDelays, instancesWithAttempts, staleFailures []float64 }

// recordAddition records the delays and uses of an endpoint that was added.
func (s *propagationSamples) recordAddition(endpoint *endpointHistory) {
	for _, notifiedAt := range endpoint.addedAt {
		s.notificationDelays = append(s.notificationDelays, float64(notifiedAt-endpoint.firstUpdateAt)/float64(second))
	}
	firstUses := map[int]monotime.Micros{} // time of the first attempt, by instance
	for _, attempt := range endpoint.attemptStarts {
		setFirstTime(firstUses, attempt.instance, attempt.at)
	}
	for _, firstUseAt := range firstUses {
		s.firstUseDelays = append(s.firstUseDelays, float64(firstUseAt-endpoint.firstUpdateAt)/float64(second))
	}
	s.instancesWithAttempts = append(s.instancesWithAttempts, float64(len(firstUses)))
}

// staleFailureWindow is the time before the first notification of an endpoint's removal in which failures at the
// endpoint already count as stale.
const staleFailureWindow = 10 * second

// recordRemoval records the delays and stale failures of an endpoint that was removed.
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
		stale := (!notified || attempt.at < notifiedAt) && attempt.at > firstRemovedAt-staleFailureWindow
		staleFailures += boolToInt(attempt.failed && stale)
	}
	s.staleFailures = append(s.staleFailures, float64(staleFailures))
}

// Limits that define a fault episode of an endpoint. They apply to the attempts of the whole fleet, because a
// single instance has too few attempts to detect an episode.
const (
	faultDetectionWindow = 2 * second // period from a failure in which the attempts decide whether an episode started
	minFaultAttempts     = 5          // minimum number of attempts in faultDetectionWindow
	minFaultFailureRatio = 0.5        // minimum fraction of failures among the attempts in faultDetectionWindow
	faultEndDelay        = 5 * second // period without a failure after which an episode has ended
)

// newFaultStats returns the statistics of the fault episodes of all endpoints.
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

// faultEpisode is a period in which a large fraction of the fleet's attempts at one endpoint failed.
type faultEpisode struct {
	firstFailureAt, lastFailureAt monotime.Micros
	failures, lateFailures        int         // lateFailures occur later than faultDetectionWindow after firstFailureAt
	failuresByInstance            map[int]int // failures by index of the instance
}

// findFaultEpisodes returns the fault episodes of one endpoint, from the ends of its attempts in the order of time.
func findFaultEpisodes(attemptEnds []attemptEvent) (episodes []faultEpisode) {
	for i := 0; i < len(attemptEnds); {
		if !attemptEnds[i].failed || !isFaultStart(attemptEnds[i:]) {
			i++
			continue
		}
		episode := faultEpisode{
			firstFailureAt:     attemptEnds[i].at,
			lastFailureAt:      attemptEnds[i].at,
			failuresByInstance: map[int]int{},
		}
		for ; i < len(attemptEnds) && attemptEnds[i].at < episode.lastFailureAt+faultEndDelay; i++ {
			if attempt := attemptEnds[i]; attempt.failed {
				episode.lastFailureAt = attempt.at
				episode.failures++
				episode.failuresByInstance[attempt.instance]++
				episode.lateFailures += boolToInt(attempt.at > episode.firstFailureAt+faultDetectionWindow)
			}
		}
		episodes = append(episodes, episode)
	}
	return episodes
}

// isFaultStart reports whether a fault episode starts with the first of the attempts, which must be a failure.
func isFaultStart(attemptEnds []attemptEvent) bool {
	attempts := 0
	failures := 0
	for _, attempt := range attemptEnds {
		if attempt.at > attemptEnds[0].at+faultDetectionWindow {
			break
		}
		attempts++
		failures += boolToInt(attempt.failed)
	}
	return attempts >= minFaultAttempts && float64(failures) >= minFaultFailureRatio*float64(attempts)
}
