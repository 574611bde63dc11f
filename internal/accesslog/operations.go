package accesslog

import "slices"

// Operation is what a client wanted to be done once, with all the attempts that the client made for it.
type Operation struct {
	Attempts []Request // at least one, in the order of their arrival
}

// FirstAttempt returns the first attempt.
func (op *Operation) FirstAttempt() *Request { return &op.Attempts[0] }

// Served reports whether one of the attempts was served.
func (op *Operation) Served() bool {
	return slices.ContainsFunc(op.Attempts, func(q Request) bool { return q.Verdict == Served })
}

const (
	// keyLifetime is the time, in microseconds, for which an idempotency key identifies one operation. A
	// request with the same key that arrives later starts another operation.
	keyLifetime = 60_000_000
	// retryWindow is the time, in microseconds, after the end of an unserved attempt within which a request of
	// the same client for the same object counts as a retry.
	retryWindow = 2_000_000
	// maxAttempts is the largest number of attempts of an operation.
	maxAttempts = 12
)

// operationKey identifies the operation of an attempt that has no idempotency key.
type operationKey struct {
	instance, client, tenant, class, route string
	object                                 uint64
}

// Operations groups the requests by operation, so that a replay contains the operations that clients wanted,
// without the retries that the recorded fleet caused. Requests with the same idempotency key belong to one
// operation, at any instance. A request without a key is a retry if the same client requested the same object
// shortly before and was not served. If objects are not recorded, a request is a retry only if the client
// marked it as one. A client that requests an object again by chance, and not as a retry, is not recognized:
// its request counts as a retry, and is missing from the replay.
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

// operationGrouper holds the operations that Operations has found so far.
type operationGrouper struct {
	operations []*Operation
	byKey      map[uint64]*Operation       // latest operation of each idempotency key
	unserved   map[operationKey]*Operation // operations without a key whose latest attempt was not served
}

// start adds an operation whose first attempt is q.
func (g *operationGrouper) start(q Request) *Operation {
	op := &Operation{[]Request{q}}
	g.operations = append(g.operations, op)
	return op
}

// addByKey adds a request that has an idempotency key to the operation of this key, or starts an operation.
func (g *operationGrouper) addByKey(q Request) {
	op := g.byKey[q.KeyHash]
	if op != nil && q.Arrived-op.FirstAttempt().Arrived < keyLifetime && len(op.Attempts) < maxAttempts {
		op.Attempts = append(op.Attempts, q)
		return
	}
	g.byKey[q.KeyHash] = g.start(q)
}

// addByObject adds a request without an idempotency key to the unserved operation that it retries, or starts an
// operation.
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

// isRetriedBy reports whether q can be a retry of the operation: the latest attempt was not served, q arrived
// within retryWindow after its end, and the operation has fewer than maxAttempts attempts.
func (op *Operation) isRetriedBy(q *Request) bool {
	latest := &op.Attempts[len(op.Attempts)-1]
	sinceEnd := q.Arrived - latest.End()
	return sinceEnd >= 0 && sinceEnd < retryWindow && latest.Verdict != Served && len(op.Attempts) < maxAttempts
}
