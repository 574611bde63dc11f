package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

// The files in testdata were written by the build of commit 870f4ac, before the stored names were written as
// struct tags. A process of that build and one of the current build may replace each other, so these files must
// never be regenerated, except learnedRunFile, whose form TestSnapshotOfRunHasFormOfEarlierBuild verifies.

// readGolden returns the content of a file in testdata.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return text
}

// encodeSnapshot returns the stored form of a snapshot.
func encodeSnapshot(t *testing.T, s *Snapshot) []byte {
	t.Helper()
	text, err := json.Marshal(s) // the same encoding as takeover.State
	require.NoError(t, err)
	return text
}

// decodeSnapshot decodes the stored form of a snapshot, and fails the test if it has an unknown field.
func decodeSnapshot(t *testing.T, text []byte) *Snapshot {
	t.Helper()
	s := &Snapshot{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	require.NoError(t, decoder.Decode(s))
	return s
}

// laterFields are the fields of EndpointInfo that the earlier build does not have. TestGroupsEncodingIsStable checks
// their form.
var laterFields = map[string]bool{"CellKnown": true, "ZoneAssumed": true}

// fillValue sets v and every field within it, except laterFields, to non-zero values. Numbers and strings are derived
// from a running count, and lists and maps have two entries.
func fillValue(t *testing.T, v reflect.Value, next *int) {
	t.Helper()
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if !laterFields[v.Type().Field(i).Name] {
				fillValue(t, v.Field(i), next)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillValue(t, v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fillValue(t, v.Index(i), next)
		}
	case reflect.Array:
		for i := range v.Len() {
			fillValue(t, v.Index(i), next)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 2 {
			key := reflect.New(v.Type().Key()).Elem()
			fillValue(t, key, next)
			value := reflect.New(v.Type().Elem()).Elem()
			fillValue(t, value, next)
			v.SetMapIndex(key, value)
		}
	case reflect.String:
		v.SetString(fmt.Sprint("text-", *next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint8:
		v.SetUint(uint64(*next%2 + 1))
	case reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	default:
		t.Fatalf("fillValue does not support type %s", v.Type())
	}
}

// filledSnapshot returns a snapshot in which every field that the earlier build has is set to a non-zero value.
func filledSnapshot(t *testing.T) *Snapshot {
	t.Helper()
	s := &Snapshot{}
	next := 0
	fillValue(t, reflect.ValueOf(s).Elem(), &next)
	s.ReservedIDs = nil // unknown to the earlier build; TestReservedIDsEncodingIsStable
	return s
}

// A snapshot in which every field has a value is encoded byte for byte as the earlier build encoded it, and
// decoded without loss.
func TestSnapshotEncodingIsStable(t *testing.T) {
	want := readGolden(t, "snapshot-filled.json")
	s := filledSnapshot(t)
	if got := encodeSnapshot(t, s); !bytes.Equal(got, want) {
		t.Errorf("snapshot encoded as\n%s\nwant\n%s", got, want)
	}
	decoded := decodeSnapshot(t, want)
	if !reflect.DeepEqual(decoded, s) {
		t.Errorf("snapshot decoded as\n%+v\nwant\n%+v", decoded, s)
	}
	if got := encodeSnapshot(t, decoded); !bytes.Equal(got, want) {
		t.Errorf("snapshot decoded and encoded again as\n%s\nwant\n%s", got, want)
	}
}

// The reserved IDs are encoded as the first build with them encoded them.
func TestReservedIDsEncodingIsStable(t *testing.T) {
	const want = `{"Pools":null,"Words":null,"ReservedIDs":[{"Client":"desk","ID":"visit-1","Remaining":250000}]}`
	s := &Snapshot{ReservedIDs: []ReservedID{{Client: "desk", ID: "visit-1", Remaining: 250_000}}}
	if got := encodeSnapshot(t, s); string(got) != want {
		t.Errorf("encoded as %s, want %s", got, want)
	}
	if decoded := decodeSnapshot(t, []byte(want)); !reflect.DeepEqual(decoded, s) {
		t.Errorf("decoded as %+v, want %+v", decoded, s)
	}
}

// An empty snapshot is encoded as the earlier build encoded it: the same fields are omitted, and the same
// fields are null.
func TestEmptySnapshotEncodingIsStable(t *testing.T) {
	want := readGolden(t, "snapshot-empty.json")
	if got := encodeSnapshot(t, &Snapshot{Pools: []PoolSnapshot{{}}}); !bytes.Equal(got, want) {
		t.Errorf("snapshot encoded as\n%s\nwant\n%s", got, want)
	}
	if got := encodeSnapshot(t, decodeSnapshot(t, want)); !bytes.Equal(got, want) {
		t.Errorf("snapshot decoded and encoded again as\n%s\nwant\n%s", got, want)
	}
}

// goldenEngine returns an engine that uses everything a snapshot stores: tenants, overload control, a learned
// concurrency limit and coordination with a fleet.
func goldenEngine(t *testing.T) (*Engine, *Pool, *recordingHost) {
	t.Helper()
	h := &recordingHost{responses: map[string]Response{}}
	site := tenantSite(10, 1, 0)
	site.Settings.LoadMetrics = []balancer.LoadMetric{balancer.MetricInflight, balancer.MetricServedRate,
		balancer.MetricUtilization}
	site.Settings.Contract.WarmupTime = 20 * monotime.Second
	engine := New(Config{Site: site, Seed: 3, Host: h, Concurrency: ConcurrencySettings{
		MaxOpen:  1000,
		Adaptive: &concurrency.Settings{Min: 1, Max: 200, Initial: 20},
	}})
	err := engine.JoinFleet(singleInstanceFleet(CoordinationScope{Retries: true, Probes: true, TenantLimits: true,
		OverloadLevel: true, SuspectedEndpoints: true}))
	require.NoError(t, err)
	overloadSettings := overload.DefaultSettings()
	overloadSettings.Instances = 1
	p, err := engine.NewPool(PoolConfig{
		Name:             "front",
		Source:           "test",
		InitialEndpoints: EndpointUpdate{Generation: -1},
		SetWatch:         func(bool) {},
		Overload:         &overloadSettings,
	})
	require.NoError(t, err)
	p.Start(0)
	return engine, p, h
}

// serveGoldenRequests makes the engine serve 3,000 requests in 30 s, some of which fail, then cordons e3 and
// returns the instant at which the run ends.
func serveGoldenRequests(t *testing.T, engine *Engine, p *Pool, h *recordingHost) monotime.Micros {
	t.Helper()
	var list []EndpointInfo
	for i := range 4 {
		list = append(list, EndpointInfo{Name: fmt.Sprint("e", i), Addr: fmt.Sprintf("10.0.0.%d:80", i),
			Zone: "z", Kind: "k", Cell: uint16(i), Weight: 1})
	}
	p.UpdateEndpoints(0, EndpointUpdate{Kind: balancer.ListFull, Generation: 1, Endpoints: list})
	engine.StartCoordination(0)
	now := monotime.Micros(0)
	for i := range 3000 {
		now += monotime.Second / 100
		advanceTo(engine, now)
		if i == 2900 { // add an endpoint that is still warming up when the snapshot is taken
			added := EndpointInfo{Name: "e4", Addr: "10.0.0.4:80", Zone: "z", Kind: "k", Weight: 1, StartedAt: now}
			p.UpdateEndpoints(now, EndpointUpdate{Kind: balancer.ListDelta, Generation: 2,
				Endpoints: []EndpointInfo{added}})
		}
		request := balancer.Request{Class: uint8(i % 2), Tenant: uint16(i % 3 % 2), Deadline: now + 500_000}
		engine.Submit(now, newCall(t, p, now, fmt.Sprint(i), request))
		for len(h.started) > 0 {
			a := h.nextAttempt()
			result := AttemptResult{
				Status:     balancer.OK,
				ObservedAt: now + 3000 + monotime.Micros(i%7)*1000,
				Load:       []float32{float32(i % 5), 20, 0.5},
			}
			if a.Endpoint.Name == "e1" && i%4 != 0 {
				result.Status = balancer.Error
			}
			engine.AttemptEnded(result.ObservedAt, a, result)
		}
	}
	now += monotime.Second / 100
	advanceTo(engine, now)
	if _, known := engine.SetCordon(now, "e3", true, now); !known {
		t.Fatal("SetCordon does not know endpoint e3")
	}
	return now
}

// goldenSnapshot returns the snapshot of an engine after serveGoldenRequests, and its instant.
func goldenSnapshot(t *testing.T) (*Snapshot, monotime.Micros) {
	t.Helper()
	engine, p, h := goldenEngine(t)
	now := serveGoldenRequests(t, engine, p, h)
	s := engine.Snapshot(now)
	s.Fleet = engine.HandOverCoordination(now)
	s.Maintenance = &MaintenancePlan{Excluded: []string{"e0"}, Announced: []string{"e1"},
		LeaseEnd: now + monotime.Second, DrainDeadline: now + 2*monotime.Second}
	return s, now
}

// A snapshot of learned state has the form that the earlier build wrote: the same fields with values of the
// same JSON types.
func TestSnapshotOfRunHasFormOfEarlierBuild(t *testing.T) {
	s, _ := goldenSnapshot(t)
	got := jsonForm(t, encodeSnapshot(t, s))
	want := jsonForm(t, readGolden(t, "snapshot-run.json"))
	if !maps.Equal(got, want) {
		t.Errorf("form of the snapshot\n%v\nwant\n%v", got, want)
	}
}

// jsonForm returns the type of each value in a JSON text by its path. All elements of a list share one path.
func jsonForm(t *testing.T, text []byte) map[string]string {
	t.Helper()
	var value any
	require.NoError(t, json.Unmarshal(text, &value))
	form := map[string]string{}
	addJSONForm(form, "", value)
	return form
}

// addJSONForm adds the types of a value and of all values within it to form.
func addJSONForm(form map[string]string, path string, value any) {
	form[path] = fmt.Sprintf("%T", value)
	switch v := value.(type) {
	case map[string]any:
		for name, field := range v {
			addJSONForm(form, path+"."+name, field)
		}
	case []any:
		for _, element := range v {
			addJSONForm(form, path+"[]", element)
		}
	}
}

// learnedRunFile is the file with the snapshot that the current build takes after serveGoldenRequests. It is
// regenerated only by a change that is meant to change the learned state.
const learnedRunFile = "snapshot-run-learned.json"

// The learned state after the same run is identical, to the last digit, at each run and on each build.
func TestSnapshotOfRunIsStable(t *testing.T) {
	s, _ := goldenSnapshot(t)
	if got, want := encodeSnapshot(t, s), readGolden(t, learnedRunFile); !bytes.Equal(got, want) {
		t.Errorf("snapshot encoded as\n%s\nwant\n%s", got, want)
	}
}

// A snapshot of the earlier build is restored in full, and a snapshot of the restored engine is the same as the
// one that the earlier build wrote after the same restore.
func TestRestoresSnapshotOfEarlierBuild(t *testing.T) {
	s := decodeSnapshot(t, readGolden(t, "snapshot-run.json"))
	_, now := goldenSnapshot(t)
	engine, _, _ := goldenEngine(t)
	if skipped := engine.Restore(now+1000, 1000, s); len(skipped) != 0 {
		t.Errorf("Restore skipped %q, want nothing", skipped)
	}
	restored := engine.Snapshot(now + 1000)
	restored.Fleet = engine.HandOverCoordination(now + 1000)
	restored.Maintenance = s.Maintenance
	if got, want := encodeSnapshot(t, restored), readGolden(t, "snapshot-restored.json"); !bytes.Equal(got, want) {
		t.Errorf("snapshot encoded as\n%s\nwant\n%s", got, want)
	}
}

// The fingerprint of a class, by which two builds compare its settings, equals its %+v in the earlier build.
func TestClassFingerprintIsStable(t *testing.T) {
	for _, c := range []struct {
		class balancer.Class
		want  string
	}{
		{balancer.Class{},
			"{Name: Repeat:0 Group:0 Window:0 Aim:0 GiveUp:0 Worth:0 LateWorth:0 Stream:false}"},
		{balancer.Class{Name: "look", Idempotency: balancer.Idempotent, LatencyObjective: 200_000,
			ClientTimeout: 500_000, PriorityWeight: 1, LateWeight: 0.25},
			"{Name:look Repeat:0 Group:0 Window:0 Aim:200000 GiveUp:500000 Worth:1 LateWorth:0.25 Stream:false}"},
		{balancer.Class{Name: "a class", Idempotency: balancer.IdempotentByKey, DedupScope: balancer.DedupCell,
			DedupWindow:      60_000_000,
			LatencyObjective: 1, ClientTimeout: -1, PriorityWeight: 1e21, LateWeight: 1e-7, Streaming: true},
			"{Name:a class Repeat:1 Group:2 Window:60000000 Aim:1 GiveUp:-1 Worth:1e+21 LateWorth:1e-07 Stream:true}"},
		{balancer.Class{Name: "x", Idempotency: balancer.NonIdempotent, DedupScope: balancer.DedupZone,
			PriorityWeight: 123456789.125, LateWeight: 1.0 / 3},
			"{Name:x Repeat:2 Group:1 Window:0 Aim:0 GiveUp:0 Worth:1.23456789125e+08 " +
				"LateWorth:0.3333333333333333 Stream:false}"},
		{balancer.Class{Name: "{\n%v", PriorityWeight: 1e20, LateWeight: 0.0001},
			"{Name:{\n%v Repeat:0 Group:0 Window:0 Aim:0 GiveUp:0 Worth:1e+20 LateWorth:0.0001 Stream:false}"},
	} {
		if got := classFingerprint(&c.class); got != c.want {
			t.Errorf("fingerprint %q, want %q", got, c.want)
		}
	}
}

// The fingerprint of a tenant equals its %+v in the earlier build.
func TestTenantFingerprintIsStable(t *testing.T) {
	for _, c := range []struct {
		tenant balancer.Tenant
		want   string
	}{
		{balancer.Tenant{}, "{Name: Allowance:0 Share:0}"},
		{balancer.Tenant{Name: "t", Quota: 10, Share: 0.5}, "{Name:t Allowance:10 Share:0.5}"},
		{balancer.Tenant{Name: "two words", Quota: 1e21, Share: 1.0 / 3},
			"{Name:two words Allowance:1e+21 Share:0.3333333333333333}"},
	} {
		if got := tenantFingerprint(&c.tenant); got != c.want {
			t.Errorf("fingerprint %q, want %q", got, c.want)
		}
	}
}

// The fingerprints include every field of a class and of a tenant, so a new field must be added to the formats.
func TestFingerprintsHaveAllFields(t *testing.T) {
	for format, settings := range map[string]any{
		classFingerprintFormat:  balancer.Class{},
		tenantFingerprintFormat: balancer.Tenant{},
	} {
		if verbs, fields := strings.Count(format, "%v"), reflect.TypeOf(settings).NumField(); verbs != fields {
			t.Errorf("%T: the fingerprint has %d of %d fields", settings, verbs, fields)
		}
	}
}
