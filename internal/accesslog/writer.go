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
	Dir      string
	Instance string        // its name, a part of the segments' names
	Sample   float64       // of the requests, over 0 to 1 (Sampled)
	Rows     int           // of a segment at most
	Age      time.Duration // a segment is ended after so long
	Keep     int64         // bytes of all of this instance's segments: the oldest go first; 0 is no bound
	Log      *slog.Logger
	Now      func() time.Time // the system's clock; nil is time.Now
}

// Writer writes access records. Add never waits for the disk: rows that cannot be written in time are dropped and counted.
type Writer struct {
	options Options
	process string // of this run, a part of the segments' names

	mu           sync.Mutex
	rows         []Row
	segmentStart time.Time // of the present segment
	seq          int64
	dropped      int64
	closed       bool

	pending chan segment
	done    chan struct{}
	tick    *time.Ticker
	writing sync.Mutex // one segment at a time
	lastLog time.Time
	number  int
}

// segment is one that is ready to be written.
type segment struct {
	rows    []Row
	began   time.Time
	dropped int64
}

// maxPendingSegments is how many segments may wait for the disk.
const maxPendingSegments = 2

// segmentSuffix is that of a segment's name.
const segmentSuffix = ".parquet"

// partialSuffix is what a segment's name ends in while it is being written.
const partialSuffix = ".part"

// ownSegment says whether a segment's name is one of this instance's, and of which process.
func (w *Writer) ownSegment(name string) (pid int, ours bool) {
	rest, ok := strings.CutPrefix(name, w.options.Instance+"-")
	rest, whole := strings.CutSuffix(rest, segmentSuffix)
	process, number, two := strings.Cut(rest, "-")
	if !ok || !whole || !two || strings.Contains(number, "-") {
		return 0, false
	}
	return processID(process)
}

// startDigits is how many base-36 digits the Unix milliseconds of a process's start have, from 1972 to 2059.
const startDigits = 8

// processID returns the process id in a segment name's process part: the start in milliseconds, the letter p and the
// process id, both numbers in base 36. The letter is a digit of base 36 too, so the separator is looked for behind the
// digits of the start; a start of fewer digits ends at the first one.
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

// processAlive reports whether a process runs: a successor starts to write while its predecessor still does.
func processAlive(pid int) bool {
	return pid == os.Getpid() || syscall.Kill(pid, 0) == nil
}

// NewWriter starts a writer in a folder, which it makes if need be. Files that a process left half written are
// removed.
func NewWriter(o Options) (*Writer, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if err := os.MkdirAll(o.Dir, 0o750); err != nil {
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
		tick:         time.NewTicker(max(o.Age/4, 10*time.Millisecond)),
	}
	entries, err := os.ReadDir(o.Dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		name, part := strings.CutSuffix(strings.TrimPrefix(e.Name(), "."), partialSuffix)
		pid, ours := w.ownSegment(name)
		if part && ours && !processAlive(pid) {
			if err := os.Remove(filepath.Join(o.Dir, e.Name())); err != nil && !os.IsNotExist(err) {
				return nil, err
			}
		}
	}
	go w.run()
	return w, nil
}

// Add adds a row, whose number it gives.
func (w *Writer) Add(r Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.seq++
	r.Seq = w.seq
	if !Sampled(&r, w.options.Sample) {
		return
	}
	if w.rows == nil {
		w.rows = make([]Row, 0, min(w.options.Rows, 1024))
	}
	w.rows = append(w.rows, r)
	if len(w.rows) >= w.options.Rows {
		w.handOverLocked()
	}
}

// handOverLocked hands the present segment on. The caller holds mu.
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

// run writes segments, and ends those that have grown old.
func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case s, ok := <-w.pending:
			if !ok {
				return
			}
			w.write(s)
		case <-w.tick.C:
			w.mu.Lock()
			if !w.closed && len(w.rows) > 0 && w.options.Now().Sub(w.segmentStart) >= w.options.Age {
				w.handOverLocked()
			}
			w.mu.Unlock()
		}
	}
}

// Close writes what is held, and ends the writer.
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
	w.tick.Stop()
	if len(last.rows) > 0 || last.dropped > 0 {
		w.write(last)
	}
}

// Dropped returns how many rows were dropped and not told of in a segment yet.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// write writes a segment. One that cannot be written is dropped: the disk may have room again for the next.
func (w *Writer) write(s segment) {
	w.writing.Lock()
	defer w.writing.Unlock()
	err := w.writeFile(s)
	if err == nil {
		err = w.rotate()
	} else {
		w.mu.Lock()
		w.dropped += s.dropped + int64(len(s.rows))
		w.mu.Unlock()
	}
	if now := w.options.Now(); err != nil && now.Sub(w.lastLog) > 10*time.Second {
		w.lastLog = now
		w.options.Log.Warn("access record not written", "dir", w.options.Dir, "error", err, "rows", len(s.rows))
	}
}

func (w *Writer) writeFile(s segment) (err error) {
	w.number++
	name := fmt.Sprintf("%s-%s-%06d%s", w.options.Instance, w.process, w.number, segmentSuffix)
	part := filepath.Join(w.options.Dir, "."+name+partialSuffix)
	f, err := os.OpenFile(part, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			f.Close()
			os.Remove(part)
		}
	}()
	p := parquet.NewGenericWriter[Row](f,
		parquet.Compression(&zstd.Codec{Level: zstd.SpeedFastest}),
		parquet.CreatedBy("dunlinsail", fmt.Sprint(Version), ""))
	metadata := map[string]string{
		"version":       fmt.Sprint(Version),
		"instance":      w.options.Instance,
		"process":       w.process,
		"sample":        strconv.FormatFloat(w.options.Sample, 'g', -1, 64),
		"dropped":       fmt.Sprint(s.dropped),
		"began_wall_us": fmt.Sprint(s.began.UnixMicro()),
		"ended_wall_us": fmt.Sprint(w.options.Now().UnixMicro()),
	}
	for key, v := range metadata {
		p.SetKeyValueMetadata(key, v)
	}
	if _, err = p.Write(s.rows); err != nil {
		return err
	}
	if err = p.Close(); err != nil {
		return err
	}
	if err = f.Sync(); err != nil {
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	return os.Rename(part, filepath.Join(w.options.Dir, name))
}

// rotate removes the oldest of this instance's segments where they are too many.
func (w *Writer) rotate() error {
	if w.options.Keep <= 0 {
		return nil
	}
	entries, err := os.ReadDir(w.options.Dir)
	if err != nil {
		return err
	}
	type file struct {
		path string
		size int64
		at   time.Time
	}
	var all []file
	var sum int64
	for _, e := range entries {
		info, err := e.Info()
		if _, ours := w.ownSegment(e.Name()); !ours || err != nil {
			continue // another's, or somebody else removed it
		}
		all = append(all, file{filepath.Join(w.options.Dir, e.Name()), info.Size(), info.ModTime()})
		sum += info.Size()
	}
	slices.SortFunc(all, func(a, b file) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.path, b.path)
	})
	for _, f := range all[:max(0, len(all)-1)] { // the newest stays in any case
		if sum <= w.options.Keep {
			return nil
		}
		if err := os.Remove(f.path); err != nil && !os.IsNotExist(err) {
			return err
		}
		sum -= f.size
	}
	return nil
}
