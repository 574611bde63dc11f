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

// readyTimeout is how long the platform waits for a new process.
const readyTimeout = 6 * time.Second

// host is what the platform has for one sidecar: the clients' listening socket and a folder.
type host struct {
	t        *testing.T
	ln       *os.File
	addr     string
	dir      string
	config   string
	requests [2]atomic.Int64 // requests at the endpoints s-0 and s-1
	hold     atomic.Pointer[chan struct{}]

	processes int // that were started
}

// programs are what the first, third, ... and the second, fourth, ... process of a host run: this build's
// program, unless .ci/mixed-restart names that of another build.
var programs = [2]string{
	cmp.Or(os.Getenv("DUNLINSAIL_PREDECESSOR"), os.Args[0]),
	cmp.Or(os.Getenv("DUNLINSAIL_SUCCESSOR"), os.Args[0]),
}

func newHost(t *testing.T) *host {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	f, err := ln.(*net.TCPListener).File()
	require.NoError(t, err)
	t.Cleanup(func() { f.Close() })
	h := &host{t: t, ln: f, addr: ln.Addr().String(), dir: t.TempDir()}
	var list []string
	for i := range h.requests {
		addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
			if h.requests[i].Add(1); r.URL.Path == "/pay/held" {
				<-*h.hold.Load()
			}
			io.Copy(w, r.Body)
			io.WriteString(w, "ok")
		})
		list = append(list, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"%s","lifecycle":"up"}`, i, addr))
	}
	const payClass = `{"name":"pay","repeat":"side_effect","target":5000000,"give-up":9000000,"credit":5.0},`
	listed := `{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}`
	text := strings.Replace(config, listed, strings.Join(list, ","), 1)
	text = strings.Replace(text, `"classes":[`, `"classes":[`+payClass, 1)
	h.config = filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(h.config, []byte(text), 0o600))
	return h
}

// process is one version of the sidecar.
type process struct {
	h            *host
	cmd          *exec.Cmd
	adminAddress string
	log          bytes.Buffer
	ended        chan error
}

// start starts a process without waiting for it.
func (h *host) start() *process {
	h.t.Helper()
	program := programs[h.processes%len(programs)]
	h.processes++
	return h.startAs(program)
}

// startAs starts a process of a program without waiting for it.
func (h *host) startAs(program string) *process {
	h.t.Helper()
	adminAddress, err := freeport.Free()
	require.NoError(h.t, err)
	p := &process{h: h, adminAddress: adminAddress, cmd: exec.Command(program), ended: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+h.config, "ROUTER_LISTEN="+h.addr,
		"ROUTER_OPERATOR="+adminAddress, "ROUTER_INHERITED_FD=3", "TMPDIR="+h.dir,
		"GORACE=atexit_sleep_ms=0") // without the race detector's own wait at the end
	p.cmd.ExtraFiles = []*os.File{h.ln}
	p.cmd.Stderr = &p.log
	require.NoError(h.t, p.cmd.Start())
	go func() { p.ended <- p.cmd.Wait() }()
	h.t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

// call makes an operator's call.
func (p *process) call(method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+p.adminAddress+path, strings.NewReader(body))
	require.NoError(p.h.t, err)
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// setCordon makes an operator's call that disables or enables an endpoint.
func (p *process) setCordon(action, target string) {
	p.h.t.Helper()
	if code, text := p.call("POST", "/endpoints/"+action, `{"target":"`+target+`"}`); code != 200 {
		p.h.t.Fatalf("%s %s: %d %s", action, target, code, text)
	}
}

// ready waits until a process accepts clients.
func (p *process) ready() *process {
	p.h.t.Helper()
	for end := time.Now().Add(readyTimeout); ; time.Sleep(5 * time.Millisecond) {
		if code, _ := p.call("GET", "/ready", ""); code == 200 {
			return p
		}
		select {
		case err := <-p.ended:
			p.h.t.Fatalf("ended: %v\n%s", err, p.log.String())
		default:
		}
		if time.Now().After(end) {
			p.cmd.Process.Kill()
			<-p.ended
			p.h.t.Fatalf("not ready within %v:\n%s", readyTimeout, p.log.String())
		}
	}
}

// restored checks, once a process has ended, that all its predecessor learned arrived: at its start, and again
// at the handover.
func (p *process) restored() {
	p.h.t.Helper()
	all := regexp.MustCompile(restoredLine).FindAllStringSubmatch(p.log.String(), -1)
	if len(all) != 2 || all[0][1]+all[0][2] != "at the start" || all[1][1]+all[1][2] != "at the handover" {
		p.h.t.Errorf("what was learned arrived %q:\n%s", all, p.log.String())
		return
	}
	p.h.t.Logf("%s: %s; %s", filepath.Base(p.cmd.Path), all[0][0], all[1][0])
}

// restoredLine matches the log line of a snapshot that was restored completely; the second form is that of
// builds before this message was renamed.
const restoredLine = `msg="(?:snapshot restored" when="(at the [a-z]+)" skipped|` +
	`what the other process learned is taken over" when="(at the [a-z]+)" "passed over")=\[\]`

// ends waits for a process that was stopped, or has handed over.
func (p *process) ends() {
	p.h.t.Helper()
	if err := scriptedpeer.Receive(p.h.t, p.ended, "end"); err != nil {
		p.h.t.Errorf("ended with %v\n%s", err, p.log.String())
	}
}

var ids atomic.Int64

// requestHead returns the head of a request of the class that its path names, with further header lines.
func requestHead(method, path, more string) string {
	class, _, _ := strings.Cut(path[1:], "/")
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %d\r\nX-Qos: %s\r\n%s\r\n",
		method, path, ids.Add(1), class, more)
}

// exchange sends a request on a connection and returns the status of the response.
func exchange(c net.Conn, r *bufio.Reader, text string) (int, error) {
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// dial connects to the sidecar as a client. The connection is closed with the test.
func (h *host) dial() net.Conn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.addr)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { c.Close() })
	return c
}

// endpointRequests returns the number of requests that the endpoints have received.
func (h *host) endpointRequests() int64 { return h.requests[0].Load() + h.requests[1].Load() }

// requestOnce sends a request on a connection of its own, which must be served.
func (h *host) requestOnce(method, path, more string) {
	h.t.Helper()
	c := h.dial()
	defer c.Close()
	if code, err := exchange(c, bufio.NewReader(c), requestHead(method, path, more)); code != 200 {
		h.t.Fatalf("answered %d, %v", code, err)
	}
}

// openRequest sends a request that is held at an endpoint until h.hold lets it go, and returns the channel for the
// status of its response.
func (h *host) openRequest() <-chan int {
	h.t.Helper()
	c := h.dial()
	before := h.endpointRequests()
	answered := make(chan int, 1)
	go func() {
		code, _ := exchange(c, bufio.NewReader(c), requestHead("POST", "/pay/held", "Content-Length: 0\r\n"))
		answered <- code
	}()
	scriptedpeer.Eventually(h.t, "request at an endpoint", func() bool { return h.endpointRequests() > before })
	return answered
}

// load starts clients that send requests without a pause, each on a new connection for every fourth one, until stop is
// called, which returns the number of requests. A request that is not served fails the test.
func (h *host) load(clients int) (stop func() int64) {
	h.t.Helper()
	// Before it has learned response times, a sidecar assumes long ones, and rejects requests that come at once.
	for range 10 {
		h.requestOnce("POST", "/pay/1", "Content-Length: 0\r\n")
	}
	var done atomic.Bool
	var requests atomic.Int64
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for !done.Load() {
				if !h.sendOnNewConn(&done, &requests) {
					return
				}
			}
		})
	}
	return func() int64 {
		done.Store(true)
		all.Wait()
		return requests.Load()
	}
}

// sendOnNewConn sends up to four requests on a new connection, until done, and reports whether each was served. There
// must be nothing behind the last response.
func (h *host) sendOnNewConn(done *atomic.Bool, requests *atomic.Int64) (served bool) {
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Error("connecting:", err)
		return false
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for range 4 {
		if done.Load() {
			return true
		}
		requests.Add(1)
		// Unsafe requests, so that none is retried elsewhere because the machine is slow.
		if code, err := exchange(c, r, requestHead("POST", "/pay/1", "Content-Length: 0\r\n")); code != 200 {
			h.t.Errorf("answered %d, %v", code, err)
			return false
		}
	}
	if n := r.Buffered(); n != 0 {
		h.t.Errorf("%d bytes behind an answer", n)
	}
	return true
}

// actAsPredecessor listens for a successor as the process that serves would.
func (h *host) actAsPredecessor() *takeover.Listener {
	h.t.Helper()
	ln, err := takeover.Listen(filepath.Join(h.dir, "dunlinsail.takeover"))
	require.NoError(h.t, err)
	h.t.Cleanup(func() { ln.Close() })
	return ln
}

// connectAsSuccessor connects as a process that wants to take over, and completes a number of steps: Hello, Ready,
// Prepared.
func (h *host) connectAsSuccessor(steps int) *takeover.Conn {
	h.t.Helper()
	c, err := takeover.Dial(filepath.Join(h.dir, "dunlinsail.takeover"))
	require.NoError(h.t, err)
	for _, kind := range []decide.Event{decide.Hello, decide.Ready, decide.Prepared}[:steps] {
		m := takeover.Message{Kind: kind}
		if kind == decide.Hello {
			m.Payload = fmt.Append(nil, decide.Version)
		}
		require.NoError(h.t, c.Write(m))
		got, err := c.ReadWithin(scriptedpeer.WaitTimeout)
		require.NoError(h.t, err)
		got.CloseFiles()
	}
	return c
}
