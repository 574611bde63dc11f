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
	readyTimeout      = 6 * time.Second      // how long a new process may take until it serves
	readyPollInterval = 5 * time.Millisecond // interval at which readiness is polled
	// killAfter is how long after SIGTERM the platform kills a process at the earliest: the longest deadline of the
	// configurations plus 0.7 s.
	killAfter = requestTimeout + 700*time.Millisecond
)

// daemonProgram is the file name of the daemon, whose configuration format differs from the sidecar's.
const daemonProgram = "dunlinsaild"

// processManager starts processes of one program that take over from one another.
type processManager struct {
	program      string
	sharedDir    string   // folder shared by the processes
	clientAddr   string   // address to which clients connect
	configPath   string   // path of the configuration file
	clientSocket *os.File // listening socket for clients, inherited by the sidecar; nil for the daemon

	started    []*process
	background sync.WaitGroup // goroutines that continue or kill processes
}

// newProcessManager returns a process manager, and writes the configuration of the program. The bounds apply
// to the daemon only.
func newProcessManager(program, dir string, f *fleet, bounds connectionBounds) (*processManager, error) {
	m := &processManager{program: program, sharedDir: dir, configPath: filepath.Join(dir, "config")}
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

// writeSidecarConfig writes the sidecar's configuration with the endpoints that discovery lists now, as the
// platform does before it starts a process. It does nothing for the daemon.
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

// configMode holds the permission bits of a configuration file.
const configMode = 0o600

// process is one process of a program. Fields that are set at its end are read after ended is closed.
type process struct {
	manager      *processManager
	cmd          *exec.Cmd
	log          lockedBuffer
	startedAt    time.Time
	terminatedAt time.Time // when SIGTERM was sent; zero if it was not sent
	killed       bool      // whether the process was killed by the fake platform
	exitErr      error
	endedAt      time.Time
	ended        chan struct{}
}

// lockedBuffer is a buffer to which a process writes its log while other goroutines read it.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends text to the buffer.
func (b *lockedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

// String returns the text written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// start starts a process, which takes over from the process that serves.
func (m *processManager) start() (*process, error) {
	proc := &process{manager: m, startedAt: time.Now(), ended: make(chan struct{})}
	if m.clientSocket == nil {
		proc.cmd = exec.Command(m.program, "--config", m.configPath)
	} else {
		proc.cmd = exec.Command(m.program)
		proc.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+m.configPath, "ROUTER_LISTEN="+m.clientAddr,
			"ROUTER_INHERITED_FD=3", "TMPDIR="+m.sharedDir)
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

// servingMessage is the text that a process logs once it serves.
const servingMessage = "msg=serving"

// awaitReady waits until a process serves, and reports whether it does so within readyTimeout.
func (proc *process) awaitReady(ctx context.Context) bool {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for time.Since(proc.startedAt) < readyTimeout {
		if strings.Contains(proc.log.String(), servingMessage) {
			return true
		}
		select {
		case <-ticker.C:
		case <-proc.ended:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// servedAt returns when a process started to serve according to its log, or the zero time if it did not.
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

// awaitEndpoints waits until the process that serves reports that it is ready, which requires known
// endpoints. It reports whether that happens within readyTimeout.
func (m *processManager) awaitEndpoints(ctx context.Context) bool {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		response, err := http.Get("http://" + m.clientAddr + "/-/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// signal sends a signal to the process unless the process has ended.
func (proc *process) signal(signal syscall.Signal) {
	if !proc.hasEnded() {
		_ = proc.cmd.Process.Signal(signal) // fails if the process has just ended
	}
}

// hasEnded reports whether the process has ended.
func (proc *process) hasEnded() bool {
	select {
	case <-proc.ended:
		return true
	default:
		return false
	}
}

// terminate sends SIGTERM, and kills the process if it has not ended after killAfter, the earliest time at
// which the platform may kill it.
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

// kill kills the process and waits for its end.
func (proc *process) kill() {
	if proc.hasEnded() {
		return
	}
	proc.killed = true
	_ = proc.cmd.Process.Kill() // fails if the process has just ended
	<-proc.ended
}

// awaitEnd waits until the process ends.
func (proc *process) awaitEnd() { <-proc.ended }

// rejectedByTakeover reports whether the process ended because another process was already taking over.
func (proc *process) rejectedByTakeover() bool {
	return strings.Contains(proc.log.String(), "another takeover is under way")
}

// awaitAll waits until all processes have ended, and kills processes to which no SIGTERM was sent.
func (m *processManager) awaitAll() {
	m.background.Wait()
	for _, proc := range m.started {
		if proc.terminatedAt.IsZero() {
			proc.kill()
		}
		<-proc.ended
	}
}

// close kills all processes that still run, and closes the listening socket.
func (m *processManager) close() {
	m.background.Wait()
	for _, proc := range m.started {
		proc.kill()
	}
	if m.clientSocket != nil {
		m.clientSocket.Close()
	}
}

// logs returns the log output of all processes.
func (m *processManager) logs() string {
	var logs strings.Builder
	for i, proc := range m.started {
		fmt.Fprintf(&logs, "---- process %d\n%s", i, proc.log.String())
	}
	return logs.String()
}
