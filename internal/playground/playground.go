// Package playground shows a daemon at work on one machine: stand-in endpoints and a stand-in roster in this process,
// the daemon and a few client processes as processes of their own, one screen of figures a second, and now and then
// something that goes wrong. It knows the daemon by its command line and its file only.
package playground

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/endpoint"
)

// Options say what to show.
type Options struct {
	Program string        // dunlinsaild
	Out     io.Writer     // the screen
	Clear   bool          // it is a terminal: each screen replaces the one before
	For     time.Duration // 0 is until told to end
	Quiet   bool          // nothing goes wrong by itself
}

// Run plays until its time is over or stop ends, and ends all that it started.
func Run(stop context.Context, o Options) (err error) {
	if o.For > 0 {
		var cancel context.CancelFunc
		stop, cancel = context.WithTimeout(stop, o.For)
		defer cancel()
	}
	dir, err := os.MkdirTemp("", "dunlinsail")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	p := &playground{options: o, dir: dir, startedAt: time.Now(), figures: map[string]*figures{}}
	defer p.stop()
	if err := p.start(stop); err != nil {
		return err
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for second := 1; ; second++ {
		select {
		case <-tick.C:
		case <-stop.Done():
			return nil
		case err := <-p.failures:
			return err
		}
		if !o.Quiet {
			p.injectFault(second)
		}
		p.printScreen(second)
	}
}

// play is what runs.
type playground struct {
	options    Options
	dir        string
	listenAddr string // address of the TCP listener
	startedAt  time.Time
	failures   chan error

	discovery     *discoveryserver.Server
	ledger        *endpoint.Ledger
	endpoints     []*listedEndpoint
	fileEndpoints []*listedEndpoint // the pool that is listed in the file
	daemon        *program
	programs      []*program
	ending        bool

	mu      sync.Mutex
	figures map[string]*figures
	events  []string
}

// node is a stand-in endpoint and its entry in the roster.
type listedEndpoint struct {
	*endpoint.Server
	entry      discovery.Instance
	lastServed int // when last looked
}

// figures are a client's of the present second, and of all.
type figures struct {
	byVerdict [client.VerdictCount]int
	latencies []time.Duration
	totals    [client.VerdictCount]int
}

// cast are the client processes: the last asks for far more than its share, now and then.
var clientSpecs = []struct {
	name, network string
	rate          float64
}{{"desk-1", "tcp", 60}, {"desk-2", "tcp", 40}, {"phone-1", "unix", 30}, {"phone-2", "unix", 30}, {"report", "unix", 500}}

const (
	poolEndpoints     = 6
	fileEndpointCount = 2
	endpointCores     = 2
	serviceTime       = 15 * time.Millisecond
)

func (p *playground) start(stop context.Context) error {
	p.failures = make(chan error, 1)
	var entries []discovery.Instance
	p.ledger = &endpoint.Ledger{}
	for i := range poolEndpoints {
		n, err := p.startEndpoint(i)
		if err != nil {
			return err
		}
		p.endpoints = append(p.endpoints, n)
		entries = append(entries, n.entry)
	}
	for i := range fileEndpointCount {
		n, err := p.startEndpoint(poolEndpoints + i)
		if err != nil {
			return err
		}
		n.entry.ID, n.entry.Zone, n.entry.Lifecycle = "files "+n.Addr, "-", "listed"
		p.fileEndpoints = append(p.fileEndpoints, n)
	}
	var err error
	if p.discovery, err = discoveryserver.Start(entries...); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.listenAddr = ln.Addr().String()
	ln.Close()
	if err := os.WriteFile(p.configPath(), []byte(p.config()), 0o600); err != nil {
		return err
	}
	if err := p.startDaemon(stop); err != nil {
		return err
	}
	for i, c := range clientSpecs {
		o := client.Options{Name: c.name, Network: c.network, Addr: p.listenAddr, Tenant: "acme", Rate: c.rate, Duration: 1e6 * time.Hour,
			MaxOpen: 500, Seed: uint64(i), Classes: []client.Class{
				{Name: "open-slots", Share: 0.5, Method: "GET", Timeout: 500 * time.Millisecond},
				{Name: "chair-status", Share: 0.25, Method: "GET", Timeout: 500 * time.Millisecond},
				{Name: "files", Share: 0.05, Method: "GET", Timeout: 500 * time.Millisecond},
				{Name: "book", Share: 0.2, Method: "POST", SendIdempotencyKey: true, BodySize: 300, Timeout: 600 * time.Millisecond}}}
		if c.network == "unix" {
			o.Addr = filepath.Join(p.dir, "clients.sock")
		}
		if err := p.startClient(c.name, o); err != nil {
			return err
		}
	}
	return nil
}

// node starts an endpoint.
func (p *playground) startEndpoint(i int) (*listedEndpoint, error) {
	zones := []string{"heredia", "san-jose", "cartago"}
	o := endpoint.Options{Name: fmt.Sprint("s-", i), ServiceTime: map[string]time.Duration{"": serviceTime, "book": 2 * serviceTime},
		Spread: 0.3, Cores: endpointCores, QueueLimit: 50, IdempotencyWindow: 400 * time.Millisecond, Ledger: p.ledger}
	if time.Since(p.startedAt) > time.Second { // one that starts while all run is cold
		o.WarmupStartSpeed, o.WarmupTime = 0.2, 10*time.Second
	}
	s, err := endpoint.Start(o)
	if err != nil {
		return nil, err
	}
	s.SetFaults(slotTaken)
	e := discovery.Instance{ID: fmt.Sprintf("s-%d@%s", i, s.Addr), Address: s.Addr, Zone: zones[i%3], Kind: "std-2c", Cell: uint16(i / 3),
		Lifecycle: "up", Weight: 1}
	if o.WarmupTime > 0 {
		e.StartedMs = time.Now().UnixMilli()
	}
	return &listedEndpoint{Server: s, entry: e}, nil
}

func (p *playground) configPath() string { return filepath.Join(p.dir, "playground.toml") }

func (p *playground) config() string {
	var files, routes []string
	for _, n := range p.fileEndpoints {
		files = append(files, strconv.Quote(n.Addr))
	}
	for _, r := range [][2]string{{"open-slots", "agenda"}, {"chair-status", "agenda"}, {"book", "agenda"}, {"files", "files"}} {
		class := r[0]
		if r[1] == "files" {
			class = "chair-status"
		}
		routes = append(routes, fmt.Sprintf("[[route]]\npath = \"/%s/*\"\npool = %q\nclass = %q\ntenant = \"header:X-Customer\"\n"+
			"key = \"header:Idempotency-Key\"\nid = \"header:X-Trace-Id\"\ndeadline = \"header:X-Expires-In-Ms\"\n", r[0], r[1], class))
	}
	return `name = "playground"
[[pool]]
name = "agenda"
discovery = "` + p.discovery.Addr + `"
[[pool]]
name = "files"
endpoints = [` + strings.Join(files, ", ") + `]
` + strings.Join(routes, "") + `[takeover]
socket = "` + p.dir + `/takeover.sock"
[[listener]]
name = "desk"
address = "` + p.listenAddr + `"
client = "desk"
[[listener]]
name = "local"
address = "unix:` + p.dir + `/clients.sock"
client = "process"
[[client]]
name = "desk"
weight = 2.0
[[client]]
name = "process"
per_process = true
connections = 400
[fleet]
zone = "heredia"
zones = ["heredia", "san-jose", "cartago"]
machines = ["std-2c"]
[[class]]
name = "open-slots"
repeat = "safe"
aim = "250ms"
give_up = "500ms"
worth = 2.0
[[class]]
name = "chair-status"
repeat = "safe"
aim = "200ms"
give_up = "500ms"
worth = 3.0
[[class]]
name = "book"
repeat = "keyed"
group = "cell"
window = "400ms"
aim = "300ms"
give_up = "600ms"
worth = 5.0
[[tenant]]
name = "acme"
allowance = 1000.0
share = 1.0
[probes]
on = true
report = "probe"
fields = ["inflight", "queue"]
[rules]
warm_after = "10s"
[prices]
cross_zone = 0.01
probe = 0.002
`
}

// program is a process that is ended with all others.
type program struct {
	*exec.Cmd
	done chan struct{} // closed once it has ended
	err  error         // its end; to be read after done
}

// spawn starts a program. What it prints goes to out, if that is not nil, and its log to a file.
func (p *playground) spawn(in io.Reader, out io.Writer, log string, args ...string) (*program, error) {
	cmd := exec.Command(p.options.Program, args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // Ctrl-C is ours to pass on
	cmd.Stdin, cmd.Stdout = in, out
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

// serve starts a daemon, which takes over from the one that serves, if any, and waits until it serves.
func (p *playground) startDaemon(stop context.Context) error {
	serving, says := io.Pipe()
	x, err := p.spawn(nil, says, "daemon.log", "--config", p.configPath(), "--announce")
	if err != nil {
		return err
	}
	word := make(chan struct{})
	go func() {
		if bufio.NewScanner(serving).Scan() {
			close(word)
		}
		_, _ = io.Copy(io.Discard, serving) // until the daemon ends
	}()
	select {
	case <-word:
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
		says.Close()
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

// client starts a client process and gathers what it tells.
func (p *playground) startClient(name string, o client.Options) error {
	text, err := json.Marshal(o)
	if err != nil {
		return err
	}
	out, tells := io.Pipe()
	x, err := p.spawn(strings.NewReader(string(text)), tells, "clients.log", "playground-client")
	if err != nil {
		return err
	}
	go func() {
		<-x.done
		tells.Close()
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

// Client is a client process: its options come from in, and a line goes out for each request's end.
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
		_ = lines.Encode(r) // whoever reads has gone: the playground ends
	}
	client.New(o).Run(stop)
	return nil
}

// say notes what has happened.
func (p *playground) logEvent(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, fmt.Sprintf("%4.0f s  %s", time.Since(p.startedAt).Seconds(), fmt.Sprintf(format, args...)))
	if over := len(p.events) - 6; over > 0 {
		p.events = p.events[over:]
	}
}

// trouble has something go wrong, in turn.
func (p *playground) injectFault(second int) {
	last := p.endpoints[len(p.endpoints)-1]
	switch second % 40 {
	case 8:
		p.logEvent("a new daemon process is started, as for an upgrade")
		go func() {
			if err := p.startDaemon(context.Background()); err != nil {
				p.logEvent("%v", err)
			}
		}()
	case 15:
		p.logEvent("%s begins to drain", last.entry.ID)
		last.entry.Lifecycle = "draining"
		p.discovery.Set(last.entry)
	case 18:
		p.logEvent("%s is gone; one in its place starts cold", last.entry.ID)
		last.entry.Lifecycle = "removed"
		p.discovery.Set(last.entry)
		last.Close()
		if n, err := p.startEndpoint(len(p.endpoints) - 1); err == nil {
			p.endpoints[len(p.endpoints)-1] = n
			p.discovery.Set(n.entry)
		}
	case 28:
		p.logEvent("%s fails every booking", p.endpoints[0].entry.ID)
		p.endpoints[0].SetFaults(func(r *http.Request) endpoint.Fault {
			if strings.HasPrefix(r.URL.Path, "/book") {
				return endpoint.InternalError
			}
			return endpoint.NoFault
		})
	case 22:
		p.logEvent("the files' endpoints fail; the agenda's are served as before")
		for _, n := range p.fileEndpoints {
			n.SetFaults(func(*http.Request) endpoint.Fault { return endpoint.InternalError })
		}
	case 26:
		p.logEvent("the files' endpoints are well again")
		for _, n := range p.fileEndpoints {
			n.SetFaults(nil)
		}
	case 35:
		p.logEvent("%s is well again", p.endpoints[0].entry.ID)
		p.endpoints[0].SetFaults(slotTaken)
	}
}

// taken has one booking in sixteen answered 409: the slot is taken. That is the application's own word, and arrives as
// it is.
func slotTaken(r *http.Request) endpoint.Fault {
	if key := r.Header.Get("Idempotency-Key"); key != "" && key[0] == '7' {
		return endpoint.Conflict
	}
	return endpoint.NoFault
}

// screen prints the second's figures.
func (p *playground) printScreen(second int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b strings.Builder
	if p.options.Clear {
		b.WriteString("\x1b[H\x1b[2J")
	}
	fmt.Fprintf(&b, "dunlinsaild playground, %d s. Daemon: process %d, its log in %s. Ctrl-C ends all.\n\n", second,
		p.daemon.Process.Pid, filepath.Join(p.dir, "daemon.log"))
	fmt.Fprintf(&b, "%-10s %9s %9s %9s %9s %9s %9s %9s\n", "client", "served/s", "409/s", "refused/s", "failed/s", "lost/s", "p50 ms", "p99 ms")
	var total figures
	for _, c := range clientSpecs {
		f := p.figures[c.name]
		f.printLine(&b, c.name)
		for i := range f.byVerdict {
			total.byVerdict[i] += f.byVerdict[i]
		}
		total.latencies = append(total.latencies, f.latencies...)
		f.byVerdict, f.latencies = [client.VerdictCount]int{}, nil
	}
	total.printLine(&b, "all")
	fmt.Fprintf(&b, "\n%-24s %-10s %-9s %9s %9s %9s\n", "endpoint", "zone", "state", "served/s", "working", "waiting")
	for _, n := range slices.Concat(p.endpoints, p.fileEndpoints) {
		working, waiting := n.Load()
		served := n.ServedCount()
		fmt.Fprintf(&b, "%-24s %-10s %-9s %9d %9d %9d\n", n.entry.ID, n.entry.Zone, n.entry.Lifecycle, served-n.lastServed, working, waiting)
		n.lastServed = served
	}
	b.WriteString("\n" + strings.Join(p.events, "\n") + "\n")
	_, _ = io.WriteString(p.options.Out, b.String()) // for people; the playground goes on without them
}

func (f *figures) printLine(w io.Writer, name string) {
	slices.Sort(f.latencies)
	quantile := func(q float64) float64 {
		if len(f.latencies) == 0 {
			return 0
		}
		return f.latencies[min(len(f.latencies)-1, int(q*float64(len(f.latencies))))].Seconds() * 1000
	}
	fmt.Fprintf(w, "%-10s %9d %9d %9d %9d %9d %9.1f %9.1f\n", name, f.byVerdict[client.Served], f.byVerdict[client.ClientError], f.byVerdict[client.Rejected], f.byVerdict[client.Failed],
		f.byVerdict[client.ConnectionLost]+f.byVerdict[client.TimedOut]+f.byVerdict[client.WrongResponse], quantile(0.5), quantile(0.99))
}

// end ends all that was started.
func (p *playground) stop() {
	p.mu.Lock()
	p.ending = true
	programs := p.programs
	p.mu.Unlock()
	for _, x := range programs {
		x.Process.Signal(syscall.SIGTERM)
	}
	late := time.After(3 * time.Second)
	for _, x := range programs {
		select {
		case <-x.done:
		case <-late:
			x.Process.Kill()
			<-x.done
		}
	}
	if p.discovery != nil {
		p.discovery.Close()
	}
	for _, n := range slices.Concat(p.endpoints, p.fileEndpoints) {
		n.Close()
	}
}
