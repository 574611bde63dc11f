package accesslog

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/parquet-go/parquet-go"
)

// Request is a row, together with the name of the instance that wrote it.
type Request struct {
	Row
	Instance string
}

// End returns the time, in Unix microseconds, at which the response was sent or the client left.
func (r *Request) End() int64 { return r.Arrived + r.Duration }

// Run summarizes the segments that one process of an instance wrote. The run's clock is the clock of
// Row.Arrived, which does not step during a run.
type Run struct {
	Instance, Process     string
	Segments              int     // number of readable segments
	Rows                  int64   // number of rows that were read
	Missing               int64   // number of lost rows, computed from gaps in the row numbers; 0 for a sample
	Dropped               int64   // number of rows that the instance counted as dropped
	Sample                float64 // fraction of requests that the instance recorded
	FirstArrival, LastEnd int64   // first arrival and latest end of a request, in Unix microseconds
	ClockOffset           int64   // system's clock minus the run's clock, in microseconds, as summarize chooses it
	ClockSteps            []int64 // steps of the system's clock from one segment to the next, in microseconds
	clockOffsets          []int64 // system's clock minus the run's clock at the end of each segment, in microseconds
	lastSeq               int64   // largest row number
}

// Recording is the content of a number of segments, from any number of folders.
type Recording struct {
	Runs     []*Run    // one for each process that wrote a segment
	Requests []Request // in the order of their arrival
	Problems []string  // for each file or row that cannot be used, its name and the reason
}

// minClockStep is the smallest step of a clock that is reported, in microseconds. Smaller differences come from
// delays in writing a segment.
const minClockStep = 200_000

// Read reads single segments and all segments of folders. A file that cannot be decoded is reported in
// Problems. Read fails only if a path does not exist or a folder cannot be read.
func Read(paths ...string) (*Recording, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		entries, err := os.ReadDir(path)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if strings.HasSuffix(e.Name(), segmentSuffix) && !strings.HasPrefix(e.Name(), ".") {
				files = append(files, filepath.Join(path, e.Name()))
			}
		}
	}
	slices.SortFunc(files, func(a, b string) int { return strings.Compare(filepath.Base(a), filepath.Base(b)) })
	rec := &Recording{}
	runs := map[string]*Run{}
	seenRows := map[string]map[int64]bool{}
	for _, path := range files {
		if err := rec.readSegment(path, runs, seenRows); err != nil {
			rec.Problems = append(rec.Problems, fmt.Sprintf("%s: %v", path, err))
		}
	}
	for _, r := range rec.Runs {
		r.summarize()
	}
	slices.SortStableFunc(rec.Requests, func(a, b Request) int { return cmp.Compare(a.Arrived, b.Arrived) })
	return rec, nil
}

// readSegment reads a segment and adds its rows to the recording and to the run that wrote it. runs has the
// runs by name; seenRows has, for each run, the numbers of the rows that were already read.
func (rec *Recording) readSegment(path string, runs map[string]*Run, seenRows map[string]map[int64]bool) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	rows, metadata, err := decodeSegment(f, info.Size())
	if err != nil {
		return err
	}
	if v := metadata["version"]; v != fmt.Sprint(Version) {
		return fmt.Errorf("has version %q, but this program reads version %d", v, Version)
	}
	runName := metadata["instance"] + "-" + metadata["process"]
	r := runs[runName]
	if r == nil {
		r = &Run{Instance: metadata["instance"], Process: metadata["process"], Sample: 1}
		if v, err := strconv.ParseFloat(metadata["sample"], 64); err == nil && v > 0 {
			r.Sample = v
		}
		runs[runName] = r
		seenRows[runName] = map[int64]bool{}
		rec.Runs = append(rec.Runs, r)
	}
	r.Segments++
	if v, err := strconv.ParseInt(metadata["dropped"], 10, 64); err == nil {
		r.Dropped += v
	}
	var lastEnd int64
	for _, row := range rows {
		if seenRows[runName][row.Seq] {
			rec.Problems = append(rec.Problems,
				fmt.Sprintf("%s: row %d occurs twice and is counted once", path, row.Seq))
			continue
		}
		seenRows[runName][row.Seq] = true
		r.Rows++
		r.lastSeq = max(r.lastSeq, row.Seq)
		if r.FirstArrival == 0 || row.Arrived < r.FirstArrival {
			r.FirstArrival = row.Arrived
		}
		r.LastEnd = max(r.LastEnd, row.Arrived+row.Duration)
		lastEnd = max(lastEnd, row.Arrived+row.Duration)
		rec.Requests = append(rec.Requests, Request{row, r.Instance})
	}
	if writtenAt, err := strconv.ParseInt(metadata["ended_wall_us"], 10, 64); err == nil && lastEnd > 0 {
		r.clockOffsets = append(r.clockOffsets, writtenAt-lastEnd)
	}
	return nil
}

// maxRowsPerByte limits the number of rows that a segment may state, for each byte of the file, so that a
// corrupted count does not exhaust the memory.
const maxRowsPerByte = 1000

// metadataKeys are the keys of a segment's metadata.
var metadataKeys = []string{"version", "instance", "process", "sample", "dropped", "began_wall_us", "ended_wall_us"}

// decodeSegment reads a segment's rows and its metadata. For some invalid files the Parquet library panics,
// which decodeSegment returns as an error.
func decodeSegment(f *os.File, size int64) (rows []Row, metadata map[string]string, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("is not a valid segment: %v", p)
		}
	}()
	file, err := parquet.OpenFile(f, size)
	if err != nil {
		return nil, nil, fmt.Errorf("is not a complete segment: %w", err)
	}
	metadata = map[string]string{}
	for _, key := range metadataKeys {
		if v, ok := file.Lookup(key); ok {
			metadata[key] = v
		}
	}
	reader := parquet.NewGenericReader[Row](file)
	defer func() { _ = reader.Close() }() // ignored: all rows have been read when this error occurs
	if n := reader.NumRows(); n < 0 || n > size*maxRowsPerByte {
		return nil, nil, fmt.Errorf("states an impossible number of rows, %d", n)
	}
	rows = make([]Row, reader.NumRows())
	readCount, err := reader.Read(rows)
	if readCount < len(rows) {
		return nil, nil, fmt.Errorf("only %d of its %d rows can be read: %w", readCount, len(rows), err)
	}
	return rows, metadata, nil
}

// summarize computes Missing, Steps and Offset after all segments of the run have been read. Offset is the
// median over the segments or, if the clock stepped, the offset of the last segment.
func (r *Run) summarize() {
	if r.Sample >= 1 {
		r.Missing = r.lastSeq - r.Rows
	}
	for i, offset := range r.clockOffsets {
		if i > 0 {
			if step := offset - r.clockOffsets[i-1]; step > minClockStep || step < -minClockStep {
				r.ClockSteps = append(r.ClockSteps, step)
			}
		}
	}
	if n := len(r.clockOffsets); n > 0 {
		sortedOffsets := slices.Sorted(slices.Values(r.clockOffsets))
		if r.ClockOffset = sortedOffsets[n/2]; len(r.ClockSteps) > 0 {
			r.ClockOffset = r.clockOffsets[n-1] // after its last step the clock is most likely right
		}
	}
}

// Align shifts the requests of each run whose clock was wrong by the run's Offset, so that the requests of
// several instances are in the right order.
func (rec *Recording) Align() {
	for _, r := range rec.Runs {
		if r.ClockOffset > -minClockStep && r.ClockOffset < minClockStep+maxWriteDelay {
			continue
		}
		for i := range rec.Requests {
			request := &rec.Requests[i]
			if request.Instance == r.Instance && request.Arrived >= r.FirstArrival && request.Arrived <= r.LastEnd {
				request.Arrived += r.ClockOffset
			}
		}
	}
	slices.SortStableFunc(rec.Requests, func(a, b Request) int { return cmp.Compare(a.Arrived, b.Arrived) })
}

// maxWriteDelay is the longest expected time from a segment's last row until the segment is written, in
// microseconds. If the system's clock is ahead of the run's clock by less, the run's clock may be right.
const maxWriteDelay = 60_000_000

// Findings returns the reasons why a replay of the recording may differ from the recorded traffic, one line for
// each.
func (rec *Recording) Findings() (findings []string) {
	findings = append(findings, rec.Problems...)
	if len(rec.Requests) == 0 {
		return append(findings, "there is no request")
	}
	for _, r := range rec.Runs {
		findings = append(findings, r.checkRun()...)
	}
	findings = append(findings, rec.checkSpans()...)
	return append(findings, rec.checkRetryDetection()...)
}

// checkRun returns the findings of Check that concern a single run: missing requests, sampling and a wrong
// clock.
func (r *Run) checkRun() (findings []string) {
	add := func(format string, args ...any) {
		findings = append(findings,
			fmt.Sprintf("instance %s, run %s: ", r.Instance, r.Process)+fmt.Sprintf(format, args...))
	}
	if r.Missing > 0 {
		add("%d of %d requests are missing (%d were dropped by a slow or full disk)",
			r.Missing, r.Missing+r.Rows, r.Dropped)
	}
	if r.Sample < 1 {
		add("only a fraction of %g of the requests is recorded; a replay is scaled up accordingly", r.Sample)
	}
	for _, step := range r.ClockSteps {
		add("the system's clock stepped by %.3f s during the run; the run's own clock did not", inSeconds(step))
	}
	if r.ClockOffset < -minClockStep || r.ClockOffset > maxWriteDelay+minClockStep {
		add("its clock was %.3f s off at the end; align the run before it is combined with others",
			inSeconds(r.ClockOffset))
	}
	return findings
}

const (
	// minReportedSpanGap is the time, in microseconds, by which a run must start later or end earlier than the
	// recording for Check to report the run.
	minReportedSpanGap = 5_000_000
	// spanGapDivisor divides the duration of the recording: the reported time must also exceed this fraction of
	// it.
	spanGapDivisor = 20
)

// checkSpans returns a finding for each run that started well after, or ended well before, the recording as a
// whole.
func (rec *Recording) checkSpans() (findings []string) {
	from, to := rec.Span()
	for _, r := range rec.Runs {
		if gap := r.FirstArrival - from; gap > minReportedSpanGap && gap > (to-from)/spanGapDivisor {
			findings = append(findings, fmt.Sprintf("instance %s, run %s: starts %.0f s after the recording starts",
				r.Instance, r.Process, inSeconds(gap)))
		}
		if gap := to - r.LastEnd; gap > minReportedSpanGap && gap > (to-from)/spanGapDivisor {
			findings = append(findings, fmt.Sprintf("instance %s, run %s: ends %.0f s before the recording ends",
				r.Instance, r.Process, inSeconds(gap)))
		}
	}
	return findings
}

// checkRetryDetection returns a finding for each class with requests whose retries cannot be detected, since
// they have no idempotency key, no object and no retry mark.
func (rec *Recording) checkRetryDetection() (findings []string) {
	undetectable := map[string]int{}
	totals := map[string]int{}
	for i := range rec.Requests {
		request := &rec.Requests[i]
		totals[request.Class]++
		if request.KeyHash == 0 && request.ObjectHash == 0 && !request.Retry {
			undetectable[request.Class]++
		}
	}
	for _, class := range slices.Sorted(maps.Keys(undetectable)) {
		findings = append(findings, fmt.Sprintf(
			"class %q: %d of %d requests have neither key nor object nor a retry mark: "+
				"a client's retry cannot be distinguished from another request of the client",
			class, undetectable[class], totals[class]))
	}
	return findings
}

// microsPerSecond is the number of microseconds in a second.
const microsPerSecond = 1e6

// inSeconds converts a duration in microseconds to seconds.
func inSeconds(micros int64) float64 { return float64(micros) / microsPerSecond }

// Span returns the time of the first arrival and of the latest end of a request, in Unix microseconds.
func (rec *Recording) Span() (from, to int64) {
	for i := range rec.Requests {
		request := &rec.Requests[i]
		if from == 0 || request.Arrived < from {
			from = request.Arrived
		}
		to = max(to, request.End())
	}
	return from, to
}
