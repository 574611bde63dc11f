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
type processManager struct {
	program      string
	dir          string   // shared by the processes
	clientAddr   string   // at which clients connect
	configPath   string   // path of the configuration
	clientSocket *os.File // the clients' listening socket, which the sidecar inherits; nil for the daemon

	started    []*process
	background sync.WaitGroup // the goroutines that continue or kill processes
}

// newProcessManager writes the configuration of a program. The bounds are for the daemon.
func newProcessManager(program, dir string, f *fleet, bounds connectionBounds) (*processManager, error) {
	m := &processManager{program: program, dir: dir, configPath: filepath.Join(dir, "config")}
	if filepath.Base(program) == daemonProgram {
		var err error
		if m.clientAddr, err = freeport.Free(); err != nil {
			return nil, err
		}
		return m, os.WriteFile(
			m.configPath, []byte(daemonConfig(m.clientAddr, f.discovery.Addr, dir, bounds)), configMode,
		)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	m.clientAddr = ln.Addr().String()
	if m.clientSocket, err = ln.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	return m, m.writeSidecarConfig(f)
}

// writeSidecarConfig writes the sidecar's configuration with the endpoints as they are listed now, as the platform does before
// it starts a process. It does nothing for the daemon.
func (m *processManager) writeSidecarConfig(f *fleet) error {
	if m.clientSocket == nil {
		return nil
	}
	text, err := sidecarConfig(m.clientAddr, f.discovery.Addr, f.instances)
	if err != nil {
		return err
	}
	return os.WriteFile(m.configPath, []byte(text), configMode)
}

// configMode is the permissions of a configuration file.
const configMode = 0o600

// process is one process of a program. Its fields are read after its end, unless noted.
type process struct {
	manager      *processManager
	cmd          *exec.Cmd
	log          lockedBuffer
	startedAt    time.Time
	terminatedAt time.Time // when SIGTERM was sent; zero: not yet
	killed       bool      // by the platform
	exitErr      error
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
func (m *processManager) start() (*process, error) {
	proc := &process{manager: m, startedAt: time.Now(), ended: make(chan struct{})}
	if m.clientSocket == nil {
		proc.cmd = exec.Command(m.program, "--config", m.configPath)
	} else {
		proc.cmd = exec.Command(m.program)
		proc.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+m.configPath, "ROUTER_LISTEN="+m.clientAddr,
			"ROUTER_INHERITED_FD=3", "TMPDIR="+m.dir)
		proc.cmd.ExtraFiles = []*os.File{m.clientSocket}
	}
	proc.cmd.Stderr = &proc.log
	proc.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := proc.cmd.Start(); err != nil {
		return nil, err
	}
	m.started = append(m.started, proc)
	go func() {
		proc.exitErr = proc.cmd.Wait()
		proc.endedAt = time.Now()
		close(proc.ended)
	}()
	return proc, nil
}

// servingMessage is the log message of a process that has begun to serve.
const servingMessage = "msg=serving"

// awaitReady waits until a process serves, and reports whether it does in time.
func (proc *process) awaitReady(ctx context.Context) bool {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for time.Since(proc.startedAt) < readyTimeout {
		if strings.Contains(proc.log.String(), servingMessage) {
			return true
		}
		select {
		case <-tick.C:
		case <-proc.ended:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// servedAt returns when a process began to serve, by its log; zero if it has not.
func (proc *process) servedAt() time.Time {
	for line := range strings.Lines(proc.log.String()) {
		if stamp, found := strings.CutPrefix(line, "time="); found && strings.Contains(line, servingMessage) {
			stamp, _, _ = strings.Cut(stamp, " ")
			loggedAt, err := time.Parse(time.RFC3339Nano, stamp)
			if err == nil {
				return loggedAt
			}
		}
	}
	return time.Time{}
}

// awaitEndpoints waits until the process that serves has endpoints for requests, and reports whether it does in time.
func (m *processManager) awaitEndpoints(ctx context.Context) bool {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		response, err := http.Get("http://" + m.clientAddr + "/-/ready")
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
func (proc *process) signal(signal syscall.Signal) {
	if !proc.hasEnded() {
		_ = proc.cmd.Process.Signal(signal) // it may end meanwhile
	}
}

// hasEnded reports whether a process has ended.
func (proc *process) hasEnded() bool {
	select {
	case <-proc.ended:
		return true
	default:
		return false
	}
}

// terminate sends SIGTERM, and has the process killed as early as the platform may.
func (proc *process) terminate() {
	proc.terminatedAt = time.Now()
	proc.signal(syscall.SIGTERM)
	proc.manager.background.Go(func() {
		select {
		case <-proc.ended:
		case <-time.After(killAfter):
			proc.kill()
		}
	})
}

// kill kills a process and waits for its end.
func (proc *process) kill() {
	if proc.hasEnded() {
		return
	}
	proc.killed = true
	_ = proc.cmd.Process.Kill() // it may end meanwhile
	<-proc.ended
}

// awaitEnd waits for the end of a process that was terminated.
func (proc *process) awaitEnd() { <-proc.ended }

// rejected reports whether a process ended because another one was taking over.
func (proc *process) rejectedByTakeover() bool {
	return strings.Contains(proc.log.String(), "another takeover is under way")
}

// awaitAll waits until all processes have ended. What has not been terminated is killed.
func (m *processManager) awaitAll() {
	m.background.Wait()
	for _, proc := range m.started {
		if proc.terminatedAt.IsZero() {
			proc.kill()
		}
		<-proc.ended
	}
}

// close ends all processes.
func (m *processManager) close() {
	m.background.Wait()
	for _, proc := range m.started {
		proc.kill()
	}
	if m.clientSocket != nil {
		m.clientSocket.Close()
	}
}

// logs returns what all processes have logged.
func (m *processManager) logs() string {
	var logs strings.Builder
	for i, proc := range m.started {
		fmt.Fprintf(&logs, "---- process %d\n%s", i, proc.log.String())
	}
	return logs.String()
}
