package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
)

// vote is what a voter has given.
type vote struct {
	holder      string
	incarnation uint64
	round       uint64
	expiresAt   monotime.Micros
}

// Voter is one of the voters: it votes, and tries to win the lease itself. Make one with New.
type Voter struct {
	settings  Settings
	rng       *rand.Rand
	outgoing  []Outgoing
	vote      vote
	votesFrom monotime.Micros // it gives none before this instant

	round       uint64 // of the latest question
	requestedAt monotime.Micros
	roundOpen   bool // and it has not been answered by a majority, nor given up
	grantedBy   []string
	nextRoundAt monotime.Micros // when to ask next
	heldUntil   monotime.Micros // when the lease ends that it holds
	term        Term
}

// New returns a voter whose process has just started, or a *setting.Error.
func New(now monotime.Micros, s Settings) (*Voter, error) {
	switch {
	case !slices.Contains(s.Voters, s.Self):
		return nil, invalidSetting("self", "is none of the voters")
	case s.Duration < 1000:
		return nil, invalidSetting("length", "must be a millisecond at least")
	case !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= 0.1):
		return nil, invalidSetting("drift", "must be in 0..0.1")
	}
	for i, name := range s.Voters {
		if slices.Contains(s.Voters[:i], name) {
			return nil, invalidSetting("voters", fmt.Sprintf("%q stands there twice", name))
		}
	}
	v := &Voter{settings: s, rng: rand.New(rand.NewPCG(s.Seed, s.Incarnation)), votesFrom: now + ExtendForDrift(s.Duration, s.MaxClockDrift)}
	v.nextRoundAt = v.votesFrom + v.randomDelay()
	return v, nil
}

// soon is a short random while: who asks at once with another keeps both from a majority.
func (v *Voter) randomDelay() monotime.Micros { return 1 + v.rng.Int64N(max(1, v.settings.Duration/4)) }

// Holds returns the term in which this process holds the lease, and until when it does if it is not won anew.
func (v *Voter) HeldTerm(now monotime.Micros) (t Term, until monotime.Micros, yes bool) {
	if now >= v.heldUntil || v.term == (Term{}) {
		return Term{}, 0, false
	}
	return v.term, v.heldUntil, true
}

// Next is when Tick has something to do.
func (v *Voter) NextTick() monotime.Micros {
	if v.roundOpen {
		return v.requestedAt + v.settings.Duration/2
	}
	return v.nextRoundAt
}

// Take returns what is to be told since it was called last.
func (v *Voter) TakeOutgoing() []Outgoing {
	out := v.outgoing
	v.outgoing = nil
	return out
}

// Tick does what is due.
func (v *Voter) Tick(now monotime.Micros) {
	if v.roundOpen && now >= v.requestedAt+v.settings.Duration/2 {
		v.abandonRound(now)
	}
	if !v.roundOpen && now >= v.nextRoundAt {
		v.startRound(now)
	}
}

// ask asks all for their votes.
func (v *Voter) startRound(now monotime.Micros) {
	if _, _, holds := v.HeldTerm(now); !holds && v.vote.expiresAt > now && v.vote.holder != v.settings.Self {
		v.nextRoundAt = v.vote.expiresAt + v.randomDelay() // our own vote tells that there is a holder
		return
	}
	v.round++
	v.requestedAt, v.roundOpen, v.grantedBy = now, true, v.grantedBy[:0]
	for _, name := range v.settings.Voters {
		v.send(now, name, Message{Kind: VoteRequest, Incarnation: v.settings.Incarnation, Round: v.round})
	}
}

// giveUp leaves a question without a majority. Votes that were given for it must not wait for their end.
func (v *Voter) abandonRound(now monotime.Micros) {
	v.roundOpen = false
	v.nextRoundAt = now + v.randomDelay()
	if _, _, holds := v.HeldTerm(now); !holds {
		v.releaseVotes(now)
	}
}

func (v *Voter) releaseVotes(now monotime.Micros) {
	for _, name := range v.settings.Voters {
		v.send(now, name, Message{Kind: VoteReleased, Incarnation: v.settings.Incarnation, Round: v.round})
	}
}

// Resign lets the lease go, if it is held: its process is about to end.
func (v *Voter) Resign(now monotime.Micros) {
	v.heldUntil, v.roundOpen = 0, false
	v.nextRoundAt = now + ExtendForDrift(v.settings.Duration, v.settings.MaxClockDrift)
	v.releaseVotes(now)
}

func (v *Voter) send(now monotime.Micros, to string, w Message) {
	if to == v.settings.Self {
		v.Receive(now, to, w)
		return
	}
	v.outgoing = append(v.outgoing, Outgoing{to, w})
}

// Hear takes a voter's word in.
func (v *Voter) Receive(now monotime.Micros, from string, w Message) {
	if !slices.Contains(v.settings.Voters, from) {
		return
	}
	switch w.Kind {
	case VoteRequest:
		v.handleVoteRequest(now, from, w)
	case VoteReleased:
		// It may come before the question does: then that is answered, and the answer counts for nothing.
		if v.vote.holder == from && v.vote.incarnation == w.Incarnation && v.vote.round == w.Round {
			v.vote.expiresAt = 0
		}
	case VoteGranted, VoteDenied:
		if v.roundOpen && w.Incarnation == v.settings.Incarnation && w.Round == v.round {
			v.handleVoteReply(now, from, w)
		}
	}
}

// asked gives the vote, or says whose it is.
func (v *Voter) handleVoteRequest(now monotime.Micros, from string, w Message) {
	answer := Message{Kind: VoteDenied, Incarnation: w.Incarnation, Round: w.Round}
	own := v.vote.holder == from && v.vote.incarnation == w.Incarnation
	switch {
	case own && w.Round < v.vote.round:
		return // a question that was followed by others
	case now < v.votesFrom:
		answer.Remaining = v.votesFrom - now
	case !own && now < v.vote.expiresAt:
		answer.Holder, answer.Remaining = v.vote.holder, v.vote.expiresAt-now
	default:
		answer.Kind = VoteGranted
		v.vote = vote{from, w.Incarnation, w.Round, now + ExtendForDrift(v.settings.Duration, v.settings.MaxClockDrift)}
	}
	v.send(now, from, answer)
}

// answered counts a vote for the question that is open.
func (v *Voter) handleVoteReply(now monotime.Micros, from string, w Message) {
	if w.Kind == VoteDenied {
		// Who holds it goes on to hold it, most likely: there is no use in asking much sooner.
		if _, _, holds := v.HeldTerm(now); !holds && w.Holder != "" && w.Holder != v.settings.Self {
			v.roundOpen = false
			v.releaseVotes(now)
			v.nextRoundAt = now + w.Remaining + v.randomDelay()
		}
		return
	}
	if slices.Contains(v.grantedBy, from) {
		return
	}
	v.grantedBy = append(v.grantedBy, from)
	if 2*len(v.grantedBy) <= len(v.settings.Voters) {
		return
	}
	v.roundOpen = false
	if now >= v.requestedAt+v.settings.Duration {
		v.nextRoundAt = now
		return
	}
	if _, _, holds := v.HeldTerm(now); !holds {
		v.term = Term{v.settings.Self, v.settings.Incarnation, v.round}
	}
	v.heldUntil = v.requestedAt + v.settings.Duration
	v.nextRoundAt = max(now, v.requestedAt+v.settings.Duration/4)
}
