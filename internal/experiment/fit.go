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

// maxShapePoints is the maximum number of points in the rate curve of a fitted scenario.
const maxShapePoints = 60

const (
	minFitOperations = 100 // operations that an access record must have to fit a scenario to it
	minFitSamples    = 20  // measurements needed for an estimate of work or of backoff
)

// FitScenario estimates a scenario from an access record: the number of instances, the clients' rate of operations
// over time, their classes, tenants and retries, and the work of requests, from requests served while the load was
// low. All other properties are taken from base. notes explains what each estimate is based on. A record with too
// few operations is an error.
func FitScenario(base *scenario.Scenario, rec *accesslog.Recording) (s *scenario.Scenario, notes []string, err error) {
	f := &fit{base: base, scenario: base.Clone(), operations: rec.Operations()}
	if len(f.operations) < minFitOperations {
		return nil, nil, fmt.Errorf("the record has %d operations, too few to fit a scenario", len(f.operations))
	}
	f.start, f.end = rec.Span()
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

// fit is the state of FitScenario.
type fit struct {
	base       *scenario.Scenario
	scenario   *scenario.Scenario
	operations []*accesslog.Operation
	start      int64 // first instant of the record, in microseconds
	end        int64 // last instant of the record, in microseconds
	notes      []string
}

// addNote adds a note to those that FitScenario returns with the scenario.
func (f *fit) addNote(format string, args ...any) {
	f.notes = append(f.notes, fmt.Sprintf(format, args...))
}

// countBy counts the first requests of operations by the value of key, and returns the sorted values and the counts.
func (f *fit) countBy(key func(q *accesslog.Request) string) (values []string, counts map[string]int) {
	counts = map[string]int{}
	for _, operation := range f.operations {
		counts[key(operation.FirstAttempt())]++
	}
	return slices.Sorted(maps.Keys(counts)), counts
}

// share returns n as a fraction of all operations, rounded to thousandths.
func (f *fit) share(n int) float64 {
	return roundToThousandths(float64(n) / float64(len(f.operations)))
}

// fitRate estimates the scenario's length and the rate of operations over time.
func (f *fit) fitRate(runs []*accesslog.Run) {
	s := f.scenario
	s.Name = "fitted"
	s.Expect = nil
	s.Events = nil
	length := float64(f.end-f.start) / 1e6
	sampledFraction := 1.0
	for _, run := range runs {
		sampledFraction = min(sampledFraction, run.Sample)
	}
	s.About = fmt.Sprintf("Fitted to a record of %d stories in %.0f s.", len(f.operations), length)
	s.Length.Duration = max(1e9, microsToDuration(f.end-f.start)).Round(1e9)
	s.Clients.Load = 0
	s.Clients.Rate = roundToThousandths(float64(len(f.operations)) / length / sampledFraction)
	s.Shape = rateShape(f.operations, f.start, f.end)
}

// fitInstances estimates the number of instances, and how unevenly operations are spread over them.
func (f *fit) fitInstances() {
	names, counts := f.countBy(func(q *accesslog.Request) string { return q.Instance })
	f.scenario.Fleet.Instances = len(names)
	var requests []float64
	for _, name := range names {
		requests = append(requests, float64(counts[name]))
	}
	mean, stdDev := trimmedMeanStdDev(requests)
	f.scenario.Fleet.TrafficShareCV = roundToThousandths(stdDev / mean)
}

// fitTenants estimates the tenants and their shares of the operations.
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
	totalSpeed := 0.0
	endpoints := 0
	for _, kind := range f.scenario.EndpointKinds {
		for _, kindSpeed := range kind.Speed {
			totalSpeed += kindSpeed * float64(kind.Count) / float64(len(kind.Speed))
		}
		endpoints += kind.Count
	}
	return totalSpeed / float64(endpoints)
}

// fitClasses estimates the share and the work of each request class. A class with fewer than minFitSamples suitable
// requests keeps the work of the base's class of that name; without such a class it is an error.
func (f *fit) fitClasses() error {
	s := f.scenario
	meanSpeed := f.meanSpeed()
	names, counts := f.countBy(func(q *accesslog.Request) string { return q.Class })
	s.Classes = nil
	isQuietAt := quietSecondsFilter(f.operations, f.start, f.end)
	for _, name := range names {
		var serviceTimes []float64
		for _, operation := range f.operations {
			request := operation.FirstAttempt()
			if request.Class == name && request.Verdict == accesslog.Served && request.Attempts == 1 &&
				isQuietAt(request.Arrived) {
				serviceTimes = append(serviceTimes, float64(request.Duration-request.QueueTime))
			}
		}
		class := scenario.Class{Name: name, Share: f.share(counts[name]), WorkDistribution: "lognormal"}
		baseIndex := slices.IndexFunc(f.base.Classes, func(b scenario.Class) bool { return b.Name == name })
		if baseIndex >= 0 {
			class.Work = f.base.Classes[baseIndex].Work
			class.WorkCV = f.base.Classes[baseIndex].WorkCV
			class.AttemptWorkCV = f.base.Classes[baseIndex].AttemptWorkCV
		}
		if len(serviceTimes) >= minFitSamples {
			mean, stdDev := trimmedMeanStdDev(serviceTimes)
			networkTime := 2 * float64(s.Network.SameZoneDelay.Micros()+s.Host.Overhead.Micros()/2)
			work := max(100, (mean-networkTime)*meanSpeed)
			class.Work.Duration = microsToDuration(int64(work)).Round(1e5)
			class.WorkCV = roundToThousandths(stdDev / mean)
			class.AttemptWorkCV = 0
			f.addNote("class %s: work %v by %d requests served at their first attempt in the quietest third, "+
				"at a mean speed of %.2f", name, class.Work.Duration, len(serviceTimes), meanSpeed)
		} else {
			f.addNote("class %s: work is the base's: %d requests to go by", name, len(serviceTimes))
		}
		if class.Work.Duration <= 0 {
			return fmt.Errorf("class %q: %d requests are too few to estimate its work, and the base has no such class",
				name, len(serviceTimes))
		}
		s.Classes = append(s.Classes, class)
	}
	return nil
}

// fitRetries estimates the clients' backoff and number of retries from operations whose first request was not served.
func (f *fit) fitRetries() {
	var backoffs []float64
	maxRetries := 0
	retried := 0
	unserved := 0
	for _, operation := range f.operations {
		if operation.FirstAttempt().Verdict == accesslog.Served {
			continue
		}
		unserved++
		if len(operation.Attempts) > 1 {
			retried++
			backoff := operation.Attempts[1].Arrived - operation.Attempts[0].End()
			if backoff > 0 {
				backoffs = append(backoffs, float64(backoff))
			}
		}
		maxRetries = max(maxRetries, len(operation.Attempts)-1)
	}
	clients := &f.scenario.Clients
	if len(backoffs) >= minFitSamples {
		slices.Sort(backoffs)
		shortest := backoffs[len(backoffs)/10]
		longest := backoffs[len(backoffs)*9/10]
		clients.Backoff.From = microsToDuration(int64(shortest)).Round(1e6)
		clients.Backoff.To = microsToDuration(int64(longest)).Round(1e6)
		clients.Retries = [2]int{min(1, maxRetries), maxRetries}
		f.addNote("clients: %d of %d stories that were not served at once were tried again, up to %d times",
			retried, unserved, maxRetries)
	} else {
		f.addNote("clients: how they try again is the base's: %d such stories to go by", len(backoffs))
	}
	for _, operation := range f.operations {
		clients.MarkRetries = clients.MarkRetries || len(operation.Attempts) > 1 && operation.Attempts[1].Retry
	}
}

func roundToThousandths(value float64) float64 { return math.Round(value*1000) / 1000 }

// trimmedMeanStdDev returns the mean and the standard deviation of values, without the lowest and the highest 1 % of
// them.
func trimmedMeanStdDev(values []float64) (mean, spread float64) {
	values = slices.Sorted(slices.Values(values))
	trimmed := len(values) / 100
	interval := stats.StudentT(values[trimmed:len(values)-trimmed], Confidence)
	for _, value := range values[trimmed : len(values)-trimmed] {
		spread += (value - interval.Mean) * (value - interval.Mean)
	}
	return interval.Mean, math.Sqrt(spread / float64(max(1, len(values)-2*trimmed-1)))
}

// rateShape returns the rate of operations over time, as multiples of the mean rate.
func rateShape(operations []*accesslog.Operation, from, to int64) (shape []scenario.RatePoint) {
	points := int(min(maxShapePoints, max(1, (to-from)/1_000_000)))
	counts := make([]float64, points)
	for _, operation := range operations {
		counts[min(int64(points-1), (operation.FirstAttempt().Arrived-from)*int64(points)/max(1, to-from))]++
	}
	mean := float64(len(operations)) / float64(points)
	for i, count := range counts {
		middle := (to - from) * int64(2*i+1) / int64(2*points)
		shape = append(shape, scenario.RatePoint{Factor: roundToThousandths(count / mean)})
		shape[i].At.Duration = microsToDuration(middle).Round(1e7)
	}
	return shape
}

// quietSecondsFilter returns a function that reports whether an instant lies in a quiet second: one of the third of
// all seconds in which the fewest operations started.
func quietSecondsFilter(operations []*accesslog.Operation, from, to int64) func(at int64) bool {
	counts := make([]int, (to-from)/1_000_000+1)
	for _, operation := range operations {
		counts[(operation.FirstAttempt().Arrived-from)/1_000_000]++
	}
	sorted := slices.Sorted(slices.Values(counts))
	maxQuietCount := sorted[len(sorted)/3]
	return func(at int64) bool { return counts[(at-from)/1_000_000] <= maxQuietCount }
}

func microsToDuration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
