// Package lease decides which of a few named processes holds the one lease that there is, by the votes of a majority of them,
// without a disk and without synchronised clocks. At no instant do two hold it, whatever is lost, late, doubled or out of
// order, whoever is killed, stopped or cut off; that somebody holds it is the aim after that. It is a deterministic state
// machine for one caller at a time: no I/O, no clock, chance by a seed. It may not know sockets, members beyond the voters'
// names, or what the lease is for.
//
// Why two never hold it. A voter's vote is one holder's at a time, for Length lengthened by how far two clocks' rates may
// differ, from when it gives the vote. A holder counts its lease from before it asked, for Length. So while a lease holds by
// its holder's clock, all votes that it was won by hold by their voters' clocks; two majorities share a voter, and that has one
// vote. A voter that starts has forgotten its vote: it gives none until any that it may have given is over. Votes are counted
// for the very question that they answer, so that a late one counts for nothing. (Leases without a disk: Trencseni, Gazso and
// Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012; with one decision to make and nothing to remember beyond it, their
// ballots are not needed.)
package lease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
)

// Settings are a voter's. All voters must have the same, but for Self, Life and Seed.
type Settings struct {
	Self   string          // one of Voters
	Life   uint64          // of the process: no two processes of a name have the same
	Voters []string        // all names
	Length monotime.Micros // of a lease
	Drift  float64         // by what part of itself a clock's rate may be off, at most
	Seed   uint64
}

// SettingError names a setting that makes no sense.
type SettingError struct{ Key, Reason string }

// Error says which, and why.
func (e *SettingError) Error() string { return fmt.Sprintf("lease: %s: %s", e.Key, e.Reason) }

// Longer is how long one has to wait by the own clock for a time to have passed by any.
func Longer(d monotime.Micros, drift float64) monotime.Micros {
	return monotime.Micros(math.Ceil(float64(d) * (1 + drift) / (1 - drift)))
}

// Kind is what a word is.
type Kind uint8

// The kinds.
const (
	Ask  Kind = iota + 1 // for a vote
	Yes                  // the vote
	No                   // it is another's
	Drop                 // the vote that was asked for is not wanted any more
)

// Word is what voters tell one another.
type Word struct {
	Kind   Kind            `cbor:"Kind"`
	Life   uint64          `cbor:"Life"`   // of the process that asks
	Number uint64          `cbor:"Number"` // of its question
	Holder string          `cbor:"Holder"` // with No: whose the vote is, "" for nobody's yet,
	Left   monotime.Micros `cbor:"Left"`   // and for how long at most
}

// Out is a word that is to be told to a voter.
type Out struct {
	To   string
	Word Word
}

// Term names one holding of the lease, from when it was won without a gap. The zero value is none.
type Term struct {
	Holder string `cbor:"Holder" json:"Holder"`
	Life   uint64 `cbor:"Life" json:"Life"`
	Number uint64 `cbor:"Number" json:"Number"` // of the question by which it was won
}

// vote is what a voter has given.
type vote struct {
	holder string
	life   uint64
	number uint64
	until  monotime.Micros
}

// Voter is one of the voters: it votes, and tries to win the lease itself. Make one with New.
type Voter struct {
	s     Settings
	rng   *rand.Rand
	out   []Out
	vote  vote
	votes monotime.Micros // it gives none before this instant

	number  uint64 // of the latest question
	askedAt monotime.Micros
	open    bool // and it has not been answered by a majority, nor given up
	yes     []string
	tryAt   monotime.Micros // when to ask next
	until   monotime.Micros // when the lease ends that it holds
	term    Term
}

// New returns a voter whose process has just started, or a *SettingError.
func New(now monotime.Micros, s Settings) (*Voter, error) {
	switch {
	case !slices.Contains(s.Voters, s.Self):
		return nil, &SettingError{"self", "is none of the voters"}
	case s.Length < 1000:
		return nil, &SettingError{"length", "must be a millisecond at least"}
	case !(s.Drift >= 0 && s.Drift <= 0.1):
		return nil, &SettingError{"drift", "must be in 0..0.1"}
	}
	for i, name := range s.Voters {
		if slices.Contains(s.Voters[:i], name) {
			return nil, &SettingError{"voters", fmt.Sprintf("%q stands there twice", name)}
		}
	}
	v := &Voter{s: s, rng: rand.New(rand.NewPCG(s.Seed, s.Life)), votes: now + Longer(s.Length, s.Drift)}
	v.tryAt = v.votes + v.soon()
	return v, nil
}

// soon is a short random while: who asks at once with another keeps both from a majority.
func (v *Voter) soon() monotime.Micros { return 1 + v.rng.Int64N(max(1, v.s.Length/4)) }

// Holds returns the term in which this process holds the lease, and until when it does if it is not won anew.
func (v *Voter) Holds(now monotime.Micros) (t Term, until monotime.Micros, yes bool) {
	if now >= v.until || v.term == (Term{}) {
		return Term{}, 0, false
	}
	return v.term, v.until, true
}

// Next is when Tick has something to do.
func (v *Voter) Next() monotime.Micros {
	if v.open {
		return v.askedAt + v.s.Length/2
	}
	return v.tryAt
}

// Take returns what is to be told since it was called last.
func (v *Voter) Take() []Out {
	out := v.out
	v.out = nil
	return out
}

// Tick does what is due.
func (v *Voter) Tick(now monotime.Micros) {
	if v.open && now >= v.askedAt+v.s.Length/2 {
		v.giveUp(now)
	}
	if !v.open && now >= v.tryAt {
		v.ask(now)
	}
}

// ask asks all for their votes.
func (v *Voter) ask(now monotime.Micros) {
	if _, _, holds := v.Holds(now); !holds && v.vote.until > now && v.vote.holder != v.s.Self {
		v.tryAt = v.vote.until + v.soon() // our own vote tells that there is a holder
		return
	}
	v.number++
	v.askedAt, v.open, v.yes = now, true, v.yes[:0]
	for _, name := range v.s.Voters {
		v.tell(now, name, Word{Kind: Ask, Life: v.s.Life, Number: v.number})
	}
}

// giveUp leaves a question without a majority. Votes that were given for it must not wait for their end.
func (v *Voter) giveUp(now monotime.Micros) {
	v.open = false
	v.tryAt = now + v.soon()
	if _, _, holds := v.Holds(now); !holds {
		v.drop(now)
	}
}

func (v *Voter) drop(now monotime.Micros) {
	for _, name := range v.s.Voters {
		v.tell(now, name, Word{Kind: Drop, Life: v.s.Life, Number: v.number})
	}
}

// Resign lets the lease go, if it is held: its process is about to end.
func (v *Voter) Resign(now monotime.Micros) {
	v.until, v.open = 0, false
	v.tryAt = now + Longer(v.s.Length, v.s.Drift)
	v.drop(now)
}

func (v *Voter) tell(now monotime.Micros, to string, w Word) {
	if to == v.s.Self {
		v.Hear(now, to, w)
		return
	}
	v.out = append(v.out, Out{to, w})
}

// Hear takes a voter's word in.
func (v *Voter) Hear(now monotime.Micros, from string, w Word) {
	if !slices.Contains(v.s.Voters, from) {
		return
	}
	switch w.Kind {
	case Ask:
		v.asked(now, from, w)
	case Drop:
		// It may come before the question does: then that is answered, and the answer counts for nothing.
		if v.vote.holder == from && v.vote.life == w.Life && v.vote.number == w.Number {
			v.vote.until = 0
		}
	case Yes, No:
		if v.open && w.Life == v.s.Life && w.Number == v.number {
			v.answered(now, from, w)
		}
	}
}

// asked gives the vote, or says whose it is.
func (v *Voter) asked(now monotime.Micros, from string, w Word) {
	answer := Word{Kind: No, Life: w.Life, Number: w.Number}
	own := v.vote.holder == from && v.vote.life == w.Life
	switch {
	case own && w.Number < v.vote.number:
		return // a question that was followed by others
	case now < v.votes:
		answer.Left = v.votes - now
	case !own && now < v.vote.until:
		answer.Holder, answer.Left = v.vote.holder, v.vote.until-now
	default:
		answer.Kind = Yes
		v.vote = vote{from, w.Life, w.Number, now + Longer(v.s.Length, v.s.Drift)}
	}
	v.tell(now, from, answer)
}

// answered counts a vote for the question that is open.
func (v *Voter) answered(now monotime.Micros, from string, w Word) {
	if w.Kind == No {
		// Who holds it goes on to hold it, most likely: there is no use in asking much sooner.
		if _, _, holds := v.Holds(now); !holds && w.Holder != "" && w.Holder != v.s.Self {
			v.open = false
			v.drop(now)
			v.tryAt = now + w.Left + v.soon()
		}
		return
	}
	if slices.Contains(v.yes, from) {
		return
	}
	v.yes = append(v.yes, from)
	if 2*len(v.yes) <= len(v.s.Voters) {
		return
	}
	v.open = false
	if now >= v.askedAt+v.s.Length {
		v.tryAt = now
		return
	}
	if _, _, holds := v.Holds(now); !holds {
		v.term = Term{v.s.Self, v.s.Life, v.number}
	}
	v.until = v.askedAt + v.s.Length
	v.tryAt = max(now, v.askedAt+v.s.Length/4)
}
