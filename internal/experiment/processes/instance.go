package processes

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/scenario"
)

// instance is a daemon's process.
type instance struct {
	index int

	mu           sync.Mutex // guards the process
	cmd          *exec.Cmd
	ended        chan struct{} // closed once the process has
	killed       *atomic.Bool  // by us
	predecessors []predecessor

	suspendedUntil atomic.Int64 // microseconds of the run until which it was stopped last; in the future while it is

	discovery   *discoveryserver.Server
	listenAddrs []string // of its listeners, one for each client process
	httpClients []*http.Client
	configPath  string
	adminAddr   string // where operators call; "" is nowhere
}

func (r *run) newInstance(n int) (*instance, error) {
	in := &instance{index: n}
	var err error
	if in.discovery, err = discoveryserver.Start(r.discoveryEntries(n)...); err != nil {
		return nil, err
	}
	listeners := r.plan.Clients.Processes
	if isSidecar(r.options.Daemon) {
		listeners = 1 // it is one application's
	}
	for range listeners {
		addr, err := freeport.Free()
		if err != nil {
			return nil, err
		}
		in.listenAddrs = append(in.listenAddrs, addr)
		in.httpClients = append(in.httpClients, &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1000, IdleConnTimeout: time.Minute}})
	}
	write, name := r.daemonConfig, "instance-%d.toml"
	if isSidecar(r.options.Daemon) {
		write, name = r.sidecarConfig, "instance-%d.json"
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

// program is what an instance is a process of.
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
	cmd, ended, killed := in.cmd, make(chan struct{}), &atomic.Bool{}
	in.ended, in.killed = ended, killed
	go func() {
		defer close(ended)
		if err := cmd.Wait(); !killed.Load() {
			r.fail(fmt.Errorf("the process of instance %d has ended by itself: %v", in.index, err))
		}
	}()
	return nil
}

// kill ends an instance's process without a word, and waits until it is gone. One that is being replaced is ended with it.
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

// former is a process whose place another takes.
type predecessor struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// upgrade starts another process of an instance, which takes over from the one that serves. That ends by itself then.
func (r *run) upgrade(in *instance) {
	in.mu.Lock()
	if in.killed.Load() {
		in.mu.Unlock()
		return
	}
	in.killed.Store(true) // its end is no fault
	in.predecessors = append(in.predecessors, predecessor{in.cmd, in.ended})
	in.mu.Unlock()
	if err := r.launch(in); err != nil {
		r.fail(err)
	}
}

// upgrades says whether processes take over from others in this run.
func (r *run) hasUpgrades() bool {
	return slices.ContainsFunc(r.plan.PlannedEvents, func(h scenario.PlannedEvent) bool { return h.What == "upgrade" })
}

// freeze stops instances (SIGSTOP): they keep what they hold, and do nothing.
func (r *run) freeze(instances []int, until monotime.Micros) {
	for _, n := range instances {
		in := r.instances[n]
		in.suspendedUntil.Store(max(in.suspendedUntil.Load(), until+resumeGrace))
		in.signal(syscall.SIGSTOP)
	}
}

// thaw has them go on.
func (r *run) thaw(instances []int) {
	for _, n := range instances {
		in := r.instances[n]
		in.signal(syscall.SIGCONT)
		in.suspendedUntil.Store(r.now() + resumeGrace)
	}
}

// frozenSlack is until when after its going on an instance is not held to answers in time, in microseconds: what had come
// meanwhile comes to it at once.
const resumeGrace = 100_000

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended != nil && !in.killed.Load() {
		in.cmd.Process.Signal(s)
	}
}

// ready waits until an instance serves.
func (r *run) awaitReady(ctx context.Context, in *instance) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
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
