package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunlinsail/internal/decide/cordon"
	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/takeover"
)

// Three processes succeed one another under load: no connection is rejected, a request that has been sent in part
// and a request that is open get their responses, client connections stay open, and a cordoned endpoint gets no
// request until its cordon is lifted.
func TestUpgrades(t *testing.T) {
	h := newHost(t)
	release := make(chan struct{})
	h.release.Store(&release)
	first := h.start().awaitReady()
	stopLoad := h.startLoad(4)
	first.setCordon("disable", "s-0")
	first.setCordon("disable", "s-0")
	if code, responseBody := first.adminCall("POST", "/endpoints/disable", `{"target":"s-9"}`); code != 404 {
		t.Errorf("cordon of an unknown endpoint: %d %s", code, responseBody)
	}
	time.Sleep(50 * time.Millisecond) // requests that were sent before the cordon arrive
	cordonedRequests := h.requests[0].Load()
	current := first
	for range 2 {
		partialConn := h.dial()
		request := requestHead("GET", "/look/1", "")
		io.WriteString(partialConn, request[:len(request)/2])
		heldConn := h.dial()
		requestsBefore := h.requests[1].Load()
		statuses := make(chan int, 1)
		go func() {
			code, _ := exchange(heldConn, bufio.NewReader(heldConn),
				requestHead("POST", "/pay/held", "Content-Length: 0\r\n"))
			statuses <- code
		}()
		scriptedpeer.Eventually(t, "requests at the endpoint",
			func() bool { return h.requests[1].Load() > requestsBefore+1 })
		successor := h.start().awaitReady()
		current.cmd.Process.Signal(syscall.SIGTERM)
		release <- struct{}{}
		if code := scriptedpeer.Receive(t, statuses, "response to the held request"); code != 200 {
			t.Errorf("request open during the takeover: status %d", code)
		}
		if code, err := exchange(partialConn, bufio.NewReader(partialConn), request[len(request)/2:]); code != 200 {
			t.Errorf("request sent in part before the takeover: status %d, %v", code, err)
		}
		partialConn.Close()
		heldConn.Close()
		current.awaitExit()
		if current != first {
			current.checkRestored()
		}
		current = successor
	}
	if newRequests := h.requests[0].Load() - cordonedRequests; newRequests != 0 {
		t.Errorf("%d requests to the cordoned endpoint", newRequests)
	}
	_, metrics := current.adminCall("GET", "/metrics", "")
	if !strings.Contains(metrics, "registry_entries=2\nout_of_rotation=1\n") {
		t.Errorf("metrics:\n%s", metrics)
	}
	current.setCordon("enable", "s-0")
	scriptedpeer.Eventually(t, "requests to the enabled endpoint",
		func() bool { return h.requests[0].Load() > cordonedRequests })
	total := stopLoad()
	if total < 20 {
		t.Errorf("%d requests in total, too few for this test", total)
	}
	current.cmd.Process.Signal(syscall.SIGTERM)
	current.awaitExit()
	current.checkRestored()
	t.Logf("%d requests, each with one response of status 200", total)
}

// The predecessor is suspended by SIGSTOP, or killed so that its socket file remains: the successor becomes ready
// in time and applies the cordons.
func TestPredecessorIsLost(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			predecessor := h.start().awaitReady()
			h.requestOnce("GET", "/look/1", "")
			predecessor.setCordon("disable", "s-0")
			predecessor.cmd.Process.Signal(signal)
			if signal == syscall.SIGKILL {
				<-predecessor.exited
			}
			successor := h.start().awaitReady()
			if signal == syscall.SIGSTOP {
				predecessor.cmd.Process.Signal(syscall.SIGKILL) // its connections are lost with either signal
				<-predecessor.exited
			}
			requestsBefore := h.requests[0].Load()
			for range 20 {
				h.requestOnce("GET", "/look/1", "")
			}
			if h.requests[0].Load() != requestsBefore {
				t.Error("the cordoned endpoint got requests")
			}
			successor.setCordon("enable", "s-0")
		})
	}
}

// A successor disconnects after each step of the takeover: the predecessor continues to serve, a SIGHUP during the
// hot restart still has its effect, and the next successor takes over.
func TestSuccessorIsLost(t *testing.T) {
	for steps := range 4 {
		t.Run(fmt.Sprint(steps), func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			predecessor := h.start().awaitReady()
			stopLoad := func() int64 { return 0 }
			if steps < 3 { // after Prepared, connections are handed over to the successor that disconnects
				stopLoad = h.startLoad(2)
			}
			successor := h.connectAsSuccessor(steps)
			predecessor.cmd.Process.Signal(syscall.SIGHUP) // a reload during the hot restart
			successor.Close()
			scriptedpeer.Eventually(t, "the predecessor is ready again", func() bool {
				code, _ := predecessor.adminCall("GET", "/ready", "")
				return code == 200
			})
			h.requestOnce("GET", "/look/1", "")
			h.start().awaitReady()
			predecessor.cmd.Process.Signal(syscall.SIGTERM)
			predecessor.awaitExit()
			stopLoad()
			if !regexp.MustCompile("configuration (reloaded|read again)").MatchString(predecessor.log.String()) {
				t.Error("a SIGHUP had no effect")
			}
		})
	}
}

// The predecessor is stopped after each step of a handover to a successor that sends nothing more or disconnects.
// Open requests get their responses. A request whose body becomes complete only after the stop gets a response
// before the platform kills the process: 3.7 s after the stop, which is the longest deadline that applies (3 s) and
// 0.7 s. The endpoint never responds to that request.
func TestStopDuringHotRestart(t *testing.T) {
	for steps := range 4 {
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d steps, lost %v", steps, lost), func(t *testing.T) {
				t.Parallel()
				h := newHost(t)
				release := make(chan struct{})
				defer close(release)
				h.release.Store(&release)
				predecessor := h.start().awaitReady()
				partialConn := h.dial()
				head := requestHead("POST", "/pay/held", "Content-Length: 2\r\nX-Expires-In-Ms: 3000\r\n")
				io.WriteString(partialConn, head+"o")
				statuses := h.openRequest()
				successor := h.connectAsSuccessor(steps)
				defer successor.Close()
				stopTime := time.Now()
				predecessor.cmd.Process.Signal(syscall.SIGTERM)
				if lost {
					successor.Close()
				}
				release <- struct{}{} // lets the endpoint respond to the open request
				if code := scriptedpeer.Receive(t, statuses, "response to the open request"); code != 200 {
					t.Errorf("status of the open request: %d", code)
				}
				const killDelay = 3700 * time.Millisecond
				time.Sleep(time.Until(stopTime.Add(time.Second))) // its deadline, 3 s later, is after killDelay
				code, err := exchange(partialConn, bufio.NewReader(partialConn), "k")
				if elapsed := time.Since(stopTime); code != 504 || elapsed > killDelay {
					t.Errorf("request completed after the stop: status %d, %v after %v", code, err, elapsed)
				}
				predecessor.awaitExit()
				if elapsed := time.Since(stopTime); elapsed > killDelay {
					t.Errorf("ended after %v\n%s", elapsed, predecessor.log.String())
				}
			})
		}
	}
}

// respondToSteps acts as the predecessor: it responds to the given number of a successor's messages, and reads the
// next message.
func respondToSteps(t *testing.T, conn *takeover.Conn, steps int) {
	t.Helper()
	for i, response := range []decide.Event{decide.Offer, decide.Handover, decide.Activate} {
		message, err := conn.ReadWithin(scriptedpeer.WaitTimeout)
		if err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
		message.CloseFiles()
		if i == steps {
			break
		}
		require.NoError(t, conn.Write(takeover.Message{Kind: response}))
	}
}

// A successor gets SIGTERM twice after each step before it serves: it exits with code 0 without serving a client,
// and its predecessor sees the connection close. The predecessor is simulated, so that the signal always arrives at
// the intended step.
func TestSuccessorStoppedBeforeItServes(t *testing.T) {
	for steps, lastMessage := range []decide.Event{decide.Hello, decide.Ready, decide.Prepared} {
		t.Run("after "+lastMessage.String(), func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			listener := h.actAsPredecessor()
			successor := h.start()
			conn, err := listener.Accept()
			require.NoError(t, err)
			defer conn.Close()
			respondToSteps(t, conn, steps)
			client := h.dial()
			io.WriteString(client, requestHead("GET", "/look/1", ""))
			successor.cmd.Process.Signal(syscall.SIGTERM)
			successor.cmd.Process.Signal(syscall.SIGTERM)
			successor.awaitExit()
			client.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // a response would have arrived already
			if n, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("client that was not accepted yet: read %d bytes, %v", n, err)
			}
			if message, err := conn.ReadWithin(scriptedpeer.WaitTimeout); err == nil {
				message.CloseFiles()
				t.Errorf("it sent %v as it exited", message.Kind)
			}
		})
	}
}

// A process that has just taken over is stopped while its predecessor still has an open request: the request gets
// its response, and both processes exit.
func TestBothProcessesStop(t *testing.T) {
	h := newHost(t)
	release := make(chan struct{})
	h.release.Store(&release)
	predecessor := h.start().awaitReady()
	statuses := h.openRequest()
	successor := h.start().awaitReady()
	successor.cmd.Process.Signal(syscall.SIGTERM)
	successor.awaitExit()
	close(release)
	if code := scriptedpeer.Receive(t, statuses, "response to the open request"); code != 200 {
		t.Errorf("request open while both processes stopped: status %d", code)
	}
	predecessor.awaitExit()
}

// Guards against lost connections with a request on them: while its predecessor hands connections over, a process
// is stopped or hands its own connections over to a successor. It must serve the connections that it receives or
// hand them on.
func TestConnectionsHandedOverToProcessThatEnds(t *testing.T) {
	for _, hasSuccessor := range []bool{false, true} {
		t.Run(fmt.Sprintf("successor %v", hasSuccessor), func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			listener := h.actAsPredecessor()
			middle := h.start()
			conn, err := listener.Accept()
			require.NoError(t, err)
			defer conn.Close()
			respondToSteps(t, conn, 3)
			middle.awaitReady()
			if hasSuccessor {
				successor := h.connectAsSuccessor(3)
				defer successor.Close()
				go serveHandedOver(successor)
				awaitMessage(t, conn, decide.HandedOver)
			} else {
				middle.cmd.Process.Signal(syscall.SIGTERM)
				awaitMessage(t, conn, decide.Stopping)
			}
			clientConn, serverConn := connectedPair(t)
			request := requestHead("GET", "/look/1", "")
			if _, err := io.WriteString(clientConn, request); err != nil {
				t.Fatal(err)
			}
			require.NoError(t, conn.HandOver(serverConn))
			serverConn.Close()
			if code, err := exchange(clientConn, bufio.NewReader(clientConn), ""); code != 200 {
				t.Errorf("request on a connection that was handed over: status %d, %v", code, err)
			}
			conn.Close()
			if !hasSuccessor {
				middle.awaitExit()
			}
		})
	}
}

// awaitMessage reads messages until one of the wanted kind arrives.
func awaitMessage(t *testing.T, conn *takeover.Conn, wanted decide.Event) {
	t.Helper()
	for {
		message, err := conn.ReadWithin(scriptedpeer.WaitTimeout)
		if err != nil {
			t.Fatalf("waiting for %v: %v", wanted, err)
		}
		message.CloseFiles()
		if message.Kind == wanted {
			return
		}
	}
}

// serveHandedOver serves the connections that a predecessor hands over: one response to one request on each. It
// reads the request, because the kernel resets a connection that is closed with unread bytes.
func serveHandedOver(conn *takeover.Conn) {
	for {
		message, err := conn.Read()
		if err != nil {
			return
		}
		for _, file := range message.Files {
			if clientConn, err := net.FileConn(file); err == nil {
				if _, err := scriptedpeer.ReadRequest(bufio.NewReader(clientConn)); err == nil {
					io.WriteString(clientConn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				clientConn.Close()
			}
		}
		message.CloseFiles()
	}
}

// connectedPair returns both ends of a TCP connection.
func connectedPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return client, server
}

// The predecessor has another version of the protocol, sends malformed messages, or sends nothing more after some
// step: the new process becomes ready in time, applies the stored cordons and continues to run.
func TestPredecessorSendsGarbage(t *testing.T) {
	for name, responses := range map[string][]takeover.Message{
		"says nothing":       {},
		"refuses":            {{Kind: decide.Rejected, Payload: []byte("version 0")}},
		"garbled offer":      {{Kind: decide.Offer, Payload: []byte("DLSS and then no sense")}},
		"silent after Ready": {{Kind: decide.Offer}, {}},
		"garbled at the end": {{Kind: decide.Offer}, {Kind: decide.Handover, Payload: []byte("{")}},
		"unknown messages":   {{Kind: 77, Payload: []byte("?")}, {Kind: 99}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			cordons, err := json.Marshal([]cordon.Record{{Name: "s-0", Cordoned: true, At: 1}})
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(filepath.Join(h.tempDir, "dunlinsail.words"), cordons, 0o600))
			listener := h.actAsPredecessor()
			connClosed := make(chan struct{})
			go func() { // runs until the successor closes the connection
				defer close(connClosed)
				respondToSuccessor(listener, responses)
			}()
			successor := h.start().awaitReady()
			for range 5 {
				h.requestOnce("GET", "/look/1", "")
			}
			if h.requests[0].Load() != 0 {
				t.Error("the cordoned endpoint got requests")
			}
			successor.cmd.Process.Signal(syscall.SIGTERM)
			successor.awaitExit()
			scriptedpeer.Receive(t, connClosed, "end of the connection")
		})
	}
}

// respondToSuccessor accepts a successor and responds to its messages with one of responses each, in order. A
// response of the zero kind, Hello, is not sent.
func respondToSuccessor(listener *takeover.Listener, responses []takeover.Message) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	for i := 0; ; i++ {
		message, err := conn.Read()
		if err != nil {
			return
		}
		message.CloseFiles()
		if i < len(responses) && responses[i].Kind != decide.Hello {
			conn.Write(responses[i])
		}
	}
}

// While predecessor and successor are both alive, a cordon that is set at one of them takes effect in both.
func TestCordonsReachBothProcesses(t *testing.T) {
	h := newHost(t)
	release := make(chan struct{})
	h.release.Store(&release)
	predecessor := h.start().awaitReady()
	statuses := h.openRequest()
	successor := h.start().awaitReady()
	awaitCordoned := func(p *process, want int) {
		t.Helper()
		scriptedpeer.Eventually(t, "the cordons of the other process", func() bool {
			_, metrics := p.adminCall("GET", "/metrics", "")
			return strings.Contains(metrics, fmt.Sprintf("out_of_rotation=%d\n", want))
		})
	}
	predecessor.setCordon("disable", "s-0")
	awaitCordoned(successor, 1)
	successor.setCordon("enable", "s-0")
	awaitCordoned(predecessor, 0)
	successor.setCordon("disable", "s-1")
	awaitCordoned(predecessor, 1)
	close(release)
	if code := scriptedpeer.Receive(t, statuses, "response to the open request"); code != 200 {
		t.Errorf("request open during the takeover: status %d", code)
	}
	predecessor.awaitExit()
}

// Guards against a process that neither hands over nor exits because its accept call blocks: the platform shares
// the listening socket and may make it blocking, as package os/exec does when it starts the next process.
func TestInheritedSocketIsMadeBlocking(t *testing.T) {
	h := newHost(t)
	sidecar := h.start().awaitReady()
	h.requestOnce("GET", "/look/1", "")
	require.NoError(t, syscall.SetNonblock(int(h.listenerFile.Fd()), false))
	h.requestOnce("GET", "/look/1", "") // afterwards the process calls accept with an empty queue of connections
	sidecar.cmd.Process.Signal(syscall.SIGTERM)
	sidecar.awaitExit()
}

// A process exits with an error if the inherited descriptor is not a listening stream socket.
func TestInheritedSocket(t *testing.T) {
	h := newHost(t)
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	defer w.Close()
	h.listenerFile = r
	sidecar := h.start()
	var exitErr *exec.ExitError
	err = scriptedpeer.Receive(t, sidecar.exited, "exit of the sidecar")
	if !errors.As(err, &exitErr) || !strings.Contains(sidecar.log.String(), "is not a listening stream socket") {
		t.Errorf("%v\n%s", err, sidecar.log.String())
	}
}
