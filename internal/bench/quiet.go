package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunlinsail/internal/bench/quietfleet"
	"dunlinsail/internal/fake/endpoint"
)

// Budgets and subset of the fleets that have them.
const (
	quietSubset          = 4
	quietEndpointProbes  = 2
	quietIdleConnections = 40
)

// quietSampleInterval is the time from one count of the open connections to the next.
const quietSampleInterval = 100 * time.Millisecond

// QuietOptions configure the measurement Quiet.
type QuietOptions struct {
	Sizes     []int         // of the fleets, in instances
	Endpoints int           // number of endpoints
	Rate      float64       // requests a second of all instances together
	Warmup    time.Duration // before each count
	Duration  time.Duration // of each count
}

// Quiet measures what fleets of many instances with little traffic each cost the endpoints, by size, with subsets and
// budgets and without: probes and new connections a second and open connections, at each endpoint. The traffic of all
// instances together is the same at each size. Instances are light: engine, core and connections as in the sidecar,
// without a frontend, all in one process; the endpoints are in this one. File descriptors bound the open connections;
// where they run out, the output says so.
func Quiet(ctx context.Context, w io.Writer, options QuietOptions) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	fmt.Fprintf(w, "%d nodes, %.0f requests a second in all, %v after %v of warming; "+
		"%d descriptors for each of two processes\n",
		options.Endpoints, options.Rate, options.Duration, options.Warmup, limit.Cur)
	fmt.Fprintf(w, "%-9s %9s  %25s  %25s  %25s  %8s %8s\n", "", "",
		"probes a second, a node", "new connections a second", "connections held, a node", "", "")
	fmt.Fprintf(w, "%-9s %9s  %12s %12s  %12s %12s  %12s %12s  %8s %8s\n", "subsets", "instances",
		"mean", "most", "mean", "most", "mean", "most", "served", "refused")
	for _, subsets := range []bool{false, true} {
		for _, size := range options.Sizes {
			fleet := quietfleet.Options{
				Instances: size,
				Rate:      options.Rate,
				Duration:  options.Warmup + options.Duration,
			}
			if subsets {
				fleet.Subset = quietSubset
				fleet.EndpointProbes = quietEndpointProbes
				fleet.EndpointIdleConnections = quietIdleConnections
			}
			if err := runQuietFleet(ctx, w, self, fleet, options); err != nil {
				return err
			}
		}
	}
	return nil
}

// countingListener is a listener that counts its connections.
type countingListener struct {
	net.Listener
	opened, open atomic.Int64
}

// Accept accepts and counts a connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.opened.Add(1)
	l.open.Add(1)
	return &countedConn{Conn: c, closed: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
}

// countedConn is a connection of a countingListener.
type countedConn struct {
	net.Conn
	closed func()
}

// Close closes the connection, which counts as open no longer.
func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// countedEndpoint is an endpoint whose connections are counted.
type countedEndpoint struct {
	server   *endpoint.Server
	listener *countingListener
}

// startCountedEndpoint starts endpoint i.
func startCountedEndpoint(i int) (*countedEndpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	listener := &countingListener{Listener: ln}
	server := endpoint.Serve(listener, endpoint.Options{
		Name:        fmt.Sprint("n-", i),
		ServiceTime: map[string]time.Duration{"": 5 * time.Millisecond},
		Spread:      0.3,
		Cores:       4,
	})
	return &countedEndpoint{server, listener}, nil
}

// runQuietFleet measures one fleet, in a process of its own, and prints a line.
func runQuietFleet(
	ctx context.Context, w io.Writer, self string, fleet quietfleet.Options, options QuietOptions,
) error {
	var endpoints []*countedEndpoint
	for i := range options.Endpoints {
		e, err := startCountedEndpoint(i)
		if err != nil {
			return err
		}
		defer e.server.Close()
		endpoints = append(endpoints, e)
		fleet.Endpoints = append(fleet.Endpoints, e.server.Addr)
	}
	text, err := json.Marshal(fleet)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, self, "quiet-fleet", string(text))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var out, log strings.Builder
	cmd.Stdout = &out
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		return err
	}
	sleep(ctx, options.Warmup)
	cost := countEndpointCost(ctx, endpoints, fleet.Duration-options.Warmup)
	if err := cmd.Wait(); err != nil {
		return fmt.Errorf("the instances: %w: %s", err, log.String())
	}
	var result quietfleet.Result
	if err := json.Unmarshal([]byte(out.String()), &result); err != nil {
		return err
	}
	cost.print(w, fleet, result)
	return nil
}

// endpointCost is what a fleet cost each endpoint.
type endpointCost struct {
	probes []float64 // a second
	opened []float64 // connections a second
	open   []float64 // connections, on average
}

// countEndpointCost counts at the endpoints for a time, or until ctx ends.
func countEndpointCost(ctx context.Context, endpoints []*countedEndpoint, duration time.Duration) endpointCost {
	n := len(endpoints)
	cost := endpointCost{probes: make([]float64, n), opened: make([]float64, n), open: make([]float64, n)}
	for i, e := range endpoints {
		cost.probes[i] = -float64(e.server.ProbeCount())
		cost.opened[i] = -float64(e.listener.opened.Load())
	}
	start := time.Now()
	samples := 0.0
	for time.Since(start) < duration && ctx.Err() == nil {
		sleep(ctx, quietSampleInterval)
		samples++
		for i, e := range endpoints {
			cost.open[i] += float64(e.listener.open.Load())
		}
	}
	seconds := time.Since(start).Seconds()
	for i, e := range endpoints {
		cost.probes[i] = (cost.probes[i] + float64(e.server.ProbeCount())) / seconds
		cost.opened[i] = (cost.opened[i] + float64(e.listener.opened.Load())) / seconds
		cost.open[i] /= samples
	}
	return cost
}

// print prints the line of a fleet.
func (c *endpointCost) print(w io.Writer, fleet quietfleet.Options, result quietfleet.Result) {
	subsets := "off"
	if fleet.Subset > 0 {
		subsets = "on"
	}
	requested := float64(max(1, result.Requested))
	fmt.Fprintf(w, "%-9s %9d  %12.2f %12.2f  %12.2f %12.2f  %12.1f %12.1f  %7.2f%% %7.2f%%\n",
		subsets, fleet.Instances, mean(c.probes), largest(c.probes), mean(c.opened), largest(c.opened),
		mean(c.open), largest(c.open), 100*float64(result.Served)/requested, 100*float64(result.Rejected)/requested)
	if result.OutOfDescriptors > 0 {
		fmt.Fprintf(w, "  %d attempts found no descriptor left: the load above is less than it would be\n",
			result.OutOfDescriptors)
	}
}

// mean returns the mean of some figures.
func mean(figures []float64) float64 {
	sum := 0.0
	for _, f := range figures {
		sum += f
	}
	return sum / float64(len(figures))
}

// largest returns the largest of some figures that are not negative.
func largest(figures []float64) float64 {
	result := 0.0
	for _, f := range figures {
		result = max(result, f)
	}
	return result
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
