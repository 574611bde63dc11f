package takeover

import (
	"fmt"
	"sync"
	"time"

	"dunlinsail/internal/clock"
	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/monotime"
)

// Loop brings what happens in a takeover to the one goroutine that carries it out: messages, deadlines, and whatever else its
// owner posts. Make one with NewLoop, and take its Events until End.
type Loop struct {
	Events     chan func()
	Goroutines sync.WaitGroup // what posts

	done  chan struct{} // closed once no event is taken any more
	timer *time.Timer
}

// NewLoop returns a loop that posts woken whenever a deadline that was armed has come.
func NewLoop(woken func()) *Loop {
	l := &Loop{Events: make(chan func()), done: make(chan struct{})}
	l.timer = time.AfterFunc(time.Hour, func() { l.Post(woken) })
	return l
}

// Post hands an event to whoever takes them, and says whether it has been taken: after the end there is nobody to tell.
func (l *Loop) Post(event func()) bool {
	select {
	case l.Events <- event:
		return true
	case <-l.done:
		return false
	}
}

// Over returns a channel that is closed once no event is taken any more.
func (l *Loop) Done() <-chan struct{} { return l.done }

// End ends the loop: no event is taken any more. What is beside it may still be at work.
func (l *Loop) Close() {
	close(l.done)
	l.timer.Stop()
}

// Arm has the loop woken at the next of some deadlines, of which 0 is none.
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

// After posts an event in a while.
func (l *Loop) After(d time.Duration, event func()) {
	l.Goroutines.Go(func() {
		select {
		case <-time.After(d):
			l.Post(event)
		case <-l.done:
		}
	})
}

// Read posts a connection's messages, and its end as one of kind Broken.
func (l *Loop) Read(c *Conn, got func(c *Conn, m Message)) {
	l.Goroutines.Go(func() {
		for {
			m, err := c.Read()
			if err != nil {
				m = Message{Kind: decide.ConnectionLost, Payload: []byte(err.Error())}
			}
			if !l.Post(func() { got(c, m) }) {
				m.CloseFiles()
			}
			if err != nil {
				return
			}
		}
	})
}

// Broke posts that a connection is of no use, as its reader would.
func (l *Loop) PostConnectionLost(c *Conn, why error, got func(c *Conn, m Message)) {
	l.Goroutines.Go(func() {
		l.Post(func() { got(c, Message{Kind: decide.ConnectionLost, Payload: []byte(why.Error())}) })
	})
}

// Greeting is how a taker begins.
func HelloMessage() Message {
	return Message{Kind: decide.Hello, Payload: fmt.Append(nil, decide.Version)}
}

// Unwelcome says why one that has begun so is to be turned away, "" for not at all.
func HelloProblem(m Message) string {
	switch {
	case m.Kind != decide.Hello:
		return "that is no takeover"
	case string(m.Payload) != fmt.Sprint(decide.Version):
		return fmt.Sprintf("the process that serves speaks version %d, the other %q", decide.Version, m.Payload)
	}
	return ""
}

// Refuse turns one away that has connected.
func (c *Conn) Reject(why string) {
	c.Write(Message{Kind: decide.Rejected, Payload: []byte(why)})
	c.Close()
}
