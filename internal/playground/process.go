package playground

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"dunlinsail/internal/fake/client"
)

// program is a child process.
type program struct {
	*exec.Cmd
	done chan struct{} // closed when it has exited
	err  error         // its exit error; valid after done
}

// spawn starts a program. Its standard output goes to out, unless that is nil, and its log to a file.
func (p *playground) spawn(in io.Reader, out io.Writer, log string, args ...string) (*program, error) {
	cmd := exec.Command(p.options.Program, args...)
	// With its own process group, Ctrl-C reaches only this process.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	cmd.Stdin = in
	cmd.Stdout = out
	file, err := os.OpenFile(filepath.Join(p.dir, log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	cmd.Stderr = file
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	x := &program{Cmd: cmd, done: make(chan struct{})}
	p.mu.Lock()
	p.programs = append(p.programs, x)
	p.mu.Unlock()
	go func() {
		x.err = cmd.Wait()
		close(x.done)
	}()
	return x, nil
}

// startDaemon starts a daemon, which takes over from a running one, and waits until it serves.
func (p *playground) startDaemon(stop context.Context) error {
	output, outputWriter := io.Pipe()
	x, err := p.spawn(nil, outputWriter, "daemon.log", "--config", p.configPath(), "--announce")
	if err != nil {
		return err
	}
	announced := make(chan struct{})
	go func() {
		if bufio.NewScanner(output).Scan() {
			close(announced)
		}
		_, _ = io.Copy(io.Discard, output) // until the daemon ends
	}()
	select {
	case <-announced:
	case <-x.done:
		text, _ := os.ReadFile(filepath.Join(p.dir, "daemon.log"))
		return fmt.Errorf("the daemon ended: %w\n%s", x.err, text)
	case <-stop.Done():
		return nil
	}
	p.mu.Lock()
	old := p.daemon
	p.daemon = x
	p.mu.Unlock()
	go func() {
		<-x.done
		outputWriter.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.ending && p.daemon == x {
			p.failures <- fmt.Errorf("the daemon ended: %w", x.err)
		}
	}()
	if old != nil {
		p.logEvent("process %d took over from process %d", x.Process.Pid, old.Process.Pid)
	}
	return nil
}

// startClient starts a client process and collects its results.
func (p *playground) startClient(name string, o client.Options) error {
	text, err := json.Marshal(o)
	if err != nil {
		return err
	}
	out, outWriter := io.Pipe()
	x, err := p.spawn(strings.NewReader(string(text)), outWriter, "clients.log", "playground-client")
	if err != nil {
		return err
	}
	go func() {
		<-x.done
		outWriter.Close()
	}()
	f := &figures{}
	p.mu.Lock()
	p.figures[name] = f
	p.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var r client.Result
			if json.Unmarshal(lines.Bytes(), &r) != nil || int(r.Verdict) >= len(f.byVerdict) {
				continue
			}
			p.mu.Lock()
			f.byVerdict[r.Verdict]++
			f.totals[r.Verdict]++
			if r.Verdict == client.Served {
				f.latencies = append(f.latencies, r.Latency)
			}
			p.mu.Unlock()
		}
	}()
	return nil
}

// Client runs a client process: it reads its options as JSON from in, and writes a line of JSON for each result to
// out.
func Client(stop context.Context, in io.Reader, out io.Writer) error {
	var o client.Options
	if err := json.NewDecoder(in).Decode(&o); err != nil {
		return err
	}
	var mu sync.Mutex
	lines := json.NewEncoder(out)
	o.OnDone = func(r client.Result) {
		mu.Lock()
		defer mu.Unlock()
		_ = lines.Encode(r) // an error means that the playground has ended
	}
	client.New(o).Run(stop)
	return nil
}
