package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/takeover"
)

// readyTimeout is the longest time that the platform waits until a new process is ready.
const readyTimeout = 6 * time.Second

// host holds what the platform provides for one sidecar: a listening socket for its clients, its configuration file
// and a directory for temporary files.
type host struct {
	t            *testing.T
	listenerFile *os.File
	addr         string
	tempDir      string
	configPath   string
	requests     [2]atomic.Int64               // numbers of requests that the endpoints s-0 and s-1 have received
	release      atomic.Pointer[chan struct{}] // each response to /pay/held waits for a value on this channel

	startedProcesses int // number of processes that start has started
}

// programs are the paths of the programs that the processes of a host run: the first path for the first, third, ...
// process, the second path for the second, fourth, ... process. Both default to the program of this build; the
// script .ci/mixed-restart sets the paths of other builds.
var programs = [2]string{
	cmp.Or(os.Getenv("DUNLINSAIL_PREDECESSOR"), os.Args[0]),
	cmp.Or(os.Getenv("DUNLINSAIL_SUCCESSOR"), os.Args[0]),
}

// newHost returns a host with two running endpoints, s-0 and s-1, and a listening socket, but without a process.
func newHost(t *testing.T) *host {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	listenerFile, err := listener.(*net.TCPListener).File()
	require.NoError(t, err)
	t.Cleanup(func() { listenerFile.Close() })
	h := &host{t: t, listenerFile: listenerFile, addr: listener.Addr().String(), tempDir: t.TempDir()}
	var instances []string
	for i := range h.requests {
		addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
			if h.requests[i].Add(1); r.URL.Path == "/pay/held" {
				<-*h.release.Load()
			}
			io.Copy(w, r.Body)
			io.WriteString(w, "ok")
		})
		instances = append(instances, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"%s","lifecycle":"up"}`, i, addr))
	}
	const payClass = `{"name":"pay","repeat":"side_effect","target":5000000,"give-up":9000000,"credit":5.0},`
	placeholder := `{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}`
	configText := strings.Replace(sidecarConfig, placeholder, strings.Join(instances, ","), 1)
	configText = strings.Replace(configText, `"classes":[`, `"classes":[`+payClass, 1)
	h.configPath = filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(h.configPath, []byte(configText), 0o600))
	return h
}

// process is one process of the sidecar, with its log.
type process struct {
	host         *host
	cmd          *exec.Cmd
	adminAddress string
	log          bytes.Buffer
	exited       chan error
}

// start starts the next process of the host without waiting until it is ready. Its program is taken from programs.
func (h *host) start() *process {
	h.t.Helper()
	program := programs[h.startedProcesses%len(programs)]
	h.startedProcesses++
	return h.startProgram(program)
}

// startProgram starts a process that runs the given program, without waiting until it is ready.
func (h *host) startProgram(program string) *process {
	h.t.Helper()
	adminAddress, err := freeport.Free()
	require.NoError(h.t, err)
	p := &process{host: h, adminAddress: adminAddress, cmd: exec.Command(program), exited: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+h.configPath, "ROUTER_LISTEN="+h.addr,
		"ROUTER_OPERATOR="+adminAddress, "ROUTER_INHERITED_FD=3", "TMPDIR="+h.tempDir,
		"GORACE=atexit_sleep_ms=0") // skips the race detector's wait of one second at exit
	p.cmd.ExtraFiles = []*os.File{h.listenerFile}
	p.cmd.Stderr = &p.log
	require.NoError(h.t, p.cmd.Start())
	go func() { p.exited <- p.cmd.Wait() }()
	h.t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

// adminCall sends a request to the admin interface of a process, and returns the status code and the body of the
// response. If the call fails, it returns 0 and the error text.
func (p *process) adminCall(method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+p.adminAddress+path, strings.NewReader(body))
	require.NoError(p.host.t, err)
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	responseBody, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(responseBody)
}

// setCordon disables or enables an endpoint through the admin interface.
func (p *process) setCordon(action, target string) {
	p.host.t.Helper()
	if code, responseBody := p.adminCall("POST", "/endpoints/"+action, `{"target":"`+target+`"}`); code != 200 {
		p.host.t.Fatalf("%s %s: %d %s", action, target, code, responseBody)
	}
}

// awaitReady waits until a process accepts clients. The test fails if that takes longer than readyTimeout.
func (p *process) awaitReady() *process {
	p.host.t.Helper()
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(5 * time.Millisecond) {
		if code, _ := p.adminCall("GET", "/ready", ""); code == 200 {
			return p
		}
		select {
		case err := <-p.exited:
			p.host.t.Fatalf("ended before it was ready: %v\n%s", err, p.log.String())
		default:
		}
		if time.Now().After(deadline) {
			p.cmd.Process.Kill()
			<-p.exited
			p.host.t.Fatalf("not ready within %v:\n%s", readyTimeout, p.log.String())
		}
	}
}

// checkRestored checks, after a process has exited, that it received its predecessor's complete learned state
// twice: at its start, and again at the handover.
func (p *process) checkRestored() {
	p.host.t.Helper()
	matches := regexp.MustCompile(restoredLine).FindAllStringSubmatch(p.log.String(), -1)
	if len(matches) != 2 || matches[0][1]+matches[0][2] != "at the start" ||
		matches[1][1]+matches[1][2] != "at the handover" {
		p.host.t.Errorf("learned state not restored twice and completely; log lines %q in\n%s", matches, p.log.String())
		return
	}
	p.host.t.Logf("%s: %s; %s", filepath.Base(p.cmd.Path), matches[0][0], matches[1][0])
}

// restoredLine matches the log line for a snapshot that was restored completely. Its second alternative is the
// wording of builds from before this message was renamed.
const restoredLine = `msg="(?:snapshot restored" when="(at the [a-z]+)" skipped|` +
	`what the other process learned is taken over" when="(at the [a-z]+)" "passed over")=\[\]`

// awaitExit waits for the exit of a process that was stopped or has handed over. The exit code must be 0.
func (p *process) awaitExit() {
	p.host.t.Helper()
	if err := scriptedpeer.Receive(p.host.t, p.exited, "exit of the sidecar"); err != nil {
		p.host.t.Errorf("ended with %v\n%s", err, p.log.String())
	}
}

// lastTraceID is the trace ID of the latest request, for unique IDs.
var lastTraceID atomic.Int64

// requestHead returns the head of a request with additional header lines. The first element of its path names the
// request class.
func requestHead(method, path, extraHeaders string) string {
	class, _, _ := strings.Cut(path[1:], "/")
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %d\r\nX-Qos: %s\r\n%s\r\n",
		method, path, lastTraceID.Add(1), class, extraHeaders)
}

// exchange sends the text of a request on a connection, reads the response and returns its status code.
func exchange(conn net.Conn, reader *bufio.Reader, request string) (int, error) {
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// dial connects to the sidecar as a client. The connection is closed at the end of the test.
func (h *host) dial() net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.addr)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { conn.Close() })
	return conn
}

// endpointRequests returns the total number of requests that the endpoints have received.
func (h *host) endpointRequests() int64 { return h.requests[0].Load() + h.requests[1].Load() }

// requestOnce sends a request on a new connection. The test fails if the status code of the response is not 200.
func (h *host) requestOnce(method, path, extraHeaders string) {
	h.t.Helper()
	conn := h.dial()
	defer conn.Close()
	if code, err := exchange(conn, bufio.NewReader(conn), requestHead(method, path, extraHeaders)); code != 200 {
		h.t.Fatalf("status %d, %v", code, err)
	}
}

// openRequest sends a request that stays open at an endpoint until h.release lets it continue, and returns a
// channel that receives the status code of the response.
func (h *host) openRequest() <-chan int {
	h.t.Helper()
	conn := h.dial()
	requestsBefore := h.endpointRequests()
	statuses := make(chan int, 1)
	go func() {
		code, _ := exchange(conn, bufio.NewReader(conn), requestHead("POST", "/pay/held", "Content-Length: 0\r\n"))
		statuses <- code
	}()
	scriptedpeer.Eventually(h.t, "request at an endpoint", func() bool { return h.endpointRequests() > requestsBefore })
	return statuses
}

// startLoad starts clients that send requests without a pause, up to four on each connection. The returned function
// stops them and returns the number of requests. The test fails if a request is not served.
func (h *host) startLoad(clients int) (stop func() int64) {
	h.t.Helper()
	// Before it has learned response times, a sidecar assumes long ones and rejects simultaneous requests.
	for range 10 {
		h.requestOnce("POST", "/pay/1", "Content-Length: 0\r\n")
	}
	var stopped atomic.Bool
	var requests atomic.Int64
	var workers sync.WaitGroup
	for range clients {
		workers.Go(func() {
			for !stopped.Load() {
				if !h.sendOnNewConn(&stopped, &requests) {
					return
				}
			}
		})
	}
	return func() int64 {
		stopped.Store(true)
		workers.Wait()
		return requests.Load()
	}
}

// sendOnNewConn sends up to four requests on a new connection, until stopped is set, and reports whether all were
// served. The test fails if bytes follow the last response.
func (h *host) sendOnNewConn(stopped *atomic.Bool, requests *atomic.Int64) (served bool) {
	conn, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Error("connecting:", err)
		return false
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 4 {
		if stopped.Load() {
			return true
		}
		requests.Add(1)
		// Requests of a class with side effects, which are not retried at another endpoint when the machine is
		// slow.
		if code, err := exchange(conn, reader, requestHead("POST", "/pay/1", "Content-Length: 0\r\n")); code != 200 {
			h.t.Errorf("status %d, %v", code, err)
			return false
		}
	}
	if extraBytes := reader.Buffered(); extraBytes != 0 {
		h.t.Errorf("%d bytes after the last response", extraBytes)
	}
	return true
}

// actAsPredecessor listens for a successor in place of the process that serves.
func (h *host) actAsPredecessor() *takeover.Listener {
	h.t.Helper()
	listener, err := takeover.Listen(filepath.Join(h.tempDir, "dunlinsail.takeover"))
	require.NoError(h.t, err)
	h.t.Cleanup(func() { listener.Close() })
	return listener
}

// connectAsSuccessor connects to the serving process as its successor, and completes the given number of steps of
// the takeover protocol, in the order Hello, Ready, Prepared.
func (h *host) connectAsSuccessor(steps int) *takeover.Conn {
	h.t.Helper()
	conn, err := takeover.Dial(filepath.Join(h.tempDir, "dunlinsail.takeover"))
	require.NoError(h.t, err)
	for _, kind := range []decide.Event{decide.Hello, decide.Ready, decide.Prepared}[:steps] {
		message := takeover.Message{Kind: kind}
		if kind == decide.Hello {
			message.Payload = fmt.Append(nil, decide.Version)
		}
		require.NoError(h.t, conn.Write(message))
		reply, err := conn.ReadWithin(scriptedpeer.WaitTimeout)
		require.NoError(h.t, err)
		reply.CloseFiles()
	}
	return conn
}
