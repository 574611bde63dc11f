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

// instance is a running load balancer instance: its process, its discovery server, and the HTTP clients that send
// requests to it.
type instance struct {
	index int

	mu           sync.Mutex // guards command, processEnded, endExpected and predecessors
	command      *exec.Cmd
	processEnded chan struct{} // closed once the process has ended
	endExpected  *atomic.Bool  // the runner has killed the process or started its successor
	predecessors []predecessor

	// suspendedUntil is the end of the latest suspension, in microseconds of the run. It lies in the future during
	// a suspension.
	suspendedUntil atomic.Int64

	discoveryServer *discoveryserver.Server
	listenAddrs     []string // addresses of the instance's listeners, one for each client process
	httpClients     []*http.Client
	configPath      string
	adminAddr       string // address of the admin API; "" if the instance has none
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

// programOf returns the path of the program that an instance runs, and whether it is the alternate program.
func (r *run) programOf(inst *instance) (path string, alternate bool) {
	if r.options.AlternateDaemon != "" && inst.index%2 == 1 {
		return r.options.AlternateDaemon, true
	}
	return r.options.Daemon, false
}

// launch starts an instance's process. The run fails if the process later ends unexpectedly.
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
		_ = command.Wait() // ProcessState, which is reported below, has the exit status
		if !endExpected.Load() {
			r.fail(fmt.Errorf("the process of instance %d has ended by itself: %v", inst.index, command.ProcessState))
		}
	}()
	return nil
}

// kill kills the process of the instance and the predecessors that are still draining, and waits until all have
// ended.
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

// predecessor is a process that a hot restart has replaced and that may still be draining.
type predecessor struct {
	command      *exec.Cmd
	processEnded chan struct{}
}

// hotRestart starts a successor process, which takes over from the instance's current process. The predecessor ends
// by itself.
func (r *run) hotRestart(inst *instance) {
	inst.mu.Lock()
	if inst.endExpected.Load() {
		inst.mu.Unlock()
		return
	}
	inst.endExpected.Store(true) // the predecessor ends after the takeover
	inst.predecessors = append(inst.predecessors, predecessor{inst.command, inst.processEnded})
	inst.mu.Unlock()
	if err := r.launch(inst); err != nil {
		r.fail(err)
	}
}

// hasHotRestarts reports whether the plan contains hot restarts.
func (r *run) hasHotRestarts() bool {
	return r.plan.HasEvent(scenario.EventHotRestart)
}

// suspendInstances suspends the processes of instances with SIGSTOP. resumeAt is the time of the run at which the
// caller will resume them.
func (r *run) suspendInstances(instances []int, resumeAt monotime.Micros) {
	for _, instanceIndex := range instances {
		inst := r.instances[instanceIndex]
		inst.suspendedUntil.Store(max(inst.suspendedUntil.Load(), resumeAt+resumeTolerance))
		inst.signalProcess(syscall.SIGSTOP)
	}
}

// resumeInstances resumes the processes of suspended instances with SIGCONT.
func (r *run) resumeInstances(instances []int) {
	for _, instanceIndex := range instances {
		inst := r.instances[instanceIndex]
		inst.signalProcess(syscall.SIGCONT)
		inst.suspendedUntil.Store(r.now() + resumeTolerance)
	}
}

// resumeTolerance is how long after a suspension an instance may respond late, in microseconds: on resuming it
// receives all requests of the suspension at once.
const resumeTolerance = 100_000

const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 5 * time.Millisecond
)

// signalProcess sends a signal to the instance's process, unless the runner has killed or is replacing it.
func (inst *instance) signalProcess(sig syscall.Signal) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.processEnded != nil && !inst.endExpected.Load() {
		inst.command.Process.Signal(sig)
	}
}

// awaitReady polls an instance until it reports that it is ready, or fails after readyTimeout.
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
	return fmt.Errorf("instance %d did not become ready", inst.index)
}
