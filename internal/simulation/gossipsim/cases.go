package gossipsim

// HardCases returns lists of faults that are hard for the allocation of the budget, by the names that programs
// take as arguments. The faults are for a run with the given number of members.
func HardCases(members int) map[string][]Fault {
	const (
		start    = 10 * second
		duration = 12 * second
	)
	allMembers := everyNth(members, 1)
	everySecond := everyNth(members, 2)
	everyThird := everyNth(members, 3)
	candidates := allMembers[:min(3, members)]
	secondCandidateIndex := min(1, len(candidates)-1)
	lastMember := allMembers[members-1:]
	allButLast := allMembers[:members-1]
	return map[string][]Fault{
		"calm": nil,
		"lenders killed": {
			{Kind: faultKill, Start: start, Duration: 2 * second, Members: candidates[:1]},
			{Kind: faultKill, Start: start + 6*second, Duration: second,
				Members: candidates[secondCandidateIndex:min(2, len(candidates))]},
		},
		"lenders stopped": {
			{Kind: faultStop, Start: start, Duration: 7 * second, Members: candidates[:1]},
			{Kind: faultStop, Start: start + 3*second, Duration: 7 * second,
				Members: candidates[secondCandidateIndex:]},
		},
		"lenders slow":         {{Kind: faultSlow, Start: start, Duration: duration, Members: candidates, Factor: 0.3}},
		"split in halves":      {{Kind: faultPartition, Start: start, Duration: duration, Members: everySecond}},
		"one and the rest":     {{Kind: faultPartition, Start: start, Duration: duration, Members: lastMember}},
		"lenders and the rest": {{Kind: faultPartition, Start: start, Duration: duration, Members: candidates}},
		"split in three": {
			{Kind: faultPartition, Start: start, Duration: duration, Members: everySecond},
			{Kind: faultPartition, Start: start + second, Duration: duration, Members: everyThird},
		},
		"one way": {
			{Kind: faultReceiveBlocked, Start: start, Duration: duration, Members: candidates[:1]},
			{Kind: faultSendBlocked, Start: start + duration, Duration: duration, Members: candidates[:1]},
		},
		"flapping": {{Kind: faultFlappingPartition, Start: start, Duration: duration, Members: everySecond}},
		"seen by some": {
			{Kind: faultPairPartition, Start: start, Duration: duration, Members: []int{0, members - 1}},
		},
		"late, twice, lost": {{Kind: faultLossy, Start: 0, Duration: 25 * second, Factor: 0.2}},
		"all start at once": {{Kind: faultKill, Start: start, Duration: second, Members: allMembers}},
		"killed ten times": {
			{Kind: faultRepeatedKill, Start: start, Duration: 20 * second, Members: everySecond, Factor: 2},
		},
		"stopped and woken": {{Kind: faultStop, Start: start, Duration: 5 * second, Members: allButLast}},
		"a liar":            {{Kind: faultDemandOverstated, Start: 0, Members: lastMember, Factor: 1000}},
		"demand moves": {
			{Kind: faultDemandChange, Start: start, Members: everySecond, Factor: 0.05},
			{Kind: faultDemandChange, Start: start, Members: lastMember, Factor: 8},
		},
		"half have less": {{Kind: faultBudgetChange, Start: start, Members: everySecond, Factor: 0.5}},
		"one after another": {
			{Kind: faultTakeover, Start: start, Members: everySecond},
			{Kind: faultTakeover, Start: start + 2*second, Members: candidates},
			{Kind: faultTakeover, Start: start + 2*second + 1, Members: everySecond},
		},
	}
}

// everyNth returns the multiples of step, from 0 up to but not including a limit.
func everyNth(limit, step int) []int {
	indexes := make([]int, 0, limit)
	for i := 0; i < limit; i += step {
		indexes = append(indexes, i)
	}
	return indexes
}
