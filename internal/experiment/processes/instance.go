package processes

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/scenario"
)

// instance is an instance of the load balancer: a process, the discovery server that it polls, and its clients.
type instance struct {
	index int

	mu           sync.Mutex // guards the process
	cmd          *exec.Cmd
	ended        chan struct{} // closed once the process has ended
	killed       *atomic.Bool  // the runner ended it, or has it replaced
	predecessors []predecessor

	suspendedUntil atomic.Int64 // end of its latest suspension, in microseconds of the run; in the future during one

	discovery   *discoveryserver.Server
	listenAddrs []string // of its listeners, one for each client process
	httpClients []*http.Client
	configPath  string
	adminAddr   string // of its admin API; "" is none
}

func (r *run) newInstance(n int) (*instance, error) {
	in := &instance{index: n}
	var err error
	if in.discovery, err = discoveryserver.Start(r.discoveryEntries(n)...); err != nil {
		return nil, err
	}
	listeners := r.plan.Clients.Processes
	if isSidecar(r.options.Daemon) {
		listeners = 1 // a sidecar serves one application
	}
	for range listeners {
		addr, err := freeport.Free()
		if err != nil {
			return nil, err
		}
		in.listenAddrs = append(in.listenAddrs, addr)
		in.httpClients = append(in.httpClients, &http.Client{Transport: &http.Transport{
			DisableCompression:  true,
			MaxIdleConnsPerHost: 1000,
			IdleConnTimeout:     time.Minute,
		}})
	}
	write := r.daemonConfig
	name := "instance-%d.toml"
	if isSidecar(r.options.Daemon) {
		write = r.sidecarConfig
		name = "instance-%d.json"
	}
	text, err := write(in)
	if err != nil {
		return nil, err
	}
	in.configPath = filepath.Join(r.workDir, fmt.Sprintf(name, n))
	if err := os.WriteFile(in.configPath, text, 0o600); err != nil {
		return nil, err
	}
	return in, r.launch(in)
}

// programOf returns the program of an instance, and whether it is the alternate one.
func (r *run) programOf(in *instance) (path string, other bool) {
	if r.options.AlternateDaemon != "" && in.index%2 == 1 {
		return r.options.AlternateDaemon, true
	}
	return r.options.Daemon, false
}

// launch starts an instance's process.
func (r *run) launch(in *instance) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	program, other := r.programOf(in)
	if isSidecar(r.options.Daemon) {
		in.cmd = exec.Command(program)
		in.cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "ROUTER_CONFIG="+in.configPath)
		if r.config.Overload.On && !other {
			in.cmd.Env = append(in.cmd.Env, "ROUTER_OVERLOAD=1")
		}
	} else {
		in.cmd = exec.Command(program, "--config", in.configPath)
		in.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	in.cmd.Stderr = r.options.Log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		return err
	}
	cmd := in.cmd
	ended := make(chan struct{})
	killed := &atomic.Bool{}
	in.ended = ended
	in.killed = killed
	go func() {
		defer close(ended)
		_ = cmd.Wait() // the process's state says how it ended
		if !killed.Load() {
			r.fail(fmt.Errorf("the process of instance %d has ended by itself: %v", in.index, cmd.ProcessState))
		}
	}()
	return nil
}

// kill kills an instance's process and the predecessors that still drain, and waits until they have ended.
func (in *instance) kill() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended == nil {
		return
	}
	in.killed.Store(true)
	in.cmd.Process.Kill()
	<-in.ended
	for _, p := range in.predecessors {
		p.cmd.Process.Kill()
		<-p.ended
	}
	in.predecessors = nil
}

// predecessor is a process that is being replaced in a hot restart.
type predecessor struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// upgrade starts a successor of an instance's process, which takes over from it; the predecessor ends by itself.
func (r *run) upgrade(in *instance) {
	in.mu.Lock()
	if in.killed.Load() {
		in.mu.Unlock()
		return
	}
	in.killed.Store(true) // its end is expected
	in.predecessors = append(in.predecessors, predecessor{in.cmd, in.ended})
	in.mu.Unlock()
	if err := r.launch(in); err != nil {
		r.fail(err)
	}
}

// hasUpgrades reports whether the plan has hot restarts.
func (r *run) hasUpgrades() bool {
	return r.plan.HasEvent(scenario.EventHotRestart)
}

// freeze suspends instances (SIGSTOP) until an instant of the run.
func (r *run) freeze(instances []int, until monotime.Micros) {
	for _, n := range instances {
		in := r.instances[n]
		in.suspendedUntil.Store(max(in.suspendedUntil.Load(), until+resumeGrace))
		in.signal(syscall.SIGSTOP)
	}
}

// thaw resumes instances (SIGCONT).
func (r *run) thaw(instances []int) {
	for _, n := range instances {
		in := r.instances[n]
		in.signal(syscall.SIGCONT)
		in.suspendedUntil.Store(r.now() + resumeGrace)
	}
}

// resumeGrace is how long after a suspension an instance may answer late, in microseconds: what came meanwhile reaches
// it at once.
const resumeGrace = 100_000

const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 5 * time.Millisecond
)

// signal sends a signal to the instance's process, unless it was killed.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended != nil && !in.killed.Load() {
		in.cmd.Process.Signal(s)
	}
}

// awaitReady polls an instance until it is ready to serve, for readyTimeout at most.
func (r *run) awaitReady(ctx context.Context, in *instance) error {
	deadline := time.Now().Add(readyTimeout)
	for ; time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(readyPollInterval) {
		resp, err := http.Get("http://" + in.listenAddrs[0] + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return fmt.Errorf("instance %d does not become ready", in.index)
}
