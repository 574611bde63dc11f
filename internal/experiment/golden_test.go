package experiment

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"dunlinsail/internal/experiment/stats"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/scenario"
)

// The files in testdata/golden were written by a build from before identifiers of this package and of package
// measure were renamed. They are never regenerated: stores outlive builds, and builds run one another's jobs, so
// that these forms must not change.

// goldenBuild is used as the build ID, and goldenKey is the key of goldenJob's result in store.db.
const (
	goldenBuild = "golden build"
	goldenKey   = "f0862332177a36ccd7d90a7dbb8de02e"
)

// goldenJob returns the job in job.json, whose result is in store.db.
func goldenJob() *Job {
	return &Job{
		Scenario:         "name = \"golden\"\n",
		Settings:         "[listen]\n",
		CriteriaSettings: "[judge]\n",
		Seed:             11,
		DecisionSeed:     12,
		Harm:             0.125,
	}
}

// goldenResult returns the result in store.db. Each field has a different value, so that exchanged fields are
// detected.
func goldenResult() *measure.Result {
	return &measure.Result{
		Scenario: "golden",
		Seed:     11,
		Digest:   "0123456789abcdef",
		Figures:  map[string]float64{"service": 0.875, "p99.look": 12.5, "breaks": 0},
		Costs: measure.Costs{
			ClientRequests:         101,
			Attempts:               102,
			CrossZone:              103,
			Dials:                  104,
			Probes:                 105,
			OfferedWork:            106.5,
			ExecutedWork:           107.5,
			UsefulWork:             108.5,
			Decisions:              109,
			Collapses:              110,
			AttemptsAfterDrain:     111,
			DuplicateEffects:       112,
			LateResponses:          113,
			ClientDuplicateEffects: 114,
			KilledInFlight:         115,
			FleetMessages:          116,
		},
		Operations: 201,
		Served:     202,
		Series: measure.Series{
			Bin:      301,
			Service:  []float64{302.5, 0},
			Offered:  []float64{303.5},
			OnTime:   []float64{304.5},
			Late:     []float64{305.5},
			Unserved: []float64{306.5}, Rejected: []float64{307.5}, Failed: []float64{308.5}, P50: []float64{309.5},
			P99: []float64{310.5}, Class: [][]float64{{311.5}, {312.5}}, Zone: [][]float64{{313.5}},
		},
		Endpoints: []measure.EndpointLoad{
			{
				Name:        "node-1",
				Zone:        401,
				Executions:  402,
				Utilization: 403.5,
				MaxInFlight: 404,
				Arrivals:    []int64{405, 406},
			},
			{Name: "node-2"},
		},
		Classes: []measure.ClassLatency{{Name: "look", Count: 501, Quantiles: [][2]float64{{50, 502.5}, {99, 503.5}}}},
		Seconds: []measure.Second{
			{
				FirstAttempts:     601,
				ExtraAttempts:     602,
				Probes:            603,
				Dials:             604,
				MaxEndpointProbes: 605,
				MaxEndpointDials:  606,
			},
			{},
		},
	}
}

// goldenSummary returns the comparison summary in summary.json.
func goldenSummary() Summary {
	return Summary{
		Scenario: "golden", A: "shipped", B: "shipped,pick=2", Line: "golden: better", Seeds: []uint64{1, 2},
		Rows: []FigureRow{{
			Figure: measure.Figure{
				Name:             "service",
				Description:      "what it is",
				Unit:             "ms",
				Direction:        1,
				Threshold:        0.25,
				CountsViolations: true,
			},
			A:          stats.Interval{Mean: 1.5, Low: 2.5, High: 3.5, N: 4},
			B:          stats.Interval{Mean: 5.5, Low: 6.5, High: 7.5, N: 8},
			Difference: stats.Interval{Mean: 9.5, Low: 10.5, High: 11.5, N: 12},
			Verdict:    Better, Relevant: true, Note: "a note",
		}},
	}
}

// goldenForms returns what this build writes for each JSON file in testdata/golden, by file name.
func goldenForms(t *testing.T) map[string][]byte {
	t.Helper()
	marshal := func(v any) []byte {
		t.Helper()
		text, err := json.Marshal(v)
		require.NoError(t, err)
		return text
	}
	agreement := []AgreementRow{{
		Figure:    goldenSummary().Rows[0].Figure,
		Model:     goldenSummary().Rows[0].A,
		Processes: 13.5,
		Agrees:    true,
	}}
	sizeRun := SizeRun{
		Size:          Size{Instances: 1, Endpoints: 2},
		Subset:        3,
		Length:        4 * time.Second,
		Rate:          5.5,
		Operations:    6,
		Decisions:     7,
		ProcessorTime: 8 * time.Second, Memory: 9, Result: goldenResult(),
	}
	plannedEvents := []scenario.PlannedEvent{{
		What:      "slow",
		At:        1,
		Until:     2,
		Endpoints: []int{3},
		Sizes:     []float64{4.5},
		Class:     5,
		Tenant:    6,
		OneClient: true,
		Zone:      7,
		OtherZone: 8,
		Every:     9, Delay: 10, Instances: []int{11}, OtherInstances: []int{12}, Direction: "from",
	}}
	faultRun := &FaultRun{Result: goldenResult(), EvidenceDir: t.TempDir()}
	plan := &scenario.Plan{PlannedEvents: plannedEvents}
	require.NoError(t, faultRun.writeEvidence(&scenario.Scenario{}, &Variant{}, plan, &logBuffer{}))
	evidence, err := os.ReadFile(filepath.Join(faultRun.EvidenceDir, "result.json"))
	require.NoError(t, err)
	return map[string][]byte{
		"job.json":        marshal(goldenJob()),
		"job-short.json":  marshal(&Job{Scenario: "s", Settings: "t", CriteriaSettings: "j", Seed: 1}),
		"reply.json":      marshal(Reply{ModelVersion: 3, Result: goldenResult()}),
		"reply-err.json":  marshal(Reply{ModelVersion: 3, Error: "no such scenario"}),
		"result.json":     marshal(goldenResult()),
		"summary.json":    marshal(goldenSummary()),
		"agreement.json":  marshal(agreement),
		"size-run.json":   marshal(sizeRun),
		"evidence.json":   evidence,
		"unfinished.json": marshal(&measure.Result{}),
	}
}

// goldenFile returns the content of a file in testdata/golden.
func goldenFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return text
}

// The JSON that is sent to other builds, stored or printed is identical to that of an earlier build, byte for byte.
func TestGoldenFormsAreWritten(t *testing.T) {
	for name, got := range goldenForms(t) {
		if want := goldenFile(t, name); !bytes.Equal(got, want) {
			t.Errorf("%s: wrote\n%s\nwant\n%s", name, got, want)
		}
	}
}

// JSON that an earlier build sent or stored is decoded to the values that it encoded, without unknown fields.
func TestGoldenFormsAreRead(t *testing.T) {
	for name, c := range map[string]struct{ target, want any }{
		"job.json":        {&Job{}, goldenJob()},
		"job-short.json":  {&Job{}, &Job{Scenario: "s", Settings: "t", CriteriaSettings: "j", Seed: 1}},
		"reply.json":      {&Reply{}, &Reply{ModelVersion: 3, Result: goldenResult()}},
		"reply-err.json":  {&Reply{}, &Reply{ModelVersion: 3, Error: "no such scenario"}},
		"result.json":     {&measure.Result{}, goldenResult()},
		"unfinished.json": {&measure.Result{}, &measure.Result{}},
	} {
		decoder := json.NewDecoder(bytes.NewReader(goldenFile(t, name)))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(c.target); err != nil {
			t.Errorf("%s: %v", name, err)
		} else if !reflect.DeepEqual(c.target, c.want) {
			t.Errorf("%s: read %+v, want %+v", name, c.target, c.want)
		}
	}
}

// In a store written by an earlier build, this build computes the same key for a job and reads the stored result.
func TestGoldenStoreIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	require.NoError(t, os.WriteFile(path, goldenFile(t, "store.db"), 0o600))
	store := must[*Store](t)(OpenStore(path))
	defer store.Close()
	key := must[[]byte](t)(goldenJob().storeKey(goldenBuild))
	if got := hex.EncodeToString(key); got != goldenKey {
		t.Errorf("the key is %s, want %s", got, goldenKey)
	}
	got := must[*measure.Result](t)(store.Get(key))
	if !reflect.DeepEqual(got, goldenResult()) {
		t.Errorf("read %+v, want %+v", got, goldenResult())
	}
	if n := must[int](t)(store.Len()); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}
