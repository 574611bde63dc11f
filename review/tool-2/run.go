package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one play of a case: its record, its temporary folder and the processes that it has started.
type run struct {
	root    string // root of the repository
	dir     string // temporary folder
	trouble bool   // false with TROUBLE=0
	start   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

func newRun(root, record string) (*run, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &run{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: file}, nil
}

// note writes a line to the record, with $DIR for the temporary folder.
func (r *run) note(format string, args ...any) {
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), r.dir, "$DIR")
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), text)
}

// close ends all processes, and removes the temporary folder.
func (r *run) close() {
	for _, p := range r.processes {
		p.kill()
	}
	r.record.Close()
	os.RemoveAll(r.dir)
}

// path returns the path of a file in the temporary folder.
func (r *run) path(name string) string { return filepath.Join(r.dir, name) }

// write replaces a file in the temporary folder by a rename, and returns its path.
func (r *run) write(name, text string) string {
	path := r.path(name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		panic(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		panic(err)
	}
	return path
}

// process is a process of the project.
type process struct {
	name string
	cmd  *exec.Cmd
	run  *run
	done chan struct{}
	mu   sync.Mutex
	log  []string
}

// launch starts a command of the deploy file with additional environment variables. files are passed from descriptor
// 3 on; a nil file leaves its descriptor closed.
func (r *run) launch(name, command string, env []string, files ...*os.File) *process {
	p := &process{name: name, run: r, done: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir = r.root
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.ExtraFiles = files
	reader, writer, err := os.Pipe()
	if err != nil {
		panic(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	if err := p.cmd.Start(); err != nil {
		panic(err)
	}
	writer.Close()
	r.processes = append(r.processes, p)
	r.note("%s started: %s", name, command)
	go func() {
		lines := bufio.NewScanner(reader)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.mu.Lock()
			p.log = append(p.log, lines.Text())
			p.mu.Unlock()
			r.note("%s log: %s", name, lines.Text())
		}
		reader.Close()
	}()
	go func() {
		err := p.cmd.Wait()
		r.note("%s ended: %v", name, err)
		close(p.done)
	}()
	return p
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.run.note("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process, and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// awaitLog waits until a line of the log contains text.
func (p *process) awaitLog(text string, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		for _, line := range p.log {
			if strings.Contains(line, text) {
				p.mu.Unlock()
				return nil
			}
		}
		p.mu.Unlock()
	}
	return fmt.Errorf("%s did not log %q within %v", p.name, text, timeout)
}

// daemon starts the daemon with a configuration file, after `check` has found the file sound.
func (r *run) daemon(name, config string) *process {
	check := exec.Command("bin/dunlinsaild", "check", "--config", config)
	check.Dir = r.root
	output, err := check.CombinedOutput()
	r.note("dunlinsaild check: %v, %q", err, output)
	if err != nil {
		panic(err)
	}
	return r.launch(name, "exec bin/dunlinsaild --config "+config, nil)
}

// freeAddress returns a loopback address with a port that is free now. The port is below those that systems give to
// outgoing connections, so that none of these takes it before the program listens there.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000))
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
	panic("no port is free")
}
