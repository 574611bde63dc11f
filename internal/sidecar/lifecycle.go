package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"time"

	"dunlinsail/internal/clock"
	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/platform"
	"dunlinsail/internal/takeover"
)

const (
	// replyTimeout bounds each of the three answers of a hot restart, and readyTimeout the successor's start. Together
	// they are below the 6 s after which the platform sends SIGTERM to the predecessor, so that a successor whose hot
	// restart fails in the last step still has time to start alone.
	replyTimeout = time.Second
	readyTimeout = 2 * time.Second
	// drainTimeout bounds how long connections stay open once this process accepts no more. It is longer than any
	// request's deadline and than most streamed responses; the platform usually kills the process earlier.
	drainTimeout = 30 * time.Second
	// deadlineMargin is added to the longest client deadline to give the time within which everything is answered after
	// a stop. It is below the 0.7 s after that deadline at which the platform kills the process.
	deadlineMargin = 500 * time.Millisecond
	// maxDeadline bounds the client deadline that a stop waits for.
	maxDeadline = 3 * time.Second
	// stopAcceptDelay is how long a process that stops goes on accepting. Clients still connect for 0.4 s after a stop.
	stopAcceptDelay = 550 * time.Millisecond
)

// socketName is the unix socket at which the process that serves listens for its successor, in the folder that the two
// processes of a hot restart share.
const socketName = "dunlinsail.takeover"

// lifecycle is the lifecycle of a sidecar's process from its start to its end: successor of the process that serves, if
// there is one, then serving, then predecessor of the next. The platform holds the clients' listening socket, and both
// processes have it. A handover moves accepting on that socket, the learned state and the clients' connections.
//
// Its fields belong to the goroutine of run; other goroutines post events to Loop.
type lifecycle struct {
	*takeover.Lifecycle
	sidecar  *sidecar
	listener net.Listener

	offeredSnapshot []byte     // the snapshot that came with the offer
	earlyConns      []net.Conn // handed over before this process accepts
	startedServing  bool       // it has started to accept, which it may have ended since

	successorListener *takeover.Listener // nil before this process serves, and without a shared folder
	acceptResult      chan error         // of the frontend's accept loop; nil while it does not run

	stopRequested bool // by the platform

	cordonPeers cordonPeers
}

func newLifecycle(s *sidecar, listener net.Listener) *lifecycle {
	times := decide.Times{
		Ready:  clock.Micros(readyTimeout),
		Answer: clock.Micros(replyTimeout),
		Drain:  clock.Micros(drainTimeout),
	}
	l := &lifecycle{sidecar: s, listener: listener}
	l.Lifecycle = takeover.NewLifecycle(l, s.frontend, times, s.log)
	l.Successor.OwnsSockets = true
	return l
}

// run takes over or starts alone, serves, and returns once every request is answered or handed over.
func (l *lifecycle) run(stop context.Context) error {
	defer l.close()
	l.connect()
	return l.RunLoop(stop.Done(), l.onStop)
}

// close releases every socket and connection, and waits for the goroutines that post events.
func (l *lifecycle) close() {
	l.CloseLoop()
	if l.successorListener != nil {
		l.successorListener.Close()
	}
	l.listener.Close()
	l.CloseConns()
	for _, conn := range l.earlyConns {
		conn.Close()
	}
	l.sidecar.frontend.CloseAll() // there are connections only if the start failed
	l.Loop.Goroutines.Wait()
}

// socketPath returns the path of the socket for successors. It is "" without a shared folder, when no other process can
// have this process's listening socket.
func (l *lifecycle) socketPath() string {
	if l.sidecar.config.SharedDir == "" {
		return ""
	}
	return filepath.Join(l.sidecar.config.SharedDir, socketName)
}

// connect starts as the successor of the process that serves, or alone.
func (l *lifecycle) connect() {
	if path := l.socketPath(); path != "" {
		conn, err := takeover.Dial(path)
		if err == nil {
			l.sidecar.log.Info("hot restart started")
			l.Connect(conn)
			return
		}
		if !errors.Is(err, syscall.ENOENT) && !errors.Is(err, syscall.ECONNREFUSED) {
			l.sidecar.log.Warn("predecessor not reachable", "error", err)
		}
	}
	l.Successor.ServeAlone()
	_ = l.StartAlone() // the error is always nil
}

// ---- Stopping ----------------------------------------------------------------

// onStop handles the platform's order to stop. The platform's time limit runs from this moment, whatever the state of a
// hot restart, and also for requests that are accepted later.
func (l *lifecycle) onStop() {
	l.stopRequested = true
	l.limitResponseTime()
	l.StepSuccessor(decide.Stop, "")
	if !l.Ended() {
		l.StepPredecessor(decide.Stop)
	}
}

// limitResponseTime bounds the time of every response, so that all are sent before the platform kills the process.
// Requests that are only partly received by then cannot be answered, and their connections are closed.
func (l *lifecycle) limitResponseTime() {
	log := l.sidecar.log
	limit := min(maxDeadline, longestDeadline(l.sidecar.config)) + deadlineMargin
	log.Info("stop requested", "while", l.Predecessor.String(), "all answered within", limit)
	l.sidecar.frontend.SetResponseDeadline(l.sidecar.clock.Now() + clock.Micros(limit))
	l.Loop.After(limit, func() {
		if n := l.sidecar.frontend.ClosePartialRequests(); n > 0 {
			log.Warn("incomplete requests closed", "connections", n)
		}
	})
}

// longestDeadline returns the longest client timeout of all classes.
func longestDeadline(c *platform.Config) time.Duration {
	var longest time.Duration
	for _, class := range c.Site.Settings.Classes {
		longest = max(longest, clock.Duration(class.ClientTimeout))
	}
	return longest
}

// ---- Accepting clients ---------------------------------------------------------

// accept starts the accept loop. Its goroutine ends when pause sets a deadline on the listener, or with the listener.
func (l *lifecycle) startAccepting() {
	result := make(chan error, 1)
	l.acceptResult = result
	l.setAcceptDeadline(time.Time{})
	l.sidecar.accepting.Store(true)
	l.Loop.Goroutines.Go(func() {
		result <- l.sidecar.frontend.Accept(l.listener, l.sidecar.identify)
		l.Loop.Post(func() { l.onAcceptEnded(result) })
	})
}

// onAcceptEnded ends the process if the accept loop failed. It does nothing if pause ended that loop.
func (l *lifecycle) onAcceptEnded(result chan error) {
	if l.acceptResult != result {
		return
	}
	l.acceptResult = nil
	if err := <-result; err != nil {
		l.End(fmt.Errorf("serve: %w", err))
	}
}

// pause ends the accept loop. Clients that connect from then on wait in the socket's queue.
func (l *lifecycle) stopAcceptLoop() {
	l.sidecar.accepting.Store(false)
	if l.acceptResult != nil {
		l.setAcceptDeadline(time.Unix(1, 0))
		<-l.acceptResult
		l.acceptResult = nil
	}
}

// setAcceptDeadline sets the instant at which a waiting Accept returns; the zero time is never.
func (l *lifecycle) setAcceptDeadline(t time.Time) {
	if listener, ok := l.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = listener.SetDeadline(t) // it fails only on a closed listener
	}
}
