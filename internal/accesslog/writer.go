package accesslog

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/parquet-go/parquet-go"
	"github.com/parquet-go/parquet-go/compress/zstd"
)

// Options configure a Writer.
type Options struct {
	Dir            string        // folder of the segments; NewWriter creates it if it does not exist
	Instance       string        // name of the instance, which is a part of the segments' file names
	SampleFraction float64       // fraction of requests to record, above 0 and at most 1 (see Sampled)
	MaxRows        int           // number of rows at which a segment is complete
	MaxAge         time.Duration // age at which a segment is written even if it has fewer rows
	MaxTotalBytes  int64         // limit on the bytes of all segments of this instance; the oldest are removed; 0: none
	Log            *slog.Logger
	Now            func() time.Time // returns the time of the system's clock; nil means time.Now
}

// Writer writes access records. Add never waits for the disk: rows that cannot be written in time are dropped
// and counted. NewWriter creates a writer and starts its goroutine; Close ends the goroutine. A Writer is safe
// for concurrent use.
type Writer struct {
	options Options
	process string // start time and id of this process, a part of the segments' file names

	mu           sync.Mutex // guards the fields down to closed
	rows         []Row      // rows of the current segment
	segmentStart time.Time  // time at which the current segment started
	lastSeq      int64      // number of the latest request, sampled or not
	dropped      int64      // number of dropped rows that no queued or written segment counts
	closed       bool

	pending           chan segment  // segments that wait to be written
	done              chan struct{} // closed when run returns
	ageTicker         *time.Ticker  // triggers the checks of the current segment's age
	writeMu           sync.Mutex    // serializes the writing of segments
	lastErrorLog      time.Time     // time of the latest logged error
	lastSegmentNumber int           // number of the latest segment, a part of its file name
}

// segment is a batch of rows that is ready to be written as one file.
type segment struct {
	rows    []Row
	start   time.Time // time at which the segment started
	dropped int64     // number of rows that were dropped before this segment and that no earlier segment counts
}

// maxPendingSegments is the number of segments that may wait for the disk. While so many wait, the rows of
// every further segment are dropped.
const maxPendingSegments = 2

// segmentSuffix is the suffix of a segment's file name.
const segmentSuffix = ".parquet"

// partialSuffix is appended to a segment's file name while the segment is being written.
const partialSuffix = ".part"

// parseOwnSegment reports whether a file name is that of a segment of this instance, and returns the id of the
// process that wrote the segment.
func (w *Writer) parseOwnSegment(name string) (pid int, own bool) {
	rest, ok := strings.CutPrefix(name, w.options.Instance+"-")
	rest, complete := strings.CutSuffix(rest, segmentSuffix)
	process, number, numbered := strings.Cut(rest, "-")
	if !ok || !complete || !numbered || strings.Contains(number, "-") {
		return 0, false
	}
	return processID(process)
}

// startDigits is the number of base-36 digits of a process's start time in Unix milliseconds, for times from
// 1972 to 2059.
const startDigits = 8

// processID returns the process id in the process part of a segment's file name. This part consists of the
// process's start time in Unix milliseconds, the letter p and the process id; both numbers are in base 36. The
// letter p is also a base-36 digit. The separator is therefore the p that follows startDigits digits or, if the
// start time has fewer digits, the first p.
func processID(process string) (pid int, ok bool) {
	separator := strings.IndexByte(process, 'p')
	if len(process) > startDigits && process[startDigits] == 'p' {
		separator = startDigits
	}
	if separator < 0 {
		return 0, false
	}
	id, err := strconv.ParseInt(process[separator+1:], 36, 32)
	return int(id), err == nil
}

// processAlive reports whether a process runs. During a hot restart a successor starts to write segments while
// its predecessor still writes some.
func processAlive(pid int) bool {
	return pid == os.Getpid() || syscall.Kill(pid, 0) == nil
}

const (
	// dirMode and segmentMode let the group of the process read the segments.
	dirMode     = 0o750
	segmentMode = 0o640
	// ageChecksPerSegment is the number of times that the age of a segment is checked within Options.Age.
	ageChecksPerSegment = 4
	// minAgeCheckInterval is the shortest interval between checks of a segment's age, which bounds their cost
	// if Options.Age is short.
	minAgeCheckInterval = 10 * time.Millisecond
)

// NewWriter starts a writer. It removes the incomplete files that ended processes of the same instance have
// left. It fails if the folder cannot be used, or if the instance's name cannot be a part of a file name.
func NewWriter(o Options) (*Writer, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if err := os.MkdirAll(o.Dir, dirMode); err != nil {
		return nil, err
	}
	if strings.ContainsAny(o.Instance, "/\\\x00") || o.Instance == "" {
		return nil, fmt.Errorf("instance %q cannot be a part of a file's name", o.Instance)
	}
	process := strconv.FormatInt(o.Now().UnixMilli(), 36) + "p" + strconv.FormatInt(int64(os.Getpid()), 36)
	w := &Writer{
		options:      o,
		process:      process,
		segmentStart: o.Now(),
		pending:      make(chan segment, maxPendingSegments),
		done:         make(chan struct{}),
		ageTicker:    time.NewTicker(max(o.MaxAge/ageChecksPerSegment, minAgeCheckInterval)),
	}
	entries, err := os.ReadDir(o.Dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		name, partial := strings.CutSuffix(strings.TrimPrefix(e.Name(), "."), partialSuffix)
		pid, own := w.parseOwnSegment(name)
		if partial && own && !processAlive(pid) {
			if err := os.Remove(filepath.Join(o.Dir, e.Name())); err != nil && !os.IsNotExist(err) {
				return nil, err
			}
		}
	}
	go w.run()
	return w, nil
}

// initialRows is the largest number of rows for which memory is allocated when a segment starts.
const initialRows = 1024

// Add gives a row the next number and, if the row belongs to the sample, adds it to the current segment. After
// Close it has no effect.
func (w *Writer) Add(r Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.lastSeq++
	r.Seq = w.lastSeq
	if !Sampled(&r, w.options.SampleFraction) {
		return
	}
	if w.rows == nil {
		w.rows = make([]Row, 0, min(w.options.MaxRows, initialRows))
	}
	w.rows = append(w.rows, r)
	if len(w.rows) >= w.options.MaxRows {
		w.handOverLocked()
	}
}

// handOverLocked queues the current segment, or drops its rows if maxPendingSegments already wait. The caller
// holds mu.
func (w *Writer) handOverLocked() {
	current := segment{w.rows, w.segmentStart, w.dropped}
	select {
	case w.pending <- current:
		w.dropped = 0
	default:
		w.dropped += int64(len(current.rows))
	}
	w.rows = nil
	w.segmentStart = w.options.Now()
}

// run writes queued segments, and queues the current segment when its age reaches Options.Age. It runs in its
// own goroutine until Close ends it.
func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case s, ok := <-w.pending:
			if !ok {
				return
			}
			w.write(s)
		case <-w.ageTicker.C:
			w.mu.Lock()
			if !w.closed && len(w.rows) > 0 && w.options.Now().Sub(w.segmentStart) >= w.options.MaxAge {
				w.handOverLocked()
			}
			w.mu.Unlock()
		}
	}
}

// Close writes all added rows and ends the writer's goroutine.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	remainder := segment{w.rows, w.segmentStart, w.dropped}
	w.rows = nil
	close(w.pending)
	w.mu.Unlock()
	<-w.done
	w.ageTicker.Stop()
	if len(remainder.rows) > 0 || remainder.dropped > 0 {
		w.write(remainder)
	}
}

// Dropped returns the number of dropped rows that no queued or written segment counts.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// errorLogInterval is the shortest interval between two logged errors.
const errorLogInterval = 10 * time.Second

// write writes a segment, and removes the oldest segments if all of the instance take more than Options.Keep
// bytes. If the segment cannot be written, its rows are counted as dropped; later segments are written when the
// disk allows it.
func (w *Writer) write(s segment) {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	err := w.writeFile(s)
	if err == nil {
		err = w.rotate()
	} else {
		w.mu.Lock()
		w.dropped += s.dropped + int64(len(s.rows))
		w.mu.Unlock()
	}
	if now := w.options.Now(); err != nil && now.Sub(w.lastErrorLog) > errorLogInterval {
		w.lastErrorLog = now
		w.options.Log.Warn("access record not written", "dir", w.options.Dir, "error", err, "rows", len(s.rows))
	}
}

// writeFile writes a segment under a temporary name, syncs the file and renames it. If an error occurs, it
// removes the temporary file.
func (w *Writer) writeFile(s segment) (err error) {
	w.lastSegmentNumber++
	name := fmt.Sprintf("%s-%s-%06d%s", w.options.Instance, w.process, w.lastSegmentNumber, segmentSuffix)
	partialPath := filepath.Join(w.options.Dir, "."+name+partialSuffix)
	f, err := os.OpenFile(partialPath, os.O_CREATE|os.O_EXCL|os.O_WRONLY, segmentMode)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			f.Close()
			os.Remove(partialPath)
		}
	}()
	parquetWriter := parquet.NewGenericWriter[Row](f,
		parquet.Compression(&zstd.Codec{Level: zstd.SpeedFastest}),
		parquet.CreatedBy("dunlinsail", fmt.Sprint(Version), ""))
	metadata := map[string]string{
		"version":       fmt.Sprint(Version),
		"instance":      w.options.Instance,
		"process":       w.process,
		"sample":        strconv.FormatFloat(w.options.SampleFraction, 'g', -1, 64),
		"dropped":       fmt.Sprint(s.dropped),
		"began_wall_us": fmt.Sprint(s.start.UnixMicro()),
		"ended_wall_us": fmt.Sprint(w.options.Now().UnixMicro()),
	}
	for key, value := range metadata {
		parquetWriter.SetKeyValueMetadata(key, value)
	}
	if _, err = parquetWriter.Write(s.rows); err != nil {
		return err
	}
	if err = parquetWriter.Close(); err != nil {
		return err
	}
	if err = f.Sync(); err != nil {
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	return os.Rename(partialPath, filepath.Join(w.options.Dir, name))
}

// rotate removes the oldest segments of this instance while its segments together take more than Options.Keep
// bytes. The newest segment is never removed.
func (w *Writer) rotate() error {
	if w.options.MaxTotalBytes <= 0 {
		return nil
	}
	entries, err := os.ReadDir(w.options.Dir)
	if err != nil {
		return err
	}
	type segmentFile struct {
		path    string
		size    int64
		modTime time.Time
	}
	var segments []segmentFile
	var totalBytes int64
	for _, e := range entries {
		info, err := e.Info()
		if _, own := w.parseOwnSegment(e.Name()); !own || err != nil {
			continue // a file of another instance, or removed since ReadDir
		}
		segments = append(segments, segmentFile{filepath.Join(w.options.Dir, e.Name()), info.Size(), info.ModTime()})
		totalBytes += info.Size()
	}
	slices.SortFunc(segments, func(a, b segmentFile) int {
		if order := a.modTime.Compare(b.modTime); order != 0 {
			return order
		}
		return strings.Compare(a.path, b.path)
	})
	for _, oldest := range segments[:max(0, len(segments)-1)] {
		if totalBytes <= w.options.MaxTotalBytes {
			return nil
		}
		if err := os.Remove(oldest.path); err != nil && !os.IsNotExist(err) {
			return err
		}
		totalBytes -= oldest.size
	}
	return nil
}
