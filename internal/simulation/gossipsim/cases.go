package gossipsim

// Cases are the hard cases, each with what goes wrong in a run of so many members.
func HardCases(members int) map[string][]Fault {
	half, third := make([]int, 0, members), make([]int, 0, members)
	all := make([]int, 0, members)
	for i := range members {
		all = append(all, i)
		if i%2 == 0 {
			half = append(half, i)
		}
		if i%3 == 0 {
			third = append(third, i)
		}
	}
	const at, long = 10 * second, 12 * second
	lenders := all[:min(3, members)]
	one, rest := all[members-1:], all[:members-1]
	last := []int{0, members - 1}
	return map[string][]Fault{
		"calm":                 nil,
		"lenders killed":       {{Kind: "kill", Start: at, Duration: 2 * second, Members: lenders[:1]}, {Kind: "kill", Start: at + 6*second, Duration: second, Members: lenders[min(1, len(lenders)-1):min(2, len(lenders))]}},
		"lenders stopped":      {{Kind: "stop", Start: at, Duration: 7 * second, Members: lenders[:1]}, {Kind: "stop", Start: at + 3*second, Duration: 7 * second, Members: lenders[min(1, len(lenders)-1):]}},
		"lenders slow":         {{Kind: "slow", Start: at, Duration: long, Members: lenders, Factor: 0.3}},
		"split in halves":      {{Kind: "split", Start: at, Duration: long, Members: half}},
		"one and the rest":     {{Kind: "split", Start: at, Duration: long, Members: one}},
		"lenders and the rest": {{Kind: "split", Start: at, Duration: long, Members: lenders}},
		"split in three":       {{Kind: "split", Start: at, Duration: long, Members: half}, {Kind: "split", Start: at + second, Duration: long, Members: third}},
		"one way":              {{Kind: "deaf", Start: at, Duration: long, Members: lenders[:1]}, {Kind: "dumb", Start: at + long, Duration: long, Members: lenders[:1]}},
		"flapping":             {{Kind: "flap", Start: at, Duration: long, Members: half}},
		"seen by some":         {{Kind: "unseen", Start: at, Duration: long, Members: last}},
		"late, twice, lost":    {{Kind: "lossy", Start: 0, Duration: 25 * second, Factor: 0.2}},
		"all start at once":    {{Kind: "kill", Start: at, Duration: second, Members: all}},
		"killed ten times":     {{Kind: "kills", Start: at, Duration: 20 * second, Members: half, Factor: 2}},
		"stopped and woken":    {{Kind: "stop", Start: at, Duration: 5 * second, Members: rest}},
		"a liar":               {{Kind: "lies", Start: 0, Members: one, Factor: 1000}},
		"demand moves":         {{Kind: "demand", Start: at, Members: half, Factor: 0.05}, {Kind: "demand", Start: at, Members: one, Factor: 8}},
		"half have less":       {{Kind: "budget", Start: at, Members: half, Factor: 0.5}},
		"one after another":    {{Kind: "replaced", Start: at, Members: half}, {Kind: "replaced", Start: at + 2*second, Members: lenders}, {Kind: "replaced", Start: at + 2*second + 1, Members: half}},
	}
}
