package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunlinsail/internal/fake/scriptedpeer"
)

// The tests in this file pause a client process, which has a pool, between a response and the next request.

// pausedClientEnv is the environment variable that makes the test binary run as a client process. Its value is
// the address of the endpoint and the mode, sidecar or daemon.
const pausedClientEnv = "DUNLINSAIL_TEST_PAUSED_CLIENT"

// TestMain runs the tests, or the client process if pausedClientEnv is set.
func TestMain(m *testing.M) {
	if addr, mode, found := strings.Cut(os.Getenv(pausedClientEnv), " "); found {
		runPausedClient(addr, mode == "daemon")
		return
	}
	os.Exit(m.Run())
}

// runPausedClient sends a request for each ID on standard input, and prints the status and the response body.
func runPausedClient(addr string, reuseDelayOptional bool) {
	pool := newPool(withReuseDelay(DefaultReuseDelay, reuseDelayOptional))
	go pool.Run(context.Background())
	target := pool.newTarget(addr)
	for ids := bufio.NewScanner(os.Stdin); ids.Scan(); {
		r := pool.Send(context.Background(), pool.newAttempt(target), tracedRequest("GET", ids.Text()))
		fmt.Printf("%d %s\n", r.Status, bodyOf(r))
	}
}

// pausedClient is a client process that a test can pause.
type pausedClient struct {
	*exec.Cmd
	ids    io.Writer
	output *bufio.Reader
}

// startPausedClient starts a client process that sends requests to addr. The process is killed when the test
// ends.
func startPausedClient(t *testing.T, addr, mode string) *pausedClient {
	t.Helper()
	p := &pausedClient{Cmd: exec.CommandContext(t.Context(), os.Args[0])}
	p.Env = append(os.Environ(), pausedClientEnv+"="+addr+" "+mode)
	p.Stderr = os.Stderr
	ids, err := p.StdinPipe()
	output, outputErr := p.StdoutPipe()
	if err = errors.Join(err, outputErr, p.Start()); err != nil {
		t.Fatal(err)
	}
	p.ids = ids
	p.output = bufio.NewReader(output)
	t.Cleanup(func() {
		p.Process.Kill()
		_ = p.Wait() // Wait reports the kill as an error
	})
	return p
}

// signal sends a signal to the client process, and waits until the process has stopped or continued.
func (p *pausedClient) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
	var status syscall.WaitStatus
	for !status.Stopped() && !status.Continued() {
		_, err := syscall.Wait4(p.Process.Pid, &status, syscall.WUNTRACED|syscall.WCONTINUED, nil)
		if err != nil && !errors.Is(err, syscall.EINTR) {
			t.Fatal(err)
		}
	}
}

// Guards against a pause of the machine that is counted as part of the reuse delay. Neither this process nor
// the endpoint runs during such a pause, and a second response that was due within milliseconds arrives
// immediately afterwards.
func TestSecondResponseAfterPauseOfTheMachine(t *testing.T) {
	for _, mode := range []string{"sidecar", "daemon"} {
		t.Run(mode, func(t *testing.T) { testSecondResponseAfterPause(t, mode, 10*DefaultReuseDelay) })
	}
}

// testSecondResponseAfterPause pauses the client process between a response and the next request. Immediately
// after the pause, the endpoint sends a second response to request 1, which must not be delivered to request 2.
func testSecondResponseAfterPause(t *testing.T, mode string, pause time.Duration) {
	t.Helper()
	endpoint := startManualEndpoint(t)
	client := startPausedClient(t, endpoint.addr, mode)
	fmt.Fprintln(client.ids, "1")
	firstRequest := scriptedpeer.Receive(t, endpoint.received, "request 1")
	io.WriteString(firstRequest.conn, responseFor("1"))
	if line, err := client.output.ReadString('\n'); line != "0 1\n" {
		t.Fatalf("request 1: output %q, error %v", line, err)
	}
	client.signal(t, syscall.SIGSTOP)
	fmt.Fprintln(client.ids, "2")
	time.Sleep(pause) // the endpoint sends no bytes either
	client.signal(t, syscall.SIGCONT)
	var secondRequest receivedRequest
	select {
	case secondRequest = <-endpoint.received:
	case <-time.After(secondResponseDelay):
	}
	io.WriteString(firstRequest.conn, responseFor("1"))
	if secondRequest.conn == nil {
		secondRequest = scriptedpeer.Receive(t, endpoint.received, "request 2")
	}
	io.WriteString(secondRequest.conn, responseFor("2"))
	if line, err := client.output.ReadString('\n'); line != "0 2\n" {
		t.Errorf("request 2: output %q, error %v", line, err)
	}
}
