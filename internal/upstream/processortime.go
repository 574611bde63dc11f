package upstream

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/monotime"
)

// processorTimeInterval is the minimum time between two reads of the processor times of threads, which are read
// while connections are in their reuse delays.
const processorTimeInterval = 250 * time.Millisecond

// ownThreadsDirectory has a subdirectory for each thread of this process, with the scheduler statistics of the
// thread in the file schedstat.
const ownThreadsDirectory = "/proc/self/task"

// processorTime is how long threads have run, and how long they have been runnable and waited for a processor.
type processorTime struct {
	ran    monotime.Micros
	waited monotime.Micros
}

// processorTimes measures the processor time of the threads of this process. Its methods must not be called
// concurrently.
type processorTimes struct {
	directory string                   // in the layout of ownThreadsDirectory; "": no statistics are read
	threads   map[string]processorTime // as read last, by thread ID
	readAt    time.Time
}

// sinceLastRead returns the processor time of all threads since the last read. The first call returns the time
// since the start of the process. sinceLastRead returns zero without a read if the last read was less than
// processorTimeInterval ago, and zero where the operating system has no such statistics.
func (p *processorTimes) sinceLastRead(now time.Time) (total processorTime) {
	if p.directory == "" || now.Sub(p.readAt) < processorTimeInterval {
		return total
	}
	p.readAt = now
	entries, err := os.ReadDir(p.directory)
	if err != nil {
		return total
	}
	threads := make(map[string]processorTime, len(entries))
	for _, entry := range entries {
		thread := entry.Name()
		used, found := readProcessorTime(filepath.Join(p.directory, thread, "schedstat"))
		if !found {
			continue // the thread has ended
		}
		threads[thread] = used
		total.ran += used.ran - p.threads[thread].ran
		total.waited += used.waited - p.threads[thread].waited
	}
	p.threads = threads
	return total
}

// readProcessorTime reads the scheduler statistics of a thread from a file. The file contains the nanoseconds
// for which the thread has run, those for which it has waited, and how often it was scheduled.
func readProcessorTime(path string) (used processorTime, found bool) {
	text, err := os.ReadFile(path)
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return used, false
	}
	ran, ranErr := strconv.ParseInt(fields[0], 10, 64)
	waited, waitedErr := strconv.ParseInt(fields[1], 10, 64)
	used = processorTime{
		ran:    clock.Micros(time.Duration(ran)),
		waited: clock.Micros(time.Duration(waited)),
	}
	return used, ranErr == nil && waitedErr == nil
}
