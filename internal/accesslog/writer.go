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
	Dir      string        // created if it does not exist
	Instance string        // name of the instance, a part of the segments' names
	Sample   float64       // fraction of requests to record, above 0 and at most 1 (Sampled)
	Rows     int           // largest number of rows of a segment
	Age      time.Duration // after which a segment is written even if it has fewer rows
	Keep     int64         // bytes of all segments of this instance, the oldest are removed; 0 is no bound
	Log      *slog.Logger
	Now      func() time.Time // the system's clock; nil is time.Now
}

// Writer writes access records. Add never waits for the disk: rows that cannot be written in time are dropped and
// counted. Create one with NewWriter, which starts a goroutine; Close ends it. It is safe for concurrent use.
type Writer struct {
	options Options
	process string // of this run, a part of the segments' names

	mu           sync.Mutex
	rows         []Row     // of the present segment
	segmentStart time.Time // of the present segment
	lastSeq      int64     // number of the latest row
	dropped      int64     // rows dropped since the latest written segment
	closed       bool

	pending           chan segment  // wait for the disk
	done              chan struct{} // closed at the end of run
	ageTicker         *time.Ticker  // at which the present segment's age is checked
	writeMu           sync.Mutex    // held while a segment is written
	lastErrorLog      time.Time     // of the latest logged error
	lastSegmentNumber int           // of the latest segment
}

// segment is a segment that is ready to be written.
type segment struct {
	rows    []Row
	start   time.Time
	dropped int64 // rows dropped before it
}

// maxPendingSegments is the number of segments that may wait for the disk. The rows of further ones are dropped.
const maxPendingSegments = 2

// segmentSuffix is the end of a segment's name.
const segmentSuffix = ".parquet"

// partialSuffix is the end of a segment's name while it is being written.
const partialSuffix = ".part"

// parseOwnSegment reports whether a segment's name is one of this instance's, and returns the id of its process.
func (w *Writer) parseOwnSegment(name string) (pid int, own bool) {
	rest, ok := strings.CutPrefix(name, w.options.Instance+"-")
	rest, complete := strings.CutSuffix(rest, segmentSuffix)
	process, number, numbered := strings.Cut(rest, "-")
	if !ok || !complete || !numbered || strings.Contains(number, "-") {
		return 0, false
	}
	return processID(process)
}

// startDigits is the number of base-36 digits of a process's start in Unix milliseconds, from 1972 to 2059.
const startDigits = 8

// processID returns the process id in a segment name's process part: the start in milliseconds, the letter p and the
// process id, both numbers in base 36. The letter p is also a digit of base 36: the separator is the one after the
// digits of the start, or the first one if the start has fewer digits.
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

// processAlive reports whether a process runs. In a hot restart a successor starts to write while its predecessor still
// writes.
func processAlive(pid int) bool {
	return pid == os.Getpid() || syscall.Kill(pid, 0) == nil
}

const (
	// dirMode and segmentMode let the process's group read the segments.
	dirMode     = 0o750
	segmentMode = 0o640
	// ageChecksPerSegment is the number of times that a segment's age is checked within Options.Age.
	ageChecksPerSegment = 4
	// minAgeCheckInterval bounds the rate of these checks.
	minAgeCheckInterval = 10 * time.Millisecond
)

// NewWriter starts a writer. It removes files that ended processes of the same instance have left incomplete. It fails
// if the folder cannot be used, or the instance's name cannot be a part of a file's name.
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
		ageTicker:    time.NewTicker(max(o.Age/ageChecksPerSegment, minAgeCheckInterval)),
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

// initialRows is the largest number of rows for which memory is allocated before they are added.
const initialRows = 1024

// Add numbers a row and adds it, if it belongs to the sample. After Close it has no effect.
func (w *Writer) Add(r Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.lastSeq++
	r.Seq = w.lastSeq
	if !Sampled(&r, w.options.Sample) {
		return
	}
	if w.rows == nil {
		w.rows = make([]Row, 0, min(w.options.Rows, initialRows))
	}
	w.rows = append(w.rows, r)
	if len(w.rows) >= w.options.Rows {
		w.handOverLocked()
	}
}

// handOverLocked queues the present segment, or drops its rows if too many segments wait. The caller holds mu.
func (w *Writer) handOverLocked() {
	s := segment{w.rows, w.segmentStart, w.dropped}
	select {
	case w.pending <- s:
		w.dropped = 0
	default:
		w.dropped += int64(len(s.rows))
	}
	w.rows = nil
	w.segmentStart = w.options.Now()
}

// run writes queued segments, and queues the present one when it has reached Options.Age. It runs in a goroutine of its
// own, which Close ends.
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
			if !w.closed && len(w.rows) > 0 && w.options.Now().Sub(w.segmentStart) >= w.options.Age {
				w.handOverLocked()
			}
			w.mu.Unlock()
		}
	}
}

// Close writes all rows that were added, and ends the writer's goroutine.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	last := segment{w.rows, w.segmentStart, w.dropped}
	w.rows = nil
	close(w.pending)
	w.mu.Unlock()
	<-w.done
	w.ageTicker.Stop()
	if len(last.rows) > 0 || last.dropped > 0 {
		w.write(last)
	}
}

// Dropped returns the number of rows that were dropped and are not counted in a written segment yet.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// errorLogInterval is the shortest time from one logged error to the next.
const errorLogInterval = 10 * time.Second

// write writes a segment, and removes the oldest ones beyond Options.Keep. The rows of a segment that cannot be written
// are dropped; later segments are written if the disk allows it.
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

// writeFile writes a segment under a temporary name, syncs and renames it. On an error no file is left.
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
		"sample":        strconv.FormatFloat(w.options.Sample, 'g', -1, 64),
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

// rotate removes the oldest segments of this instance while all are larger than Options.Keep. The newest one stays.
func (w *Writer) rotate() error {
	if w.options.Keep <= 0 {
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
			continue // another instance's, or removed in the meantime
		}
		segments = append(segments, segmentFile{filepath.Join(w.options.Dir, e.Name()), info.Size(), info.ModTime()})
		totalBytes += info.Size()
	}
	slices.SortFunc(segments, func(a, b segmentFile) int {
		if c := a.modTime.Compare(b.modTime); c != 0 {
			return c
		}
		return strings.Compare(a.path, b.path)
	})
	for _, f := range segments[:max(0, len(segments)-1)] {
		if totalBytes <= w.options.Keep {
			return nil
		}
		if err := os.Remove(f.path); err != nil && !os.IsNotExist(err) {
			return err
		}
		totalBytes -= f.size
	}
	return nil
}
