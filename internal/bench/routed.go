package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dunlinsail/internal/differential"
	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/fake/webapp"
)

// routedConfig writes a daemon's file with one route to one pool, and lines of more for its tables.
func routedConfig(dir, listen string, addrs []string, cores int, process, route string) (string, error) {
	text := fmt.Sprintf("[process]\ncores = %d\ndescriptors = 8192\n%s\n[requests]\nopen = 5000\n[[listener]]\naddress = %q\n"+
		"[[pool]]\nname = \"app\"\nendpoints = [\"%s\"]\n[[route]]\npool = \"app\"\n%s\n", cores, process, listen, strings.Join(addrs, `", "`), route)
	path := filepath.Join(dir, "routed.toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// startRouted starts the daemon with one route.
func startRouted(ctx context.Context, bin, dir string, addrs []string, cores int, process, route string) (*process, error) {
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	path, err := routedConfig(dir, addr, addrs, cores, process, route)
	if err != nil {
		return nil, err
	}
	return startProcess(ctx, addr, 0, nil, bin+"/dunlinsaild", "--config", path)
}

// appSite is a site of one stand-in application.
func appSite() (*site, error) {
	a, err := webapp.Start(nil)
	if err != nil {
		return nil, err
	}
	s := &site{addrs: []string{a.Addr}, stops: []func(){a.Close}}
	if s.dir, err = os.MkdirTemp("", "dunlinsail-bench"); err != nil {
		s.close()
		return nil, err
	}
	s.stops = append(s.stops, func() { os.RemoveAll(s.dir) })
	return s, nil
}

// Differ asks the daemon and ReverseProxy, before the same application, the same, and prints where they differ.
func Differ(ctx context.Context, w io.Writer, bin string, seed uint64, seeds, n int) error {
	s, err := appSite()
	if err != nil {
		return err
	}
	defer s.close()
	p, err := startRouted(ctx, bin, s.dir, s.addrs, 0, "", "")
	if err != nil {
		return err
	}
	defer p.stop()
	proxy, err := s.proxy(ctx, 0)
	if err != nil {
		return err
	}
	defer proxy.stop()
	total, strange, reasons := 0, 0, map[string]int{}
	for i := range seeds {
		all, err := differential.Run(ctx, p.addr, proxy.addr, differential.Generate(seed+uint64(i), n))
		if err != nil {
			return err
		}
		total += n
		without, with := differential.Unexplained(all)
		strange += len(without)
		for r, k := range with {
			reasons[r] += k
		}
		for _, d := range without {
			fmt.Fprintf(w, "seed %d, %v\n", seed+uint64(i), d)
		}
	}
	fmt.Fprintf(w, "%d exchanges; differences without a reason: %d\n", total, strange)
	for r, k := range reasons {
		fmt.Fprintf(w, "%6d  %s\n", k, r)
	}
	if strange > 0 {
		return fmt.Errorf("%d differences without a reason", strange)
	}
	return nil
}

// Routed measures the processor time of a request by a route with all that PROTOCOL's has, beside PROTOCOL's own way.
func Routed(ctx context.Context, w io.Writer, bin string, rate float64, each time.Duration, rounds int) error {
	s, err := newSite(4, endpoint.Options{})
	if err != nil {
		return err
	}
	defer s.close()
	const route = `class = "look"
tenant = "header:X-Customer"
id = "header:X-Trace-Id"
deadline = "header:X-Expires-In-Ms"
key = "header:Idempotency-Key"
object = "header:X-Object"
path = "/look/*"
[[route]]
pool = "app"
class = "book"
tenant = "header:X-Customer"
id = "header:X-Trace-Id"
deadline = "header:X-Expires-In-Ms"
key = "header:Idempotency-Key"
object = "header:X-Object"
path = "/book/*"
[[class]]
name = "look"
repeat = "safe"
aim = "250ms"
give_up = "500ms"
[[class]]
name = "book"
repeat = "keyed"
group = "all"
window = "400ms"
aim = "250ms"
give_up = "500ms"
[[tenant]]
name = "acme"
allowance = 100000.0
share = 1.0
`
	fmt.Fprintf(w, "%d endpoints that answer at once; %.0f requests a second on one core, %v each, %d rounds\n", len(s.addrs), rate, each, rounds)
	cpu := map[string][]float64{}
	for range rounds {
		for _, k := range []struct {
			name  string
			start func() (*process, error)
		}{
			{"PROTOCOL", func() (*process, error) { return s.daemon(ctx, bin, 1) }},
			{"routed", func() (*process, error) { return startRouted(ctx, bin, s.dir, s.addrs, 1, "", route) }},
		} {
			r, used, err := one(ctx, k.start, client.Options{Rate: rate, Duration: each, MaxOpen: 256})
			if err != nil {
				return err
			}
			us := float64(used.Microseconds()) / float64(max(1, r.Scheduled))
			cpu[k.name] = append(cpu[k.name], us)
			fmt.Fprintf(w, "%-9s served %6.2f%%, p50 %5.2f ms, p99 %5.2f ms, cpu %6.1f us/request\n", k.name, served(r), ms(r.Quantile(0.5)), ms(r.Quantile(0.99)), us)
		}
	}
	a, b := median(cpu["routed"]), median(cpu["PROTOCOL"])
	fmt.Fprintf(w, "medians: %.1f us routed, %.1f as PROTOCOL has it: %+.1f%%\n", a, b, 100*(a/b-1))
	return nil
}

// Stream measures how fast a large answer and a large request pass, and the memory that many streams hold at once.
func Stream(ctx context.Context, w io.Writer, bin string, mib, streams, rounds int) error {
	s, err := appSite()
	if err != nil {
		return err
	}
	defer s.close()
	starts := map[string]func() (*process, error){
		"dunlinsaild":  func() (*process, error) { return startRouted(ctx, bin, s.dir, s.addrs, 2, "", "") },
		"ReverseProxy": func() (*process, error) { return s.proxy(ctx, 2) },
	}
	names := []string{"dunlinsaild", "ReverseProxy"}
	fmt.Fprintf(w, "%d MiB each, 2 cores, %d rounds\n", mib, rounds)
	rates := map[string][]float64{}
	for range rounds {
		for _, name := range names {
			p, err := starts[name]()
			if err != nil {
				return err
			}
			for _, dir := range []string{"answer", "request"} {
				x := differential.Exchange{Method: "GET", Path: "/", Body: -1, Header: http.Header{}, Plan: webapp.Plan{BodySize: mib << 20}}
				if dir == "request" {
					x = differential.Exchange{Method: "POST", Path: "/", Body: mib << 20, Header: http.Header{}}
				}
				t := &http.Transport{DisableCompression: true, WriteBufferSize: 64 << 10, ReadBufferSize: 64 << 10}
				before, began := p.cpu(), time.Now()
				n, err := transfer(ctx, t, p.addr, &x)
				took, used := time.Since(began), p.cpu()-before
				t.CloseIdleConnections()
				if err != nil {
					p.stop()
					return fmt.Errorf("%s, %s: %w", name, dir, err)
				}
				rate := float64(n) / (1 << 20) / took.Seconds()
				rates[name+" "+dir] = append(rates[name+" "+dir], rate)
				fmt.Fprintf(w, "%-13s %-8s %6.0f MiB/s, cpu %5.0f ms/GiB\n", name, dir, rate, ms(used)/float64(n)*(1<<30))
			}
			p.stop()
		}
	}
	for _, dir := range []string{"answer", "request"} {
		a, b := median(rates[names[0]+" "+dir]), median(rates[names[1]+" "+dir])
		fmt.Fprintf(w, "medians, %s: %.0f MiB/s against %.0f, %.2f times\n", dir, a, b, a/b)
	}
	for _, name := range names {
		p, err := starts[name]()
		if err != nil {
			return err
		}
		err = streamMemory(ctx, w, name, p, streams)
		p.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// transfer asks for an exchange whose bodies are not looked at, and returns how many bytes passed.
func transfer(ctx context.Context, t *http.Transport, addr string, x *differential.Exchange) (int64, error) {
	q, err := http.NewRequestWithContext(ctx, x.Method, "http://"+addr+x.Path, nil)
	if err != nil {
		return 0, err
	}
	q.Header.Set(webapp.PlanHeader, x.Plan.JSON())
	if x.Body > 0 {
		q.Body, q.ContentLength = io.NopCloser(&zeros{int64(x.Body)}), int64(x.Body)
	}
	resp, err := t.RoundTrip(q)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("answered %s", resp.Status)
	}
	return n + int64(max(0, x.Body)), err
}

// zeros reads as so many zero bytes.
type zeros struct{ left int64 }

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := int(min(z.left, int64(len(p))))
	z.left -= int64(n)
	return n, nil
}

// streamMemory measures what answers hold whose clients read nothing.
func streamMemory(ctx context.Context, w io.Writer, name string, p *process, streams int) error {
	before, err := p.settled(ctx)
	if err != nil {
		return err
	}
	var all []net.Conn
	defer func() {
		for _, c := range all {
			c.Close()
		}
	}()
	for range streams {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			return err
		}
		all = append(all, c)
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", webapp.PlanHeader, webapp.Plan{BodySize: 1 << 30}.JSON())
		var b [1]byte
		if _, err := c.Read(b[:]); err != nil {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond) // the sockets' buffers fill
	after, err := p.resident()
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%-13s %d answers that nobody reads: %.1f KiB each\n", name, streams, float64(after-before)/float64(streams)/1024)
	return nil
}
