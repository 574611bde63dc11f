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
	command      *exec.Cmd
	processEnded chan struct{} // closed once the process has ended
	endExpected  *atomic.Bool  // the runner ended it, or has it replaced
	predecessors []predecessor

	suspendedUntil atomic.Int64 // end of its latest suspension, in microseconds of the run; in the future during one

	discoveryServer *discoveryserver.Server
	listenAddrs     []string // of its listeners, one for each client process
	httpClients     []*http.Client
	configPath      string
	adminAddr       string // of its admin API; "" is none
}

func (r *run) newInstance(index int) (*instance, error) {
	inst := &instance{index: index}
	var err error
	if inst.discoveryServer, err = discoveryserver.Start(r.discoveryEntries(index)...); err != nil {
		return nil, err
	}
	listenerCount := r.plan.Clients.Processes
	if isSidecar(r.options.Daemon) {
		listenerCount = 1 // a sidecar serves one application
	}
	for range listenerCount {
		addr, err := freeport.Free()
		if err != nil {
			return nil, err
		}
		inst.listenAddrs = append(inst.listenAddrs, addr)
		inst.httpClients = append(inst.httpClients, &http.Client{Transport: &http.Transport{
			DisableCompression:  true,
			MaxIdleConnsPerHost: 1000,
			IdleConnTimeout:     time.Minute,
		}})
	}
	generateConfig := r.daemonConfig
	fileNameFormat := "instance-%d.toml"
	if isSidecar(r.options.Daemon) {
		generateConfig = r.sidecarConfig
		fileNameFormat = "instance-%d.json"
	}
	configText, err := generateConfig(inst)
	if err != nil {
		return nil, err
	}
	inst.configPath = filepath.Join(r.workDir, fmt.Sprintf(fileNameFormat, index))
	if err := os.WriteFile(inst.configPath, configText, 0o600); err != nil {
		return nil, err
	}
	return inst, r.launch(inst)
}

// programOf returns the program of an instance, and whether it is the alternate one.
func (r *run) programOf(inst *instance) (path string, alternate bool) {
	if r.options.AlternateDaemon != "" && inst.index%2 == 1 {
		return r.options.AlternateDaemon, true
	}
	return r.options.Daemon, false
}

// launch starts an instance's process.
func (r *run) launch(inst *instance) error {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	program, alternate := r.programOf(inst)
	if isSidecar(r.options.Daemon) {
		inst.command = exec.Command(program)
		inst.command.Env = append(os.Environ(), "GOMAXPROCS=1", "ROUTER_CONFIG="+inst.configPath)
		if r.config.Overload.On && !alternate {
			inst.command.Env = append(inst.command.Env, "ROUTER_OVERLOAD=1")
		}
	} else {
		inst.command = exec.Command(program, "--config", inst.configPath)
		inst.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	inst.command.Stderr = r.options.Log
	inst.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := inst.command.Start(); err != nil {
		return err
	}
	command := inst.command
	processEnded := make(chan struct{})
	endExpected := &atomic.Bool{}
	inst.processEnded = processEnded
	inst.endExpected = endExpected
	go func() {
		defer close(processEnded)
		_ = command.Wait() // the process's state says how it ended
		if !endExpected.Load() {
			r.fail(fmt.Errorf("the process of instance %d has ended by itself: %v", inst.index, command.ProcessState))
		}
	}()
	return nil
}

// kill kills an instance's process and the predecessors that still drain, and waits until they have ended.
func (inst *instance) kill() {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.processEnded == nil {
		return
	}
	inst.endExpected.Store(true)
	inst.command.Process.Kill()
	<-inst.processEnded
	for _, predecessor := range inst.predecessors {
		predecessor.command.Process.Kill()
		<-predecessor.processEnded
	}
	inst.predecessors = nil
}

// predecessor is a process that is being replaced in a hot restart.
type predecessor struct {
	command      *exec.Cmd
	processEnded chan struct{}
}

// upgrade starts a successor of an instance's process, which takes over from it; the predecessor ends by itself.
func (r *run) hotRestart(inst *instance) {
	inst.mu.Lock()
	if inst.endExpected.Load() {
		inst.mu.Unlock()
		return
	}
	inst.endExpected.Store(true) // its end is expected
	inst.predecessors = append(inst.predecessors, predecessor{inst.command, inst.processEnded})
	inst.mu.Unlock()
	if err := r.launch(inst); err != nil {
		r.fail(err)
	}
}

// hasHotRestarts reports whether the plan has hot restarts.
func (r *run) hasHotRestarts() bool {
	return r.plan.HasEvent(scenario.EventHotRestart)
}

// freeze suspends instances (SIGSTOP) until an instant of the run.
func (r *run) suspendInstances(instances []int, resumeAt monotime.Micros) {
	for _, instanceIndex := range instances {
		inst := r.instances[instanceIndex]
		inst.suspendedUntil.Store(max(inst.suspendedUntil.Load(), resumeAt+resumeTolerance))
		inst.signalProcess(syscall.SIGSTOP)
	}
}

// thaw resumes instances (SIGCONT).
func (r *run) resumeInstances(instances []int) {
	for _, instanceIndex := range instances {
		inst := r.instances[instanceIndex]
		inst.signalProcess(syscall.SIGCONT)
		inst.suspendedUntil.Store(r.now() + resumeTolerance)
	}
}

// resumeTolerance is how long after a suspension an instance may answer late, in microseconds: what came meanwhile reaches
// it at once.
const resumeTolerance = 100_000

const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 5 * time.Millisecond
)

// signal sends a signal to the instance's process, unless it was killed.
func (inst *instance) signalProcess(sig syscall.Signal) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.processEnded != nil && !inst.endExpected.Load() {
		inst.command.Process.Signal(sig)
	}
}

// awaitReady polls an instance until it is ready to serve, for readyTimeout at most.
func (r *run) awaitReady(ctx context.Context, inst *instance) error {
	deadline := time.Now().Add(readyTimeout)
	for ; time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(readyPollInterval) {
		resp, err := http.Get("http://" + inst.listenAddrs[0] + "/-/ready")
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
	return fmt.Errorf("instance %d does not become ready", inst.index)
}
