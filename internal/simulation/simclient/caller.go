// Package simclient is a client of the fleet as a state machine: what it wants, for how long it waits, and how it tries again
// by itself. It is free of I/O and reads no clock, so that the same clients ask in simulated time (package simulation) and over
// sockets (package processes). All its tries for one thing belong to one Story; what a story is worth, package measure says.
package simclient

import (
	"math/rand/v2"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Habits are how clients behave.
type Habits struct {
	Retries    [2]int             // a client tries again so many times at most, drawn between these
	TryShare   [2]float64         // and waits for each try this part of all the time it has
	Backoff    [2]monotime.Micros // before the first try of its own again; twice as long before each further one
	Honour     float64            // part of the clients that wait for as long as they are told
	Impatient  float64            // part of the tries that are left before their time
	MarksRetry bool               // tries after the first say so
	FreshKeys  float64            // part of the clients whose tries have a new key each, as if they were new requests
}

// Story is one thing that a client wants, with all its tries.
type Story struct {
	ID       uint64
	Instance int // that it asks
	Process  int // of the clients there
	Class    int
	Tenant   int // -1 is none
	Work     monotime.Micros
	Key      uint64 // keyed classes only
	Object   uint64
	Began    monotime.Micros // when its first try began

	Tries   int // begun
	Outcome Outcome
	Ended   monotime.Micros // when its outcome was known, or it was given up
	Runs    int             // attempts that were worked at to their end
	Effects int             // of these, those that took effect
	Spoilt  bool            // whatever answer comes is no use to the client
	Refused int             // tries that were refused,
	Failed  int             // that failed,
	Lost    int             // and that had no answer: the connection broke, or the try was given up

	retries int
	honours bool
	fresh   bool
	share   float64
	backoff monotime.Micros
	open    bool // a try is under way
	try     int  // its number, from 1
}

// Outcome is how a story ended.
type Outcome uint8

// The outcomes.
const (
	Open     Outcome = iota
	Served           // an answer came
	GivenUp          // none came in all its tries, or in its time
	Outcomes         // how many there are
)

// Verdict is how one try ended.
type Verdict uint8

// The verdicts.
const (
	OK      Verdict = iota
	Refused         // trying again is harmless
	Failed          // no such promise
	Broken          // no whole answer
)

// Try is a request that a client makes.
type Try struct {
	Number   int
	Key      uint64
	Deadline monotime.Micros // when the client gives this try up
	Leaves   monotime.Micros // it leaves already then; 0 is that it does not
	Retry    bool            // it says that it is a repetition
}

// Begin draws what a story's client is like, and returns its first try.
func (s *Story) Begin(now monotime.Micros, h *Habits, c *balancer.Class, r *rand.Rand) Try {
	s.Began = now
	s.retries = h.Retries[0] + r.IntN(h.Retries[1]-h.Retries[0]+1)
	s.share = h.TryShare[0] + (h.TryShare[1]-h.TryShare[0])*r.Float64()
	s.backoff = h.Backoff[0] + monotime.Micros(r.Float64()*float64(h.Backoff[1]-h.Backoff[0]))
	s.honours = r.Float64() < h.Honour
	s.fresh = r.Float64() < h.FreshKeys
	return s.next(now, h, c, r)
}

// End returns when a story is given up at the latest.
func (s *Story) End(c *balancer.Class) monotime.Micros { return s.Began + c.ClientTimeout }

func (s *Story) next(now monotime.Micros, h *Habits, c *balancer.Class, r *rand.Rand) Try {
	s.Tries++
	s.try, s.open = s.Tries, true
	t := Try{Number: s.try, Key: s.Key, Retry: h.MarksRetry && s.try > 1}
	if s.fresh && s.Key != 0 && s.try > 1 {
		t.Key = s.Key + uint64(s.try)*0x9e3779b97f4a7c15
	}
	t.Deadline = min(s.End(c), now+monotime.Micros(s.share*float64(c.ClientTimeout)))
	if s.try > s.retries {
		t.Deadline = s.End(c) // the last one is waited for as long as there is time
	}
	if r.Float64() < h.Impatient {
		t.Leaves = now + monotime.Micros(r.Float64()*float64(t.Deadline-now))
	}
	return t
}

// Done tells how a try ended; trying again is harmless after a refusal only, and otherwise as the class allows. If again
// is so, the next try begins at an instant: Again makes it. Of a try that is not the present one nothing is taken in.
func (s *Story) Done(now monotime.Micros, number int, v Verdict, retryAfter monotime.Micros, c *balancer.Class, r *rand.Rand) (at monotime.Micros, again bool) {
	if !s.open || number != s.try || s.Outcome != Open {
		return 0, false
	}
	s.open = false
	switch v {
	case OK:
		s.Outcome, s.Ended = Served, now
		if s.Spoilt {
			s.Outcome = GivenUp
		}
		return 0, false
	case Refused:
		s.Refused++
	case Failed:
		s.Failed++
	case Broken:
		s.Lost++
	}
	wait := s.backoff << (s.try - 1)
	wait = wait/2 + monotime.Micros(r.Float64()*float64(wait)) // spread by half either way
	if v == Refused && s.honours {
		wait = max(wait, retryAfter)
	}
	if s.try > s.retries || now+wait >= s.End(c) || v != Refused && c.Idempotency == balancer.NonIdempotent {
		s.Outcome, s.Ended = GivenUp, now
		return 0, false
	}
	return now + wait, true
}

// Again makes the next try.
func (s *Story) Again(now monotime.Micros, h *Habits, c *balancer.Class, r *rand.Rand) Try {
	return s.next(now, h, c, r)
}
