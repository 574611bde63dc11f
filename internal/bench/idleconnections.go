package bench

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"dunlinsail/internal/fake/endpoint"
)

const (
	idleEndpoints  = 2
	firstIdleConns = 100 // are opened first: what they make the program hold is not counted
	spareConns     = 100 // connections that the daemon allows beyond those that are measured
	spareIdleConns = 50  // idle ones
	kibibyte       = 1 << 10
	mebibyte       = 1 << 20
)

// IdleConnections measures the memory of idle connections, each of which has had one request, in the daemon and in
// ReverseProxy.
func IdleConnections(ctx context.Context, w io.Writer, o Options, conns int) error {
	s, err := newSite(idleEndpoints, endpoint.Options{})
	if err != nil {
		return err
	}
	defer s.close()
	fmt.Fprintf(w, "%d connections, each has asked once and rests\n", conns)
	limits := fmt.Sprintf("[connections]\nclients = %d\nat_rest = %d\nrest_least = \"10m\"\nrest_most = \"10m\"",
		conns+spareConns, conns+spareIdleConns)
	daemon, err := s.startDaemon(ctx, o.Bin, 1, "[connections]", limits)
	if err != nil {
		return err
	}
	err = measureIdle(ctx, w, daemonName, daemon, conns)
	daemon.stop()
	if err != nil {
		return err
	}
	proxy, err := s.startProxy(ctx, 1)
	if err != nil {
		return err
	}
	err = measureIdle(ctx, w, proxyName, proxy, conns)
	proxy.stop()
	return err
}

// measureIdle prints a program's memory before and after so many connections became idle.
func measureIdle(ctx context.Context, w io.Writer, name string, p *process, conns int) error {
	first, err := openIdle(p.addr, name, firstIdleConns)
	closeAll(first)
	if err != nil {
		return err
	}
	before, err := p.stableMemory(ctx)
	if err != nil {
		return err
	}
	idle, err := openIdle(p.addr, name, conns)
	defer closeAll(idle)
	if err != nil {
		return err
	}
	after, err := p.stableMemory(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%-13s %6.2f MiB at first, %6.2f MiB with them: %5.2f KiB each\n",
		name, mib(before), mib(after), float64(after-before)/float64(conns)/kibibyte)
	return nil
}

// openIdle opens n connections and has one request answered on each. With an error it returns those opened by then.
func openIdle(addr, name string, n int) (conns []net.Conn, err error) {
	for i := range n {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return conns, err
		}
		conns = append(conns, c)
		fmt.Fprintf(c, "GET /look/1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: i%s%d\r\nX-Customer: acme\r\n\r\n", name, i)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return conns, err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return conns, err
		}
	}
	return conns, nil
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		c.Close()
	}
}

// mib returns a number of bytes in MiB.
func mib(bytes int64) float64 { return float64(bytes) / mebibyte }
