package accesslog

import "slices"

// Operation is one thing that a client requested, with all its attempts.
type Operation struct {
	Attempts []Request // in the order of their arrival, at least one
}

// First returns the first attempt.
func (s *Operation) First() *Request { return &s.Attempts[0] }

// Served reports whether one of the attempts was served.
func (s *Operation) Served() bool {
	return slices.ContainsFunc(s.Attempts, func(q Request) bool { return q.Verdict == Served })
}

const (
	// keyLifetime is the time, in microseconds, for which a key identifies one operation. A later request with the key
	// is another operation.
	keyLifetime = 60_000_000
	// retryWindow is the time, in microseconds, after the end of an attempt that was not served, within which a request
	// of the same client for the same object is a retry.
	retryWindow = 2_000_000
	// maxAttempts is the largest number of attempts of an operation.
	maxAttempts = 12
)

// operationKey identifies the operation of an attempt without an idempotency key.
type operationKey struct {
	instance, client, tenant, class, route string
	object                                 uint64
}

// Operations groups the requests by operation, so that a replay contains what clients wanted, without the retries that
// the recorded fleet caused. Requests with an idempotency key belong together by the key, at any instance. A request
// without one is a retry if the same client requested the same object shortly before and was not served. If objects are
// not recorded, it is one only if the client marks its retries. A client may also request an object again by chance:
// such a request is taken for a retry, and is missing from the replay.
func (rec *Recording) Operations() []*Operation {
	g := operationGrouper{byKey: map[uint64]*Operation{}, unserved: map[operationKey]*Operation{}}
	for i := range rec.Requests {
		if q := rec.Requests[i]; q.KeyHash != 0 {
			g.addByKey(q)
		} else {
			g.addByObject(q)
		}
	}
	return g.all
}

// operationGrouper is the state of Operations.
type operationGrouper struct {
	all      []*Operation
	byKey    map[uint64]*Operation       // the latest operation of an idempotency key
	unserved map[operationKey]*Operation // operations without a key whose latest attempt was not served
}

// start starts an operation with its first attempt.
func (g *operationGrouper) start(q Request) *Operation {
	s := &Operation{[]Request{q}}
	g.all = append(g.all, s)
	return s
}

// addByKey adds a request with an idempotency key.
func (g *operationGrouper) addByKey(q Request) {
	s := g.byKey[q.KeyHash]
	if s != nil && q.Arrived-s.First().Arrived < keyLifetime && len(s.Attempts) < maxAttempts {
		s.Attempts = append(s.Attempts, q)
		return
	}
	g.byKey[q.KeyHash] = g.start(q)
}

// addByObject adds a request without an idempotency key.
func (g *operationGrouper) addByObject(q Request) {
	key := operationKey{q.Instance, q.Client, q.Tenant, q.Class, q.Route, q.ObjectHash}
	if s := g.unserved[key]; s != nil && (q.ObjectHash != 0 || q.Retry) && s.isRetriedBy(&q) {
		s.Attempts = append(s.Attempts, q)
		if q.Verdict == Served {
			delete(g.unserved, key)
		}
		return
	}
	s := g.start(q)
	if q.Verdict != Served {
		g.unserved[key] = s
	} else {
		delete(g.unserved, key)
	}
}

// isRetriedBy reports whether a request for the same object follows soon enough after the latest attempt, which was not
// served.
func (s *Operation) isRetriedBy(q *Request) bool {
	last := &s.Attempts[len(s.Attempts)-1]
	since := q.Arrived - last.End()
	return since >= 0 && since < retryWindow && last.Verdict != Served && len(s.Attempts) < maxAttempts
}
