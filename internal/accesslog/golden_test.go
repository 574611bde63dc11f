package accesslog

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"

	"dunlinsail/internal/fake/require"
)

// goldenSegment is a segment that an earlier build wrote, before identifiers in this package were renamed. The
// file must never change.
var goldenSegment = filepath.Join("testdata", "golden", "golden-instance-00000000p0-000001.parquet")

// goldenNow is what the system's clock showed when goldenSegment was written.
var goldenNow = time.UnixMilli(1_700_000_000_123)

// goldenRows returns the rows of goldenSegment, but without row numbers, which the writer assigns.
func goldenRows() []Row {
	return []Row{
		{
			Arrived: 1_700_000_000_000_001, Duration: 1002, QueueTime: 1003, ClientTimeout: 1004,
			Client: "client-a", Route: "route-a", Class: "class-a", Tenant: "tenant-a",
			Verdict: "served", Endpoint: "node-1", Status: 200, Attempts: 1,
			KeyHash: 1 << 63, ObjectHash: 77, BytesIn: -1, BytesOut: 1005,
		},
		{
			Arrived: 1_700_000_000_000_002, Duration: 2002, Client: "client-b", Class: "class-a",
			Verdict: "refused", Status: 503, Attempts: 0, KeyHash: 3, BytesIn: 12, BytesOut: 13, Retry: true,
		},
		{
			Arrived: 1_700_000_000_000_003, Duration: 3002, QueueTime: 3003, Client: "client-a", Class: "class-b",
			Verdict: "failed", Endpoint: "node-2", Status: 502, Attempts: 3,
		},
		{
			Arrived: 1_700_000_000_000_004, Duration: 4002, Client: "client-a", Class: "class-b",
			Verdict: "late", Status: 504, Attempts: 2,
		},
		{
			Arrived: 1_700_000_000_000_005, Duration: 5002, Client: "client-b", Class: "class-b",
			Verdict: "left", Attempts: 1, ObjectHash: 9,
		},
	}
}

// writeGolden writes goldenRows to a folder as one segment, and returns the path of the segment.
func writeGolden(t *testing.T, dir string) string {
	t.Helper()
	clock := func() time.Time { return goldenNow }
	w := startWriter(t, Options{Dir: dir, Instance: "golden-instance", SampleFraction: 1, Now: clock})
	for _, r := range goldenRows() {
		w.Add(r)
	}
	w.Close()
	paths := segmentPaths(t, dir)
	if len(paths) != 1 {
		t.Fatalf("%d segments, want 1", len(paths))
	}
	return paths[0]
}

// rawSegment is the content of a segment as any Parquet reader sees it, independent of the identifiers in this
// package.
type rawSegment struct {
	Schema   string
	Columns  []string
	Rows     [][]string // for each row, its values in the order of the columns, with column number and kind
	Metadata map[string]string
	Creator  string
}

// readRawSegment reads a segment with the Parquet library only, without this package's reader.
func readRawSegment(t *testing.T, path string) rawSegment {
	t.Helper()
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	info, err := f.Stat()
	require.NoError(t, err)
	file, err := parquet.OpenFile(f, info.Size())
	require.NoError(t, err)
	raw := rawSegment{Schema: file.Schema().String(), Metadata: map[string]string{}, Creator: file.Metadata().CreatedBy}
	for _, path := range file.Schema().Columns() {
		raw.Columns = append(raw.Columns, fmt.Sprint(path))
	}
	for _, kv := range file.Metadata().KeyValueMetadata {
		raw.Metadata[kv.Key] = kv.Value
	}
	for _, group := range file.RowGroups() {
		rows := group.Rows()
		buffer := make([]parquet.Row, 100)
		n, _ := rows.ReadRows(buffer)
		for _, row := range buffer[:n] {
			var values []string
			for _, v := range row {
				values = append(values, fmt.Sprintf("%d:%v:%v", v.Column(), v.Kind(), v))
			}
			raw.Rows = append(raw.Rows, values)
		}
		require.NoError(t, rows.Close())
	}
	return raw
}

// Reading a segment of an earlier build returns the rows that were written, and the right summary of the run.
func TestGoldenSegmentIsRead(t *testing.T) {
	rec := readRecording(t, filepath.Dir(goldenSegment))
	if len(rec.Problems) != 0 || len(rec.Runs) != 1 {
		t.Fatalf("%d runs, problems %q", len(rec.Runs), rec.Problems)
	}
	run := *rec.Runs[0]
	countsMatch := run.Segments == 1 && run.Rows == 5 && run.Missing == 0 && run.Dropped == 0 && run.Sample == 1
	offset := goldenNow.UnixMicro() - 1_700_000_000_005_007
	if run.Instance != "golden-instance" || !countsMatch || run.ClockOffset != offset {
		t.Errorf("summary of the run: %+v", run)
	}
	want := goldenRows()
	if len(rec.Requests) != len(want) {
		t.Fatalf("%d requests, want %d", len(rec.Requests), len(want))
	}
	for i, got := range rec.Requests {
		want[i].Seq = int64(i + 1)
		if got.Row != want[i] || got.Instance != "golden-instance" {
			t.Errorf("row %d: %+v, want %+v", i, got, want[i])
		}
	}
}

// Writing the same rows as an earlier build gives the same schema, columns, values and metadata.
func TestGoldenSegmentIsWritten(t *testing.T) {
	got := readRawSegment(t, writeGolden(t, t.TempDir()))
	want := readRawSegment(t, goldenSegment)
	if len(want.Rows) != 5 || len(want.Columns) != 18 || len(want.Metadata) != 7 {
		t.Fatalf("the golden segment has %d rows, %d columns, %d entries of metadata",
			len(want.Rows), len(want.Columns), len(want.Metadata))
	}
	if got.Metadata["process"] == "" || want.Metadata["process"] == "" {
		t.Errorf("no process in the metadata: %v, %v", got.Metadata, want.Metadata)
	}
	got.Metadata["process"] = want.Metadata["process"] // differs by process
	if got.Schema != want.Schema {
		t.Errorf("schema\n%s\nwant\n%s", got.Schema, want.Schema)
	}
	if !slices.Equal(got.Columns, want.Columns) {
		t.Errorf("columns %v, want %v", got.Columns, want.Columns)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}
