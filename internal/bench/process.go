package bench

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// logVariable is the environment variable that has the programs' logs printed, where it is set.
const logVariable = "DUNLINBENCH_LOG"

const (
	readyTimeout      = 10 * time.Second // within which a started program has to be ready
	readyPollInterval = 20 * time.Millisecond
)

// process is a program under test.
type process struct {
	cmd  *exec.Cmd
	addr string
}

// startProcess starts a program that serves on addr and waits until it is ready. It has so many cores; 0 is no limit.
func startProcess(
	ctx context.Context, addr string, cores int, env []string, program string, args ...string,
) (*process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	if cores > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprint("GOMAXPROCS=", cores))
	}
	if os.Getenv(logVariable) != "" {
		cmd.Stderr = os.Stderr
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, addr: addr}
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if p.isReady() {
			return p, nil
		}
		time.Sleep(readyPollInterval)
	}
	p.stop()
	return nil, fmt.Errorf("%s does not become ready", program)
}

// isReady reports whether the program says that it can serve.
func (p *process) isReady() bool {
	resp, err := http.Get("http://" + p.addr + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends the program and returns the processor time that it took, however it ended.
func (p *process) stop() time.Duration {
	p.cmd.Process.Signal(syscall.SIGTERM)
	_ = p.cmd.Wait()
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

const (
	memoryPollInterval = 3 * time.Second
	memoryTolerance    = 64 << 10 // bytes by which resident memory may still fall
)

// stableMemory returns the program's resident memory in bytes once it has stopped falling.
func (p *process) stableMemory(ctx context.Context) (int64, error) {
	last := int64(math.MaxInt64)
	for {
		select {
		case <-time.After(memoryPollInterval):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
		now, err := p.residentMemory()
		if err != nil || now >= last-memoryTolerance {
			return min(now, last), err
		}
		last = now
	}
}

// residentMemory returns the program's resident memory in bytes.
func (p *process) residentMemory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("no VmRSS")
}

// Fields of /proc/PID/stat after the program's name (proc(5)), and the length of the kernel's tick.
const (
	statUserTicks   = 11
	statSystemTicks = 12
	kernelTick      = 10 * time.Millisecond
)

// cpuTime returns the processor time that the program has taken so far, 0 if it is not known.
func (p *process) cpuTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= statSystemTicks {
		return 0
	}
	user, _ := strconv.ParseInt(fields[statUserTicks], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystemTicks], 10, 64)
	return time.Duration(user+system) * kernelTick
}
