package lease

import (
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
)

// Voter grants its vote to candidates and is a candidate itself. Create one with New. The caller must call Tick at the
// time that NextTick returns, pass received messages to Receive, and send the messages that TakeOutgoing returns. A
// Voter is not safe for concurrent use.
type Voter struct {
	settings Settings
	rng      *rand.Rand
	outgoing []Outgoing

	// The state of this process as a voter.
	vote      vote            // latest vote that was granted
	votesFrom monotime.Micros // the voter grants no vote before this instant

	// The state of this process as a candidate.
	round       uint64          // number of the latest round
	requestedAt monotime.Micros // when the latest round started
	roundOpen   bool            // the latest round is neither won nor ended without a majority
	grantedBy   []string        // voters that have granted their votes in the latest round
	nextRoundAt monotime.Micros // when to start the next round
	heldUntil   monotime.Micros // when the lease that was won last expires
	term        Term            // term in which this process holds the lease, or held it most recently
}

// vote is a vote that was granted to a candidate.
type vote struct {
	holder      string          // name of the candidate
	incarnation uint64          // incarnation of the candidate's process
	round       uint64          // the candidate's round
	expiresAt   monotime.Micros // when the vote is free again
}

// New returns the voter of a process that has just started. It grants no vote, and starts no round, until any vote of
// an earlier process of the same name has expired. The error is a *setting.Error if a setting is out of range.
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

// Times that are fractions of the lease's duration, as divisors of Settings.Duration.
const (
	// maxDelayDivisor determines the longest random delay before a round: a quarter of the lease's duration.
	maxDelayDivisor = 4
	// roundTimeDivisor determines the time within which a round must win a majority: half of the lease's duration, so
	// that a renewal round ends before the lease expires.
	roundTimeDivisor = 2
	// renewalDivisor determines the time from the start of a won round to the start of the next, which renews the
	// lease: a quarter of the lease's duration. The remaining three quarters leave time to repeat a renewal round
	// that has failed.
	renewalDivisor = 4
)

// randomDelay returns a random delay before a round, bounded by maxDelayDivisor. As in Raft, random delays keep
// candidates from starting rounds at the same time, which would split the votes.
func (v *Voter) randomDelay() monotime.Micros {
	return 1 + v.rng.Int64N(max(1, v.settings.Duration/maxDelayDivisor))
}

// HeldTerm returns the term in which this process holds the lease at now, and when the lease expires unless it is
// renewed. held is false if this process does not hold the lease.
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

// roundDeadline returns when the open round is abandoned unless it has won a majority.
func (v *Voter) roundDeadline() monotime.Micros {
	return v.requestedAt + v.settings.Duration/roundTimeDivisor
}

// TakeOutgoing returns the messages to send that were queued since its last call.
func (v *Voter) TakeOutgoing() []Outgoing {
	taken := v.outgoing
	v.outgoing = nil
	return taken
}

// Tick performs the actions that are due at now: it abandons a round that has reached its deadline, and starts the next
// round.
func (v *Voter) Tick(now monotime.Micros) {
	if v.roundOpen && now >= v.roundDeadline() {
		v.abandonRound(now)
	}
	if !v.roundOpen && now >= v.nextRoundAt {
		v.startRound(now)
	}
}

// Resign ends the lease, if this process holds it, and releases the votes. It is called before the process ends. The
// voter starts no new round for the duration of a vote.
func (v *Voter) Resign(now monotime.Micros) {
	v.heldUntil = 0
	v.roundOpen = false
	v.nextRoundAt = now + v.settings.voteDuration()
	v.releaseVotes(now)
}

// Receive handles a message from a voter. Messages from other senders are ignored.
func (v *Voter) Receive(now monotime.Micros, from string, m Message) {
	if !slices.Contains(v.settings.Voters, from) {
		return
	}
	switch m.Kind {
	case VoteRequest:
		v.handleVoteRequest(now, from, m)
	case VoteReleased:
		// If a VoteReleased overtakes its VoteRequest, it has no effect: the vote is granted afterwards, the candidate
		// ignores the grant, and the vote is free when it expires.
		if v.vote.holder == from && v.vote.incarnation == m.Incarnation && v.vote.round == m.Round {
			v.vote.expiresAt = 0
		}
	case VoteGranted, VoteDenied:
		if v.roundOpen && m.Incarnation == v.settings.Incarnation && m.Round == v.round {
			v.handleVoteReply(now, from, m)
		}
	}
}

// startRound starts a round, in which this process requests the votes of all voters. If this voter's own vote belongs
// to another candidate, which then most likely holds the lease, it postpones the round until that vote has expired.
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

// abandonRound ends a round without a majority and releases its votes. A process that still holds the lease keeps the
// votes.
func (v *Voter) abandonRound(now monotime.Micros) {
	v.roundOpen = false
	v.nextRoundAt = now + v.randomDelay()
	if !v.holds(now) {
		v.releaseVotes(now)
	}
}

// releaseVotes releases the votes of the latest round, so that other candidates need not wait until they expire.
func (v *Voter) releaseVotes(now monotime.Micros) { v.broadcast(now, VoteReleased) }

// broadcast sends a message of the given kind, with the number of the latest round, to all voters.
func (v *Voter) broadcast(now monotime.Micros, kind MessageKind) {
	for _, name := range v.settings.Voters {
		v.send(now, name, Message{Kind: kind, Incarnation: v.settings.Incarnation, Round: v.round})
	}
}

// send queues a message to another voter. A message to this voter itself is handled at once.
func (v *Voter) send(now monotime.Micros, to string, m Message) {
	if to == v.settings.Self {
		v.Receive(now, to, m)
		return
	}
	v.outgoing = append(v.outgoing, Outgoing{to, m})
}

// handleVoteRequest replies to a vote request. The vote is granted if it is free or already belongs to the requesting
// candidate. Otherwise the request is denied, and the reply states which candidate has the vote.
func (v *Voter) handleVoteRequest(now monotime.Micros, from string, m Message) {
	reply := Message{Kind: VoteDenied, Incarnation: m.Incarnation, Round: m.Round}
	hasVote := v.vote.holder == from && v.vote.incarnation == m.Incarnation
	switch {
	case hasVote && m.Round < v.vote.round:
		return // the request is from an earlier round of the candidate, which has ended
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

// handleVoteReply handles a reply to a vote request of the open round. A majority of grants wins or renews the lease,
// whose duration is counted from the start of the round. If the majority is complete only after that duration, the
// lease is not won and the next round is due at once.
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

// handleVoteDenied ends the round if another candidate has the vote, because that candidate most likely wins or holds
// the lease. The next round starts after the vote has expired, since earlier requests would be denied. A process that
// holds the lease continues its renewal round.
func (v *Voter) handleVoteDenied(now monotime.Micros, m Message) {
	if v.holds(now) || m.Holder == "" || m.Holder == v.settings.Self {
		return
	}
	v.roundOpen = false
	v.releaseVotes(now)
	v.nextRoundAt = now + m.Remaining + v.randomDelay()
}
