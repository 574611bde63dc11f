package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"dunlinsail/internal/differential"
	"dunlinsail/internal/fake/webapp"
)

const (
	streamBuffer     = 64 << 10               // bytes of the measuring client's buffers
	unreadBody       = 1 << 30                // bytes of a response that its client does not read
	socketBufferFill = 500 * time.Millisecond // until the sockets' buffers are full
)

// Directions of a large body.
const (
	largeResponse = "answer"
	largeRequest  = "request"
)

// StreamOptions configure the measurement Stream.
type StreamOptions struct {
	Bin     string // folder of the programs
	BodyMiB int    // size of a body
	Streams int    // at the same time, for their memory
	Rounds  int
}

// streamProgram is a program under test and its throughput in MiB a second by direction, a figure for each round.
type streamProgram struct {
	name  string
	start func() (*process, error)
	rates map[string][]float64
}

// Stream measures how fast a large response and a large request pass, and the memory that many streams hold at the same
// time, in the daemon and in ReverseProxy.
func Stream(ctx context.Context, w io.Writer, o StreamOptions) error {
	s, err := newAppSite()
	if err != nil {
		return err
	}
	defer s.close()
	daemon := &streamProgram{
		name:  daemonName,
		start: func() (*process, error) { return s.startRoutedDaemon(ctx, o.Bin, measuredCores, "", "") },
		rates: map[string][]float64{},
	}
	proxy := &streamProgram{
		name:  proxyName,
		start: func() (*process, error) { return s.startProxy(ctx, measuredCores) },
		rates: map[string][]float64{},
	}
	fmt.Fprintf(w, "%d MiB each, %d cores, %d rounds\n", o.BodyMiB, measuredCores, o.Rounds)
	for range o.Rounds {
		for _, program := range []*streamProgram{daemon, proxy} {
			if err := program.measureRound(ctx, w, o.BodyMiB); err != nil {
				return err
			}
		}
	}
	for _, direction := range []string{largeResponse, largeRequest} {
		a := median(daemon.rates[direction])
		b := median(proxy.rates[direction])
		fmt.Fprintf(w, "medians, %s: %.0f MiB/s against %.0f, %.2f times\n", direction, a, b, a/b)
	}
	for _, program := range []*streamProgram{daemon, proxy} {
		if err := program.measureMemory(ctx, w, o.Streams); err != nil {
			return err
		}
	}
	return nil
}

// measureRound starts the program and passes one large body in each direction through it.
func (s *streamProgram) measureRound(ctx context.Context, w io.Writer, bodyMiB int) error {
	p, err := s.start()
	if err != nil {
		return err
	}
	defer p.stop()
	for _, direction := range []string{largeResponse, largeRequest} {
		if err := s.measureBody(ctx, w, p, direction, bodyMiB); err != nil {
			return fmt.Errorf("%s, %s: %w", s.name, direction, err)
		}
	}
	return nil
}

// measureBody passes one large body through the program and prints its line.
func (s *streamProgram) measureBody(
	ctx context.Context, w io.Writer, p *process, direction string, bodyMiB int,
) error {
	exchange := differential.Exchange{Method: http.MethodGet, Path: "/", Body: -1, Header: http.Header{}}
	if direction == largeRequest {
		exchange.Method = http.MethodPost
		exchange.Body = bodyMiB << 20
	} else {
		exchange.Plan = webapp.Plan{BodySize: bodyMiB << 20}
	}
	transport := &http.Transport{
		DisableCompression: true, WriteBufferSize: streamBuffer, ReadBufferSize: streamBuffer,
	}
	defer transport.CloseIdleConnections()
	cpuBefore := p.cpuTime()
	start := time.Now()
	bytes, err := transfer(ctx, transport, p.addr, &exchange)
	took := time.Since(start)
	cpu := p.cpuTime() - cpuBefore
	if err != nil {
		return err
	}
	rate := mib(bytes) / took.Seconds()
	s.rates[direction] = append(s.rates[direction], rate)
	fmt.Fprintf(w, "%-13s %-8s %6.0f MiB/s, cpu %5.0f ms/GiB\n",
		s.name, direction, rate, ms(cpu)/float64(bytes)*(1<<30))
	return nil
}

// transfer sends an exchange whose bodies are not looked at, and returns how many bytes passed.
func transfer(ctx context.Context, t *http.Transport, addr string, x *differential.Exchange) (int64, error) {
	request, err := http.NewRequestWithContext(ctx, x.Method, "http://"+addr+x.Path, nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set(webapp.PlanHeader, x.Plan.JSON())
	if x.Body > 0 {
		request.Body = io.NopCloser(&zeroReader{remaining: int64(x.Body)})
		request.ContentLength = int64(x.Body)
	}
	resp, err := t.RoundTrip(request)
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

// zeroReader reads as so many zero bytes.
type zeroReader struct{ remaining int64 }

// Read returns what the buffer held, as zero bytes, or io.EOF.
func (z *zeroReader) Read(p []byte) (int, error) {
	if z.remaining == 0 {
		return 0, io.EOF
	}
	n := int(min(z.remaining, int64(len(p))))
	z.remaining -= int64(n)
	return n, nil
}

// measureMemory starts the program and measures the memory of responses whose clients read nothing.
func (s *streamProgram) measureMemory(ctx context.Context, w io.Writer, streams int) error {
	p, err := s.start()
	if err != nil {
		return err
	}
	defer p.stop()
	before, err := p.stableMemory(ctx)
	if err != nil {
		return err
	}
	conns, err := openUnread(p.addr, streams)
	defer closeAll(conns)
	if err != nil {
		return err
	}
	time.Sleep(socketBufferFill)
	after, err := p.residentMemory()
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%-13s %d answers that nobody reads: %.1f KiB each\n",
		s.name, streams, float64(after-before)/float64(streams)/kibibyte)
	return nil
}

// openUnread opens n connections and has a large response begin on each, of which one byte is read. With an error it
// returns those opened by then.
func openUnread(addr string, n int) (conns []net.Conn, err error) {
	plan := webapp.Plan{BodySize: unreadBody}.JSON()
	for range n {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return conns, err
		}
		conns = append(conns, c)
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", webapp.PlanHeader, plan)
		var first [1]byte
		if _, err := c.Read(first[:]); err != nil {
			return conns, err
		}
	}
	return conns, nil
}
