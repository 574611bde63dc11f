package http1

import (
	"time"

	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/monotime"
)

// closeReason is the reason for which this process closed a client's connection between requests.
type closeReason uint8

const (
	closedExpired    closeReason = iota // the connection was idle for too long
	closedEvicted                       // closed to make room for another connection or to free a descriptor
	closedDraining                      // this process is shutting down
	closedIncomplete                    // this process is shutting down, and only a part of a request had arrived
	closedRejected                      // the limits did not allow a new connection
	numCloseReasons                     // number of close reasons
)

var closeReasonNames = [numCloseReasons]string{"expired", "evicted", "draining", "incomplete", "rejected"}

func (r closeReason) String() string { return closeReasonNames[r] }

// earlyCloseDivisor defines an early close: the connection was idle for less than maxIdleTime / earlyCloseDivisor.
const earlyCloseDivisor = 2

// earlyCloseLogInterval is the shortest interval between two log lines about early closes.
const earlyCloseLogInterval = time.Second

// ClosedConnections is the number of connections that this process has closed between requests for one reason.
type ClosedConnections struct {
	Reason string
	Count  uint64
}

// ClosedConnections returns, for each reason, the number of connections that this process has closed between
// requests.
func (s *Server) ClosedConnections() []ClosedConnections {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	var counts []ClosedConnections
	for reason, count := range s.conns.closedByReason {
		counts = append(counts, ClosedConnections{closeReason(reason).String(), count})
	}
	return counts
}

// closeWithReasonLocked closes the connection of entry and counts it under reason. It does nothing if entry is nil.
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

// logEarlyCloseLocked logs, at most once in earlyCloseLogInterval, that an idle connection is closed long before
// maxIdleTime, because too many connections are open.
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
	// The line is logged in a goroutine, so that a slow reader of the log does not block the mutex.
	go m.log.Info("idle client connection closed early", "client", client.Name, "reason", reason.String(),
		"idle_ms", idle/monotime.Millisecond,
		"idle_of_client", clientOpen-clientBusy, "idle_of_all", totalOpen-totalBusy)
}
