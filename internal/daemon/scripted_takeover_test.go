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

// scriptedSuccessor is a successor whose messages a test writes.
type scriptedSuccessor struct {
	*testing.T
	*takeover.Conn
}

func connectAsSuccessor(t *testing.T, path string) *scriptedSuccessor {
	t.Helper()
	c, err := takeover.Dial(path)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	s := &scriptedSuccessor{t, c}
	s.send(decide.Hello, fmt.Sprint(decide.Version))
	return s
}

func (s *scriptedSuccessor) send(kind decide.Event, text string) {
	s.Helper()
	require.NoError(s, s.Write(takeover.Message{Kind: kind, Payload: []byte(text)}))
}

// expect waits for a message of a kind. It skips connections that are handed over.
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

// scriptedPredecessor is a predecessor whose messages a test writes.
type scriptedPredecessor struct {
	*scriptedSuccessor
	listener *takeover.Listener
}

// actAsPredecessor listens as a predecessor would and waits for a successor.
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

// waitReceived waits until the successor has handled all messages that were sent, in order: it closes the file that
// comes with the last one.
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
