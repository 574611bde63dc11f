// Package playground demonstrates a daemon on one machine: fake endpoints and a fake discovery service in this process,
// the daemon and some clients as child processes, one screen of figures a second, and a fault now and then. It uses the
// daemon by its command line and its configuration file only.
package playground

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/endpoint"
)

// Options configure a demonstration.
type Options struct {
	Program string        // path of dunlinsaild
	Out     io.Writer     // receives the screens
	Clear   bool          // Out is a terminal: each screen replaces the previous one
	For     time.Duration // 0 is until the context ends
	Quiet   bool          // no faults are injected
}

// Run runs the demonstration until its time is over or stop ends, and stops all that it started.
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

// playground is a running demonstration.
type playground struct {
	options    Options
	dir        string
	listenAddr string // address of the TCP listener
	startedAt  time.Time
	failures   chan error

	discovery     *discoveryserver.Server
	ledger        *endpoint.Ledger
	endpoints     []*listedEndpoint
	fileEndpoints []*listedEndpoint // the pool that the configuration file lists
	daemon        *program
	programs      []*program
	ending        bool

	mu      sync.Mutex
	figures map[string]*figures
	events  []string
}

// listedEndpoint is a fake endpoint and its entry in discovery.
type listedEndpoint struct {
	*endpoint.Server
	entry      discovery.Instance
	lastServed int // ServedCount at the previous screen
}

// figures count a client's requests: of the present second, and totals.
type figures struct {
	byVerdict [client.VerdictCount]int
	latencies []time.Duration
	totals    [client.VerdictCount]int
}

// clientSpecs are the client processes; the last one's rate is far beyond its quota.
var clientSpecs = []struct {
	name, network string
	rate          float64
}{
	{"desk-1", "tcp", 60},
	{"desk-2", "tcp", 40},
	{"phone-1", "unix", 30},
	{"phone-2", "unix", 30},
	{"report", "unix", 500},
}

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
		n.entry.ID = "files " + n.Addr
		n.entry.Zone = "-"
		n.entry.Lifecycle = "listed"
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
	return p.startClients()
}

// startClients starts the client processes.
func (p *playground) startClients() error {
	for i, c := range clientSpecs {
		o := client.Options{
			Name:     c.name,
			Network:  c.network,
			Addr:     p.listenAddr,
			Tenant:   "acme",
			Rate:     c.rate,
			Duration: 1e6 * time.Hour,
			MaxOpen:  500,
			Seed:     uint64(i),
			Classes: []client.Class{
				{Name: "open-slots", Share: 0.5, Method: "GET", Timeout: 500 * time.Millisecond},
				{Name: "chair-status", Share: 0.25, Method: "GET", Timeout: 500 * time.Millisecond},
				{Name: "files", Share: 0.05, Method: "GET", Timeout: 500 * time.Millisecond},
				{
					Name: "book", Share: 0.2, Method: "POST", SendIdempotencyKey: true, BodySize: 300,
					Timeout: 600 * time.Millisecond,
				},
			},
		}
		if c.network == "unix" {
			o.Addr = filepath.Join(p.dir, "clients.sock")
		}
		if err := p.startClient(c.name, o); err != nil {
			return err
		}
	}
	return nil
}

// startEndpoint starts endpoint i.
func (p *playground) startEndpoint(i int) (*listedEndpoint, error) {
	zones := []string{"heredia", "san-jose", "cartago"}
	o := endpoint.Options{
		Name:              fmt.Sprint("s-", i),
		ServiceTime:       map[string]time.Duration{"": serviceTime, "book": 2 * serviceTime},
		Spread:            0.3,
		Cores:             endpointCores,
		QueueLimit:        50,
		IdempotencyWindow: 400 * time.Millisecond,
		Ledger:            p.ledger,
	}
	if time.Since(p.startedAt) > time.Second { // one that starts later warms up
		o.WarmupStartSpeed = 0.2
		o.WarmupTime = 10 * time.Second
	}
	s, err := endpoint.Start(o)
	if err != nil {
		return nil, err
	}
	s.SetFaults(slotTaken)
	e := discovery.Instance{
		ID:        fmt.Sprintf("s-%d@%s", i, s.Addr),
		Address:   s.Addr,
		Zone:      zones[i%3],
		Kind:      "std-2c",
		Cell:      new(uint16(i / 3)),
		Lifecycle: "up",
		Weight:    1,
	}
	if o.WarmupTime > 0 {
		e.StartedMs = time.Now().UnixMilli()
	}
	return &listedEndpoint{Server: s, entry: e}, nil
}

// stop stops all that was started.
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
