package daemon

import (
	"bufio"
	"log/slog"
	"os"
	"strconv"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/monotime"
)

// spentLog writes a line for each unit that is spent of a budget: the time since the host's boot in microseconds, which
// all its processes read alike, and the budget's name.
type spentLog struct {
	lines   chan string
	done    chan struct{} // closed once the writer's goroutine has ended
	dropped bool          // reports whether lines were dropped since the last line that says so
}

const (
	spentLogBuffer = 1 << 14 // lines that wait for a slow disk; further lines are dropped, and one line says so
	spentLogMode   = 0o600   // the daemon's user only
)

// openSpentLog opens the log at a path for appending, and starts its writer, which ends with close.
func openSpentLog(path string, log *slog.Logger) (*spentLog, error) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, spentLogMode)
	if err != nil {
		return nil, err
	}
	s := &spentLog{lines: make(chan string, spentLogBuffer), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		defer f.Close()
		w := bufio.NewWriter(f)
		for line := range s.lines {
			_, _ = w.WriteString(line)                // Flush returns its error
			if len(s.lines) > 0 || w.Flush() == nil { // flushed whenever no line waits, for a process that is killed
				continue
			}
			// The disk may be full. The budgets are enforced without this log, so that the rest is discarded.
			log.Error("spent log failed", "file", path)
			for range s.lines {
			}
			return
		}
		if err := w.Flush(); err != nil {
			log.Error("spent log failed", "file", path, "error", err)
		}
	}()
	return s, nil
}

// record writes the line of one unit. It never waits for the disk.
func (s *spentLog) record(_ monotime.Micros, budget string) {
	if s.dropped && len(s.lines) < spentLogBuffer/2 {
		s.dropped = false
		s.lines <- "# some are missing\n"
	}
	select {
	case s.lines <- strconv.FormatInt(clock.BootTime(), 10) + " " + budget + "\n":
	default:
		s.dropped = true
	}
}

// close writes the waiting lines and closes the file. It does nothing on a nil log.
func (s *spentLog) close() {
	if s != nil {
		close(s.lines)
		<-s.done
	}
}
