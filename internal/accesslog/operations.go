package accesslog

import "slices"

// Operation is one thing that a client requested, with all its attempts.
type Operation struct {
	Attempts []Request // in their order
}

// First is its first try.
func (s *Operation) First() *Request { return &s.Attempts[0] }

// Served says whether one of its tries was.
func (s *Operation) Served() bool {
	return slices.ContainsFunc(s.Attempts, func(q Request) bool { return q.Verdict == Served })
}

const (
	// keyLifetime is for how long a key means the same thing, in microseconds: what comes later with it is another
	// story.
	keyLifetime = 60_000_000
	// retryWindow is within what time after a try that was not served the next one of the same client for the same
	// thing belongs to it.
	retryWindow = 2_000_000
	// maxAttempts is how many tries a story has at most.
	maxAttempts = 12
)

// operationKey is by what a try without a key is found to belong to another.
type operationKey struct {
	instance, client, tenant, class, route string
	object                                 uint64
}

// Operations groups the attempts of each operation: a better variant must not be fed the retries that a worse one
// made clients make. Tries with a key belong together by it, whichever instance they came to. Others do where the
// same client asks for the same object again soon after a try that was not served; where objects are not told, only
// if the client marks its retries. A client may in truth ask anew by chance: what is taken for a retry then is
// missing.
func (rec *Recording) Operations() []*Operation {
	var all []*Operation
	byKey := map[uint64]*Operation{}
	open := map[operationKey]*Operation{} // whose last try was not served
	for i := range rec.Requests {
		q := rec.Requests[i]
		if q.KeyHash != 0 {
			if s := byKey[q.KeyHash]; s != nil && q.Arrived-s.First().Arrived < keyLifetime && len(s.Attempts) < maxAttempts {
				s.Attempts = append(s.Attempts, q)
				continue
			}
			s := &Operation{[]Request{q}}
			byKey[q.KeyHash] = s
			all = append(all, s)
			continue
		}
		w := operationKey{q.Instance, q.Client, q.Tenant, q.Class, q.Route, q.ObjectHash}
		if s := open[w]; s != nil && (q.ObjectHash != 0 || q.Retry) {
			last := &s.Attempts[len(s.Attempts)-1]
			if since := q.Arrived - last.End(); since >= 0 && since < retryWindow && last.Verdict != Served && len(s.Attempts) < maxAttempts {
				s.Attempts = append(s.Attempts, q)
				if q.Verdict == Served {
					delete(open, w)
				}
				continue
			}
		}
		s := &Operation{[]Request{q}}
		all = append(all, s)
		if q.Verdict != Served {
			open[w] = s
		} else {
			delete(open, w)
		}
	}
	return all
}
