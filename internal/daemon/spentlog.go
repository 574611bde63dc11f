package daemon

import (
	"bufio"
	"log/slog"
	"os"
	"strconv"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/monotime"
)

// spentLog writes a line for each unit that is spent of a budget: the host's time since it came up in
// microseconds, which all its processes read alike, and the budget.
type spentLog struct {
	lines   chan string
	done    chan struct{}
	dropped bool
}

// spentLogBuffer is how many lines wait for a slow disk; beyond that lines are dropped, and one line says so.
const spentLogBuffer = 1 << 14

func openSpentLog(path string, log *slog.Logger) (*spentLog, error) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	s := &spentLog{lines: make(chan string, spentLogBuffer), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		defer f.Close()
		w := bufio.NewWriter(f)
		for line := range s.lines {
			_, _ = w.WriteString(line)                // its error comes again with Flush
			if len(s.lines) > 0 || w.Flush() == nil { // what a process that is killed has spent is to be known
				continue
			}
			// The disk may be full: what is spent is bounded all the same. A writer that has failed writes
			// nothing more.
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

// record writes a unit. It never waits.
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

func (s *spentLog) close() {
	if s != nil {
		close(s.lines)
		<-s.done
	}
}
