package playground

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"dunlinsail/internal/fake/client"
)

// printScreen prints the figures of a second.
func (p *playground) printScreen(second int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b strings.Builder
	if p.options.Clear {
		b.WriteString("\x1b[H\x1b[2J")
	}
	fmt.Fprintf(&b, "dunlinsaild playground, %d s. Daemon: process %d, its log in %s. Ctrl-C ends all.\n\n", second,
		p.daemon.Process.Pid, filepath.Join(p.dir, "daemon.log"))
	fmt.Fprintf(&b, "%-10s %9s %9s %9s %9s %9s %9s %9s\n",
		"client", "served/s", "409/s", "refused/s", "failed/s", "lost/s", "p50 ms", "p99 ms")
	var total figures
	for _, c := range clientSpecs {
		f := p.figures[c.name]
		f.printLine(&b, c.name)
		for i := range f.byVerdict {
			total.byVerdict[i] += f.byVerdict[i]
		}
		total.latencies = append(total.latencies, f.latencies...)
		f.byVerdict = [client.VerdictCount]int{}
		f.latencies = nil
	}
	total.printLine(&b, "all")
	fmt.Fprintf(&b, "\n%-24s %-10s %-9s %9s %9s %9s\n", "endpoint", "zone", "state", "served/s", "working", "waiting")
	for _, n := range slices.Concat(p.endpoints, p.fileEndpoints) {
		working, waiting := n.Load()
		served := n.ServedCount()
		fmt.Fprintf(&b, "%-24s %-10s %-9s %9d %9d %9d\n",
			n.entry.ID, n.entry.Zone, n.entry.Lifecycle, served-n.lastServed, working, waiting)
		n.lastServed = served
	}
	b.WriteString("\n" + strings.Join(p.events, "\n") + "\n")
	_, _ = io.WriteString(p.options.Out, b.String()) // a demonstration without a reader goes on
}

func (f *figures) printLine(w io.Writer, name string) {
	slices.Sort(f.latencies)
	quantile := func(q float64) float64 {
		if len(f.latencies) == 0 {
			return 0
		}
		return f.latencies[min(len(f.latencies)-1, int(q*float64(len(f.latencies))))].Seconds() * 1000
	}
	lost := f.byVerdict[client.ConnectionLost] + f.byVerdict[client.TimedOut] + f.byVerdict[client.WrongResponse]
	fmt.Fprintf(w, "%-10s %9d %9d %9d %9d %9d %9.1f %9.1f\n", name,
		f.byVerdict[client.Served], f.byVerdict[client.ClientError], f.byVerdict[client.Rejected],
		f.byVerdict[client.Failed], lost, quantile(0.5), quantile(0.99))
}
