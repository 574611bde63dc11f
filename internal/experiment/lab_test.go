package experiment

import (
	"context"
	"errors"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"dunlinsail/internal/experiment/claim"
	"dunlinsail/internal/experiment/library"
	"dunlinsail/internal/experiment/stats"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/scenario"
)

// TestMain lets the test binary act as other programs: as another build of dunlinsail-experiment if LAB_TEST_AS is
// set, and as a daemon if it is started with --config FILE.
func TestMain(m *testing.M) {
	replyAndExit := func(reply string) {
		if _, err := os.Stdout.WriteString(reply); err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	switch os.Getenv("LAB_TEST_AS") {
	case "build":
		text, err := os.ReadFile("/dev/stdin")
		if err == nil {
			text, err = HandleJob(context.Background(), text)
		}
		if err != nil {
			os.Exit(1)
		}
		replyAndExit(string(text))
	case "other world":
		replyAndExit(`{"world":0,"result":{"Figures":{"service":1}}}`)
	case "nonsense":
		replyAndExit(`service: fine`)
	}
	if len(os.Args) == 3 && os.Args[1] == "--config" {
		runDaemon(os.Args[2])
	}
	goleak.VerifyTestMain(m)
}

// must returns a function that fails the test if err is not nil, and otherwise returns v.
func must[T any](t *testing.T) func(v T, err error) T {
	t.Helper()
	return func(v T, err error) T {
		t.Helper()
		require.NoError(t, err)
		return v
	}
}

// shortScenario returns the scenario calm with edits, 5 s long, with 2 instances and 5 endpoints.
func shortScenario(t *testing.T, edits ...string) *scenario.Scenario {
	t.Helper()
	return must[*scenario.Scenario](t)(Resize(
		must[*scenario.Scenario](t)(library.Load("calm")), append(edits, "length=5s"), 2, 5,
	))
}

// parseVariant parses a variant that must be valid.
func parseVariant(t *testing.T, spec string) *Variant {
	t.Helper()
	return must[*Variant](t)(ParseVariant(spec))
}

// Edits change the value at their key, also in arrays of tables, whose entries are selected by name or kind. Unknown
// entries and invalid edits or variants are errors.
func TestEdits(t *testing.T) {
	text := must[[]byte](t)(applyEdits(
		[]byte("a = 1\n[b]\nc = \"x\"\n[[d]]\nname = \"one\"\nv = 1\n[[d]]\nkind = \"two\"\nv = 1\n"),
		[]string{"a=2", "b.c=10ms", "d.one.v=5", "d.two.v=[1, 2]", "e.f=true"}))
	for _, want := range []string{"a = 2", "c = '10ms'", "v = 5", "v = [1, 2]", "f = true"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	for _, invalid := range []string{"a", "=1", "d.three.v=1", "a.b=1", "d.one=1"} {
		if _, err := applyEdits([]byte("a = 1\n[[d]]\nname = \"one\"\n"), []string{invalid}); err == nil {
			t.Errorf("%q was accepted", invalid)
		}
	}
	v := parseVariant(t, "shipped,attempts.most=2,class.book.aim=350ms,world.clients.retries=[0, 0],lots=3,harm=0.1")
	if v.DecisionSeed != 3 || v.Harm != 0.1 || !slices.Equal(
		v.ScenarioEdits, []string{"clients.retries=[0, 0]"},
	) || !strings.Contains(string(v.Settings), "most = 2") {
		t.Errorf("%+v", v)
	}
	for _, invalid := range []string{
		"nowhere.toml", "shipped,attempts.most=0", "shipped,attemps.most=2", "shipped,harm=2", "@/nowhere:shipped",
		"@x",
	} {
		if _, err := ParseVariant(invalid); err == nil {
			t.Errorf("%q was accepted", invalid)
		}
	}
}

// All scenarios in the library can be loaded, and each claim of theirs uses known figures.
func TestLibrary(t *testing.T) {
	for _, name := range library.Names() {
		s, err := library.Load(name)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if s.Name != name || s.About == "" || len(s.Expect) == 0 {
			t.Errorf("%s: name %q, about %q, expects %q", name, s.Name, s.About, s.Expect)
		}
		for _, text := range s.Expect {
			if _, err := claim.Parse(
				text, func(name string) bool { _, ok := measure.Describe(name); return ok },
			); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
	if _, err := library.Load("nothing"); err == nil {
		t.Error("a scenario that does not exist was loaded")
	}
}

// Results depend neither on the number of parallel runs nor on whether they come from the store. Stored runs are not
// repeated, but stored results of one build are not used for another build.
func TestResultsIndependentOfParallelismAndStore(t *testing.T) {
	ctx := context.Background()
	plan := Plan{
		Scenario:  shortScenario(t),
		A:         parseVariant(t, "shipped"),
		B:         parseVariant(t, "shipped,lots=1"),
		FirstSeed: 1,
		MinSeeds:  6,
	}
	digests := func(r *Runner) (digests []string) {
		c := must[*Comparison](t)(r.Compare(ctx, plan))
		for i := range c.RunsA {
			digests = append(digests, c.RunsA[i].Digest, c.RunsB[i].Digest)
		}
		return digests
	}
	path := filepath.Join(t.TempDir(), "lab.db")
	store := must[*Store](t)(OpenStore(path))
	var progress [3]int
	sequential := digests(&Runner{
		Parallel: 1,
		Store:    store,
		Progress: func(done, stored, all int) { progress = [3]int{done, stored, all} },
	})
	if progress != [3]int{12, 0, 12} {
		t.Errorf("runs done, stored and requested: %v, want 12, 0 and 12", progress)
	}
	if slices.Compact(slices.Clone(sequential))[0] != sequential[0] ||
		sequential[0] == sequential[1] || sequential[0] == sequential[2] {
		t.Errorf("digests: %v", sequential)
	}
	for _, n := range []int{2, 4} {
		if got := digests(&Runner{Parallel: n}); !slices.Equal(got, sequential) {
			t.Errorf("%d parallel runs: digests %v, want %v", n, got, sequential)
		}
	}
	store.Close()
	store = must[*Store](t)(OpenStore(path))
	defer store.Close()
	storedRunner := &Runner{
		Store:    store,
		Progress: func(done, stored, all int) { progress = [3]int{done, stored, all} },
	}
	if got := digests(storedRunner); !slices.Equal(got, sequential) || progress != [3]int{0, 12, 12} {
		t.Errorf("from the store: digests %v; runs done, stored and requested: %v", got, progress)
	}
	otherBuild := &Runner{Store: store, buildIDs: map[string]string{"": "another"}, Progress: storedRunner.Progress}
	if digests(otherBuild); progress != [3]int{12, 0, 12} {
		t.Errorf("with another build: runs done, stored and requested: %v", progress)
	}
	if n := must[int](t)(store.Len()); n != 24 {
		t.Errorf("%d runs are stored, not 24", n)
	}
}

// A canceled comparison leaves its completed runs in the store, and the next comparison with the same plan reuses
// them.
func TestCutOff(t *testing.T) {
	store := must[*Store](t)(OpenStore(filepath.Join(t.TempDir(), "lab.db")))
	defer store.Close()
	plan := Plan{Scenario: shortScenario(t), A: parseVariant(t, "shipped"), FirstSeed: 1, MinSeeds: 8}
	ctx, cancel := context.WithCancelCause(context.Background())
	cause := errors.New("enough")
	r := &Runner{Parallel: 1, Store: store, Progress: func(done, _, _ int) {
		if done == 3 {
			cancel(cause)
		}
	}}
	if _, err := r.Compare(ctx, plan); !errors.Is(err, cause) {
		t.Errorf("canceled comparison: %v", err)
	}
	stored := 0
	r = &Runner{Store: store, Progress: func(_, n, _ int) { stored = max(stored, n) }}
	c := must[*Comparison](t)(r.Compare(context.Background(), plan))
	if stored != 3 || len(c.RunsA) != 8 {
		t.Errorf("%d of %d runs were taken from the store", stored, len(c.RunsA))
	}
}

// A job that another build's program runs has the same result as in this process. Replies that are invalid or come
// from another version of the simulation model are errors, and so is a missing program.
func TestOtherBuild(t *testing.T) {
	self := must[string](t)(os.Executable())
	v := parseVariant(t, "@"+self+":shipped")
	job := must[Job](t)(v.Job(shortScenario(t), v, 3))
	t.Setenv("LAB_TEST_AS", "build")
	otherBuildResult, processState, err := job.runWithProgram(context.Background(), self)
	if err != nil || processState.UserTime() <= 0 {
		t.Fatal(err, processState)
	}
	ownResult := must[*measure.Result](t)(job.Play(context.Background()))
	if otherBuildResult.Digest != ownResult.Digest ||
		otherBuildResult.Figures["service"] != ownResult.Figures["service"] {
		t.Errorf("the same build returned digest %s, want %s", otherBuildResult.Digest, ownResult.Digest)
	}
	invalid := job
	invalid.Settings = "[nothing]\n"
	if _, _, err := invalid.runWithProgram(
		context.Background(), self,
	); err == nil || !strings.Contains(err.Error(), "nothing") {
		t.Errorf("invalid settings: %v", err)
	}
	for role, want := range map[string]string{
		"other world": "cannot be compared", "nonsense": "reply cannot be decoded",
	} {
		t.Setenv("LAB_TEST_AS", role)
		if _, _, err := job.runWithProgram(
			context.Background(), self,
		); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", role, err)
		}
	}
	var exit *exec.Error
	if _, _, err := job.runWithProgram(
		context.Background(), filepath.Join(t.TempDir(), "gone"),
	); err == nil || errors.As(err, &exit) && exit == nil {
		t.Errorf("a program that does not exist: %v", err)
	}
}

// A comparison detects a known harm and finds no difference between two decision seeds of the same variant. The same
// variant with the same decision seed gives identical runs. Variants may change the scenario's client retries.
func TestCompare(t *testing.T) {
	ctx := context.Background()
	compareIn := func(a, b string, edits ...string) *Comparison {
		return must[*Comparison](t)((&Runner{}).Compare(ctx, Plan{
			Scenario:  shortScenario(t, edits...),
			A:         parseVariant(t, a),
			B:         parseVariant(t, b),
			FirstSeed: 1,
			MinSeeds:  8,
		}))
	}
	compare := func(b string) *Comparison { return compareIn("shipped", b) }
	const worseLine = "B is worse: service -0.0"
	if c := compare("shipped,harm=0.05"); c.Rows[0].Verdict != Worse || !strings.Contains(c.Line(), worseLine) {
		t.Errorf("with a known harm: %s", c.Line())
	}
	if c := compare("shipped,lots=7"); c.Rows[0].Verdict != Inconclusive || c.Identical {
		t.Errorf("another decision seed: %s", c.Line())
	}
	if c := compare("shipped"); !c.Identical || !strings.Contains(
		c.Line(), "cannot tell: every one of 8 runs came to the very same",
	) {
		t.Errorf("identical variants: %s", c.Line())
	}
	c := compareIn(Shipped, "shipped,world.clients.retries=[0, 0]", "clients.retries=[2, 2]", "clients.load=1.5")
	for _, row := range c.Rows {
		if row.Name == "tries" && row.Verdict != Better {
			t.Errorf("a variant without client retries: %+v", row)
		}
	}
}

// The learned concurrency limit costs almost no service, neither at 70 % load nor under overload, and it protects
// modest clients from a client that sends far too many requests.
func TestLearnedBoundInFlight(t *testing.T) {
	mean := func(s *scenario.Scenario, spec, figure string) float64 {
		c := must[*Comparison](t)((&Runner{}).Compare(context.Background(), Plan{
			Scenario:  s,
			A:         parseVariant(t, spec),
			FirstSeed: 1,
			MinSeeds:  2,
		}))
		return stats.StudentT(FigureValues(c.RunsA, figure), Confidence).Mean
	}
	loadScenario := func(name string, edits ...string) *scenario.Scenario {
		return must[*scenario.Scenario](t)(Resize(must[*scenario.Scenario](t)(library.Load(name)), edits, 0, 0))
	}
	const unlimitedVariant = "shipped,requests.in_flight=1000"
	// The limit costs about a fifth of the service of the first second of a run.
	busyScenario := loadScenario("calm", "clients.load=0.7", "fleet.instances=1", "length=25s")
	if unlimited, limited := mean(busyScenario, unlimitedVariant, "whole"),
		mean(busyScenario, Shipped, "whole"); limited < unlimited-0.02 {
		t.Errorf("endpoints at 70 %% load: %.3f of the worth served, %.3f without the limit", limited, unlimited)
	}
	overloadScenario := loadScenario("payday", "length=22s")
	if unlimited, limited := mean(overloadScenario, unlimitedVariant, "whole"),
		mean(overloadScenario, Shipped, "whole"); limited < unlimited-0.03 {
		t.Errorf("overload: %.3f of the worth served, %.3f without the limit", limited, unlimited)
	}
	loudClientScenario := loadScenario("loud-client", "length=16s")
	if unlimited, limited := mean(loudClientScenario, unlimitedVariant, "modest"),
		mean(loudClientScenario, Shipped, "modest"); limited < 0.95 || unlimited > 0.93 {
		t.Errorf(
			"with one excessive client: %.3f of the modest clients' worth served, %.3f without the limit", limited,
			unlimited,
		)
	}
}

// A comparison adds seeds until the interval is at most TargetWidth wide, but never more than MaxSeeds.
func TestStopsAtWidth(t *testing.T) {
	plan := Plan{
		Scenario:    shortScenario(t, "clients.load=0.9"),
		A:           parseVariant(t, "shipped"),
		B:           parseVariant(t, "shipped,lots=7"),
		FirstSeed:   1,
		MinSeeds:    3,
		MaxSeeds:    40,
		TargetWidth: 0.05,
	}
	c := must[*Comparison](t)((&Runner{}).Compare(context.Background(), plan))
	if n := len(c.Seeds); n < 3 || n < 40 && 2*c.Rows[0].Difference.HalfWidth() > plan.TargetWidth {
		t.Errorf("%d seeds, half width %v", n, c.Rows[0].Difference.HalfWidth())
	}
	plan.TargetWidth = 1e-9
	plan.MaxSeeds = 5
	if c = must[*Comparison](t)((&Runner{}).Compare(context.Background(), plan)); len(c.Seeds) != 5 {
		t.Errorf("%d seeds, not 5", len(c.Seeds))
	}
}

// A violation that no run showed is reported with the upper bound of its rate, and one violation in ten runs does
// not make a variant worse; nine violations do.
func TestRareEvents(t *testing.T) {
	c := &Comparison{}
	for i := range 10 {
		run := func(breaks float64) *measure.Result {
			return &measure.Result{Operations: 1000, Figures: map[string]float64{"breaks": breaks}}
		}
		c.RunsA = append(c.RunsA, run(0))
		c.RunsB = append(c.RunsB, run(0))
		c.Seeds = append(c.Seeds, uint64(i))
	}
	f, _ := measure.Describe("breaks")
	row := c.compareFigure(f)
	if row.Verdict != Inconclusive || !strings.Contains(row.Note, "0 of 10000 stories: at most one in 2711") {
		t.Errorf("no violation: %v, %s", row.Verdict, row.Note)
	}
	c.RunsB[3].Figures["breaks"] = 1
	if row = c.compareFigure(f); row.Verdict != Inconclusive {
		t.Errorf("one violation: %v", row.Verdict)
	}
	c.RunsB[4].Figures["breaks"] = 8
	if row = c.compareFigure(f); row.Verdict != Worse {
		t.Errorf("nine violations: %v", row.Verdict)
	}
}

// Opening a store that is already open, or a file that is not a store, returns an error and does not block.
func TestOpenStoreErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lab.db")
	store := must[*Store](t)(OpenStore(path))
	defer store.Close()
	if _, err := OpenStore(path); err == nil || !strings.Contains(err.Error(), "another program has it open") {
		t.Errorf("store opened twice: %v", err)
	}
	invalidPath := filepath.Join(t.TempDir(), "bad.db")
	require.NoError(t, os.WriteFile(invalidPath, []byte(strings.Repeat("no store ", 2000)), 0o600))
	if _, err := OpenStore(invalidPath); err == nil {
		t.Error("a file that is not a store was opened")
	}
}

// A sweep compares each combination of values with the first one. Axes that are invalid or missing are errors.
func TestSweep(t *testing.T) {
	axes := []Axis{
		must[Axis](t)(ParseAxis("world.clients.load=0.2|0.9")), must[Axis](t)(ParseAxis("attempts.most=1|3")),
	}
	sweep := must[*Sweep](t)((&Runner{}).Sweep(context.Background(), Plan{
		Scenario:  shortScenario(t),
		A:         parseVariant(t, Shipped),
		FirstSeed: 1,
		MinSeeds:  3,
	}, axes))
	if len(sweep.Points) != 4 || !slices.Equal(
		sweep.Points[1].Values, []string{"0.2", "3"},
	) || !slices.Equal(sweep.Points[2].Values, []string{"0.9", "1"}) {
		t.Fatalf("%d points", len(sweep.Points))
	}
	if v, d := sweep.Points[0].Figure("service"); d != nil || v.N != 3 {
		t.Errorf("the first point: %+v, %+v", v, d)
	}
	if _, d := sweep.Points[2].Figure("p99"); d == nil || d.Verdict != Worse {
		t.Errorf("four times the load: %+v", d)
	}
	for _, invalid := range []string{"a", "a=1", "=1|2"} {
		if _, err := ParseAxis(invalid); err == nil {
			t.Errorf("%q was accepted", invalid)
		}
	}
	if _, err := (&Runner{}).Sweep(context.Background(), Plan{
		Scenario: shortScenario(t),
		A:        parseVariant(t, Shipped),
		MinSeeds: 1,
	}, nil); err == nil {
		t.Error("a sweep without an axis was made")
	}
}

// A search finds a plan in which a variant limited to one attempt serves less than the shipped settings, and
// shrinks it to at most three events that still show most of the loss. Searches with the same seed have the same
// finding.
func TestSearchShrinksItsFinding(t *testing.T) {
	search := func() *Finding {
		return must[*Finding](t)((&Runner{}).Search(context.Background(), SearchOptions{
			Scenario: shortScenario(t, "clients.retries=[0, 0]", "length=8s"),
			Variant:  parseVariant(t, "shipped,attempts.most=1"),
			Baseline: parseVariant(t, Shipped), Budget: 40, Seed: 2}))
	}
	finding := search()
	if finding.Loss < 0.02 {
		t.Fatalf("the finding has a loss of only %v", finding.Loss)
	}
	text := must[[]byte](t)(finding.Scenario.Text())
	s := must[*scenario.Scenario](t)(scenario.Parse(text, nil))
	if len(s.Events) == 0 || len(s.Events) > 3 {
		t.Errorf("the shrunk scenario has %d events:\n%s", len(s.Events), text)
	}
	c := must[*Comparison](t)((&Runner{}).Compare(context.Background(), Plan{
		Scenario:  s,
		A:         parseVariant(t, "shipped,attempts.most=1"),
		B:         parseVariant(t, Shipped),
		FirstSeed: finding.Seed,
		MinSeeds:  1,
	}))
	if got := c.RunsB[0].Figures["service"] - c.RunsA[0].Figures["service"]; got < finding.Loss*0.9 {
		t.Errorf("the scenario read back from its text loses %v, want %v", got, finding.Loss)
	}
	if repeated := search(); repeated.Loss != finding.Loss || repeated.Seed != finding.Seed {
		t.Errorf(
			"equal searches found a loss of %v with seed %d, and of %v with seed %d", finding.Loss, finding.Seed,
			repeated.Loss, repeated.Seed,
		)
	}
}

// Most comparisons whose correct verdict is known return that verdict. The command `dunlinsail-experiment prove` makes
// more of them.
func TestProve(t *testing.T) {
	proof := must[*Proof](t)((&Runner{}).Prove(
		context.Background(), shortScenario(t), parseVariant(t, Shipped), 6, 4, 0.05,
	))
	if proof.Inconclusive.Mean < 0.7 || proof.HarmDetected.Mean < 0.8 {
		t.Errorf("%+v", proof)
	}
}

// A figure of real runs agrees if their mean lies in the simulated interval. The interval's width comes from the
// variance between simulated runs of one seed and from the tolerance. Differences between seeds do not widen it.
func TestAgreement(t *testing.T) {
	a := &Agreement{Seeds: 2, DecisionSeeds: 4}
	for _, v := range []float64{0.90, 0.92, 0.90, 0.92, 0.50, 0.52, 0.50, 0.52} {
		a.Model = append(a.Model, &measure.Result{Figures: map[string]float64{"service": v}})
	}
	for processesMean, want := range map[float64]bool{0.71: true, 0.725: true, 0.77: false, 0.66: false} {
		a.Processes = nil
		for _, seedOffset := range []float64{0.2, -0.2} {
			a.Processes = append(
				a.Processes, &measure.Result{Figures: map[string]float64{"service": processesMean + seedOffset}},
			)
		}
		row := a.compareFigure("service")
		if row.Agrees != want || math.Abs(row.Model.Mean-0.71) > 1e-9 || row.Model.HalfWidth() > 0.05 {
			t.Errorf("mean of real runs %v: %+v", processesMean, row)
		}
	}
}
