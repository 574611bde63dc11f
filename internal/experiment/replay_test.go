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

// retryStorm returns an overloaded scenario in which clients send many retries.
func retryStorm(t *testing.T, edits ...string) *scenario.Scenario {
	t.Helper()
	return shortScenario(t, append([]string{"clients.load=1.3", "clients.retries=[2, 3]", "length=12s"}, edits...)...)
}

// recordRun runs a scenario and returns the folder with its access record, and the result of the run.
func recordRun(t *testing.T, s *scenario.Scenario) (dir string, r *measure.Result) {
	t.Helper()
	dir = t.TempDir()
	v := parseVariant(t, Shipped)
	job := must[Job](t)(v.Job(s, v, 5))
	option, closer, err := NewRecorder(dir, &job)
	require.NoError(t, err)
	r = must[*measure.Result](t)(job.Play(context.Background(), option))
	closer()
	return dir, r
}

// From a record with many retries, only the first request of each operation is replayed. A fleet in which fewer
// requests fail must get the recorded number of operations, but not the retries that failures in the recorded run
// caused.
func TestReplayKeepsFirstRequests(t *testing.T) {
	dir, original := recordRun(t, retryStorm(t))
	rec := must[*accesslog.Recording](t)(accesslog.Read(dir))
	if problems := rec.Findings(); len(problems) != 0 {
		t.Errorf("problems of the record: %q", problems)
	}
	if original.Figures["tries"] < 1.2 || int64(len(rec.Requests)) != original.Costs.ClientRequests {
		t.Fatalf(
			"%d requests of %d operations, %d requests in the record", original.Costs.ClientRequests,
			original.Operations, len(rec.Requests),
		)
	}
	if got := len(rec.Operations()); math.Abs(
		float64(got)-float64(original.Operations),
	) > 0.01*float64(original.Operations) {
		t.Errorf("%d operations in the record, want %d", got, original.Operations)
	}
	replayWith := func(endpoints int) *measure.Result {
		s := must[*scenario.Scenario](t)(Resize(retryStorm(t), nil, 0, endpoints))
		s.Replay = &scenario.Replay{From: []string{dir}}
		c := must[*Comparison](t)((&Runner{}).Compare(context.Background(), Plan{
			Scenario:  s,
			A:         parseVariant(t, Shipped),
			FirstSeed: 5,
			MinSeeds:  1,
		}))
		return c.RunsA[0]
	}
	replayed := replayWith(0)
	if math.Abs(float64(replayed.Operations-original.Operations)) > 0.01*float64(original.Operations) ||
		math.Abs(replayed.Figures["service"]-original.Figures["service"]) > 0.06 {
		t.Errorf(
			"replayed: %d operations, service %.3f; recorded: %d, %.3f", replayed.Operations,
			replayed.Figures["service"], original.Operations, original.Figures["service"],
		)
	}
	withMoreEndpoints := replayWith(20)
	if withMoreEndpoints.Operations != replayed.Operations ||
		withMoreEndpoints.Figures["tries"] > 0.7*replayed.Figures["tries"] {
		t.Errorf(
			"with more endpoints: %d operations, %.3f requests each; %d with fewer", withMoreEndpoints.Operations,
			withMoreEndpoints.Figures["tries"], replayed.Operations,
		)
	}
	repeated := replayWith(0)
	if repeated.Digest != replayed.Digest {
		t.Error("two replays of the same record have different digests")
	}
}

// Replaying a sampled record restores the recorded number of operations. Records that are missing, empty
// or have classes that the scenario does not have are errors. Records with different content have different
// digests.
func TestReplayOfSamplesAndMisfits(t *testing.T) {
	dir, original := recordRun(t, retryStorm(t))
	rec := must[*accesslog.Recording](t)(accesslog.Read(dir))
	sampleDir := t.TempDir()
	writer := must[*accesslog.Writer](t)(accesslog.NewWriter(accesslog.Options{
		Dir:            sampleDir,
		Instance:       "instance-0",
		SampleFraction: 0.25,
		MaxRows:        1 << 20,
		MaxAge:         1 << 50,
	}))
	for _, request := range rec.Requests {
		writer.Add(request.Row)
	}
	writer.Close()
	s := retryStorm(t)
	s.Replay = &scenario.Replay{From: []string{sampleDir}}
	c := must[*Comparison](t)((&Runner{}).Compare(context.Background(), Plan{
		Scenario:  s,
		A:         parseVariant(t, Shipped),
		FirstSeed: 1,
		MinSeeds:  1,
	}))
	if got := c.RunsA[0].Operations; math.Abs(float64(got-original.Operations)) > 0.15*float64(original.Operations) {
		t.Errorf("a sample of a quarter, scaled up: %d operations, want about %d", got, original.Operations)
	}
	for from, want := range map[string]string{
		filepath.Join(dir, "none"): "no such file", t.TempDir(): "it contains no request",
	} {
		s.Replay = &scenario.Replay{From: []string{from}}
		if _, err := (&Runner{}).Compare(context.Background(), Plan{
			Scenario:  s,
			A:         parseVariant(t, Shipped),
			FirstSeed: 1,
			MinSeeds:  1,
		}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", from, err)
		}
	}
	s = retryStorm(t, "class.book.name=sell")
	s.Replay = &scenario.Replay{From: []string{dir}}
	if _, err := (&Runner{}).Compare(context.Background(), Plan{
		Scenario:  s,
		A:         parseVariant(t, "shipped,class.book.name=sell"),
		FirstSeed: 1,
		MinSeeds:  1,
	}); err == nil || !strings.Contains(err.Error(), `class "book"`) {
		t.Errorf("a class that the scenario does not have: %v", err)
	}
	require.NoError(t, os.Remove(must[[]string](t)(filepath.Glob(filepath.Join(dir, "*.parquet")))[0]))
	originalDigest := must[string](t)(digestFiles([]string{dir}))
	sampleDigest := must[string](t)(digestFiles([]string{sampleDir}))
	if originalDigest == sampleDigest || originalDigest == original.Digest {
		t.Error("different records have the same digest")
	}
}

// A scenario fitted to the record of a run is close to the scenario of that run: rate and its changes, instances,
// classes' shares and work, and client retries. An empty record is an error.
func TestFit(t *testing.T) {
	s := must[*scenario.Scenario](t)(Resize(retryStorm(t), []string{
		"clients.load=0.5", "length=30s", "clients.backoff=20ms..60ms", "clients.honour_retry_after=0.0",
	}, 0, 0))
	s.Shape = []scenario.RatePoint{{Factor: 0.3}, {Factor: 0.3}, {Factor: 3}}
	s.Shape[1].At.Duration = 15e9
	s.Shape[2].At.Duration = 30e9
	dir, original := recordRun(t, s)
	base := must[*scenario.Scenario](t)(Resize(retryStorm(t), []string{
		"class.book.work=10ms", "class.open-slots.share=0.1", "clients.retries=[0, 0]", "fleet.instances=1",
	}, 0, 0))
	fitted, notes, err := FitScenario(base, must[*accesslog.Recording](t)(accesslog.Read(dir)))
	require.NoError(t, err)
	got := fitted.Clients.Rate * fitted.Length.Duration.Seconds()
	if math.Abs(got-float64(original.Operations)) > 0.1*float64(original.Operations) || fitted.Fleet.Instances != 2 ||
		len(fitted.Shape) < 20 {
		t.Errorf(
			"%.0f operations, want %d; %d instances, %d points of the rate curve", got, original.Operations,
			fitted.Fleet.Instances, len(fitted.Shape),
		)
	}
	if earlyFactor, lateFactor := fitted.Draw(1).RateFactor(5_000_000),
		fitted.Draw(1).RateFactor(28_000_000); lateFactor < 3*earlyFactor {
		t.Errorf("rate factor %v early, %v late", earlyFactor, lateFactor)
	}
	for _, class := range fitted.Classes {
		for _, originalClass := range s.Classes {
			if class.Name != originalClass.Name {
				continue
			}
			workDifference := math.Abs(float64(class.Work.Duration - originalClass.Work.Duration))
			if math.Abs(class.Share-originalClass.Share) > 0.05 ||
				workDifference > 0.3*float64(originalClass.Work.Duration) {
				t.Errorf(
					"%s: share %v and work %v, want %v and %v (%q)", class.Name, class.Share, class.Work,
					originalClass.Share, originalClass.Work, notes,
				)
			}
		}
	}
	if fitted.Clients.Retries[1] < 2 || fitted.Clients.Backoff.From > 40e6 || fitted.Clients.Backoff.To < 30e6 {
		t.Errorf("clients: %+v, backoff %v", fitted.Clients, *fitted.Clients.Backoff)
	}
	if _, _, err := FitScenario(base, &accesslog.Recording{}); err == nil {
		t.Error("a scenario was fitted to an empty record")
	}
}
