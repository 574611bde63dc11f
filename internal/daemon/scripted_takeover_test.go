package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/takeover"
)

// scriptedSuccessor plays the successor of a takeover: the test sends and expects its messages one by one.
type scriptedSuccessor struct {
	*testing.T
	*takeover.Conn
}

// connectAsSuccessor connects to the takeover socket at path and sends the hello message.
func connectAsSuccessor(t *testing.T, path string) *scriptedSuccessor {
	t.Helper()
	c, err := takeover.Dial(path)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	s := &scriptedSuccessor{t, c}
	s.send(decide.Hello, fmt.Sprint(decide.Version))
	return s
}

// send sends a message of a kind with a text as its payload.
func (s *scriptedSuccessor) send(kind decide.Event, text string) {
	s.Helper()
	require.NoError(s, s.Write(takeover.Message{Kind: kind, Payload: []byte(text)}))
}

// expect reads messages until one of the given kind arrives, and returns it. It skips handed-over connections and
// ends the test on any other message.
func (s *scriptedSuccessor) expect(kind decide.Event) takeover.Message {
	s.Helper()
	for {
		m, err := s.Read()
		if err != nil {
			s.Fatalf("waiting for %v: %v", kind, err)
		}
		m.CloseFiles()
		if m.Kind == kind {
			return m
		}
		if m.Kind != takeover.ConnectionHandedOver {
			s.Fatalf("%v %q, want %v", m.Kind, m.Payload, kind)
		}
	}
}

// scriptedPredecessor plays the predecessor of a takeover: the test sends and expects its messages one by one.
type scriptedPredecessor struct {
	*scriptedSuccessor
	listener *takeover.Listener
}

// actAsPredecessor listens on the takeover socket at path, calls startSuccessor, and waits for the successor's
// connection and hello.
func actAsPredecessor(t *testing.T, path string, startSuccessor func()) *scriptedPredecessor {
	t.Helper()
	ln, err := takeover.Listen(path)
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	accepted := make(chan *takeover.Conn, 1)
	go func() {
		if c, err := ln.Accept(); err == nil {
			accepted <- c
		}
	}()
	startSuccessor()
	c := scriptedpeer.Receive(t, accepted, "successor")
	t.Cleanup(func() { c.Close() })
	p := &scriptedPredecessor{&scriptedSuccessor{t, c}, ln}
	p.expect(decide.Hello)
	return p
}

// waitReceived waits until the successor has handled all messages sent so far. It sends one more message with the
// write end of a pipe: messages are handled in order, and the pipe ends when the successor closes that file.
func (p *scriptedPredecessor) waitReceived() {
	p.Helper()
	readEnd, writeEnd, err := os.Pipe()
	require.NoError(p, err)
	defer readEnd.Close()
	err = p.Write(takeover.Message{Kind: takeover.Cordons, Payload: []byte("[]"), Sockets: []syscall.Conn{writeEnd}})
	writeEnd.Close()
	require.NoError(p, err)
	require.NoError(p, readEnd.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout)))
	if n, err := readEnd.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		p.Fatalf("waiting until the messages are handled: %d bytes, %v", n, err)
	}
}
