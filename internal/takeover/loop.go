package takeover

import (
	"fmt"
	"sync"
	"time"

	"dunlinsail/internal/clock"
	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/monotime"
)

// Loop posts the events of a hot restart to the one goroutine that runs them: messages, deadlines, and any other event
// of its owner. Create one with NewLoop, receive from Events, and run each received event, until Close.
type Loop struct {
	Events     chan func()
	Goroutines sync.WaitGroup // goroutines that post events; they end after Close

	done  chan struct{} // closed by Close
	timer *time.Timer   // of the next deadline
}

// unarmedTimeout is the time until a loop's timer expires if no deadline is armed. The state machines ignore that.
const unarmedTimeout = time.Hour

// NewLoop returns a loop that posts onDeadline whenever the armed deadline has passed.
func NewLoop(onDeadline func()) *Loop {
	l := &Loop{Events: make(chan func()), done: make(chan struct{})}
	l.timer = time.AfterFunc(unarmedTimeout, func() { l.Post(onDeadline) })
	return l
}

// Post passes an event to the receiver of Events, and blocks until it is received or the loop is closed. It reports
// whether the event was received. It may be called by any goroutine except the receiver.
func (l *Loop) Post(event func()) bool {
	select {
	case l.Events <- event:
		return true
	case <-l.done:
		return false
	}
}

// Done returns a channel that is closed by Close.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Close closes the loop, which receives no further event. The caller must wait for Goroutines after it.
func (l *Loop) Close() {
	close(l.done)
	l.timer.Stop()
}

// Arm sets the timer to the earliest of the deadlines; 0 is none. Without any the timer stays as it is.
func (l *Loop) Arm(deadlines ...monotime.Micros) {
	var next monotime.Micros
	for _, d := range deadlines {
		if d != 0 && (next == 0 || d < next) {
			next = d
		}
	}
	if next != 0 {
		l.timer.Reset(max(0, clock.Duration(next-Monotonic())))
	}
}

// After posts an event after a time, unless the loop is closed before.
func (l *Loop) After(d time.Duration, event func()) {
	l.Goroutines.Go(func() {
		select {
		case <-time.After(d):
			l.Post(event)
		case <-l.done:
		}
	})
}

// Read posts a call of received for each message of a connection, on a goroutine of its own. The end of the connection
// is a last message of kind ConnectionLost.
func (l *Loop) Read(c *Conn, onMessage func(c *Conn, m Message)) {
	l.Goroutines.Go(func() {
		for l.readMessage(c, onMessage) {
		}
	})
}

// readMessage posts a call of received for the next message of a connection, and reports whether others may follow. It
// holds c.receiving from before the message leaves the socket until the loop has it.
func (l *Loop) readMessage(c *Conn, onMessage func(c *Conn, m Message)) (connOpen bool) {
	_ = c.awaitMessage() // Read returns the same error
	c.receiveMu.Lock()
	defer c.receiveMu.Unlock()
	m, err := c.Read()
	if err != nil {
		m = Message{Kind: decide.ConnectionLost, Payload: []byte(err.Error())}
	}
	if !l.Post(func() { onMessage(c, m) }) {
		m.CloseFiles()
	}
	return err == nil
}

// PostConnectionLost posts a message of kind ConnectionLost for a connection that cannot be written to, as Read does at
// its end.
func (l *Loop) PostConnectionLost(c *Conn, cause error, onMessage func(c *Conn, m Message)) {
	l.Goroutines.Go(func() {
		l.Post(func() { onMessage(c, Message{Kind: decide.ConnectionLost, Payload: []byte(cause.Error())}) })
	})
}

// HelloMessage returns the first message of a successor.
func HelloMessage() Message {
	return Message{Kind: decide.Hello, Payload: fmt.Append(nil, decide.Version)}
}

// HelloRejectReason returns why a process is rejected by its first message, empty if it is not.
func HelloRejectReason(m Message) string {
	switch {
	case m.Kind != decide.Hello:
		return "that is no takeover"
	case string(m.Payload) != fmt.Sprint(decide.Version):
		return fmt.Sprintf("the process that serves speaks version %d, the other %q", decide.Version, m.Payload)
	}
	return ""
}

// Reject sends the other process that it is rejected, and closes the connection.
func (c *Conn) Reject(reason string) {
	_ = c.Write(Message{Kind: decide.Rejected, Payload: []byte(reason)})
	c.Close()
}
