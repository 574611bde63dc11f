package daemon

import (
	"bufio"
	"log/slog"
	"os"
	"strconv"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/monotime"
)

// spentLog writes a line for each unit that is spent from a budget. The line holds the time since the host's
// boot in microseconds, which is the same for all processes of the host, and the name of the budget.
type spentLog struct {
	pendingLines chan string   // lines that the writer has not taken yet
	writerDone   chan struct{} // closed once the writer's goroutine has ended
	dropped      bool          // reports whether lines were dropped since the log last noted a gap
}

const (
	// spentLogBufferLines is the number of lines that can wait for a slow disk. Further lines are dropped, and one
	// line in the log notes the gap.
	spentLogBufferLines = 1 << 14
	spentLogMode        = 0o600 // access for the daemon's user only
)

// openSpentLog opens the log file at a path for appending, and starts the goroutine that writes to it. close
// ends that goroutine.
func openSpentLog(path string, log *slog.Logger) (*spentLog, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, spentLogMode)
	if err != nil {
		return nil, err
	}
	spent := &spentLog{pendingLines: make(chan string, spentLogBufferLines), writerDone: make(chan struct{})}
	go func() {
		defer close(spent.writerDone)
		defer file.Close()
		writer := bufio.NewWriter(file)
		for line := range spent.pendingLines {
			_, _ = writer.WriteString(line) // the error is returned by Flush
			// The buffer is flushed whenever no line is pending, so that these lines are kept if the process is
			// killed.
			if len(spent.pendingLines) > 0 || writer.Flush() == nil {
				continue
			}
			// The disk may be full. The budgets are enforced without this log, so all later lines are
			// discarded.
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

// recordSpent queues the line for one spent unit. It never waits for the disk.
func (spent *spentLog) recordSpent(_ monotime.Micros, budget string) {
	if spent.dropped && len(spent.pendingLines) < spentLogBufferLines/2 {
		spent.dropped = false
		spent.pendingLines <- "# some are missing\n"
	}
	select {
	case spent.pendingLines <- strconv.FormatInt(clock.BootTime(), 10) + " " + budget + "\n":
	default:
		spent.dropped = true
	}
}

// close writes the pending lines and closes the file. It does nothing on a nil log.
func (spent *spentLog) close() {
	if spent != nil {
		close(spent.pendingLines)
		<-spent.writerDone
	}
}
