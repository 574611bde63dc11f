package http1

import (
	"time"

	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/monotime"
)

// closeReason is why this process closed a client's connection between requests.
type closeReason uint8

const (
	closedExpired    closeReason = iota // it was idle for too long
	closedEvicted                       // for another connection, or for lack of descriptors
	closedDraining                      // this process stops serving
	closedIncomplete                    // the same, and only a part of a request had arrived
	closedRejected                      // it was new, and the limits did not allow it
	numCloseReasons                     // number of reasons
)

var closeReasonNames = [numCloseReasons]string{"expired", "evicted", "draining", "incomplete", "rejected"}

func (r closeReason) String() string { return closeReasonNames[r] }

// earlyCloseDivisor: a connection is closed early if it was idle for less than this part of the longest idle time.
const earlyCloseDivisor = 2

// earlyCloseLogInterval is how long after an early close has been logged another one is not.
const earlyCloseLogInterval = time.Second

// ClosedConnections is how many connections this process has closed between requests for one reason.
type ClosedConnections struct {
	Reason string
	Count  uint64
}

// ClosedConnections returns how many connections this process has closed between requests, by reason.
func (s *Server) ClosedConnections() []ClosedConnections {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	var counts []ClosedConnections
	for reason, n := range s.conns.closedByReason {
		counts = append(counts, ClosedConnections{closeReason(reason).String(), n})
	}
	return counts
}

// closeWithReasonLocked closes a connection for a reason, and counts it; nil is none.
func (m *connManager) closeWithReasonLocked(entry *connlimit.Conn[*conn], reason closeReason) {
	if entry == nil {
		return
	}
	m.closedByReason[reason]++
	if reason == closedExpired || reason == closedEvicted {
		m.logEarlyCloseLocked(entry, reason)
	}
	m.closeLocked(entry)
}

// logEarlyCloseLocked logs, once in earlyCloseLogInterval at most, that an idle connection is closed long before the
// longest idle time, because there are many.
func (m *connManager) logEarlyCloseLocked(entry *connlimit.Conn[*conn], reason closeReason) {
	now := m.clock.Now()
	idle := entry.IdleTime(now)
	if idle >= m.maxIdleTime/earlyCloseDivisor || now < m.nextEarlyCloseLog {
		return
	}
	m.nextEarlyCloseLog = now + monotime.Micros(earlyCloseLogInterval/time.Microsecond)
	client := entry.Value.client
	totalOpen, totalBusy := m.table.Counts()
	clientOpen, clientBusy := client.connOwner.Connections()
	// In a goroutine, because a slow reader of the log must not hold the mutex.
	go m.log.Info("idle client connection closed early", "client", client.Name, "reason", reason.String(),
		"idle_ms", idle/monotime.Millisecond,
		"idle_of_client", clientOpen-clientBusy, "idle_of_all", totalOpen-totalBusy)
}
