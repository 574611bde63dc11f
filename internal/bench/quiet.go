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

// Quiet measures what fleets of many instances with little traffic each cost the nodes, by size, with subsets and budgets
// and without: probes and new connections a second and connections held, at each node. The traffic of all together is the
// same at each size. Instances are light: engine, core and connections as in the sidecar, without a front, all in one
// process; the nodes are in this one. No more connections are held than descriptors allow, which is told.
func Quiet(ctx context.Context, w io.Writer, sizes []int, nodes int, rate float64, warm, each time.Duration) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	fmt.Fprintf(w, "%d nodes, %.0f requests a second in all, %v after %v of warming; %d descriptors for each of two processes\n", nodes, rate, each, warm, limit.Cur)
	fmt.Fprintf(w, "%-9s %9s  %25s  %25s  %25s  %8s %8s\n", "", "", "probes a second, a node", "new connections a second", "connections held, a node", "", "")
	fmt.Fprintf(w, "%-9s %9s  %12s %12s  %12s %12s  %12s %12s  %8s %8s\n", "subsets", "instances", "mean", "most", "mean", "most", "mean", "most", "served", "refused")
	for _, on := range []bool{false, true} {
		for _, n := range sizes {
			o := quietfleet.Options{Instances: n, Rate: rate, For: warm + each}
			if on {
				o.Subset, o.NodeProbes, o.NodeIdle = 4, 2, 40
			}
			if err := quietRun(ctx, w, self, o, nodes, warm); err != nil {
				return err
			}
		}
	}
	return nil
}

// counting is a listener that counts connections.
type counting struct {
	net.Listener
	opened, open atomic.Int64
}

func (l *counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.opened.Add(1)
	l.open.Add(1)
	return &countedConn{Conn: c, closed: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

func quietRun(ctx context.Context, w io.Writer, self string, o quietfleet.Options, nodes int, warm time.Duration) error {
	var listeners []*counting
	var servers []*endpoint.Server
	for i := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		l := &counting{Listener: ln}
		s := endpoint.Serve(l, endpoint.Options{Name: fmt.Sprint("n-", i), ServiceTime: map[string]time.Duration{"": 5 * time.Millisecond}, Spread: 0.3, Cores: 4})
		defer s.Close()
		listeners, servers = append(listeners, l), append(servers, s)
		o.Nodes = append(o.Nodes, s.Addr)
	}
	text, err := json.Marshal(o)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, self, "quiet-fleet", string(text))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var out, errs strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Start(); err != nil {
		return err
	}
	wait := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	wait(warm)
	probed, opened, held := make([]float64, nodes), make([]float64, nodes), make([]float64, nodes)
	for i := range nodes {
		probed[i], opened[i] = -float64(servers[i].ProbeCount()), -float64(listeners[i].opened.Load())
	}
	begin, samples := time.Now(), 0.0
	for time.Since(begin) < o.For-warm && ctx.Err() == nil {
		wait(100 * time.Millisecond)
		samples++
		for i := range nodes {
			held[i] += float64(listeners[i].open.Load())
		}
	}
	took := time.Since(begin).Seconds()
	for i := range nodes {
		probed[i] = (probed[i] + float64(servers[i].ProbeCount())) / took
		opened[i] = (opened[i] + float64(listeners[i].opened.Load())) / took
		held[i] /= samples
	}
	if err := cmd.Wait(); err != nil {
		return fmt.Errorf("the instances: %w: %s", err, errs.String())
	}
	var r quietfleet.Result
	if err := json.Unmarshal([]byte(out.String()), &r); err != nil {
		return err
	}
	mean := func(v []float64) (sum, most float64) {
		for _, x := range v {
			sum += x
			most = max(most, x)
		}
		return sum / float64(len(v)), most
	}
	p, pm := mean(probed)
	c, cm := mean(opened)
	h, hm := mean(held)
	way := "off"
	if o.Subset > 0 {
		way = "on"
	}
	fmt.Fprintf(w, "%-9s %9d  %12.2f %12.2f  %12.2f %12.2f  %12.1f %12.1f  %7.2f%% %7.2f%%\n", way, o.Instances, p, pm, c, cm, h, hm,
		100*float64(r.Served)/float64(max(1, r.Asked)), 100*float64(r.Refused)/float64(max(1, r.Asked)))
	if r.Short > 0 {
		fmt.Fprintf(w, "  %d attempts found no descriptor left: the load above is less than it would be\n", r.Short)
	}
	return nil
}
