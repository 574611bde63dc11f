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
	pendingLines chan string
	writerDone   chan struct{} // closed once the writer's goroutine has ended
	dropped      bool          // reports whether lines were dropped since the last line that says so
}

const (
	spentLogBuffer = 1 << 14 // lines that wait for a slow disk; further lines are dropped, and one line says so
	spentLogMode   = 0o600   // the daemon's user only
)

// openSpentLog opens the log at a path for appending, and starts its writer, which ends with close.
func openSpentLog(path string, log *slog.Logger) (*spentLog, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, spentLogMode)
	if err != nil {
		return nil, err
	}
	spent := &spentLog{pendingLines: make(chan string, spentLogBuffer), writerDone: make(chan struct{})}
	go func() {
		defer close(spent.writerDone)
		defer file.Close()
		writer := bufio.NewWriter(file)
		for line := range spent.pendingLines {
			_, _ = writer.WriteString(line)                           // Flush returns its error
			if len(spent.pendingLines) > 0 || writer.Flush() == nil { // flushed whenever no line waits, for a process that is killed
				continue
			}
			// The disk may be full. The budgets are enforced without this log, so that the rest is discarded.
			log.Error("spent log failed", "file", path)
			for range spent.pendingLines {
			}
			return
		}
		if err := writer.Flush(); err != nil {
			log.Error("spent log failed", "file", path, "error", err)
		}
	}()
	return spent, nil
}

// record writes the line of one unit. It never waits for the disk.
func (spent *spentLog) record(_ monotime.Micros, budget string) {
	if spent.dropped && len(spent.pendingLines) < spentLogBuffer/2 {
		spent.dropped = false
		spent.pendingLines <- "# some are missing\n"
	}
	select {
	case spent.pendingLines <- strconv.FormatInt(clock.BootTime(), 10) + " " + budget + "\n":
	default:
		spent.dropped = true
	}
}

// close writes the waiting lines and closes the file. It does nothing on a nil log.
func (spent *spentLog) close() {
	if spent != nil {
		close(spent.pendingLines)
		<-spent.writerDone
	}
}
