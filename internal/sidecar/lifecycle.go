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
	// The platform sends SIGTERM to the old process 6 s after the new one was started at the latest. A hot
	// restart takes three answers and a start, so that one which fails in the last step still leaves time to
	// start with less.
	answerTimeout = time.Second
	readyTimeout  = 2 * time.Second
	// drainTimeout bounds what is open when another process serves, or none is to: longer than any request's
	// time, and than most answers that stream. The platform kills the process before that.
	drainTimeout = 30 * time.Second
	// deadlineMargin is how long after the longest deadline, maxDeadline at most, all must be answered: the platform
	// kills the process 0.7 s after it.
	deadlineMargin = 500 * time.Millisecond
	maxDeadline    = 3 * time.Second
	// stopAcceptDelay is how long a process that stops goes on accepting: clients still connect for 0.4 s.
	stopAcceptDelay = 550 * time.Millisecond
)

// socketName is the socket, in the folder that two versions of a sidecar share, at which the process that
// serves listens for its successor.
const socketName = "dunlinsail.takeover"

// lifecycle is the lifecycle of a sidecar's process from its start to its end: successor of the process that
// serves, if there is one, then serving, then predecessor of the next. The platform holds the clients'
// listening socket, and both processes have it: what is handed over is who accepts on it, what was learned and
// the clients' connections.
//
// Its fields belong to the goroutine of run; others post events to the loop.
type lifecycle struct {
	*takeover.Lifecycle
	sidecar  *sidecar
	listener net.Listener

	offered    []byte     // the snapshot that came with the offer
	earlyConns []net.Conn // connections handed over before this process accepts

	successorListener *takeover.Listener
	acceptResult      chan error // of the frontend's accept loop; nil while it does not run

	stopRequested bool // by the platform

	cordonPeers cordonPeers
}

func newLifecycle(s *sidecar, listener net.Listener) *lifecycle {
	times := decide.Times{
		Ready:  clock.Micros(readyTimeout),
		Answer: clock.Micros(answerTimeout),
		Drain:  clock.Micros(drainTimeout),
	}
	l := &lifecycle{sidecar: s, listener: listener}
	l.Lifecycle = takeover.NewLifecycle(l, s.front, times, s.log)
	l.Successor.OwnsSockets = true
	return l
}

// run takes over or starts alone, serves, and returns once all is answered or handed over.
func (l *lifecycle) run(stop context.Context) error {
	defer l.close()
	l.connect()
	return l.RunLoop(stop.Done(), l.onStop)
}

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
	l.sidecar.front.CloseAll() // nothing is left, unless the start failed
	l.Loop.Goroutines.Wait()
}

// socketPath returns the path of the socket for successors, "" where no other process can have our listening socket.
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
	_ = l.StartAlone() // it has no error to return
}

// ---- Stopping ----------------------------------------------------------------

// onStop carries out the platform's order to stop. The platform counts from the order, however far a hot restart is:
// what is accepted from now on has no more time.
func (l *lifecycle) onStop() {
	l.stopRequested = true
	l.answerInTime()
	l.StepSuccessor(decide.Stop, "")
	if !l.Ended() {
		l.StepPredecessor(decide.Stop)
	}
}

// answerInTime has all answered in time after an order to stop that comes now. Requests that are only partly
// received by then cannot be answered.
func (l *lifecycle) answerInTime() {
	log := l.sidecar.log
	left := min(maxDeadline, longestDeadline(l.sidecar.config)) + deadlineMargin
	log.Info("stop requested", "while", l.Predecessor.String(), "all answered within", left)
	l.sidecar.front.SetResponseDeadline(l.sidecar.clock.Now() + clock.Micros(left))
	l.Loop.After(left, func() {
		if n := l.sidecar.front.ClosePartialRequests(); n > 0 {
			log.Warn("incomplete requests closed", "connections", n)
		}
	})
}

// longestDeadline is the longest time that a client waits.
func longestDeadline(c *platform.Config) time.Duration {
	var longest time.Duration
	for _, class := range c.Site.Settings.Classes {
		longest = max(longest, clock.Duration(class.ClientTimeout))
	}
	return longest
}

// ---- Accepting clients ---------------------------------------------------------

// accept starts the accept loop. Its goroutine ends when pause sets a deadline on the listener, or with the listener.
func (l *lifecycle) accept() {
	result := make(chan error, 1)
	l.acceptResult = result
	l.setDeadline(time.Time{})
	l.sidecar.accepting.Store(true)
	l.Loop.Goroutines.Go(func() {
		result <- l.sidecar.front.Accept(l.listener, l.sidecar.identify)
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
func (l *lifecycle) pause() {
	l.sidecar.accepting.Store(false)
	if l.acceptResult != nil {
		l.setDeadline(time.Unix(1, 0))
		<-l.acceptResult
		l.acceptResult = nil
	}
}

func (l *lifecycle) setDeadline(t time.Time) {
	if listener, ok := l.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = listener.SetDeadline(t) // it fails on a closed listener only
	}
}
