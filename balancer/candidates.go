package balancer

import "dunlinsail/internal/monotime"

// candidateSearch looks for the endpoint of the lowest cost for a request. Its methods consider endpoints,
// each in another way; findCandidate calls them in a fixed order, which fixes the order of random draws.
type candidateSearch struct {
	b            *Balancer
	now          monotime.Micros
	request      *request
	excluded     *endpoint // left out; nil for none
	allowEjected bool
	best         *endpoint // nil: none yet
	bestCost     float64   // microseconds, of best
}

// findCandidate returns an endpoint that r may be sent to, nil for none: the one of the lowest cost among the
// pool of recent load reports, some warming endpoints, and random endpoints where the pool is too small. If
// none of these may be used, it is the first of all others that may (considerAll).
func (b *Balancer) findCandidate(now monotime.Micros, r *request, excluded *endpoint,
	allowEjected bool) *endpoint {
	minReportedAt := now - b.reportLifetime(now)
	b.effectiveCapacity(now) // updates warmingEndpoints
	s := candidateSearch{b: b, now: now, request: r, excluded: excluded, allowEjected: allowEjected}
	usablePooled := s.considerPooled(minReportedAt)
	s.considerWarming()
	if s.poolIsTooSmall(usablePooled) {
		s.considerRandom()
	}
	s.considerAll()
	return s.best
}

// consider compares e with the best endpoint so far, and reports whether r may be sent to e. It may not go to
// an endpoint that it was sent to before, nor, without allowEjected, to one that is ejected, nor against the
// rules of maySend.
func (s *candidateSearch) consider(e *endpoint) bool {
	if e == s.excluded || s.request.hasAttempted(e) {
		return false
	}
	if !s.allowEjected && s.b.isEjectedFor(s.now, e, s.request) {
		return false
	}
	if !s.b.maySend(s.now, s.request, e) {
		return false
	}
	if cost := s.b.candidateCost(s.now, s.request, e); s.best == nil || cost < s.bestCost {
		s.best = e
		s.bestCost = cost
	}
	return true
}

// considerPooled considers the endpoints of the pool whose load report was made at oldest or later, the
// latest first, and returns how many of them may be used.
func (s *candidateSearch) considerPooled(minReportedAt monotime.Micros) int {
	usable := 0
	for i := len(s.b.probePool) - 1; i >= 0 && s.b.probePool[i].reportedAt >= minReportedAt; i-- {
		if s.consider(s.b.probePool[i]) {
			usable++
		}
	}
	return usable
}

// warmingDraws is the number of random warming endpoints that are considered for each request. Few of the
// pool's reports are from warming endpoints, and capacity that is not used is lost.
const warmingDraws = 2

// considerWarming considers some random warming endpoints.
func (s *candidateSearch) considerWarming() {
	for i := 0; i < warmingDraws && len(s.b.warmingEndpoints) > 0; i++ {
		s.consider(s.b.warmingEndpoints[s.b.random.index(len(s.b.warmingEndpoints))])
	}
}

const (
	randomDraws    = 2 // usable random endpoints that are looked for (power of two choices)
	maxRandomDraws = 8 // random draws to find them

	// poolCoverageDivisor divides the number of listed endpoints, where it is at most probePoolSize: if fewer
	// than the result are usable in the pool, random ones compete.
	poolCoverageDivisor = 2
)

// poolIsTooSmall reports whether random endpoints compete with the usable ones of the pool (pooled is their
// number), since a small pool would get all requests. It does if there are fewer than randomDraws of them.
// Where the list has at most probePoolSize endpoints, it also does if fewer than half of the list are usable
// in the pool.
func (s *candidateSearch) poolIsTooSmall(usablePooled int) bool {
	count := len(s.b.endpoints)
	return usablePooled < randomDraws || count <= probePoolSize && poolCoverageDivisor*usablePooled < count
}

// considerRandom considers random endpoints until randomDraws of them may be used.
func (s *candidateSearch) considerRandom() {
	usable := 0
	for i := 0; usable < randomDraws && i < maxRandomDraws && len(s.b.endpoints) > 0; i++ {
		if s.consider(s.b.endpoints[s.b.random.index(len(s.b.endpoints))]) {
			usable++
		}
	}
}

// considerAll considers all endpoints in turn, from a random one on, until one may be used: where few may,
// random draws do not find them. In a list of maxRandomDraws endpoints at most it goes on while the best one
// is over the latency budget: the draws may have found the same slow endpoint twice. In a long list that
// would have many balancers follow the same averages. It draws the start in each search, also if there is a
// best one.
func (s *candidateSearch) considerAll() {
	count := len(s.b.endpoints)
	start := s.b.random.index(count)
	isSmall := count <= maxRandomDraws
	for i := 0; i < count && (s.best == nil || isSmall && s.bestIsOverBudget()); i++ {
		s.consider(s.b.endpoints[(start+i)%count])
	}
}

// bestIsOverBudget reports whether even the best endpoint so far is over the latency budget.
func (s *candidateSearch) bestIsOverBudget() bool { return s.b.isOverBudget(s.now, s.request, s.best) }
