package measure

// Figure describes one figure of Result.Figures.
type Figure struct {
	Name             string  `json:"Name"`
	Description      string  `json:"About"`
	Unit             string  `json:"Unit"`   // such as "ms"; "" if the figure has no unit
	Direction        float64 `json:"Better"` // 1: higher is better; -1: lower is better; 0: neither
	Threshold        float64 `json:"Step"`   // differences below this value do not matter
	CountsViolations bool    `json:"Count"`  // whether the figure counts violations of a rule
}

// Figures describes the figures that every site has. The first is the main figure, by which variants are
// compared. Results also have figures of each class and tenant: service.NAME, p50.NAME and p99.NAME.
var Figures = []Figure{
	{"service", "what the users judge by: the goal's mix of the following four, less the prices", "", 1, 0.002, false},
	{"whole", "worth served within the aim, of the worth asked for", "", 1, 0.002, false},
	{"worst_window", "the same of the worst ten seconds", "", 1, 0.005, false},
	{"worst_class", "of the worst class", "", 1, 0.005, false},
	{"worst_tenant", "of the worst tenant, within its allowance", "", 1, 0.005, false},
	{"modest",
		"service of the clients that ask for no more than twice what the median client of their instance does", "",
		1, 0.005, false},
	{"p99_modest", "99 in 100 of their answers are faster", "ms", -1, 5, false},
	{"p50", "time to the answer, from the first try's beginning", "ms", -1, 1, false},
	{"p90", "nine in ten are faster", "ms", -1, 2, false},
	{"p99", "99 in 100", "ms", -1, 5, false},
	{"p999", "999 in 1,000", "ms", -1, 10, false},
	{"served", "stories with an answer, in the aim or later", "", 1, 0.001, false},
	{"unserved", "stories without one, after all tries", "", -1, 0.001, false},
	{"tries", "requests that clients sent, a story", "a story", -1, 0.005, false},
	{"attempts", "requests that instances sent on, a story", "a story", 0, 0.005, false},
	{"refused", "tries refused", "", -1, 0.002, false},
	{"failed", "tries failed", "", -1, 0.002, false},
	{"lost", "tries without an answer", "", -1, 0.001, false},
	{"cross_zone", "attempts to another zone, a story", "a story", 0, 0.01, false},
	{"probes", "probes, a story", "a story", 0, 0.02, false},
	{"dials", "new connections to endpoints, a story", "a story", -1, 0.01, false},
	{"waste", "endpoints' work without an answer that a client took, of all work asked for", "", -1, 0.005, false},
	{"late_fail", "worth that was unserved past its aim", "", -1, 0.002, false},
	{"further_peak",
		"further attempts for each first one that reached endpoints, " +
			"in the worst second of a hundred first ones or more",
		"", -1, 0.01, false,
	},
	{"probes_peak", "probes a second at one endpoint, in the worst second of any", "", -1, 1, false},
	{"probes_first", "probes for each first attempt", "", -1, 0.02, false},
	{"dials_peak", "new connections a second at one endpoint, in the worst second of any", "", -1, 1, false},
	{
		"back",
		"service from 3 s after the last of what goes wrong has ended, " +
			"against that before the first began; 1 at the most",
		"", 1, 0.01, false,
	},
	{"of_could", "worth served within the aim, of what the endpoints' work could have served at best", "", 1, 0.01,
		false},
	{"out_of_order", "work not served while such of less worth for its work was, in the same second, of all work",
		"", -1, 0.01, false},
	{"over_budget",
		"requests let in of a tenant that has a limit over all instances, in its worst second, of the limit", "",
		-1, 0.01, false},
	{"beyond_limit", "requests of a tenant let in beyond its limit over all instances, in any second", "", -1, 0, true},
	{"budget_use", "of the tenants' limits, what was let in, in seconds in which a fifth more was asked for", "", 1,
		0.01, false},
	{"work_sent", "requests that reached a machine at work", "", -1, 0, true},
	{"work_left", "machines that were asked to go out and are not back", "", -1, 0, true},
	{"work_took", "until all were back", "s", -1, 1, false},
	{"words", "words between instances, a story", "a story", -1, 0.02, false},
	{"breaks", "rules broken", "", -1, 0, true},
}

// Describe returns the description of the figure with the given name, and whether the name is known.
func Describe(name string) (Figure, bool) {
	for _, figure := range Figures {
		if figure.Name == name {
			return figure, true
		}
	}
	for prefix, figure := range map[string]Figure{
		"service.": {"", "service of this class or tenant alone", "", 1, 0.005, false},
		"p50.":     {"", "median time of this class", "ms", -1, 1, false},
		"p99.":     {"", "99 in 100 of this class are faster", "ms", -1, 5, false},
	} {
		if len(name) > len(prefix) && name[:len(prefix)] == prefix {
			figure.Name = name
			return figure, true
		}
	}
	return Figure{}, false
}
