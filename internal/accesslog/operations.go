package accesslog

import "slices"

// Operation is one thing that a client requested, with all its attempts.
type Operation struct {
	Attempts []Request // in the order of their arrival, at least one
}

// First returns the first attempt.
func (op *Operation) First() *Request { return &op.Attempts[0] }

// Served reports whether one of the attempts was served.
func (op *Operation) Served() bool {
	return slices.ContainsFunc(op.Attempts, func(q Request) bool { return q.Verdict == Served })
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
	grouper := operationGrouper{byKey: map[uint64]*Operation{}, unserved: map[operationKey]*Operation{}}
	for i := range rec.Requests {
		if q := rec.Requests[i]; q.KeyHash != 0 {
			grouper.addByKey(q)
		} else {
			grouper.addByObject(q)
		}
	}
	return grouper.operations
}

// operationGrouper is the state of Operations.
type operationGrouper struct {
	operations []*Operation
	byKey      map[uint64]*Operation       // the latest operation of an idempotency key
	unserved   map[operationKey]*Operation // operations without a key whose latest attempt was not served
}

// start starts an operation with its first attempt.
func (g *operationGrouper) start(q Request) *Operation {
	op := &Operation{[]Request{q}}
	g.operations = append(g.operations, op)
	return op
}

// addByKey adds a request with an idempotency key.
func (g *operationGrouper) addByKey(q Request) {
	op := g.byKey[q.KeyHash]
	if op != nil && q.Arrived-op.First().Arrived < keyLifetime && len(op.Attempts) < maxAttempts {
		op.Attempts = append(op.Attempts, q)
		return
	}
	g.byKey[q.KeyHash] = g.start(q)
}

// addByObject adds a request without an idempotency key.
func (g *operationGrouper) addByObject(q Request) {
	key := operationKey{q.Instance, q.Client, q.Tenant, q.Class, q.Route, q.ObjectHash}
	if op := g.unserved[key]; op != nil && (q.ObjectHash != 0 || q.Retry) && op.isRetriedBy(&q) {
		op.Attempts = append(op.Attempts, q)
		if q.Verdict == Served {
			delete(g.unserved, key)
		}
		return
	}
	op := g.start(q)
	if q.Verdict != Served {
		g.unserved[key] = op
	} else {
		delete(g.unserved, key)
	}
}

// isRetriedBy reports whether a request for the same object follows soon enough after the latest attempt, which was not
// served.
func (op *Operation) isRetriedBy(q *Request) bool {
	latest := &op.Attempts[len(op.Attempts)-1]
	sinceEnd := q.Arrived - latest.End()
	return sinceEnd >= 0 && sinceEnd < retryWindow && latest.Verdict != Served && len(op.Attempts) < maxAttempts
}
