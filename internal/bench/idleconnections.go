package bench

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"dunlinsail/internal/fake/endpoint"
)

// Idle measures the memory of connections at rest, each of which has asked once, in the daemon and in ReverseProxy.
func Idle(ctx context.Context, w io.Writer, bin string, conns int) error {
	s, err := newSite(2, endpoint.Options{})
	if err != nil {
		return err
	}
	defer s.close()
	fmt.Fprintf(w, "%d connections, each has asked once and rests\n", conns)
	for _, name := range []string{"dunlinsaild", "ReverseProxy"} {
		var p *process
		if name == "dunlinsaild" {
			p, err = s.daemon(ctx, bin, 1, "[connections]", fmt.Sprintf("[connections]\nclients = %d\nat_rest = %d\nrest_least = \"10m\"\nrest_most = \"10m\"", conns+100, conns+50))
		} else {
			p, err = s.proxy(ctx, 1)
		}
		if err != nil {
			return err
		}
		open := func(n int) (all []net.Conn, err error) {
			for i := range n {
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					return all, err
				}
				all = append(all, c)
				fmt.Fprintf(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: i%s%d\r\nX-Customer: acme\r\n\r\n", name, i)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return all, err
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					return all, err
				}
			}
			return all, nil
		}
		// What the first requests make the program hold is none of the connections'.
		warm, err := open(100)
		for _, c := range warm {
			c.Close()
		}
		if err != nil {
			return err
		}
		before, err := p.settled(ctx)
		if err != nil {
			return err
		}
		all, err := open(conns)
		if err != nil {
			return err
		}
		after, err := p.settled(ctx)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%-13s %6.2f MiB at first, %6.2f MiB with them: %5.2f KiB each\n", name, float64(before)/(1<<20), float64(after)/(1<<20),
			float64(after-before)/float64(conns)/1024)
		for _, c := range all {
			c.Close()
		}
		p.stop()
	}
	return nil
}

// settled returns the program's resident memory once it has stopped falling.
func (p *process) settled(ctx context.Context) (int64, error) {
	last := int64(1) << 60
	for {
		select {
		case <-time.After(3 * time.Second):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
		now, err := p.resident()
		if err != nil || now >= last-64<<10 {
			return min(now, last), err
		}
		last = now
	}
}

// resident returns the program's resident memory in bytes.
func (p *process) resident() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("no VmRSS")
}

// cpu returns the processor time that the program has taken so far, in the kernel's ticks of 10 ms.
func (p *process) cpu() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}
