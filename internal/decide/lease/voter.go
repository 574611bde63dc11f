package lease

import (
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
)

// Voter grants its vote to candidates and is a candidate itself. Create one with New. The caller must call Tick when
// NextTick is due, pass received messages to Receive and send those of TakeOutgoing. It is not safe for concurrent use.
type Voter struct {
	settings Settings
	rng      *rand.Rand
	outgoing []Outgoing

	// As a voter.
	vote      vote
	votesFrom monotime.Micros // the voter grants no vote before this instant

	// As a candidate.
	round       uint64          // number of the latest round
	requestedAt monotime.Micros // when the latest round started
	roundOpen   bool            // the latest round is neither won nor ended without a majority
	grantedBy   []string        // voters that have granted their votes in it
	nextRoundAt monotime.Micros // when to start the next round
	heldUntil   monotime.Micros // when the lease that it holds expires
	term        Term            // in which it holds the lease, or held it most recently
}

// vote is a vote that was granted.
type vote struct {
	holder      string
	incarnation uint64
	round       uint64
	expiresAt   monotime.Micros
}

// New returns the voter of a process that has just started, or a *setting.Error. It grants no vote, and starts no
// round, before any vote of an earlier process of its name has expired.
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

// Parts of a lease's duration, as divisors of Settings.Duration.
const (
	// maxDelayDivisor gives the longest random delay before a round.
	maxDelayDivisor = 4
	// roundTimeDivisor gives the time within which a round must win. It ends well before the lease that it renews.
	roundTimeDivisor = 2
	// renewalDivisor gives the time from the start of a won round to the start of the next, which renews the lease.
	// Two rounds of full length fit into the lease after it.
	renewalDivisor = 4
)

// randomDelay returns a random time of up to a part of the lease's duration (maxDelayDivisor). Candidates that start
// rounds at the same time would split the votes, as in Raft.
func (v *Voter) randomDelay() monotime.Micros {
	return 1 + v.rng.Int64N(max(1, v.settings.Duration/maxDelayDivisor))
}

// HeldTerm returns the term in which this process holds the lease at now, and when the lease expires unless renewed.
// held is false if it does not hold the lease.
func (v *Voter) HeldTerm(now monotime.Micros) (t Term, until monotime.Micros, held bool) {
	if !v.holds(now) {
		return Term{}, 0, false
	}
	return v.term, v.heldUntil, true
}

// holds reports whether this process holds the lease at now.
func (v *Voter) holds(now monotime.Micros) bool { return now < v.heldUntil && v.term != (Term{}) }

// NextTick returns when Tick must be called next.
func (v *Voter) NextTick() monotime.Micros {
	if v.roundOpen {
		return v.roundDeadline()
	}
	return v.nextRoundAt
}

// roundDeadline returns when the open round ends without a majority.
func (v *Voter) roundDeadline() monotime.Micros {
	return v.requestedAt + v.settings.Duration/roundTimeDivisor
}

// TakeOutgoing returns the messages to send that were queued since its last call.
func (v *Voter) TakeOutgoing() []Outgoing {
	taken := v.outgoing
	v.outgoing = nil
	return taken
}

// Tick does what is due at now: it abandons a round that has reached its deadline, and starts the next round.
func (v *Voter) Tick(now monotime.Micros) {
	if v.roundOpen && now >= v.roundDeadline() {
		v.abandonRound(now)
	}
	if !v.roundOpen && now >= v.nextRoundAt {
		v.startRound(now)
	}
}

// Resign gives up the lease, if it is held, and releases its votes, because the process is about to end. It starts no
// round for as long as a vote lasts.
func (v *Voter) Resign(now monotime.Micros) {
	v.heldUntil = 0
	v.roundOpen = false
	v.nextRoundAt = now + v.settings.voteDuration()
	v.releaseVotes(now)
}

// Receive handles a message of a voter; messages of others are ignored.
func (v *Voter) Receive(now monotime.Micros, from string, m Message) {
	if !slices.Contains(v.settings.Voters, from) {
		return
	}
	switch m.Kind {
	case VoteRequest:
		v.handleVoteRequest(now, from, m)
	case VoteReleased:
		// A VoteReleased may overtake its VoteRequest. That is granted then, and the candidate ignores the grant.
		if v.vote.holder == from && v.vote.incarnation == m.Incarnation && v.vote.round == m.Round {
			v.vote.expiresAt = 0
		}
	case VoteGranted, VoteDenied:
		if v.roundOpen && m.Incarnation == v.settings.Incarnation && m.Round == v.round {
			v.handleVoteReply(now, from, m)
		}
	}
}

// startRound requests the votes of all voters. While this voter's own vote is another candidate's, which then most
// likely holds the lease, it waits until that vote expires instead.
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

// abandonRound ends a round without a majority. A holder keeps its votes: its lease is still in force.
func (v *Voter) abandonRound(now monotime.Micros) {
	v.roundOpen = false
	v.nextRoundAt = now + v.randomDelay()
	if !v.holds(now) {
		v.releaseVotes(now)
	}
}

// releaseVotes frees the votes of the latest round, so that other candidates need not wait until they expire.
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

// handleVoteRequest grants the vote if it is free or the candidate's already, or replies with the candidate that has
// it.
func (v *Voter) handleVoteRequest(now monotime.Micros, from string, m Message) {
	reply := Message{Kind: VoteDenied, Incarnation: m.Incarnation, Round: m.Round}
	hasVote := v.vote.holder == from && v.vote.incarnation == m.Incarnation
	switch {
	case hasVote && m.Round < v.vote.round:
		return // a request of an earlier round, which has ended
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

// handleVoteReply handles a reply in the open round. A majority of grants wins or renews the lease, for its duration
// from when the round started. A majority that is complete only after that duration wins nothing, and a new round
// starts.
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
	v.nextRoundAt = max(now, v.requestedAt+v.settings.Duration/renewalDivisor)
}

// handleVoteDenied ends the round if another candidate has the vote: that one most likely wins or holds the lease, and
// requests before the vote expires would fail. A holder that renews its lease goes on with the round.
func (v *Voter) handleVoteDenied(now monotime.Micros, m Message) {
	if v.holds(now) || m.Holder == "" || m.Holder == v.settings.Self {
		return
	}
	v.roundOpen = false
	v.releaseVotes(now)
	v.nextRoundAt = now + m.Remaining + v.randomDelay()
}
