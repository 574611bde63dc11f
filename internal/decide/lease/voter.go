package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
)

// Voter grants its vote to candidates and is a candidate itself. Create one with New. It is not safe for concurrent
// use.
type Voter struct {
	settings Settings
	rng      *rand.Rand
	outgoing []Outgoing

	// As a voter.
	vote      vote
	votesFrom monotime.Micros // it grants no vote before this instant

	// As a candidate.
	round       uint64          // number of the latest round
	requestedAt monotime.Micros // when the latest round started
	roundOpen   bool            // the latest round is neither won nor abandoned
	grantedBy   []string        // voters that have granted their votes in it
	nextRoundAt monotime.Micros // when to start the next one
	heldUntil   monotime.Micros // when the lease that it holds ends
	term        Term            // in which it holds the lease, or held it last
}

// vote is a vote that was granted.
type vote struct {
	holder      string
	incarnation uint64
	round       uint64
	expiresAt   monotime.Micros
}

// New returns the voter of a process that has just started, or a *setting.Error.
func New(now monotime.Micros, s Settings) (*Voter, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	v := &Voter{
		settings:  s,
		rng:       rand.New(rand.NewPCG(s.Seed, s.Incarnation)),
		votesFrom: now + s.voteDuration(),
	}
	v.nextRoundAt = v.votesFrom + v.randomDelay()
	return v, nil
}

func (s *Settings) validate() error {
	switch {
	case !slices.Contains(s.Voters, s.Self):
		return invalidSetting("self", "is none of the voters")
	case s.Duration < minDuration:
		return invalidSetting("length", "must be a millisecond at least")
	case !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= maxClockDrift):
		return invalidSetting("drift", "must be in 0..0.1")
	}
	for i, name := range s.Voters {
		if slices.Contains(s.Voters[:i], name) {
			return invalidSetting("voters", fmt.Sprintf("%q stands there twice", name))
		}
	}
	return nil
}

// voteDuration is for how long a vote is valid: no lease that it wins is valid for longer by any clock.
func (s *Settings) voteDuration() monotime.Micros {
	return monotime.ExtendForDrift(s.Duration, s.MaxClockDrift)
}

// randomDelay returns a short random time. Candidates that start rounds at once would keep each other from a majority.
func (v *Voter) randomDelay() monotime.Micros { return 1 + v.rng.Int64N(max(1, v.settings.Duration/4)) }

// HeldTerm returns the term in which this process holds the lease at now, and when the lease ends unless it is renewed.
// held is false if it does not hold the lease.
func (v *Voter) HeldTerm(now monotime.Micros) (t Term, until monotime.Micros, held bool) {
	if !v.holds(now) {
		return Term{}, 0, false
	}
	return v.term, v.heldUntil, true
}

func (v *Voter) holds(now monotime.Micros) bool { return now < v.heldUntil && v.term != (Term{}) }

// NextTick returns when Tick must be called next.
func (v *Voter) NextTick() monotime.Micros {
	if v.roundOpen {
		return v.roundDeadline()
	}
	return v.nextRoundAt
}

// roundDeadline is when the open round is abandoned.
func (v *Voter) roundDeadline() monotime.Micros { return v.requestedAt + v.settings.Duration/2 }

// TakeOutgoing returns the messages to send since it was called last.
func (v *Voter) TakeOutgoing() []Outgoing {
	taken := v.outgoing
	v.outgoing = nil
	return taken
}

// Tick does what is due at now: it abandons a round that is unanswered and starts the next one.
func (v *Voter) Tick(now monotime.Micros) {
	if v.roundOpen && now >= v.roundDeadline() {
		v.abandonRound(now)
	}
	if !v.roundOpen && now >= v.nextRoundAt {
		v.startRound(now)
	}
}

// Resign gives up the lease, if it is held, because the process is about to end.
func (v *Voter) Resign(now monotime.Micros) {
	v.heldUntil = 0
	v.roundOpen = false
	v.nextRoundAt = now + v.settings.voteDuration()
	v.releaseVotes(now)
}

// Receive handles a message of a voter.
func (v *Voter) Receive(now monotime.Micros, from string, m Message) {
	if !slices.Contains(v.settings.Voters, from) {
		return
	}
	switch m.Kind {
	case VoteRequest:
		v.handleVoteRequest(now, from, m)
	case VoteReleased:
		// It may overtake its VoteRequest. That is granted then, and the grant counts for nothing.
		if v.vote.holder == from && v.vote.incarnation == m.Incarnation && v.vote.round == m.Round {
			v.vote.expiresAt = 0
		}
	case VoteGranted, VoteDenied:
		if v.roundOpen && m.Incarnation == v.settings.Incarnation && m.Round == v.round {
			v.handleVoteReply(now, from, m)
		}
	}
}

// startRound requests the votes of all voters, unless this voter's own vote shows that another holds the lease.
func (v *Voter) startRound(now monotime.Micros) {
	if !v.holds(now) && v.vote.expiresAt > now && v.vote.holder != v.settings.Self {
		v.nextRoundAt = v.vote.expiresAt + v.randomDelay()
		return
	}
	v.round++
	v.requestedAt = now
	v.roundOpen = true
	v.grantedBy = v.grantedBy[:0]
	v.broadcast(now, VoteRequest)
}

// abandonRound ends a round without a majority.
func (v *Voter) abandonRound(now monotime.Micros) {
	v.roundOpen = false
	v.nextRoundAt = now + v.randomDelay()
	if !v.holds(now) {
		v.releaseVotes(now)
	}
}

// releaseVotes frees the votes of the latest round, so that nobody has to wait until they expire.
func (v *Voter) releaseVotes(now monotime.Micros) { v.broadcast(now, VoteReleased) }

// broadcast sends a message of the latest round to all voters.
func (v *Voter) broadcast(now monotime.Micros, kind MessageKind) {
	for _, name := range v.settings.Voters {
		v.send(now, name, Message{Kind: kind, Incarnation: v.settings.Incarnation, Round: v.round})
	}
}

// send queues a message; one to the voter itself is handled at once.
func (v *Voter) send(now monotime.Micros, to string, m Message) {
	if to == v.settings.Self {
		v.Receive(now, to, m)
		return
	}
	v.outgoing = append(v.outgoing, Outgoing{to, m})
}

// handleVoteRequest grants the vote, or answers who has it.
func (v *Voter) handleVoteRequest(now monotime.Micros, from string, m Message) {
	reply := Message{Kind: VoteDenied, Incarnation: m.Incarnation, Round: m.Round}
	hasVote := v.vote.holder == from && v.vote.incarnation == m.Incarnation
	switch {
	case hasVote && m.Round < v.vote.round:
		return // a request of an earlier round, which is over
	case now < v.votesFrom:
		reply.Remaining = v.votesFrom - now
	case !hasVote && now < v.vote.expiresAt:
		reply.Holder = v.vote.holder
		reply.Remaining = v.vote.expiresAt - now
	default:
		reply.Kind = VoteGranted
		v.vote = vote{from, m.Incarnation, m.Round, now + v.settings.voteDuration()}
	}
	v.send(now, from, reply)
}

// handleVoteReply handles an answer in the open round.
func (v *Voter) handleVoteReply(now monotime.Micros, from string, m Message) {
	if m.Kind == VoteDenied {
		v.handleVoteDenied(now, m)
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
	if !v.holds(now) {
		v.term = Term{v.settings.Self, v.settings.Incarnation, v.round}
	}
	v.heldUntil = v.requestedAt + v.settings.Duration
	v.nextRoundAt = max(now, v.requestedAt+v.settings.Duration/4)
}

// handleVoteDenied ends the round if another candidate has the vote: most likely that goes on to hold the lease, and
// requests before the vote expires would be in vain.
func (v *Voter) handleVoteDenied(now monotime.Micros, m Message) {
	if v.holds(now) || m.Holder == "" || m.Holder == v.settings.Self {
		return
	}
	v.roundOpen = false
	v.releaseVotes(now)
	v.nextRoundAt = now + m.Remaining + v.randomDelay()
}
