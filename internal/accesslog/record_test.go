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

	"dunlinsail/internal/fake/require"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// discardLogger is a logger without output.
var discardLogger = slog.New(slog.DiscardHandler)

// startWriter starts a writer, and closes it at the end of the test. Without further options, the writer
// records every request, and a segment has at most 1000 rows and no age limit that the test reaches.
func startWriter(t *testing.T, o Options) *Writer {
	t.Helper()
	if o.SampleFraction == 0 {
		o.SampleFraction = 1
	}
	if o.MaxRows == 0 {
		o.MaxRows = 1000
	}
	if o.MaxAge == 0 {
		o.MaxAge = time.Hour
	}
	o.Log = discardLogger
	w, err := NewWriter(o)
	require.NoError(t, err)
	t.Cleanup(w.Close)
	return w
}

// readRecording reads the recording at the given paths, and fails the test if an error occurs.
func readRecording(t *testing.T, paths ...string) *Recording {
	t.Helper()
	r, err := Read(paths...)
	require.NoError(t, err)
	return r
}

// segmentPaths returns the sorted paths of the segments in a folder.
func segmentPaths(t *testing.T, dir string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.parquet"))
	require.NoError(t, err)
	return paths
}

// The rows of several instances are read as they were written and in the order of their arrival; no row is
// missing.
func TestWrittenAndRead(t *testing.T) {
	dir := t.TempDir()
	now := time.UnixMilli(1_700_000_000_000)
	wantRows := map[string]Row{}
	for i, instance := range []string{"desk", "desk-2"} {
		w := startWriter(t, Options{Dir: dir, Instance: instance, MaxRows: 40, Now: func() time.Time { return now }})
		var adders sync.WaitGroup
		for row := range 100 {
			r := Row{
				Arrived: now.UnixMicro() + int64(1000*(row%50)+i), Duration: int64(10 * row),
				Client: "c", Class: "book",
				Verdict: Served, Status: 200, Attempts: 1, KeyHash: uint64(1 + row + 1000*i), BytesIn: -1, BytesOut: 5,
			}
			wantRows[fmt.Sprint(instance, r.KeyHash)] = r
			adders.Go(func() { w.Add(r) })
		}
		adders.Wait()
		w.Close()
		w.Add(Row{}) // after Close, Add has no effect
	}
	rec := readRecording(t, dir)
	if len(rec.Requests) != 200 || len(rec.Runs) != 2 || len(rec.Problems) != 0 {
		t.Fatalf("%d requests, %d runs, problems %q", len(rec.Requests), len(rec.Runs), rec.Problems)
	}
	var latestArrival int64
	for _, q := range rec.Requests {
		r := wantRows[fmt.Sprint(q.Instance, q.KeyHash)]
		r.Seq = q.Seq
		if q.Row != r || q.Arrived < latestArrival {
			t.Fatalf("%+v, want %+v, after an arrival at %d", q, r, latestArrival)
		}
		latestArrival = q.Arrived
	}
	for _, r := range rec.Runs {
		if r.Segments != 3 || r.Missing != 0 || r.Rows != 100 {
			t.Errorf("%+v", r)
		}
	}
	if findings := rec.Findings(); len(findings) != 0 {
		t.Errorf("unexpected findings: %q", findings)
	}
}

// Truncated, empty and invalid segments are reported as problems, and the other segments are read. Missing rows
// are counted.
func TestTruncatedSegments(t *testing.T) {
	dir := t.TempDir()
	w := startWriter(t, Options{Dir: dir, Instance: "a", MaxRows: 100})
	for row := range 400 {
		w.Add(Row{Arrived: int64(1_700_000_000_000_000 + row), Class: "look", KeyHash: uint64(row + 1)})
		if (row+1)%100 == 0 { // waits for each segment: Add does not wait for the disk, and would drop rows
			for end := time.Now().Add(5 * time.Second); len(segmentPaths(t, dir)) < (row+1)/100 &&
				time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		}
	}
	w.Close()
	paths := segmentPaths(t, dir)
	if len(paths) != 4 {
		t.Fatalf("%d segments, want 4", len(paths))
	}
	valid, err := os.ReadFile(paths[1])
	require.NoError(t, err)
	for path, content := range map[string][]byte{
		paths[1]:                                valid[:len(valid)/2],
		filepath.Join(dir, "a-empty-1.parquet"): nil,
		filepath.Join(dir, "a-none-1.parquet"):  []byte(strings.Repeat("PAR1", 100)),
	} {
		require.NoError(t, os.WriteFile(path, content, 0o600))
	}
	require.NoError(t, os.Remove(paths[2]))
	rec := readRecording(t, dir, paths[3])
	if len(rec.Requests) != 200 || len(rec.Problems) != 3+100 {
		t.Errorf("%d requests, %d problems: %.300q", len(rec.Requests), len(rec.Problems), rec.Problems)
	}
	if r := rec.Runs[0]; r.Missing != 200 {
		t.Errorf("%d are missing, not 200", r.Missing)
	}
	requireFindings(t, readRecording(t, dir), "200 of 400 requests are missing", "is not a complete segment")
	if _, err := Read(filepath.Join(dir, "nowhere")); err == nil {
		t.Error("reading a folder that does not exist succeeded")
	}
}

// Changes of arbitrary bytes of a segment neither crash the reader nor add rows.
func TestCorruptedSegments(t *testing.T) {
	dir := t.TempDir()
	w := startWriter(t, Options{Dir: dir, Instance: "a"})
	for row := range 50 {
		w.Add(Row{Arrived: int64(row), Class: "look", Tenant: "t"})
	}
	w.Close()
	valid, err := os.ReadFile(segmentPaths(t, dir)[0])
	require.NoError(t, err)
	rng := rand.New(rand.NewPCG(1, 1))
	path := filepath.Join(t.TempDir(), "a-x-1.parquet")
	for range 400 {
		corrupted := slices.Clone(valid)
		for range 1 + rng.IntN(4) {
			corrupted[rng.IntN(len(corrupted))] ^= byte(1 << rng.IntN(8))
		}
		if rng.IntN(3) == 0 {
			corrupted = corrupted[:rng.IntN(len(corrupted))]
		}
		require.NoError(t, os.WriteFile(path, corrupted, 0o600))
		if rec := readRecording(t, path); len(rec.Requests) > 50 {
			t.Fatalf("%d requests of 50", len(rec.Requests))
		}
	}
}

// While the disk cannot be written, rows are dropped and counted, and Add does not block. When the disk can be
// written again, later rows are written. If the segments take more than Options.Keep bytes, the oldest ones are
// removed, but none of another instance.
func TestDiskThatTakesNothing(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "record")
	w := startWriter(t, Options{Dir: dir, Instance: "a", MaxRows: 10, MaxTotalBytes: 8000})
	require.NoError(t, os.RemoveAll(dir))
	if err := os.WriteFile(dir, nil, 0o600); err != nil { // a file in place of the folder makes every write fail
		t.Fatal(err)
	}
	addRows(w, 10, 0)
	waitFor(t, "the dropped rows are not counted", func() bool { return w.Dropped() == 10 })
	require.NoError(t, os.Remove(dir))
	require.NoError(t, os.Mkdir(dir, 0o700))
	addRows(w, 10, 1)
	waitFor(t, "no segment is written after the folder is back", func() bool { return len(segmentPaths(t, dir)) == 1 })
	if r := readRecording(t, dir).Runs[0]; r.Missing != 10 || r.Dropped != 10 {
		t.Errorf("%+v", r)
	}
	otherInstance := filepath.Join(dir, "a-b-x-000001.parquet")
	require.NoError(t, os.WriteFile(otherInstance, make([]byte, 50_000), 0o600))
	for batch := range 10 {
		addRows(w, 10, int64(batch))
		waitFor(t, "a segment is missing", func() bool {
			found, err := filepath.Glob(filepath.Join(dir, fmt.Sprintf("a-*-%06d.parquet", batch+3)))
			return err == nil && len(found) == 1
		})
	}
	w.Close()
	if _, err := os.Stat(otherInstance); err != nil {
		t.Errorf("another instance's segment: %v", err)
	}
	if n := len(segmentPaths(t, dir)); n < 2 || n > 6 {
		t.Errorf("%d segments remain after rotation", n)
	}
}

// The incomplete file of an ended process is removed when another process of the instance starts; the
// incomplete files of a running process and of another instance are kept.
func TestHalfWritten(t *testing.T) {
	dir := t.TempDir()
	const (
		ended         = ".a-xxp7fffffff-000001.parquet.part"
		running       = ".a-xxp1-000001.parquet.part"
		otherInstance = ".b-xxp7fffffff-000001.parquet.part"
	)
	for _, name := range []string{ended, running, otherInstance} {
		path := filepath.Join(dir, strings.Replace(name, "7fffffff", "zik0z", 1))
		require.NoError(t, os.WriteFile(path, nil, 0o600))
	}
	startWriter(t, Options{Dir: dir, Instance: "a"})
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	if len(names) != 2 || !strings.HasPrefix(names[0], ".a-xxp1-") || !strings.HasPrefix(names[1], ".b-") {
		t.Errorf("remaining files: %q", names)
	}
	if _, err := NewWriter(Options{Dir: dir, Instance: "a/b", Log: discardLogger}); err == nil {
		t.Error("an instance with a / in its name is accepted")
	}
}

// A step of the system's clock changes no row's arrival, and is reported. Align moves the requests of an
// instance with a wrong clock to their true time.
func TestClocks(t *testing.T) {
	dir := t.TempDir()
	base := time.UnixMilli(1_700_000_000_000)
	var mu sync.Mutex
	systemTime := base
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return systemTime
	}
	writerA := startWriter(t, Options{Dir: dir, Instance: "a", MaxRows: 10, Now: clock})
	for segment := range 3 {
		mu.Lock()
		systemTime = base.Add(time.Duration(segment) * time.Second)
		if segment == 2 {
			systemTime = systemTime.Add(-90 * time.Second) // the clock was 90 s ahead, and is corrected here
		}
		mu.Unlock()
		for row := range 10 {
			writerA.Add(Row{
				Arrived: base.UnixMicro() + int64(segment)*1_000_000 - int64(10*row),
				KeyHash: uint64(100*segment + row + 1),
			})
		}
		for end := time.Now().Add(5 * time.Second); len(segmentPaths(t, dir)) <= segment && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	writerA.Close()
	trueTime := base.Add(-90 * time.Second)
	writerB := startWriter(t, Options{
		Dir: dir, Instance: "b", Now: func() time.Time { return trueTime.Add(3 * time.Second) },
	})
	for row := range 10 {
		writerB.Add(Row{Arrived: trueTime.UnixMicro() + int64(row)*300_000, KeyHash: uint64(5000 + row)})
	}
	writerB.Close()
	rec := readRecording(t, dir)
	requireFindings(t, rec, "clock stepped by -90.000 s", "its clock was -90.000 s off")
	if from, to := rec.Span(); to-from < 80_000_000 {
		t.Errorf("span before Align: %d us", to-from)
	}
	rec.Align()
	if from, to := rec.Span(); to-from > 4_000_000 {
		t.Errorf("span after Align: %d us", to-from)
	}
}

// Attempts belong to one operation if they have the same idempotency key, at any instance, or if the same
// client requests the same object shortly after an attempt that was not served. A request after a served
// attempt, or long after an unserved attempt, starts another operation.
func TestOperations(t *testing.T) {
	rec := &Recording{}
	const microsPerMilli = 1000
	add := func(instance, client string, key, object uint64, arrivedMs, durationMs int64, verdict string, retry bool) {
		rec.Requests = append(rec.Requests, Request{Row{
			Arrived: arrivedMs * microsPerMilli, Duration: durationMs * microsPerMilli,
			Client: client, Class: "c", KeyHash: key, ObjectHash: object,
			Verdict: verdict, Retry: retry,
		}, instance})
	}
	add("i", "a", 1, 0, 0, 10, Failed, false)      // operation 1
	add("j", "b", 1, 0, 100, 10, Served, false)    // operation 1 again: the same key at another instance
	add("i", "a", 0, 7, 110, 20, Rejected, false)  // operation 2
	add("i", "a", 0, 8, 120, 20, Served, false)    // operation 3: another object
	add("i", "b", 0, 7, 125, 20, Served, false)    // operation 4: another client
	add("i", "a", 0, 7, 200, 20, Cancelled, false) // operation 2 again
	add("i", "a", 0, 7, 300, 20, Served, false)    // operation 2 again
	add("i", "a", 0, 7, 400, 20, Served, false)    // operation 5: the attempt before was served
	add("i", "a", 0, 8, 500, 20, Rejected, false)  // operation 6
	add("i", "a", 0, 8, 5000, 20, Served, false)   // operation 7: too long after operation 6
	add("i", "a", 0, 0, 5100, 10, Rejected, false) // operation 8: without an object
	add("i", "a", 0, 0, 5200, 10, Served, false)   // operation 9: neither an object nor a retry mark
	add("i", "a", 0, 0, 5300, 10, Rejected, false) // operation 10
	add("i", "a", 0, 0, 5400, 10, Served, true)    // operation 10 again: marked as a retry
	add("i", "a", 1, 0, 90_000, 10, Served, false) // operation 11: the key's lifetime has passed
	var attempts []int
	for _, op := range rec.Operations() {
		attempts = append(attempts, len(op.Attempts))
	}
	if want := []int{2, 3, 1, 1, 1, 1, 1, 1, 1, 2, 1}; !slices.Equal(attempts, want) {
		t.Errorf("attempts of each operation %v, want %v", attempts, want)
	}
	requireFindings(t, rec, `class "c": 3 of 15 requests have neither key nor object nor a retry mark`)
}

// A sample contains either all attempts of an operation or none, and about the requested fraction of the
// operations. Two hashers compute equal hashes only if they have the same secret.
func TestSampleAndHashes(t *testing.T) {
	dir := t.TempDir()
	hasher := hasherOf(t, filepath.Join(dir, "a"), "0123456789abcdef\n")
	otherSecret := hasherOf(t, filepath.Join(dir, "b"), "0123456789abcdeg\n")
	sameSecret := hasherOf(t, filepath.Join(dir, "c"), "0123456789abcdef")
	hash := hasher.Hash("key", "x")
	differ := hash != otherSecret.Hash("key", "x") && hash != hasher.Hash("object", "x")
	if hash != sameSecret.Hash("key", "x") || !differ || hasher.Hash("key", "") != 0 {
		t.Error("hashes do not depend on exactly the secret, the kind and the text")
	}
	if _, err := NewHasher(filepath.Join(dir, "none")); err == nil {
		t.Error("a missing secret file is accepted")
	}
	require.NoError(t, os.WriteFile(filepath.Join(dir, "short"), []byte("secret"), 0o600))
	if _, err := NewHasher(filepath.Join(dir, "short")); err == nil {
		t.Error("a short secret is accepted")
	}
	sampled := 0
	for keyNumber := range 10_000 {
		key := hasher.Hash("key", fmt.Sprint(keyNumber))
		firstSampled := Sampled(&Row{KeyHash: key, Seq: 1}, 0.1)
		if firstSampled != Sampled(&Row{KeyHash: key, Seq: 99, Arrived: 5}, 0.1) {
			t.Fatal("one attempt is in the sample, another is not")
		}
		if firstSampled {
			sampled++
		}
	}
	if sampled < 900 || sampled > 1100 {
		t.Errorf("%d of 10,000 are in a sample of a tenth", sampled)
	}
	for row := range 2000 {
		if Sampled(&Row{Seq: int64(row), Arrived: int64(row) * 777}, 0.5) {
			sampled++
		}
	}
	if sampled < 1800 || sampled > 2200 {
		t.Errorf("%d are in both samples together", sampled)
	}
}

// hasherOf writes a secret to a file and returns the hasher of this file.
func hasherOf(t *testing.T, path, secret string) *Hasher {
	t.Helper()
	require.NoError(t, os.WriteFile(path, []byte(secret), 0o600))
	h, err := NewHasher(path)
	require.NoError(t, err)
	return h
}

// addRows adds n rows with the same arrival.
func addRows(w *Writer, n int, arrived int64) {
	for range n {
		w.Add(Row{Arrived: arrived})
	}
}

// waitFor waits until a condition is true, and fails the test with the given text if it is not true within 5 s.
func waitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// requireFindings fails the test unless the findings on a recording contain all of the given texts.
func requireFindings(t *testing.T, rec *Recording, texts ...string) {
	t.Helper()
	findings := strings.Join(rec.Findings(), "\n")
	for _, text := range texts {
		if !strings.Contains(findings, text) {
			t.Errorf("no %q in the findings: %s", text, findings)
		}
	}
}

// BenchmarkRow measures the cost of recording one request, including its two hashes.
func BenchmarkRow(b *testing.B) {
	w, err := NewWriter(Options{
		Dir: b.TempDir(), Instance: "a", SampleFraction: 1, MaxRows: 20_000, MaxAge: time.Hour,
		MaxTotalBytes: 64 << 20, Log: discardLogger,
	})
	require.NoError(b, err)
	hasher := NewHasherFromSecret([]byte("0123456789abcdef"))
	b.ReportAllocs()
	for row := range b.N {
		w.Add(Row{
			Arrived: int64(row), Duration: 1000, Client: "desk", Class: "book", Tenant: "acme",
			Verdict: Served, Endpoint: "s-1", Status: 200, Attempts: 1,
			KeyHash:    hasher.Hash("key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
			ObjectHash: hasher.Hash("object", "7f3a9c21e0b4d655"), BytesOut: 500,
		})
	}
	w.Close()
}
