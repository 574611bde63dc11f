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
	// replyTimeout bounds the wait for each of the three replies of a hot restart, and readyTimeout bounds the wait
	// until the successor is ready. Their sum, 5 s, is below the 6 s after which the platform sends SIGTERM to the
	// predecessor, so that a successor whose hot restart fails in the last step still has time to start alone.
	replyTimeout = time.Second
	readyTimeout = 2 * time.Second
	// drainTimeout bounds how long connections stay open after this process has stopped accepting. It is longer
	// than the deadline of any request and the duration of most streamed responses. The platform usually kills the
	// process earlier.
	drainTimeout = 30 * time.Second
	// deadlineMargin is added to the longest client deadline to get the time limit for all responses after a stop
	// request. The margin is below 0.7 s, because the platform kills the process 0.7 s after the longest deadline.
	deadlineMargin = 500 * time.Millisecond
	// maxDeadline limits how long a stop waits for requests with the longest client deadline.
	maxDeadline = 3 * time.Second
	// stopAcceptDelay is the time for which a process still accepts connections after it starts to drain. Clients
	// may connect for up to 0.4 s after a stop request.
	stopAcceptDelay = 550 * time.Millisecond
)

// socketName is the file name of the unix socket on which the serving process listens for its successor. It is in
// the folder that the two processes of a hot restart share.
const socketName = "dunlinsail.takeover"

// lifecycle controls a sidecar's process from its start to its end. The process starts as the successor of the
// serving process, if there is one, then serves, and then is the predecessor of the next process. The platform
// owns the listening socket for clients and passes it to both processes. In a handover, the successor starts to
// accept on that socket, and receives the learned state and the clients' connections.
//
// Only the goroutine of run uses the fields; other goroutines post events to Loop.
type lifecycle struct {
	*takeover.Lifecycle
	sidecar  *sidecar
	listener net.Listener

	offeredSnapshot []byte     // snapshot from the predecessor's offer, until it is restored
	earlyConns      []net.Conn // connections that were handed over before this process serves
	startedServing  bool       // whether this process has ever started to accept clients

	successorListener *takeover.Listener // nil before this process serves, and without a shared folder
	acceptResult      chan error         // result of the accept loop; nil while the loop does not run

	stopRequested bool // whether the platform has requested a stop

	cordonPeers takeover.CordonPeers
}

func newLifecycle(s *sidecar, listener net.Listener) *lifecycle {
	timeouts := decide.Times{
		Ready: clock.Micros(readyTimeout),
		Reply: clock.Micros(replyTimeout),
		Drain: clock.Micros(drainTimeout),
	}
	l := &lifecycle{sidecar: s, listener: listener}
	l.Lifecycle = takeover.NewLifecycle(l, s.frontend, timeouts, s.log)
	l.Successor.OwnsSockets = true
	return l
}

// run takes over from a predecessor or starts alone, serves, and returns once every request has its final response
// or its connection was handed over.
func (l *lifecycle) run(stop context.Context) error {
	defer l.close()
	l.connect()
	return l.RunLoop(stop.Done(), l.onStop)
}

// close closes every socket and connection, and waits for the goroutines that post events.
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
	l.sidecar.frontend.CloseAll() // connections are still open only if the start failed
	l.Loop.Goroutines.Wait()
}

// socketPath returns the path of the unix socket on which this process listens for a successor. It returns ""
// without a shared folder, because then no other process can share the clients' listening socket.
func (l *lifecycle) socketPath() string {
	if l.sidecar.config.SharedDir == "" {
		return ""
	}
	return filepath.Join(l.sidecar.config.SharedDir, socketName)
}

// connect starts this process as the successor of the serving process, or alone if there is none.
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

// onStop handles the platform's stop request. The platform's time limit starts at this moment, regardless of the
// state of a hot restart, and also applies to requests that are accepted later.
func (l *lifecycle) onStop() {
	l.stopRequested = true
	l.limitResponseTime()
	l.StepSuccessor(decide.Stop, "")
	if !l.Ended() {
		l.StepPredecessor(decide.Stop)
	}
}

// limitResponseTime sets a deadline for all responses, so that they are sent before the platform kills the
// process. At that deadline, connections with an incompletely received request are closed, because such a request
// cannot get a response any more.
func (l *lifecycle) limitResponseTime() {
	log := l.sidecar.log
	responseTimeout := min(maxDeadline, longestDeadline(l.sidecar.config)) + deadlineMargin
	log.Info("stop requested", "while", l.Predecessor.String(), "all answered within", responseTimeout)
	l.sidecar.frontend.SetResponseDeadline(l.sidecar.clock.Now() + clock.Micros(responseTimeout))
	l.Loop.After(responseTimeout, func() {
		if closedConns := l.sidecar.frontend.ClosePartialRequests(); closedConns > 0 {
			log.Warn("incomplete requests closed", "connections", closedConns)
		}
	})
}

// longestDeadline returns the longest client timeout of all request classes.
func longestDeadline(c *platform.Config) time.Duration {
	var longest time.Duration
	for _, class := range c.Site.Settings.Classes {
		longest = max(longest, clock.Duration(class.ClientTimeout))
	}
	return longest
}

// ---- Accepting clients ---------------------------------------------------------

// startAccepting starts the accept loop. The loop ends when stopAcceptLoop sets a deadline on the listener, or
// when the listener is closed or fails.
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

// onAcceptEnded ends the process with an error if the accept loop has failed. It does nothing if stopAcceptLoop
// ended that loop.
func (l *lifecycle) onAcceptEnded(result chan error) {
	if l.acceptResult != result {
		return
	}
	l.acceptResult = nil
	if err := <-result; err != nil {
		l.End(fmt.Errorf("serve: %w", err))
	}
}

// stopAcceptLoop ends the accept loop. Clients that connect afterwards wait in the socket's accept queue.
func (l *lifecycle) stopAcceptLoop() {
	l.sidecar.accepting.Store(false)
	if l.acceptResult != nil {
		l.setAcceptDeadline(time.Unix(1, 0))
		<-l.acceptResult
		l.acceptResult = nil
	}
}

// setAcceptDeadline sets the time at which a waiting Accept returns with an error. The zero time means no deadline.
func (l *lifecycle) setAcceptDeadline(t time.Time) {
	if listener, ok := l.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = listener.SetDeadline(t) // fails only if the listener is closed
	}
}
