package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/fake/freeport"
)

const (
	readyTimeout  = 6 * time.Second // of a new process
	readyInterval = 5 * time.Millisecond
	// killAfter is how long after SIGTERM the platform kills a process at the earliest: the longest deadline, 3 s at
	// most, and 0.7 s.
	killAfter = 3700 * time.Millisecond
)

// daemonProgram is the file name of the daemon, which has another configuration than the sidecar.
const daemonProgram = "dunlinsaild"

// programs starts processes of one program that take over from one another.
type programs struct {
	program string
	dir     string   // shared by the processes
	addr    string   // at which clients connect
	config  string   // path of the configuration
	socket  *os.File // the clients' listening socket, which the sidecar inherits; nil for the daemon

	all        []*process
	background sync.WaitGroup // the goroutines that continue or kill processes
}

// newPrograms writes the configuration of a program. The bounds are for the daemon.
func newPrograms(program, dir string, f *fleet, bounds connectionBounds) (*programs, error) {
	p := &programs{program: program, dir: dir, config: filepath.Join(dir, "config")}
	if filepath.Base(program) == daemonProgram {
		var err error
		if p.addr, err = freeport.Free(); err != nil {
			return nil, err
		}
		return p, os.WriteFile(p.config, []byte(daemonConfig(p.addr, f.discovery.Addr, dir, bounds)), configMode)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	p.addr = ln.Addr().String()
	if p.socket, err = ln.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	return p, p.writeKnown(f)
}

// writeKnown writes the sidecar's configuration with the endpoints as they are listed now, as the platform does before
// it starts a process. It does nothing for the daemon.
func (p *programs) writeKnown(f *fleet) error {
	if p.socket == nil {
		return nil
	}
	text, err := sidecarConfig(p.addr, f.discovery.Addr, f.entries)
	if err != nil {
		return err
	}
	return os.WriteFile(p.config, []byte(text), configMode)
}

// configMode is the permissions of a configuration file.
const configMode = 0o600

// process is one process of a program. Its fields are read after its end, unless noted.
type process struct {
	programs     *programs
	cmd          *exec.Cmd
	log          lockedBuffer
	startedAt    time.Time
	terminatedAt time.Time // when SIGTERM was sent; zero: not yet
	killed       bool      // by the platform
	err          error
	endedAt      time.Time
	ended        chan struct{}
}

// lockedBuffer is a buffer that a process writes while others read it.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the buffer.
func (b *lockedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

// String returns what was written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// start starts a process, which takes over from the one that serves.
func (p *programs) start() (*process, error) {
	q := &process{programs: p, startedAt: time.Now(), ended: make(chan struct{})}
	if p.socket == nil {
		q.cmd = exec.Command(p.program, "--config", p.config)
	} else {
		q.cmd = exec.Command(p.program)
		q.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+p.config, "ROUTER_LISTEN="+p.addr, "ROUTER_INHERITED_FD=3",
			"TMPDIR="+p.dir)
		q.cmd.ExtraFiles = []*os.File{p.socket}
	}
	q.cmd.Stderr = &q.log
	q.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := q.cmd.Start(); err != nil {
		return nil, err
	}
	p.all = append(p.all, q)
	go func() {
		q.err = q.cmd.Wait()
		q.endedAt = time.Now()
		close(q.ended)
	}()
	return q, nil
}

// servingMessage is the log message of a process that has begun to serve.
const servingMessage = "msg=serving"

// awaitReady waits until a process serves, and reports whether it does in time.
func (q *process) awaitReady(ctx context.Context) bool {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for time.Since(q.startedAt) < readyTimeout {
		if strings.Contains(q.log.String(), servingMessage) {
			return true
		}
		select {
		case <-tick.C:
		case <-q.ended:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// servedAt returns when a process began to serve, by its log; zero if it has not.
func (q *process) servedAt() time.Time {
	for line := range strings.Lines(q.log.String()) {
		if stamp, found := strings.CutPrefix(line, "time="); found && strings.Contains(line, servingMessage) {
			stamp, _, _ = strings.Cut(stamp, " ")
			at, err := time.Parse(time.RFC3339Nano, stamp)
			if err == nil {
				return at
			}
		}
	}
	return time.Time{}
}

// awaitEndpoints waits until the process that serves has endpoints for requests, and reports whether it does in time.
func (p *programs) awaitEndpoints(ctx context.Context) bool {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		response, err := http.Get("http://" + p.addr + "/-/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// signal sends a signal to a process that has not ended.
func (q *process) signal(signal syscall.Signal) {
	if !q.hasEnded() {
		_ = q.cmd.Process.Signal(signal) // it may end meanwhile
	}
}

// hasEnded reports whether a process has ended.
func (q *process) hasEnded() bool {
	select {
	case <-q.ended:
		return true
	default:
		return false
	}
}

// terminate sends SIGTERM, and has the process killed as early as the platform may.
func (q *process) terminate() {
	q.terminatedAt = time.Now()
	q.signal(syscall.SIGTERM)
	q.programs.background.Go(func() {
		select {
		case <-q.ended:
		case <-time.After(killAfter):
			q.kill()
		}
	})
}

// kill kills a process and waits for its end.
func (q *process) kill() {
	if q.hasEnded() {
		return
	}
	q.killed = true
	_ = q.cmd.Process.Kill() // it may end meanwhile
	<-q.ended
}

// awaitEnd waits for the end of a process that was terminated.
func (q *process) awaitEnd() { <-q.ended }

// rejected reports whether a process ended because another one was taking over.
func (q *process) rejected() bool {
	return strings.Contains(q.log.String(), "another takeover is under way")
}

// awaitAll waits until all processes have ended. What has not been terminated is killed.
func (p *programs) awaitAll() {
	p.background.Wait()
	for _, q := range p.all {
		if q.terminatedAt.IsZero() {
			q.kill()
		}
		<-q.ended
	}
}

// close ends all processes.
func (p *programs) close() {
	p.background.Wait()
	for _, q := range p.all {
		q.kill()
	}
	if p.socket != nil {
		p.socket.Close()
	}
}

// logs returns what all processes have logged.
func (p *programs) logs() string {
	var all strings.Builder
	for i, q := range p.all {
		fmt.Fprintf(&all, "---- process %d\n%s", i, q.log.String())
	}
	return all.String()
}
