package accesslog

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var quiet = slog.New(slog.DiscardHandler)

func writer(t *testing.T, o Options) *Writer {
	t.Helper()
	if o.Sample == 0 {
		o.Sample = 1
	}
	if o.Rows == 0 {
		o.Rows = 1000
	}
	if o.Age == 0 {
		o.Age = time.Hour
	}
	o.Log = quiet
	w, err := NewWriter(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

func read(t *testing.T, paths ...string) *Recording {
	t.Helper()
	r, err := Read(paths...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func segments(t *testing.T, dir string) []string {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(dir, "*.parquet"))
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// What is written is read back, from several instances, in the order in which it arrived, with nothing missing.
func TestWrittenAndRead(t *testing.T) {
	dir := t.TempDir()
	now := time.UnixMilli(1_700_000_000_000)
	want := map[string]Row{}
	for i, name := range []string{"desk", "desk-2"} {
		w := writer(t, Options{Dir: dir, Instance: name, Rows: 40, Now: func() time.Time { return now }})
		var all sync.WaitGroup
		for k := range 100 {
			r := Row{Arrived: now.UnixMicro() + int64(1000*(k%50)+i), Duration: int64(10 * k), Client: "c", Class: "book", Verdict: Served, Status: 200, Attempts: 1, KeyHash: uint64(1 + k + 1000*i), BytesIn: -1, BytesOut: 5}
			want[fmt.Sprint(name, r.KeyHash)] = r
			all.Go(func() { w.Add(r) })
		}
		all.Wait()
		w.Close()
		w.Add(Row{}) // too late to matter
	}
	rec := read(t, dir)
	if len(rec.Requests) != 200 || len(rec.Runs) != 2 || len(rec.Problems) != 0 {
		t.Fatalf("%d requests, %d runs, problems %q", len(rec.Requests), len(rec.Runs), rec.Problems)
	}
	var last int64
	for _, q := range rec.Requests {
		r := want[fmt.Sprint(q.Instance, q.KeyHash)]
		r.Seq = q.Seq
		if q.Row != r || q.Arrived < last {
			t.Fatalf("%+v, want %+v, behind %d", q, r, last)
		}
		last = q.Arrived
	}
	for _, r := range rec.Runs {
		if r.Segments != 3 || r.Missing != 0 || r.Rows != 100 {
			t.Errorf("%+v", r)
		}
	}
	if all := rec.Check(); len(all) != 0 {
		t.Errorf("what it lacks: %q", all)
	}
}

// A segment that is cut off, spoilt or of another version is told, and the rest is read; what is missing shows.
func TestTruncatedSegments(t *testing.T) {
	dir := t.TempDir()
	w := writer(t, Options{Dir: dir, Instance: "a", Rows: 100})
	for k := range 400 {
		w.Add(Row{Arrived: int64(1_700_000_000_000_000 + k), Class: "look", KeyHash: uint64(k + 1)})
		if (k+1)%100 == 0 { // one at a time: the disk is waited for by nobody
			for end := time.Now().Add(5 * time.Second); len(segments(t, dir)) < (k+1)/100 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		}
	}
	w.Close()
	all := segments(t, dir)
	if len(all) != 4 {
		t.Fatalf("%d segments", len(all))
	}
	text, err := os.ReadFile(all[1])
	if err != nil {
		t.Fatal(err)
	}
	for name, bad := range map[string][]byte{all[1]: text[:len(text)/2], filepath.Join(dir, "a-empty-1.parquet"): nil,
		filepath.Join(dir, "a-none-1.parquet"): []byte(strings.Repeat("PAR1", 100))} {
		if err := os.WriteFile(name, bad, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Remove(all[2]); err != nil {
		t.Fatal(err)
	}
	rec := read(t, dir, all[3])
	if len(rec.Requests) != 200 || len(rec.Problems) != 3+100 {
		t.Errorf("%d requests, %d problems: %.300q", len(rec.Requests), len(rec.Problems), rec.Problems)
	}
	if r := rec.Runs[0]; r.Missing != 200 {
		t.Errorf("%d are missing, not 200", r.Missing)
	}
	if got := strings.Join(read(t, dir).Check(), "\n"); !strings.Contains(got, "200 of 400 requests are missing") || !strings.Contains(got, "is no whole segment") {
		t.Errorf("what it lacks: %s", got)
	}
	if _, err := Read(filepath.Join(dir, "nowhere")); err == nil {
		t.Error("a folder that is not there was read")
	}
}

// No bytes bring the reader down, whichever of a segment's are changed.
func TestCorruptedSegments(t *testing.T) {
	dir := t.TempDir()
	w := writer(t, Options{Dir: dir, Instance: "a"})
	for k := range 50 {
		w.Add(Row{Arrived: int64(k), Class: "look", Tenant: "t"})
	}
	w.Close()
	text, err := os.ReadFile(segments(t, dir)[0])
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	path := filepath.Join(t.TempDir(), "a-x-1.parquet")
	for range 400 {
		bad := slices.Clone(text)
		for range 1 + rng.IntN(4) {
			bad[rng.IntN(len(bad))] ^= byte(1 << rng.IntN(8))
		}
		if rng.IntN(3) == 0 {
			bad = bad[:rng.IntN(len(bad))]
		}
		if err := os.WriteFile(path, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if rec := read(t, path); len(rec.Requests) > 50 {
			t.Fatalf("%d requests of 50", len(rec.Requests))
		}
	}
}

// A disk that takes nothing costs rows, which are counted and told, and holds nobody up; when it takes something
// again the record goes on. The oldest segments go where they are too many, and none of another instance.
func TestDiskThatTakesNothing(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "record")
	w := writer(t, Options{Dir: dir, Instance: "a", Rows: 10, Keep: 8000})
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(dir, nil, 0o600); err != nil { // where the folder was
		t.Fatal(err)
	}
	soon := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	for range 10 {
		w.Add(Row{})
	}
	soon("nothing is told to be dropped", func() bool { return w.Dropped() == 10 })
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		w.Add(Row{Arrived: 1})
	}
	soon("nothing is written again", func() bool { return len(segments(t, dir)) == 1 })
	if r := read(t, dir).Runs[0]; r.Missing != 10 || r.Dropped != 10 {
		t.Errorf("%+v", r)
	}
	other := filepath.Join(dir, "a-b-x-000001.parquet")
	if err := os.WriteFile(other, make([]byte, 50_000), 0o600); err != nil {
		t.Fatal(err)
	}
	for n := range 10 {
		for range 10 {
			w.Add(Row{Arrived: int64(n)})
		}
		soon("a segment is missing", func() bool {
			left, err := filepath.Glob(filepath.Join(dir, fmt.Sprintf("a-*-%06d.parquet", n+3)))
			return err == nil && len(left) == 1
		})
	}
	w.Close()
	if _, err := os.Stat(other); err != nil {
		t.Errorf("another instance's segment: %v", err)
	}
	if n := len(segments(t, dir)); n < 2 || n > 6 {
		t.Errorf("%d segments are left", n)
	}
}

// What a process that died had half written is removed by the next one, what a living one writes is not.
func TestHalfWritten(t *testing.T) {
	dir := t.TempDir()
	dead, living, others := ".a-xxp7fffffff-000001.parquet.part", ".a-xxp1-000001.parquet.part", ".b-xxp7fffffff-000001.parquet.part"
	for _, name := range []string{dead, living, others} {
		if err := os.WriteFile(filepath.Join(dir, strings.Replace(name, "7fffffff", "zik0z", 1)), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writer(t, Options{Dir: dir, Instance: "a"})
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	if len(names) != 2 || !strings.HasPrefix(names[0], ".a-xxp1-") || !strings.HasPrefix(names[1], ".b-") {
		t.Errorf("left: %q", names)
	}
	if _, err := NewWriter(Options{Dir: dir, Instance: "a/b", Log: quiet}); err == nil {
		t.Error("an instance with a / in its name was taken")
	}
}

// A step of the system's clock moves no row, and is told; of an instance whose clock was wrong the requests are put
// where they belong.
func TestClocks(t *testing.T) {
	dir := t.TempDir()
	base := time.UnixMilli(1_700_000_000_000)
	var mu sync.Mutex
	wall := base
	w := writer(t, Options{Dir: dir, Instance: "a", Rows: 10, Now: func() time.Time { mu.Lock(); defer mu.Unlock(); return wall }})
	for n := range 3 {
		mu.Lock()
		wall = base.Add(time.Duration(n) * time.Second)
		if n == 2 {
			wall = wall.Add(-90 * time.Second) // set right: it had been ahead
		}
		mu.Unlock()
		for k := range 10 {
			w.Add(Row{Arrived: base.UnixMicro() + int64(n)*1_000_000 - int64(10*k), KeyHash: uint64(100*n + k + 1)})
		}
		for end := time.Now().Add(5 * time.Second); len(segments(t, dir)) <= n && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	w.Close()
	right := base.Add(-90 * time.Second)
	b := writer(t, Options{Dir: dir, Instance: "b", Now: func() time.Time { return right.Add(3 * time.Second) }})
	for k := range 10 {
		b.Add(Row{Arrived: right.UnixMicro() + int64(k)*300_000, KeyHash: uint64(5000 + k)})
	}
	b.Close()
	rec := read(t, dir)
	if got := strings.Join(rec.Check(), "\n"); !strings.Contains(got, "clock stepped by -90.000 s") || !strings.Contains(got, "its clock was -90.000 s off") {
		t.Errorf("what it lacks: %s", got)
	}
	if from, to := rec.Span(); to-from < 80_000_000 {
		t.Errorf("before: %d", to-from)
	}
	rec.Align()
	if from, to := rec.Span(); to-from > 4_000_000 {
		t.Errorf("put together: %d us", to-from)
	}
}

// Tries belong together by their key, wherever they came to, or by client and object after one that was not served;
// what follows a served one, or comes late, is a story of its own.
func TestOperations(t *testing.T) {
	rec := &Recording{}
	const ms = 1000
	add := func(instance, client string, key, object uint64, at, took int64, verdict string, retry bool) {
		rec.Requests = append(rec.Requests, Request{Row{Arrived: at * ms, Duration: took * ms, Client: client, Class: "c", KeyHash: key, ObjectHash: object, Verdict: verdict, Retry: retry}, instance})
	}
	add("i", "a", 1, 0, 0, 10, Failed, false)      // story 1
	add("j", "b", 1, 0, 100, 10, Served, false)    // the same key elsewhere
	add("i", "a", 0, 7, 110, 20, Rejected, false)  // story 2
	add("i", "a", 0, 8, 120, 20, Served, false)    // story 3: another object
	add("i", "b", 0, 7, 125, 20, Served, false)    // story 4: another client
	add("i", "a", 0, 7, 200, 20, Cancelled, false) // 2 again
	add("i", "a", 0, 7, 300, 20, Served, false)    // and again
	add("i", "a", 0, 7, 400, 20, Served, false)    // story 5: it was served
	add("i", "a", 0, 8, 500, 20, Rejected, false)  // story 6
	add("i", "a", 0, 8, 5000, 20, Served, false)   // story 7: too late
	add("i", "a", 0, 0, 5100, 10, Rejected, false) // story 8: no object
	add("i", "a", 0, 0, 5200, 10, Served, false)   // story 9
	add("i", "a", 0, 0, 5300, 10, Rejected, false) // story 10
	add("i", "a", 0, 0, 5400, 10, Served, true)    // marked: 10 again
	add("i", "a", 1, 0, 90_000, 10, Served, false) // story 11: a key that is used anew
	var got []int
	for _, s := range rec.Operations() {
		got = append(got, len(s.Attempts))
	}
	if want := []int{2, 3, 1, 1, 1, 1, 1, 1, 1, 2, 1}; !slices.Equal(got, want) {
		t.Errorf("tries of each story %v, want %v", got, want)
	}
	if all := strings.Join(rec.Check(), "\n"); !strings.Contains(all, `class "c": 3 of 15 requests have neither key nor object nor a mark`) {
		t.Errorf("what it lacks: %s", all)
	}
}

// A sample has all tries for one thing or none, about as many as it says; hashes are the same for the same secret
// only.
func TestSampleAndHashes(t *testing.T) {
	dir := t.TempDir()
	secret := func(name, text string) *Hasher {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		h, err := NewHasher(path)
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	a, b := secret("a", "0123456789abcdef\n"), secret("b", "0123456789abcdeg\n")
	if a.Hash("key", "x") != secret("c", "0123456789abcdef").Hash("key", "x") || a.Hash("key", "x") == b.Hash("key", "x") || a.Hash("key", "x") == a.Hash("object", "x") ||
		a.Hash("key", "") != 0 {
		t.Error("hashes")
	}
	if _, err := NewHasher(filepath.Join(dir, "none")); err == nil {
		t.Error("no secret was taken")
	}
	if os.WriteFile(filepath.Join(dir, "short"), []byte("secret"), 0o600) != nil {
		t.Fatal()
	}
	if _, err := NewHasher(filepath.Join(dir, "short")); err == nil {
		t.Error("a short secret was taken")
	}
	in := 0
	for k := range 10_000 {
		key := a.Hash("key", fmt.Sprint(k))
		first := Sampled(&Row{KeyHash: key, Seq: 1}, 0.1)
		if first != Sampled(&Row{KeyHash: key, Seq: 99, Arrived: 5}, 0.1) {
			t.Fatal("one try is in the sample, another is not")
		}
		if first {
			in++
		}
	}
	if in < 900 || in > 1100 {
		t.Errorf("%d of 10,000 are in a sample of a tenth", in)
	}
	for k := range 2000 {
		if Sampled(&Row{Seq: int64(k), Arrived: int64(k) * 777}, 0.5) {
			in++
		}
	}
	if in < 1800 || in > 2200 {
		t.Errorf("%d", in)
	}
}

// What a row costs a request, its hashes included.
func BenchmarkRow(b *testing.B) {
	w, err := NewWriter(Options{Dir: b.TempDir(), Instance: "a", Sample: 1, Rows: 20_000, Age: time.Hour, Keep: 64 << 20, Log: quiet})
	if err != nil {
		b.Fatal(err)
	}
	h := NewHasherFromSecret([]byte("0123456789abcdef"))
	b.ReportAllocs()
	for k := range b.N {
		w.Add(Row{Arrived: int64(k), Duration: 1000, Client: "desk", Class: "book", Tenant: "acme", Verdict: Served, Endpoint: "s-1", Status: 200, Attempts: 1,
			KeyHash: h.Hash("key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"), ObjectHash: h.Hash("object", "7f3a9c21e0b4d655"), BytesOut: 500})
	}
	w.Close()
}
