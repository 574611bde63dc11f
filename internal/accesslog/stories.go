package accesslog

import "slices"

// Story is one thing that a client wanted, with all its tries.
type Story struct {
	Tries []Request // in their order
}

// First is its first try.
func (s *Story) First() *Request { return &s.Tries[0] }

// Served says whether one of its tries was.
func (s *Story) Served() bool {
	return slices.ContainsFunc(s.Tries, func(q Request) bool { return q.Verdict == Served })
}

const (
	// keyTime is for how long a key means the same thing, in microseconds: what comes later with it is another story.
	keyTime = 60_000_000
	// againTime is within what time after a try that was not served the next one of the same client for the same thing
	// belongs to it.
	againTime = 2_000_000
	// triesMost is how many tries a story has at most.
	triesMost = 12
)

// who is by what a try without a key is found to belong to another.
type who struct {
	instance, client, tenant, class, route string
	object                                 uint64
}

// Stories puts the tries of each story together: a better variant must not be fed the retries that a worse one made
// clients make. Tries with a key belong together by it, whichever instance they came to. Others do where the same client
// asks for the same object again soon after a try that was not served; where objects are not told, only if the client marks
// its retries. A client may in truth ask anew by chance: what is taken for a retry then is missing.
func (rec *Recording) Stories() []*Story {
	var all []*Story
	byKey := map[uint64]*Story{}
	open := map[who]*Story{} // whose last try was not served
	for i := range rec.Requests {
		q := rec.Requests[i]
		if q.Key != 0 {
			if s := byKey[q.Key]; s != nil && q.Arrived-s.First().Arrived < keyTime && len(s.Tries) < triesMost {
				s.Tries = append(s.Tries, q)
				continue
			}
			s := &Story{[]Request{q}}
			byKey[q.Key] = s
			all = append(all, s)
			continue
		}
		w := who{q.Instance, q.Client, q.Tenant, q.Class, q.Route, q.Object}
		if s := open[w]; s != nil && (q.Object != 0 || q.Retry) {
			last := &s.Tries[len(s.Tries)-1]
			if since := q.Arrived - last.End(); since >= 0 && since < againTime && last.Verdict != Served && len(s.Tries) < triesMost {
				s.Tries = append(s.Tries, q)
				if q.Verdict == Served {
					delete(open, w)
				}
				continue
			}
		}
		s := &Story{[]Request{q}}
		all = append(all, s)
		if q.Verdict != Served {
			open[w] = s
		} else {
			delete(open, w)
		}
	}
	return all
}
