package experiment

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dunlinsail/internal/accesslog"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/scenario"
)

// storm is a scenario in which clients try again much.
func storm(t *testing.T, edits ...string) *scenario.Scenario {
	t.Helper()
	return short(t, append([]string{"clients.load=1.3", "clients.retries=[2, 3]", "length=12s"}, edits...)...)
}

// recorded returns a folder with the record of a run, and what the run came to.
func recorded(t *testing.T, s *scenario.Scenario) (dir string, r *measure.Result) {
	t.Helper()
	dir = t.TempDir()
	v := variant(t, Shipped)
	j := must[Job](t)(v.Job(s, v, 5))
	option, closer, err := NewRecorder(dir, &j)
	require.NoError(t, err)
	r = must[*measure.Result](t)(j.Play(context.Background(), option))
	closer()
	return dir, r
}

// Of a record that is full of retries only the first requests are replayed: a variant under which less fails gets as
// many operations as there were, and not the retries that another variant caused.
func TestReplayKeepsFirstRequests(t *testing.T) {
	dir, was := recorded(t, storm(t))
	rec := must[*accesslog.Recording](t)(accesslog.Read(dir))
	if all := rec.Check(); len(all) != 0 {
		t.Errorf("what it lacks: %q", all)
	}
	if was.Figures["tries"] < 1.2 || int64(len(rec.Requests)) != was.Costs.ClientRequests {
		t.Fatalf(
			"%d tries of %d stories, %d in the record", was.Costs.ClientRequests, was.Operations, len(rec.Requests),
		)
	}
	if got := len(rec.Operations()); math.Abs(float64(got)-float64(was.Operations)) > 0.01*float64(was.Operations) {
		t.Errorf("%d stories are found in the record, %d there were", got, was.Operations)
	}
	play := func(nodes int) *measure.Result {
		s := must[*scenario.Scenario](t)(Resize(storm(t), nil, 0, nodes))
		s.Replay = &scenario.Replay{From: []string{dir}}
		c := must[*Comparison](t)((&Runner{}).Compare(context.Background(), Plan{
			Scenario:  s,
			A:         variant(t, Shipped),
			FirstSeed: 5,
			MinSeeds:  1,
		}))
		return c.RunsA[0]
	}
	same := play(0)
	if math.Abs(float64(same.Operations-was.Operations)) > 0.01*float64(was.Operations) ||
		math.Abs(same.Figures["service"]-was.Figures["service"]) > 0.06 {
		t.Errorf(
			"played again: %d stories, service %.3f; it was %d, %.3f", same.Operations, same.Figures["service"],
			was.Operations, was.Figures["service"],
		)
	}
	better := play(20)
	if better.Operations != same.Operations || better.Figures["tries"] > 0.7*same.Figures["tries"] {
		t.Errorf(
			"with more endpoints: %d stories, %.3f tries each; %d with fewer", better.Operations,
			better.Figures["tries"], same.Operations,
		)
	}
	again := play(0)
	if again.Digest != same.Digest {
		t.Error("the same record played twice came to something else")
	}
}

// A sample is scaled up; what does not fit the scenario, or is not there, is an error.
func TestReplayOfSamplesAndMisfits(t *testing.T) {
	dir, was := recorded(t, storm(t))
	rec := must[*accesslog.Recording](t)(accesslog.Read(dir))
	part := t.TempDir()
	w := must[*accesslog.Writer](t)(accesslog.NewWriter(accesslog.Options{
		Dir:      part,
		Instance: "instance-0",
		Sample:   0.25,
		Rows:     1 << 20,
		Age:      1 << 50,
	}))
	for _, q := range rec.Requests {
		w.Add(q.Row)
	}
	w.Close()
	s := storm(t)
	s.Replay = &scenario.Replay{From: []string{part}}
	c := must[*Comparison](t)((&Runner{}).Compare(context.Background(), Plan{
		Scenario:  s,
		A:         variant(t, Shipped),
		FirstSeed: 1,
		MinSeeds:  1,
	}))
	if got := c.RunsA[0].Operations; math.Abs(float64(got-was.Operations)) > 0.15*float64(was.Operations) {
		t.Errorf("a quarter scaled up: %d stories of %d", got, was.Operations)
	}
	for from, want := range map[string]string{
		filepath.Join(dir, "none"): "no such file", t.TempDir(): "there is no request",
	} {
		s.Replay = &scenario.Replay{From: []string{from}}
		if _, err := (&Runner{}).Compare(context.Background(), Plan{
			Scenario:  s,
			A:         variant(t, Shipped),
			FirstSeed: 1,
			MinSeeds:  1,
		}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", from, err)
		}
	}
	s = storm(t, "class.book.name=sell")
	s.Replay = &scenario.Replay{From: []string{dir}}
	if _, err := (&Runner{}).Compare(context.Background(), Plan{
		Scenario:  s,
		A:         variant(t, "shipped,class.book.name=sell"),
		FirstSeed: 1,
		MinSeeds:  1,
	}); err == nil || !strings.Contains(err.Error(), `class "book"`) {
		t.Errorf("a class that the scenario does not have: %v", err)
	}
	require.NoError(t, os.Remove(must[[]string](t)(filepath.Glob(filepath.Join(dir, "*.parquet")))[0]))
	a := must[string](t)(digestFiles([]string{dir}))
	b := must[string](t)(digestFiles([]string{part}))
	if a == b || a == was.Digest {
		t.Error("other records have the same digest")
	}
}

// What is fitted to a record is close to what made it.
func TestFit(t *testing.T) {
	s := must[*scenario.Scenario](t)(Resize(storm(t), []string{
		"clients.load=0.5", "length=30s", "clients.backoff=20ms..60ms", "clients.honour_retry_after=0.0",
	}, 0, 0))
	s.Shape = []scenario.RatePoint{{Factor: 0.3}, {Factor: 0.3}, {Factor: 3}}
	s.Shape[1].At.Duration = 15e9
	s.Shape[2].At.Duration = 30e9
	dir, was := recorded(t, s)
	base := must[*scenario.Scenario](t)(Resize(storm(t), []string{
		"class.book.work=10ms", "class.open-slots.share=0.1", "clients.retries=[0, 0]", "fleet.instances=1",
	}, 0, 0))
	f, notes, err := FitScenario(base, must[*accesslog.Recording](t)(accesslog.Read(dir)))
	require.NoError(t, err)
	got := f.Clients.Rate * f.Length.Duration.Seconds()
	if math.Abs(got-float64(was.Operations)) > 0.1*float64(was.Operations) || f.Fleet.Instances != 2 ||
		len(f.Shape) < 20 {
		t.Errorf(
			"%.0f stories of %d, %d instances, %d places of the shape", got, was.Operations, f.Fleet.Instances,
			len(f.Shape),
		)
	}
	if early, late := f.Draw(1).RateFactor(5_000_000), f.Draw(1).RateFactor(28_000_000); late < 3*early {
		t.Errorf("the shape: %v early, %v late", early, late)
	}
	for _, c := range f.Classes {
		for _, o := range s.Classes {
			if c.Name != o.Name {
				continue
			}
			workError := math.Abs(float64(c.Work.Duration - o.Work.Duration))
			if math.Abs(c.Share-o.Share) > 0.05 || workError > 0.3*float64(o.Work.Duration) {
				t.Errorf("%s: share %v and work %v, of %v and %v (%q)", c.Name, c.Share, c.Work, o.Share, o.Work, notes)
			}
		}
	}
	if f.Clients.Retries[1] < 2 || f.Clients.Backoff.From > 40e6 || f.Clients.Backoff.To < 30e6 {
		t.Errorf("clients: %+v, backoff %v", f.Clients, *f.Clients.Backoff)
	}
	if _, _, err := FitScenario(base, &accesslog.Recording{}); err == nil {
		t.Error("a scenario was fitted to nothing")
	}
}
