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

// Request is a row with the instance that wrote it.
type Request struct {
	Row
	Instance string
}

// End is when its client had its answer, or left.
func (r *Request) End() int64 { return r.Arrived + r.Duration }

// Run is what one run of an instance has left.
type Run struct {
	Instance, Process string
	Segments          int
	Rows              int64
	Missing           int64 // rows that ought to be there and are not
	Dropped           int64 // of these, those of which the instance said so
	Sample            float64
	From, To          int64   // Unix microseconds
	Offset            int64   // by which the system's clock was ahead of the run's, at the end
	Steps             []int64 // by which the system's clock stepped, from one segment to the next
	offsets           []int64
	maxSeq            int64 // the greatest number of a row
}

// Recording is what a number of folders hold.
type Recording struct {
	Runs     []*Run
	Requests []Request // by their arrival
	Problems []string  // what cannot be read
}

// minClockStep is the least step of a clock that is told, in microseconds: less is how late a segment is written.
const minClockStep = 200_000

// Read reads folders and single segments. What cannot be read is told as a problem, and the rest is read.
func Read(paths ...string) (*Recording, error) {
	var files []string
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, p)
			continue
		}
		entries, err := os.ReadDir(p)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if strings.HasSuffix(e.Name(), segmentSuffix) && !strings.HasPrefix(e.Name(), ".") {
				files = append(files, filepath.Join(p, e.Name()))
			}
		}
	}
	slices.SortFunc(files, func(a, b string) int { return strings.Compare(filepath.Base(a), filepath.Base(b)) })
	rec := &Recording{}
	runs := map[string]*Run{}
	seen := map[string]map[int64]bool{}
	for _, f := range files {
		if err := rec.file(f, runs, seen); err != nil {
			rec.Problems = append(rec.Problems, fmt.Sprintf("%s: %v", f, err))
		}
	}
	for _, r := range rec.Runs {
		r.summarize()
	}
	slices.SortStableFunc(rec.Requests, func(a, b Request) int { return cmp.Compare(a.Arrived, b.Arrived) })
	return rec, nil
}

// file reads a segment.
func (rec *Recording) file(path string, runs map[string]*Run, seen map[string]map[int64]bool) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	rows, meta, err := decode(f, info.Size())
	if err != nil {
		return err
	}
	if v := meta["version"]; v != fmt.Sprint(Version) {
		return fmt.Errorf("is of version %q, this program reads %d", v, Version)
	}
	name := meta["instance"] + "-" + meta["process"]
	r := runs[name]
	if r == nil {
		r = &Run{Instance: meta["instance"], Process: meta["process"], Sample: 1}
		if v, err := strconv.ParseFloat(meta["sample"], 64); err == nil && v > 0 {
			r.Sample = v
		}
		runs[name], seen[name] = r, map[int64]bool{}
		rec.Runs = append(rec.Runs, r)
	}
	r.Segments++
	if v, err := strconv.ParseInt(meta["dropped"], 10, 64); err == nil {
		r.Dropped += v
	}
	var last int64
	for _, row := range rows {
		if seen[name][row.Seq] {
			rec.Problems = append(rec.Problems, fmt.Sprintf("%s: row %d is there twice; it counts once", path, row.Seq))
			continue
		}
		seen[name][row.Seq] = true
		r.Rows++
		r.maxSeq = max(r.maxSeq, row.Seq)
		if r.From == 0 || row.Arrived < r.From {
			r.From = row.Arrived
		}
		r.To = max(r.To, row.Arrived+row.Duration)
		last = max(last, row.Arrived+row.Duration)
		rec.Requests = append(rec.Requests, Request{row, r.Instance})
	}
	if wall, err := strconv.ParseInt(meta["ended_wall_us"], 10, 64); err == nil && last > 0 {
		r.offsets = append(r.offsets, wall-last)
	}
	return nil
}

// decode reads a segment's rows and what it says of itself. The library panics at some of what is no Parquet.
func decode(f *os.File, size int64) (rows []Row, meta map[string]string, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("is no sound segment: %v", p)
		}
	}()
	file, err := parquet.OpenFile(f, size)
	if err != nil {
		return nil, nil, fmt.Errorf("is no whole segment: %w", err)
	}
	meta = map[string]string{}
	for _, key := range []string{"version", "instance", "process", "sample", "dropped", "began_wall_us", "ended_wall_us"} {
		if v, ok := file.Lookup(key); ok {
			meta[key] = v
		}
	}
	r := parquet.NewGenericReader[Row](file)
	defer func() { _ = r.Close() }() // nothing of what was read depends on it
	if n := r.NumRows(); n < 0 || n > size*1000 {
		return nil, nil, fmt.Errorf("says that it has %d rows", n)
	}
	rows = make([]Row, r.NumRows())
	n, err := r.Read(rows)
	if n < len(rows) {
		return nil, nil, fmt.Errorf("has %d of its %d rows: %w", n, len(rows), err)
	}
	return rows, meta, nil
}

// summarize tells what a run's segments say together.
func (r *Run) summarize() {
	if r.Sample >= 1 {
		r.Missing = r.maxSeq - r.Rows
	}
	for i, at := range r.offsets {
		if i > 0 {
			if step := at - r.offsets[i-1]; step > minClockStep || step < -minClockStep {
				r.Steps = append(r.Steps, step)
			}
		}
	}
	if n := len(r.offsets); n > 0 {
		sorted := slices.Sorted(slices.Values(r.offsets))
		if r.Offset = sorted[n/2]; len(r.Steps) > 0 {
			r.Offset = r.offsets[n-1] // the clock was set right at last
		}
	}
}

// Align moves the requests of runs whose clock was wrong by the system's clock at their end, so that what several
// instances wrote can be put together.
func (rec *Recording) Align() {
	for _, r := range rec.Runs {
		if r.Offset > -minClockStep && r.Offset < minClockStep+maxSegmentDelay {
			continue
		}
		for i := range rec.Requests {
			q := &rec.Requests[i]
			if q.Instance == r.Instance && q.Arrived >= r.From && q.Arrived <= r.To {
				q.Arrived += r.Offset
			}
		}
	}
	slices.SortStableFunc(rec.Requests, func(a, b Request) int { return cmp.Compare(a.Arrived, b.Arrived) })
}

// maxSegmentDelay is for how long a segment may rest before it is written, in microseconds: a clock that is ahead by
// less may be right.
const maxSegmentDelay = 60_000_000

// Check tells what a recording lacks, for whoever wants to play it again.
func (rec *Recording) Check() (all []string) {
	all = append(all, rec.Problems...)
	if len(rec.Requests) == 0 {
		return append(all, "there is no request")
	}
	for _, r := range rec.Runs {
		at := fmt.Sprintf("instance %s, run %s", r.Instance, r.Process)
		if r.Missing > 0 {
			all = append(all, fmt.Sprintf("%s: %d of %d requests are missing (%d were dropped by a slow or full disk)", at, r.Missing, r.Missing+r.Rows, r.Dropped))
		}
		if r.Sample < 1 {
			all = append(all, fmt.Sprintf("%s: a sample of %g; what is played again is scaled up by it", at, r.Sample))
		}
		for _, step := range r.Steps {
			all = append(all, fmt.Sprintf("%s: the system's clock stepped by %.3f s meanwhile; the run's own did not", at, float64(step)/1e6))
		}
		if r.Offset < -minClockStep || r.Offset > maxSegmentDelay+minClockStep {
			all = append(all, fmt.Sprintf("%s: its clock was %.3f s off at the end; put together with others, align it", at, float64(r.Offset)/1e6))
		}
	}
	from, to := rec.Span()
	for _, r := range rec.Runs {
		if gap := r.From - from; gap > 5_000_000 && gap > (to-from)/20 {
			all = append(all, fmt.Sprintf("instance %s, run %s: begins %.0f s after the first", r.Instance, r.Process, float64(gap)/1e6))
		}
		if gap := to - r.To; gap > 5_000_000 && gap > (to-from)/20 {
			all = append(all, fmt.Sprintf("instance %s, run %s: ends %.0f s before the last", r.Instance, r.Process, float64(gap)/1e6))
		}
	}
	blind := map[string]int{}
	counts := map[string]int{}
	for i := range rec.Requests {
		q := &rec.Requests[i]
		counts[q.Class]++
		if q.KeyHash == 0 && q.ObjectHash == 0 && !q.Retry {
			blind[q.Class]++
		}
	}
	for _, class := range slices.Sorted(maps.Keys(blind)) {
		all = append(all, fmt.Sprintf("class %q: %d of %d requests have neither key nor object nor a mark: a client's own retry cannot be told from another request of its", class,
			blind[class], counts[class]))
	}
	return all
}

// Span is when the first request arrived and the last one ended.
func (rec *Recording) Span() (from, to int64) {
	for i := range rec.Requests {
		q := &rec.Requests[i]
		if from == 0 || q.Arrived < from {
			from = q.Arrived
		}
		to = max(to, q.End())
	}
	return from, to
}
