// Package endpoint is a fake of the servers that requests are balanced over: HTTP/1.1 on loopback, with cores that
// requests queue for, a warm-up, draining, injected faults and a ledger of the requests that ran. It follows PROTOCOL's
// part of an endpoint and must not import the program under test.
package endpoint

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options configure an endpoint. With the zero value it responds at once.
type Options struct {
	Name string

	// ServiceTime is how long a core is busy with a request of a class (the first segment of the path); the entry "" is
	// for the other classes. Each request's is drawn uniformly from ServiceTime*(1±Spread).
	ServiceTime map[string]time.Duration
	Spread      float64
	Cores       int // requests processed concurrently; 0 is no bound
	QueueLimit  int // requests waiting for a core; more get 503 with X-Never-Ran; 0 is no bound

	// WarmupStartSpeed is the fraction of its full speed at which an endpoint starts; it is warm after WarmupTime.
	WarmupStartSpeed float64
	WarmupTime       time.Duration

	IdempotencyWindow time.Duration // how long an Idempotency-Key is remembered
	Ledger            *Ledger       // records the requests that run, and second responses; may be nil
	MinResponseSize   int           // bytes of a response's body, at least

	// SecondResponseDelay returns how long after the first response a second one is sent (SecondResponse). It may be
	// called concurrently. nil is at once.
	SecondResponseDelay func() time.Duration
	// CloseAfterSecondResponse has the endpoint close a connection on which it has sent a second response, after the
	// same delay again. Without it the endpoint goes on with the next request.
	CloseAfterSecondResponse bool
}

// Server is a running endpoint. Its methods are safe for concurrent use.
type Server struct {
	Addr string // host and port

	options   Options
	cores     chan struct{} // a token for each busy core; nil without a bound
	startedAt time.Time
	http      *http.Server
	done      chan struct{}

	mu       sync.Mutex
	queued   int // requests waiting for a core
	running  int
	served   int
	probes   int
	draining bool
	fault    func(*http.Request) Fault
}

// Fault is an injected failure of a request.
type Fault uint8

// The faults.
const (
	NoFault         Fault = iota
	InternalError         // 500
	NoResponse            // none until the client leaves
	ConnectionReset       // the connection is reset after the request ran
	Conflict              // 409 from the application: the request ran, and its effect is impossible
	SecondResponse        // the response, and once more after Options.SecondResponseDelay
	PartialResponse       // a part of the response, and the end of the connection
	LateResponse          // the response, after lateResponseDelay
)

const lateResponseDelay = 300 * time.Millisecond

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn returns the context of the requests on a connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Start starts an endpoint on a free loopback port.
func Start(options Options) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Serve(ln, options), nil
}

// Serve starts an endpoint on a listener.
func Serve(ln net.Listener, options Options) *Server {
	s := &Server{
		Addr:      ln.Addr().String(),
		options:   options,
		startedAt: time.Now(),
		done:      make(chan struct{}),
	}
	if options.Cores > 0 {
		s.cores = make(chan struct{}, options.Cores)
	}
	s.http = &http.Server{Handler: s, ConnContext: withConn}
	go func() {
		defer close(s.done)
		s.http.Serve(ln)
	}()
	return s
}

// Close stops the endpoint at once, as a process that dies: its connections are reset.
func (s *Server) Close() {
	s.http.Close()
	<-s.done
}

// SetDraining starts or ends draining: the endpoint finishes the requests that it has and rejects new ones.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// SetFaults injects the fault that f returns for each request from now on; nil injects none.
func (s *Server) SetFaults(f func(*http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Started returns when the endpoint started.
func (s *Server) Started() time.Time { return s.startedAt }

// Load returns how many requests are running and how many wait for a core.
func (s *Server) Load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.queued
}

// ServeHTTP responds to a probe or runs a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/healthy", "/-/load":
		s.serveProbe(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete request doesn't run
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	run := Run{
		Endpoint:       s.options.Name,
		Class:          class,
		TraceID:        r.Header.Get("X-Trace-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		StartedAt:      time.Now(),
		TookEffect:     true,
	}
	fault, admitted := s.admit(r)
	if !admitted {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.options.Ledger != nil {
		s.options.Ledger.add(run, s.options.IdempotencyWindow)
	}
	completed := s.runOnCore(r.Context(), class)
	s.finish()
	switch {
	case !completed || fault == ConnectionReset:
		panic(http.ErrAbortHandler)
	case fault == NoResponse:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case fault == InternalError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case fault == SecondResponse:
		s.respondTwice(w, r, run.TraceID, s.responseBody(run.TraceID, len(body)))
		return
	case fault == PartialResponse:
		respondPartially(w, s.responseBody(run.TraceID, len(body)))
		return
	case fault == LateResponse:
		time.Sleep(lateResponseDelay)
	}
	w.Header().Set("Content-Type", "text/plain")
	if fault == Conflict {
		w.WriteHeader(http.StatusConflict)
	}
	_, _ = io.WriteString(w, s.responseBody(run.TraceID, len(body))) // a client that has left needs no response
}

// respondPartially writes a part of a response and closes the connection, as package http would not.
func respondPartially(w http.ResponseWriter, body string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the client has left
	}
	defer c.Close()
	response := rawResponse(body)
	_, _ = io.WriteString(c, response[:len(response)/2]) // an error shows that the client has left
}

// respondTwice writes a response, and after a delay once more. Until then no further request is read from the
// connection.
func (s *Server) respondTwice(w http.ResponseWriter, r *http.Request, traceID, body string) {
	var delay time.Duration
	if s.options.SecondResponseDelay != nil {
		delay = s.options.SecondResponseDelay()
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // buffered until Flush
	firstAt := time.Now()
	http.NewResponseController(w).Flush()
	time.Sleep(delay)
	if s.options.Ledger != nil {
		s.options.Ledger.AddSecondResponse(SecondResponseRecord{
			Endpoint: s.options.Name,
			TraceID:  traceID,
			Lateness: time.Since(firstAt),
		})
	}
	_, _ = io.WriteString(r.Context().Value(connKey{}).(net.Conn), rawResponse(body)) // the client may have left
	if s.options.CloseAfterSecondResponse {
		time.Sleep(delay)
		panic(http.ErrAbortHandler)
	}
}

// rawResponse returns a complete response with a body.
func rawResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// serveProbe responds to a health check with a load report.
func (s *Server) serveProbe(w io.Writer) {
	s.mu.Lock()
	s.probes++
	report := fmt.Sprintf("TEXT inflight=%d, queue=%d", s.running+s.queued, s.queued)
	s.mu.Unlock()
	_, _ = io.WriteString(w, report) // a client that has left needs no response
}

// responseBody names the request, by which a client recognizes the response to its own request.
func (s *Server) responseBody(traceID string, requestSize int) string {
	text := traceID + " " + s.options.Name + " " + fmt.Sprint(requestSize) + "\n"
	if padding := s.options.MinResponseSize - len(text); padding > 0 {
		text += strings.Repeat(".", padding)
	}
	return text
}

// admit queues a request and draws its fault, unless the endpoint is draining or its queue is full.
func (s *Server) admit(r *http.Request) (fault Fault, admitted bool) {
	s.mu.Lock()
	if s.draining || s.options.QueueLimit > 0 && s.queued >= s.options.QueueLimit {
		s.mu.Unlock()
		return NoFault, false
	}
	s.queued++
	faultOf := s.fault
	s.mu.Unlock()
	if faultOf != nil {
		fault = faultOf(r) // without the lock: it may block, for its own request only
	}
	return fault, true
}

// runOnCore waits for a core and occupies it for the service time. It reports false when the client left before the
// end.
func (s *Server) runOnCore(ctx context.Context, class string) bool {
	if s.cores != nil {
		select {
		case s.cores <- struct{}{}:
		case <-ctx.Done():
			s.dequeue()
			return false
		}
		defer func() { <-s.cores }()
	}
	s.dequeue()
	serviceTime, ok := s.options.ServiceTime[class]
	if !ok {
		serviceTime = s.options.ServiceTime[""]
	}
	if serviceTime <= 0 {
		return true
	}
	factor := 1 + s.options.Spread*(2*rand.Float64()-1)
	timer := time.NewTimer(time.Duration(float64(serviceTime) * factor / s.speed()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// speed returns the endpoint's present speed as a fraction of its full speed.
func (s *Server) speed() float64 {
	age := time.Since(s.startedAt)
	if s.options.WarmupTime <= 0 || s.options.WarmupStartSpeed <= 0 || age >= s.options.WarmupTime {
		return 1
	}
	start := s.options.WarmupStartSpeed
	return start + (1-start)*age.Seconds()/s.options.WarmupTime.Seconds()
}

// dequeue counts a queued request as running.
func (s *Server) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
	s.running++
}

// finish counts a running request as served.
func (s *Server) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.served++
}

// ProbeCount returns how many health checks the endpoint responded to.
func (s *Server) ProbeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

// ServedCount returns how many requests have ended, those that their clients left included.
func (s *Server) ServedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}
