package takeover

import (
	"fmt"
	"sync"
	"time"

	"dunlinsail/internal/clock"
	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/monotime"
)

// Loop brings the events of a hot restart to the one goroutine that carries them out: messages, deadlines, and
// whatever else its owner posts. Make one with NewLoop, and receive from Events until Close.
type Loop struct {
	Events     chan func()
	Goroutines sync.WaitGroup // those that post

	done  chan struct{} // closed once no event is taken any more
	timer *time.Timer
}

// NewLoop returns a loop that posts onDeadline whenever a deadline that was armed has come.
func NewLoop(onDeadline func()) *Loop {
	l := &Loop{Events: make(chan func()), done: make(chan struct{})}
	l.timer = time.AfterFunc(time.Hour, func() { l.Post(onDeadline) })
	return l
}

// Post hands an event to the receiver of Events, and reports whether it was received: after Close none is.
func (l *Loop) Post(event func()) bool {
	select {
	case l.Events <- event:
		return true
	case <-l.done:
		return false
	}
}

// Done returns a channel that is closed once no event is taken any more.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Close closes the loop: no event is received any more. Wait for Goroutines after it.
func (l *Loop) Close() {
	close(l.done)
	l.timer.Stop()
}

// Arm sets the timer to the next of some deadlines, of which 0 is none.
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

// After posts an event after a time.
func (l *Loop) After(d time.Duration, event func()) {
	l.Goroutines.Go(func() {
		select {
		case <-time.After(d):
			l.Post(event)
		case <-l.done:
		}
	})
}

// Read posts a connection's messages, and its end as one of kind ConnectionLost.
func (l *Loop) Read(c *Conn, received func(c *Conn, m Message)) {
	l.Goroutines.Go(func() {
		for {
			m, err := c.Read()
			if err != nil {
				m = Message{Kind: decide.ConnectionLost, Payload: []byte(err.Error())}
			}
			if !l.Post(func() { received(c, m) }) {
				m.CloseFiles()
			}
			if err != nil {
				return
			}
		}
	})
}

// PostConnectionLost posts that a connection is of no use, as its reader would.
func (l *Loop) PostConnectionLost(c *Conn, why error, received func(c *Conn, m Message)) {
	l.Goroutines.Go(func() {
		l.Post(func() { received(c, Message{Kind: decide.ConnectionLost, Payload: []byte(why.Error())}) })
	})
}

// HelloMessage returns the first message of a successor.
func HelloMessage() Message {
	return Message{Kind: decide.Hello, Payload: fmt.Append(nil, decide.Version)}
}

// HelloProblem returns why a process that has sent this first message is rejected, "" if it is not.
func HelloProblem(m Message) string {
	switch {
	case m.Kind != decide.Hello:
		return "that is no takeover"
	case string(m.Payload) != fmt.Sprint(decide.Version):
		return fmt.Sprintf("the process that serves speaks version %d, the other %q", decide.Version, m.Payload)
	}
	return ""
}

// Reject rejects a process that has connected, and closes the connection.
func (c *Conn) Reject(reason string) {
	_ = c.Write(Message{Kind: decide.Rejected, Payload: []byte(reason)})
	c.Close()
}
