package takeover

import (
	"fmt"
	"sync"
	"time"

	"dunlinsail/internal/clock"
	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/monotime"
)

// Loop passes the events of a hot restart to the one goroutine that runs them. Events are messages, deadlines,
// and any other event that the owner of the loop posts. Create a loop with NewLoop, and run each event that is
// received from Events until Close.
type Loop struct {
	Events     chan func()
	Goroutines sync.WaitGroup // goroutines that post events; each ends after Close at the latest

	done  chan struct{} // closed by Close
	timer *time.Timer   // expires at the earliest armed deadline
}

// unarmedTimeout is the time until the timer of a new loop expires if no deadline is armed. The state machines
// ignore the resulting event.
const unarmedTimeout = time.Hour

// NewLoop returns a loop that posts onDeadline whenever the armed deadline has passed.
func NewLoop(onDeadline func()) *Loop {
	l := &Loop{Events: make(chan func()), done: make(chan struct{})}
	l.timer = time.AfterFunc(unarmedTimeout, func() { l.Post(onDeadline) })
	return l
}

// Post passes an event to the receiver of Events. It blocks until the event is received or the loop is closed,
// and reports whether the event was received. Any goroutine except the receiver may call it.
func (l *Loop) Post(event func()) bool {
	select {
	case l.Events <- event:
		return true
	case <-l.done:
		return false
	}
}

// Done returns a channel that is closed when the loop is closed.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Close closes the loop; later events are dropped. The caller must wait for Goroutines afterwards.
func (l *Loop) Close() {
	close(l.done)
	l.timer.Stop()
}

// Arm sets the timer to the earliest of the deadlines. A deadline of 0 means no deadline. If there is no
// deadline, the timer is not changed.
func (l *Loop) Arm(deadlines ...monotime.Micros) {
	var next monotime.Micros
	for _, deadline := range deadlines {
		if deadline != 0 && (next == 0 || deadline < next) {
			next = deadline
		}
	}
	if next != 0 {
		l.timer.Reset(max(0, clock.Duration(next-Monotonic())))
	}
}

// After posts event after delay, unless the loop is closed before.
func (l *Loop) After(delay time.Duration, event func()) {
	l.Goroutines.Go(func() {
		select {
		case <-time.After(delay):
			l.Post(event)
		case <-l.done:
		}
	})
}

// Read reads the messages of a connection on a separate goroutine, and posts a call of onMessage for each. At
// the end of the connection it posts a last message of kind ConnectionLost.
func (l *Loop) Read(c *Conn, onMessage func(c *Conn, m Message)) {
	l.Goroutines.Go(func() {
		for l.readMessage(c, onMessage) {
		}
	})
}

// readMessage posts a call of onMessage for the next message of a connection. It returns false at the end of
// the connection. It holds c.receiveMu from before the message is read from the socket until the loop has
// received it.
func (l *Loop) readMessage(c *Conn, onMessage func(c *Conn, m Message)) (connOpen bool) {
	_ = c.awaitMessage() // c.Read below returns the same error
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

// PostConnectionLost posts a message of kind ConnectionLost for a connection to which a write has failed, as
// Read does at the end of a connection.
func (l *Loop) PostConnectionLost(c *Conn, cause error, onMessage func(c *Conn, m Message)) {
	l.Goroutines.Go(func() {
		l.Post(func() { onMessage(c, Message{Kind: decide.ConnectionLost, Payload: []byte(cause.Error())}) })
	})
}

// HelloMessage returns the Hello message, which a successor sends first.
func HelloMessage() Message {
	return Message{Kind: decide.Hello, Payload: fmt.Append(nil, decide.Version)}
}

// HelloRejectReason returns the reason why a process is rejected because of its first message, or an empty
// string if the message is a valid Hello.
func HelloRejectReason(m Message) string {
	switch {
	case m.Kind != decide.Hello:
		return "that is no takeover"
	case string(m.Payload) != fmt.Sprint(decide.Version):
		return fmt.Sprintf("the process that serves speaks version %d, the other %q", decide.Version, m.Payload)
	}
	return ""
}

// Reject sends Rejected with the reason to the other process, and closes the connection.
func (c *Conn) Reject(reason string) {
	_ = c.Write(Message{Kind: decide.Rejected, Payload: []byte(reason)})
	c.Close()
}
