package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dunlinsail/internal/accesslog"
	"dunlinsail/internal/experiment/stats"
	"dunlinsail/internal/simulation/scenario"
)

// maxShapePoints bounds the points of the rate's shape in a fitted scenario.
const maxShapePoints = 60

const (
	minFitOperations = 100 // that a record must have to fit a scenario
	minFitSamples    = 20  // measurements that an estimate needs
)

// FitScenario returns a scenario with what a record shows of clients: their rate and its shape, classes, tenants,
// instances, retries, and the work of requests, from those served while the load was low. All else is the base's. notes
// say what each estimate rests on. It returns an error where the record has too few operations.
func FitScenario(base *scenario.Scenario, rec *accesslog.Recording) (s *scenario.Scenario, notes []string, err error) {
	f := &fit{base: base, scenario: base.Clone(), operations: rec.Operations()}
	if len(f.operations) < minFitOperations {
		return nil, nil, fmt.Errorf("there are %d stories: too few to go by", len(f.operations))
	}
	f.from, f.to = rec.Span()
	f.fitRate(rec.Runs)
	f.fitInstances()
	f.fitTenants()
	if err := f.fitClasses(); err != nil {
		return nil, nil, err
	}
	f.fitRetries()
	text, err := f.scenario.Text()
	if err != nil {
		return nil, nil, err
	}
	s, err = scenario.Parse(text, nil)
	return s, f.notes, err
}

// fit is the state of fitting a scenario to a record.
type fit struct {
	base       *scenario.Scenario
	scenario   *scenario.Scenario
	operations []*accesslog.Operation
	from       int64 // of the record, in microseconds
	to         int64
	notes      []string
}

func (f *fit) note(format string, args ...any) {
	f.notes = append(f.notes, fmt.Sprintf(format, args...))
}

// countBy returns how many first requests have each value of key, and the values in order.
func (f *fit) countBy(key func(q *accesslog.Request) string) (values []string, counts map[string]int) {
	counts = map[string]int{}
	for _, operation := range f.operations {
		counts[key(operation.First())]++
	}
	return slices.Sorted(maps.Keys(counts)), counts
}

// share returns the part of all operations that n are.
func (f *fit) share(n int) float64 { return round(float64(n) / float64(len(f.operations))) }

// fitRate fits the scenario's length, and the rate of operations and its shape.
func (f *fit) fitRate(runs []*accesslog.Run) {
	s := f.scenario
	s.Name = "fitted"
	s.Expect = nil
	s.Events = nil
	length := float64(f.to-f.from) / 1e6
	sample := 1.0
	for _, run := range runs {
		sample = min(sample, run.Sample)
	}
	s.About = fmt.Sprintf("Fitted to a record of %d stories in %.0f s.", len(f.operations), length)
	s.Length.Duration = max(1e9, microsToDuration(f.to-f.from)).Round(1e9)
	s.Clients.Load = 0
	s.Clients.Rate = round(float64(len(f.operations)) / length / sample)
	s.Shape = rateShape(f.operations, f.from, f.to)
}

// fitInstances fits the number of instances, and how unevenly requests are spread over them.
func (f *fit) fitInstances() {
	names, counts := f.countBy(func(q *accesslog.Request) string { return q.Instance })
	f.scenario.Fleet.Instances = len(names)
	var requests []float64
	for _, name := range names {
		requests = append(requests, float64(counts[name]))
	}
	mean, spread := trimmedMoments(requests)
	f.scenario.Fleet.Uneven = round(spread / mean)
}

func (f *fit) fitTenants() {
	names, counts := f.countBy(func(q *accesslog.Request) string { return q.Tenant })
	f.scenario.Tenants = nil
	for _, name := range names {
		if name != "" {
			tenant := scenario.Tenant{Name: name, Share: f.share(counts[name])}
			f.scenario.Tenants = append(f.scenario.Tenants, tenant)
		}
	}
}

// meanSpeed returns the mean speed of the scenario's endpoints.
func (f *fit) meanSpeed() float64 {
	speed := 0.0
	endpoints := 0
	for _, k := range f.scenario.EndpointKinds {
		for _, v := range k.Speed {
			speed += v * float64(k.Count) / float64(len(k.Speed))
		}
		endpoints += k.Count
	}
	return speed / float64(endpoints)
}

// fitClasses fits the classes' shares and work.
func (f *fit) fitClasses() error {
	s := f.scenario
	speed := f.meanSpeed()
	names, counts := f.countBy(func(q *accesslog.Request) string { return q.Class })
	s.Classes = nil
	isQuiet := quietSeconds(f.operations, f.from, f.to)
	for _, name := range names {
		var serviceTimes []float64
		for _, operation := range f.operations {
			q := operation.First()
			if q.Class == name && q.Verdict == accesslog.Served && q.Attempts == 1 && isQuiet(q.Arrived) {
				serviceTimes = append(serviceTimes, float64(q.Duration-q.QueueTime))
			}
		}
		c := scenario.Class{Name: name, Share: f.share(counts[name]), Dist: "lognormal"}
		i := slices.IndexFunc(f.base.Classes, func(b scenario.Class) bool { return b.Name == name })
		if i >= 0 {
			c.Work = f.base.Classes[i].Work
			c.CV = f.base.Classes[i].CV
			c.Noise = f.base.Classes[i].Noise
		}
		if len(serviceTimes) >= minFitSamples {
			mean, spread := trimmedMoments(serviceTimes)
			network := 2 * float64(s.Network.Within.Micros()+s.Host.Overhead.Micros()/2)
			work := max(100, (mean-network)*speed)
			c.Work.Duration = microsToDuration(int64(work)).Round(1e5)
			c.CV = round(spread / mean)
			c.Noise = 0
			f.note("class %s: work %v by %d requests served at their first attempt in the quietest third, "+
				"at a mean speed of %.2f", name, c.Work.Duration, len(serviceTimes), speed)
		} else {
			f.note("class %s: work is the base's: %d requests to go by", name, len(serviceTimes))
		}
		if c.Work.Duration <= 0 {
			return fmt.Errorf("class %q: %d requests are too few to tell its work, and the base has no such class",
				name, len(serviceTimes))
		}
		s.Classes = append(s.Classes, c)
	}
	return nil
}

// fitRetries fits how clients retry, from operations that were not served by their first request.
func (f *fit) fitRetries() {
	var waits []float64
	maxRetries := 0
	retried := 0
	unserved := 0
	for _, operation := range f.operations {
		if operation.First().Verdict == accesslog.Served {
			continue
		}
		unserved++
		if len(operation.Attempts) > 1 {
			retried++
			wait := operation.Attempts[1].Arrived - operation.Attempts[0].End()
			if wait > 0 {
				waits = append(waits, float64(wait))
			}
		}
		maxRetries = max(maxRetries, len(operation.Attempts)-1)
	}
	clients := &f.scenario.Clients
	if len(waits) >= minFitSamples {
		slices.Sort(waits)
		shortest := waits[len(waits)/10]
		longest := waits[len(waits)*9/10]
		clients.Backoff.From = microsToDuration(int64(shortest)).Round(1e6)
		clients.Backoff.To = microsToDuration(int64(longest)).Round(1e6)
		clients.Retries = [2]int{min(1, maxRetries), maxRetries}
		f.note("clients: %d of %d stories that were not served at once were tried again, up to %d times",
			retried, unserved, maxRetries)
	} else {
		f.note("clients: how they try again is the base's: %d such stories to go by", len(waits))
	}
	for _, operation := range f.operations {
		clients.MarkRetries = clients.MarkRetries || len(operation.Attempts) > 1 && operation.Attempts[1].Retry
	}
}

func round(v float64) float64 { return math.Round(v*1000) / 1000 }

// trimmedMoments returns mean and standard deviation, without the lowest and the highest hundredth.
func trimmedMoments(v []float64) (mean, spread float64) {
	v = slices.Sorted(slices.Values(v))
	cut := len(v) / 100
	i := stats.StudentT(v[cut:len(v)-cut], Confidence)
	for _, x := range v[cut : len(v)-cut] {
		spread += (x - i.Mean) * (x - i.Mean)
	}
	return i.Mean, math.Sqrt(spread / float64(max(1, len(v)-2*cut-1)))
}

// rateShape returns the rate of operations over time, as multiples of its mean.
func rateShape(operations []*accesslog.Operation, from, to int64) (shape []scenario.RatePoint) {
	n := int(min(maxShapePoints, max(1, (to-from)/1_000_000)))
	counts := make([]float64, n)
	for _, s := range operations {
		counts[min(int64(n-1), (s.First().Arrived-from)*int64(n)/max(1, to-from))]++
	}
	mean := float64(len(operations)) / float64(n)
	for i, c := range counts {
		at := (to - from) * int64(2*i+1) / int64(2*n)
		shape = append(shape, scenario.RatePoint{Factor: round(c / mean)})
		shape[i].At.Duration = microsToDuration(at).Round(1e7)
	}
	return shape
}

// quietSeconds returns whether an instant is in the third of the seconds in which the fewest operations began.
func quietSeconds(operations []*accesslog.Operation, from, to int64) func(at int64) bool {
	counts := make([]int, (to-from)/1_000_000+1)
	for _, s := range operations {
		counts[(s.First().Arrived-from)/1_000_000]++
	}
	sorted := slices.Sorted(slices.Values(counts))
	limit := sorted[len(sorted)/3]
	return func(at int64) bool { return counts[(at-from)/1_000_000] <= limit }
}

func microsToDuration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
