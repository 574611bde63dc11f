package experiment

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/scenario"
	"dunlinsail/internal/stricttoml"
)

// SearchOptions are the options of a search for the plan in which a variant performs worst.
type SearchOptions struct {
	Scenario  *scenario.Scenario // the search varies its events and keeps everything else
	Variant   *Variant           // the variant whose worst plan is searched for
	Baseline  *Variant           // the variant compared with; nil: the upper bound MaxServableShare
	Budget    int                // approximate number of runs of Variant, including those for shrinking
	Seed      uint64
	OnFinding func(Finding) // called for each finding worse than all before; may be nil
}

// Finding is a plan (a scenario and a seed) in which a variant performs badly.
type Finding struct {
	Scenario   *scenario.Scenario
	Seed       uint64
	Loss       float64 // Baseline's service minus Variant's; without Baseline: MaxServableShare minus the served share
	Violations float64 // rule violations; a plan with any is worse than one with none, whatever the losses
	Service    float64
	Runs       int // number of plans evaluated when this one was found
}

// isWorseThan reports whether the variant performs worse in plan a than in plan b.
func (a *Finding) isWorseThan(b *Finding) bool {
	if (a.Violations > 0) != (b.Violations > 0) {
		return a.Violations > 0
	}
	return a.Loss > b.Loss
}

const (
	randomFraction   = 0.4 // fraction of the budget for plans drawn at random
	shrinkFraction   = 0.3 // fraction of the budget for shrinking the worst plan
	maxCandidates    = 6   // number of worst plans that are kept for mutation
	searchBatch      = 8   // number of plans that are evaluated in parallel
	minRemainingLoss = 0.8 // fraction of the loss that a shrunk plan must keep
)

// Search looks for the plan in which a variant performs worst, and shrinks that plan. It draws plans at random and
// mutates the worst ones, so that an unsuccessful search does not show that no bad plan exists. The search is
// deterministic for a seed.
func (r *Runner) Search(ctx context.Context, options SearchOptions) (*Finding, error) {
	x := &search{SearchOptions: options, runner: r, rng: rand.New(rand.NewPCG(options.Seed, 11))}
	randomRuns := int(randomFraction * float64(options.Budget))
	searchRuns := int((1 - shrinkFraction) * float64(options.Budget))
	for x.runs < searchRuns {
		var batch []*Finding
		for range min(searchBatch, searchRuns-x.runs) {
			candidate := &Finding{Scenario: options.Scenario.Clone(), Seed: 1 + x.rng.Uint64N(1<<32)}
			if x.runs < randomRuns || len(x.candidates) == 0 {
				x.drawEvents(candidate.Scenario)
			} else {
				parent := x.candidates[x.rng.IntN(len(x.candidates))]
				candidate.Scenario = parent.Scenario.Clone()
				candidate.Seed = parent.Seed
				x.mutate(candidate)
			}
			batch = append(batch, candidate)
		}
		if err := x.evaluate(ctx, batch); err != nil {
			return x.worstCandidate(), err
		}
		for _, candidate := range batch {
			x.addCandidate(candidate)
		}
	}
	return x.shrink(ctx)
}

// addCandidate adds an evaluated plan to the candidates, of which only the worst are kept. It passes the plan to
// OnFinding if it is the worst so far.
func (x *search) addCandidate(candidate *Finding) {
	if len(x.candidates) == 0 || candidate.isWorseThan(x.candidates[0]) {
		candidate.Runs = x.runs
		if x.OnFinding != nil {
			x.OnFinding(*candidate)
		}
	}
	x.candidates = append(x.candidates, candidate)
	slices.SortStableFunc(x.candidates, func(a, b *Finding) int {
		switch {
		case a.isWorseThan(b):
			return -1
		case b.isWorseThan(a):
			return 1
		}
		return 0
	})
	x.candidates = x.candidates[:min(len(x.candidates), maxCandidates)]
}

// search is the state of Runner.Search.
type search struct {
	SearchOptions
	runner     *Runner
	rng        *rand.Rand
	runs       int
	candidates []*Finding
}

// worstCandidate returns the worst plan evaluated so far, or nil before the first.
func (x *search) worstCandidate() *Finding {
	if len(x.candidates) == 0 {
		return nil
	}
	return x.candidates[0]
}

// evaluate runs plans with the variant, and with Baseline if there is one, and sets the figures of each finding.
func (x *search) evaluate(ctx context.Context, findings []*Finding) error {
	var tasks []Task
	for _, finding := range findings {
		for _, v := range []*Variant{x.Variant, x.Baseline} {
			if v == nil {
				continue
			}
			job, err := v.Job(finding.Scenario, x.Variant, finding.Seed)
			if err != nil {
				return err
			}
			tasks = append(tasks, Task{v, job})
		}
	}
	results, err := x.runner.Run(ctx, tasks)
	if err != nil {
		return err
	}
	x.runs += len(findings)
	for i, finding := range findings {
		var result, baseline *measure.Result
		if x.Baseline == nil {
			result = results[i]
			finding.Loss = finding.Scenario.Draw(finding.Seed).MaxServableShare() - result.Figures["served"]
		} else {
			result = results[2*i]
			baseline = results[2*i+1]
			finding.Loss = baseline.Figures["service"] - result.Figures["service"]
		}
		finding.Service = result.Figures["service"]
		finding.Violations = result.Figures["breaks"]
	}
	return nil
}

// singleValueSpan returns a span whose two ends are d.
func singleValueSpan(d time.Duration) *stricttoml.Span { return &stricttoml.Span{From: d, To: d} }

// eventKinds lists the kinds of events that a search draws, and the range of their sizes; {0, 0} if they have no size.
var eventKinds = []struct {
	name      string
	sizeRange [2]float64
	periodic  bool
}{
	{scenario.EventSlow, [2]float64{1.5, 20}, false},
	{scenario.EventErrors, [2]float64{0.05, 1}, false},
	{scenario.EventUnanswered, [2]float64{0.02, 0.6}, false},
	{scenario.EventNeighbour, [2]float64{0.2, 0.9}, true},
	{scenario.EventFalseReports, [2]float64{1, 8}, false},
	{scenario.EventLateReports, [2]float64{}, false},
	{scenario.EventKill, [2]float64{}, false},
	{scenario.EventMachineLost, [2]float64{}, false},
	{scenario.EventDrain, [2]float64{}, false},
	{scenario.EventPause, [2]float64{}, false},
	{scenario.EventSurge, [2]float64{1.2, 4}, false},
	{scenario.EventDiscoveryDelay, [2]float64{}, false},
	{scenario.EventZonePartition, [2]float64{}, false},
}

// fractionEvents lists the event kinds whose size is a fraction of the requests or of the machine, 0 to 1.
var fractionEvents = []string{scenario.EventErrors, scenario.EventUnanswered, scenario.EventNeighbour}

// drawEvent returns a random event for scenario s: its kind, time, length, size and affected endpoints.
func (x *search) drawEvent(s *scenario.Scenario) scenario.Event {
	length := s.Length.Duration
	kind := eventKinds[x.rng.IntN(len(eventKinds))]
	drawDuration := func(lo, hi float64) time.Duration {
		return time.Duration((lo + (hi-lo)*x.rng.Float64()) * float64(length)).Round(10 * time.Millisecond)
	}
	e := scenario.Event{
		What: kind.name,
		At:   singleValueSpan(drawDuration(0.1, 0.7)),
		For:  singleValueSpan(drawDuration(0.05, 0.5)),
	}
	if kind.sizeRange[1] > 0 {
		// Sizes are distributed uniformly on a logarithmic scale, since the harm of small ones is easily overlooked.
		e.Size = scenario.Range{
			math.Round(1000*kind.sizeRange[0]*math.Pow(kind.sizeRange[1]/kind.sizeRange[0], x.rng.Float64())) / 1000,
		}
	}
	switch kind.name {
	case scenario.EventSurge:
		return e
	case scenario.EventDiscoveryDelay:
		e.Delay = singleValueSpan(drawDuration(0.02, 0.2))
		return e
	case scenario.EventZonePartition:
		e.Zone = s.Fleet.Zones[x.rng.IntN(len(s.Fleet.Zones))]
		return e
	case scenario.EventLateReports:
		e.Delay = singleValueSpan(drawDuration(0.005, 0.1))
	case scenario.EventPause:
		e.For = singleValueSpan(drawDuration(0.002, 0.05))
	case scenario.EventNeighbour:
		e.Every = stricttoml.Duration{Duration: drawDuration(0.01, 0.1)}
	}
	switch x.rng.IntN(4) {
	case 0:
		e.Zone = s.Fleet.Zones[x.rng.IntN(len(s.Fleet.Zones))]
	case 1:
		e.Count = 1 + x.rng.IntN(2)
	default:
		e.Part = scenario.Range{math.Round(100*(0.05+0.5*x.rng.Float64())) / 100}
	}
	if kind.name == scenario.EventErrors && x.rng.IntN(2) == 0 {
		e.Class = s.Classes[x.rng.IntN(len(s.Classes))].Name
	}
	return e
}

// drawEvents replaces the events of a scenario by one to three random ones.
func (x *search) drawEvents(s *scenario.Scenario) {
	s.Events = nil
	for range 1 + x.rng.IntN(3) {
		s.Events = append(s.Events, x.drawEvent(s))
	}
}

// mutate changes a plan in one respect: it draws another seed, changes the start, length, size or affected fraction
// of an event, adds an event, or replaces one.
func (x *search) mutate(finding *Finding) {
	s := finding.Scenario
	if len(s.Events) == 0 {
		x.drawEvents(s)
		return
	}
	i := x.rng.IntN(len(s.Events))
	e := &s.Events[i]
	scaleSpan := func(span *stricttoml.Span) {
		if span != nil {
			scaled := time.Duration(float64(span.From) * math.Exp(0.5*x.rng.NormFloat64())).Round(10 * time.Millisecond)
			scaled = min(max(scaled, 10*time.Millisecond), s.Length.Duration*9/10)
			span.From = scaled
			span.To = scaled
		}
	}
	switch x.rng.IntN(7) {
	case 0:
		finding.Seed = 1 + x.rng.Uint64N(1<<32)
	case 1:
		scaleSpan(e.At)
	case 2:
		scaleSpan(e.For)
	case 3:
		if len(e.Size) > 0 {
			for _, kind := range eventKinds {
				if kind.name == e.What {
					e.Size[0] = min(
						max(e.Size[0]*math.Exp(0.4*x.rng.NormFloat64()), kind.sizeRange[0]), kind.sizeRange[1],
					)
				}
			}
		}
	case 4:
		if len(e.Part) > 0 {
			e.Part[0] = min(max(e.Part[0]*math.Exp(0.4*x.rng.NormFloat64()), 0.05), 0.7)
		}
	case 5:
		if len(s.Events) < 4 {
			s.Events = append(s.Events, x.drawEvent(s))
		}
	default:
		*e = x.drawEvent(s)
	}
}

// shrink reduces the worst plan step by step to fewer, shorter and weaker events and fewer instances and endpoints, as
// long as it keeps the fraction minRemainingLoss of its loss.
func (x *search) shrink(ctx context.Context) (*Finding, error) {
	smallest := x.worstCandidate()
	if smallest == nil {
		return nil, fmt.Errorf("a budget of %d runs is too small", x.Budget)
	}
	threshold := *smallest
	threshold.Loss *= minRemainingLoss
	threshold.Violations = min(smallest.Violations, 1)
	for changed := true; changed && x.runs < x.Budget; {
		changed = false
		for _, candidate := range x.smallerPlans(smallest) {
			if x.runs >= x.Budget {
				break
			}
			if _, err := Resize(candidate.Scenario, []string{"about=\"\""}, 0, 0); err != nil {
				continue // the smaller scenario is not valid
			}
			if err := x.evaluate(ctx, []*Finding{candidate}); err != nil {
				return smallest, err
			}
			if !threshold.isWorseThan(candidate) {
				candidate.Runs = x.runs
				smallest = candidate
				changed = true
				break
			}
		}
	}
	smallest.Scenario.Name = "found"
	smallest.Scenario.About = fmt.Sprintf(
		"Found by dunlinsail-experiment search: seed %d loses %.3f.", smallest.Seed, smallest.Loss)
	smallest.Scenario.Expect = nil
	return smallest, nil
}

// smallerPlans returns the plans that are one step smaller than that of f.
func (x *search) smallerPlans(f *Finding) (plans []*Finding) {
	add := func(change func(s *scenario.Scenario)) {
		plan := &Finding{Scenario: f.Scenario.Clone(), Seed: f.Seed}
		change(plan.Scenario)
		plans = append(plans, plan)
	}
	s := f.Scenario
	for i := range s.Events {
		if len(s.Events) > 1 {
			add(func(s *scenario.Scenario) { s.Events = slices.Delete(s.Events, i, i+1) })
		}
	}
	if lastEnd := lastEventEnd(s); lastEnd+5*time.Second < s.Length.Duration {
		add(func(s *scenario.Scenario) { s.Length = stricttoml.Duration{Duration: lastEnd + 5*time.Second} })
	}
	if firstStart := firstEventStart(s); firstStart > 6*time.Second {
		add(func(s *scenario.Scenario) { // moves all events earlier
			for i := range s.Events {
				s.Events[i].At = singleValueSpan(s.Events[i].At.From - firstStart + 5*time.Second)
			}
			s.Length.Duration -= firstStart - 5*time.Second
		})
	}
	if s.Fleet.Instances > 1 {
		add(func(s *scenario.Scenario) { s.Fleet.Instances = (s.Fleet.Instances + 1) / 2 })
	}
	for kindIndex := range s.EndpointKinds {
		if s.EndpointKinds[kindIndex].Count > 1 {
			add(func(s *scenario.Scenario) {
				s.EndpointKinds[kindIndex].Count = (s.EndpointKinds[kindIndex].Count + 1) / 2
			})
		}
	}
	addSmallerEvents(s, add)
	return plans
}

// addSmallerEvents calls add with each change that makes one event of s shorter or weaker, or affect a smaller
// fraction of endpoints.
func addSmallerEvents(s *scenario.Scenario, add func(change func(s *scenario.Scenario))) {
	for i := range s.Events {
		e := &s.Events[i]
		if e.For != nil && e.For.From > time.Second {
			halfLength := (e.For.From / 2).Round(10 * time.Millisecond)
			add(func(s *scenario.Scenario) { s.Events[i].For = singleValueSpan(halfLength) })
		}
		if len(e.Size) > 0 && !slices.Contains(fractionEvents, e.What) && e.Size[0] > 1.5 {
			add(func(s *scenario.Scenario) { s.Events[i].Size[0] = math.Round(100*math.Sqrt(e.Size[0])) / 100 })
		}
		if len(e.Part) > 0 && e.Part[0] > 0.1 {
			add(func(s *scenario.Scenario) { s.Events[i].Part[0] = math.Round(100*e.Part[0]*0.6) / 100 })
		}
	}
}

// lastEventEnd returns the time at which the last event of s ends.
func lastEventEnd(s *scenario.Scenario) (latest time.Duration) {
	for _, e := range s.Events {
		end := e.At.From
		if e.For != nil {
			end += e.For.From
		}
		latest = max(latest, end)
	}
	return latest
}

// firstEventStart returns the time at which the first event of s starts.
func firstEventStart(s *scenario.Scenario) time.Duration {
	return slices.MinFunc(s.Events, func(a, b scenario.Event) int { return cmp.Compare(a.At.From, b.At.From) }).At.From
}
