package experiment

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"dunlinsail/internal/accesslog"
	"dunlinsail/internal/config"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/experiment/stats"
	"dunlinsail/internal/simulation"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/scenario"
	"dunlinsail/internal/simulation/simclient"
)

// digestOf is the digest of all that stands in some folders or files.
func digestFiles(paths []string) (string, error) {
	d := xxhash.New()
	for _, p := range paths {
		err := filepath.WalkDir(p, func(path string, e os.DirEntry, err error) error {
			if err != nil || e.IsDir() {
				return err
			}
			f, err := os.Open(path)
			if err != nil {
				return err
			}
			defer f.Close()
			_, _ = io.WriteString(d, filepath.Base(path))
			_, err = io.Copy(d, f)
			return err
		})
		if err != nil {
			return "", fmt.Errorf("record %s: %w", p, err)
		}
	}
	return hex.EncodeToString(d.Sum(nil)), nil
}

// records are those that were read, by folders and digest: each seed plays the same one.
var recordCache struct {
	sync.Mutex
	digest  string
	stories []*accesslog.Operation
	runs    []*accesslog.Run
	from    int64
}

// readRecord reads a record, or returns the one that was read last.
func readRecord(r *scenario.Replay) (operations []*accesslog.Operation, runs []*accesslog.Run, from int64, err error) {
	digest, err := digestFiles(r.From)
	if err != nil {
		return nil, nil, 0, err
	}
	digest += fmt.Sprint(r.Align)
	recordCache.Lock()
	defer recordCache.Unlock()
	if recordCache.digest != digest {
		rec, err := accesslog.Read(r.From...)
		if err != nil {
			return nil, nil, 0, err
		}
		if len(rec.Requests) == 0 {
			return nil, nil, 0, fmt.Errorf("record %q: there is no request: %q", r.From, rec.Problems)
		}
		if r.Align {
			rec.Align()
		}
		recordCache.digest, recordCache.stories, recordCache.runs = digest, rec.Operations(), rec.Runs
		recordCache.from, _ = rec.Span()
	}
	return recordCache.stories, recordCache.runs, recordCache.from, nil
}

// replayed is the source of a plan's stories from a record.
type recordedOperations [][]simclient.Operation

// Stories gives those of an instance.
func (r recordedOperations) Operations(instance int) func() (simclient.Operation, bool) {
	at := 0
	return func() (s simclient.Operation, ok bool) {
		if instance >= len(r) || at >= len(r[instance]) {
			return s, false
		}
		at++
		return r[instance][at-1], true
	}
}

// replay has a plan play a record again: the first tries of its stories, at the instances that they came to, scaled up
// where the record is a sample.
func replayRecord(p *scenario.Plan) (scenario.Source, error) {
	operations, runs, from, err := readRecord(p.Replay)
	if err != nil {
		return nil, err
	}
	sample := 1.0
	places := map[string]int{}
	for _, r := range runs {
		sample = min(sample, r.Sample)
		places[r.Instance] = 0
	}
	for i, name := range slices.Sorted(maps.Keys(places)) {
		places[name] = i % len(p.Instances)
	}
	classes, tenants := map[string]int{}, map[string]int{}
	for i, c := range p.Classes {
		classes[c.Name] = i
	}
	for i, t := range p.Tenants {
		tenants[t.Name] = i
	}
	from += p.Replay.Start.Micros()
	length := p.Length.Micros()
	processes := map[string]int{}
	works := randstream.New(p.Seed, "stories")
	copies := randstream.New(p.Seed, "copies")
	out := make(recordedOperations, len(p.Instances))
	for n, s := range operations {
		q := s.First()
		class, ok := classes[q.Class]
		if !ok {
			return nil, fmt.Errorf("the record's class %q is none of the scenario's", q.Class)
		}
		tenant := -1
		if q.Tenant != "" {
			if tenant, ok = tenants[q.Tenant]; !ok {
				return nil, fmt.Errorf("the record's tenant %q is none of the scenario's", q.Tenant)
			}
		}
		instance := places[q.Instance]
		who := q.Instance + "/" + q.Client
		if _, ok := processes[who]; !ok {
			processes[who] = len(processes) % p.Clients.Processes
		}
		r := copies.For(uint64(n))
		times := 1 / sample
		count := int(times)
		if r.Float64() < times-float64(count) {
			count++
		}
		for k := range count {
			began := q.Arrived - from
			if k > 0 { // of one that was not kept, it is not known when it came: about then
				began += int64((r.Float64() - 0.5) * 1e6)
			}
			if began < 0 || began >= length {
				continue
			}
			id := uint64(instance)<<32 | uint64(n)<<4 | uint64(k&15)
			w := works.For(id)
			x := simclient.Operation{
				ID:             id,
				Instance:       instance,
				Process:        processes[who],
				Class:          class,
				Tenant:         tenant,
				Object:         q.ObjectHash,
				StartedAt:      began,
				IdempotencyKey: w.Uint64() | 1, Work: p.Classes[class].Draw(w)}
			out[instance] = append(out[instance], x)
		}
	}
	for i := range out {
		slices.SortFunc(out[i], func(a, b simclient.Operation) int {
			return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.ID, b.ID))
		})
	}
	return out, nil
}

// fitBins is how many places the shape of a fitted scenario has at most.
const maxShapePoints = 60

// Fit returns a scenario with what a record tells of clients: their rate and its shape, classes, tenants, instances,
// how they try again, and how long requests take while little is going on. All else is the base's. notes says what it
// rests on.
func FitScenario(base *scenario.Scenario, rec *accesslog.Recording) (s *scenario.Scenario, notes []string, err error) {
	operations := rec.Operations()
	if len(operations) < 100 {
		return nil, nil, fmt.Errorf("there are %d stories: too few to go by", len(operations))
	}
	s = base.Clone()
	s.Name, s.Expect, s.Events = "fitted", nil, nil
	from, to := rec.Span()
	length := float64(to-from) / 1e6
	sample := 1.0
	for _, r := range rec.Runs {
		sample = min(sample, r.Sample)
	}
	s.About = fmt.Sprintf("Fitted to a record of %d stories in %.0f s.", len(operations), length)
	s.Length.Duration = max(1e9, microsToDuration(to-from)).Round(1e9)
	s.Clients.Load, s.Clients.Rate = 0, round(float64(len(operations))/length/sample)
	s.Shape = rateShape(operations, from, to)

	counts := func(of func(q *accesslog.Request) string) (names []string, n map[string]int) {
		n = map[string]int{}
		for _, x := range operations {
			n[of(x.First())]++
		}
		return slices.Sorted(maps.Keys(n)), n
	}
	names, n := counts(func(q *accesslog.Request) string { return q.Instance })
	s.Fleet.Instances = len(names)
	var parts []float64
	for _, name := range names {
		parts = append(parts, float64(n[name]))
	}
	mean, spread := trimmedMoments(parts)
	s.Fleet.Uneven = round(spread / mean)

	names, n = counts(func(q *accesslog.Request) string { return q.Tenant })
	s.Tenants = nil
	for _, name := range names {
		if name != "" {
			s.Tenants = append(s.Tenants, scenario.Tenant{
				Name:  name,
				Share: round(float64(n[name]) / float64(len(operations))),
			})
		}
	}

	speed, nodes := 0.0, 0
	for _, k := range s.EndpointKinds {
		for _, v := range k.Speed {
			speed += v * float64(k.Count) / float64(len(k.Speed))
		}
		nodes += k.Count
	}
	speed /= float64(nodes)
	names, n = counts(func(q *accesslog.Request) string { return q.Class })
	s.Classes = nil
	quiet := quietSeconds(operations, from, to)
	for _, name := range names {
		var took []float64
		for _, x := range operations {
			q := x.First()
			if q.Class == name && q.Verdict == accesslog.Served && q.Attempts == 1 && quiet(q.Arrived) {
				took = append(took, float64(q.Duration-q.QueueTime))
			}
		}
		c := scenario.Class{Name: name, Share: round(float64(n[name]) / float64(len(operations))), Dist: "lognormal"}
		if i := slices.IndexFunc(base.Classes, func(b scenario.Class) bool { return b.Name == name }); i >= 0 {
			c.Work, c.CV, c.Noise = base.Classes[i].Work, base.Classes[i].CV, base.Classes[i].Noise
		}
		if len(took) >= 20 {
			mean, spread := trimmedMoments(took)
			way := 2 * float64(s.Network.Within.Micros()+s.Host.Overhead.Micros()/2)
			work := max(100, (mean-way)*speed)
			c.Work.Duration, c.CV, c.Noise = microsToDuration(int64(work)).Round(1e5), round(spread/mean), 0
			notes = append(
				notes,
				fmt.Sprintf(
					"class %s: work %v by %d requests served at their first attempt in the quietest third, at a mean speed of %.2f",
					name, c.Work.Duration, len(took), speed,
				),
			)
		} else {
			notes = append(notes, fmt.Sprintf("class %s: work is the base's: %d requests to go by", name, len(took)))
		}
		if c.Work.Duration <= 0 {
			return nil, nil, fmt.Errorf(
				"class %q: %d requests are too few to tell its work, and the base has no such class", name, len(took),
			)
		}
		s.Classes = append(s.Classes, c)
	}

	// How clients try again, of stories that were not served at once.
	var waits []float64
	most, again, unserved := 0, 0, 0
	for _, x := range operations {
		if x.First().Verdict == accesslog.Served {
			continue
		}
		unserved++
		if len(x.Attempts) > 1 {
			again++
		}
		most = max(most, len(x.Attempts)-1)
		for i := 1; i < len(x.Attempts); i++ {
			if wait := x.Attempts[i].Arrived - x.Attempts[i-1].End(); wait > 0 && i == 1 {
				waits = append(waits, float64(wait))
			}
		}
	}
	if len(waits) >= 20 {
		slices.Sort(waits)
		lo, hi := waits[len(waits)/10], waits[len(waits)*9/10]
		s.Clients.Backoff.From, s.Clients.Backoff.To = microsToDuration(int64(lo)).Round(1e6), microsToDuration(int64(hi)).Round(1e6)
		s.Clients.Retries = [2]int{min(1, most), most}
		notes = append(
			notes,
			fmt.Sprintf(
				"clients: %d of %d stories that were not served at once were tried again, up to %d times", again,
				unserved, most,
			),
		)
	} else {
		notes = append(
			notes, fmt.Sprintf("clients: how they try again is the base's: %d such stories to go by", len(waits)),
		)
	}
	for _, x := range operations {
		s.Clients.MarkRetries = s.Clients.MarkRetries || len(x.Attempts) > 1 && x.Attempts[1].Retry
	}
	text, err := s.Text()
	if err != nil {
		return nil, nil, err
	}
	s, err = scenario.Parse(text, nil)
	return s, notes, err
}

func round(v float64) float64 { return math.Round(v*1000) / 1000 }

// moments returns mean and standard deviation, without the slowest and the fastest hundredth.
func trimmedMoments(v []float64) (mean, spread float64) {
	v = slices.Sorted(slices.Values(v))
	cut := len(v) / 100
	i := stats.StudentT(v[cut:len(v)-cut], Confidence)
	for _, x := range v[cut : len(v)-cut] {
		spread += (x - i.Mean) * (x - i.Mean)
	}
	return i.Mean, math.Sqrt(spread / float64(max(1, len(v)-2*cut-1)))
}

// shapeOf tells how many times the mean the traffic was, over time.
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

// quietest says of an instant whether it is in the third of the seconds in which the fewest stories began.
func quietSeconds(operations []*accesslog.Operation, from, to int64) func(at int64) bool {
	counts := make([]int, (to-from)/1_000_000+1)
	for _, s := range operations {
		counts[(s.First().Arrived-from)/1_000_000]++
	}
	sorted := slices.Sorted(slices.Values(counts))
	most := sorted[len(sorted)/3]
	return func(at int64) bool { return counts[(at-from)/1_000_000] <= most }
}

func microsToDuration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// NewRecorder has a run write an access record to a folder, as its instances would. Close what it returns after the run.
func NewRecorder(dir string, j *Job) (option func(*simulation.Options), closer func(), err error) {
	own, err := config.Parse([]byte(j.CriteriaSettings))
	if err != nil {
		return nil, nil, err
	}
	s := &own.Site
	var writers []*accesslog.Writer
	closer = func() {
		for _, w := range writers {
			w.Close()
		}
	}
	var now atomic.Int64 // of the run
	h := accesslog.NewHasherFromSecret([]byte("of no patient's: a model's"))
	writer := func(n int) (*accesslog.Writer, error) {
		for len(writers) <= n {
			w, err := accesslog.NewWriter(accesslog.Options{
				Dir:      dir,
				Instance: fmt.Sprint("instance-", len(writers)),
				Sample:   1,
				Rows:     1 << 20,
				Age:      24 * time.Hour,
				Log:      slog.New(slog.DiscardHandler),
				Now:      func() time.Time { return time.UnixMicro(now.Load()) }})
			if err != nil {
				return nil, err
			}
			writers = append(writers, w)
		}
		return writers[n], nil
	}
	if _, err := writer(0); err != nil { // what is wrong with the folder is told now
		return nil, nil, err
	}
	verdicts := map[engine.Verdict]string{
		engine.Served:      accesslog.Served,
		engine.Rejected:    accesslog.Rejected,
		engine.RateLimited: accesslog.Rejected,
		engine.TimedOut:    accesslog.TimedOut,
	}
	return func(o *simulation.Options) {
		o.Record = func(x *simulation.RequestRecord) {
			now.Store(max(now.Load(), x.ArrivedAt+x.Duration))
			w, err := writer(x.Instance)
			if err != nil {
				return
			}
			r := accesslog.Row{
				Arrived:       x.ArrivedAt,
				Duration:      x.Duration,
				QueueTime:     x.Response.QueueTime,
				ClientTimeout: x.Timeout,
				Client:        fmt.Sprint("process-", x.Process),
				Class:         s.Classes[x.Class],
				Verdict:       accesslog.Failed,
				Endpoint:      x.Response.Endpoint,
				Attempts:      int32(x.Response.Attempts),
				ObjectHash:    h.Hash("object", fmt.Sprint(x.Object)),
				Retry:         x.Retry,
			}
			if x.IdempotencyKey != 0 {
				r.KeyHash = h.Hash("key", fmt.Sprint(x.IdempotencyKey))
			}
			if x.Tenant >= 0 {
				r.Tenant = s.Tenants[x.Tenant]
			}
			if v, ok := verdicts[x.Response.Verdict]; ok {
				r.Verdict = v
			}
			if x.ClientGone {
				r.Verdict = accesslog.Cancelled
			}
			w.Add(r)
		}
	}, closer, nil
}
