// Package endpoint is a stand-in for the servers that requests are balanced over: HTTP/1.1 on loopback, with
// cores that requests queue for, a warm-up, draining and faults on demand, and a record of all that ran. It
// speaks what PROTOCOL says an endpoint speaks and knows nothing of the program under test.
package endpoint

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Options say how an endpoint behaves. The zero value answers at once.
type Options struct {
	Name string

	// Work is how long a core is busy with a request of a class, the first part of the path; the entry "" is
	// for classes that have none. Each request's is drawn from Work*(1±Spread).
	ServiceTime map[string]time.Duration
	Spread      float64
	Cores       int // requests worked at side by side; 0 is no bound
	QueueLimit  int // requests that wait for a core; beyond it 503 with X-Never-Ran; 0 is no bound

	// ColdFrom is the share of its speed that a started endpoint has at first; it is warm after Warm.
	WarmupStartSpeed float64
	WarmupTime       time.Duration

	// Keyed is how long the endpoint remembers an Idempotency-Key and drops its repeats.
	IdempotencyWindow time.Duration
	Ledger            *Ledger // where what ran is written down; nil is nowhere
	MinResponseSize   int     // bytes of an answer, at least
}

// Run is one request that reached an endpoint.
type Run struct {
	Endpoint       string
	Class          string
	TraceID        string // X-Trace-Id
	IdempotencyKey string // Idempotency-Key
	StartedAt      time.Time
	TookEffect     bool // it took effect: it was no repeat that the endpoint knew
}

// Ledger records what ran at endpoints that share it: a group that drops repeats of a key.
type Ledger struct {
	mu          sync.Mutex
	runs        []Run
	lastEffects map[string]time.Time // keys, by when they last took effect
}

// Runs returns what has run so far, in the order it began.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

func (l *Ledger) add(r Run, window time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.IdempotencyKey != "" && window > 0 {
		if l.lastEffects == nil {
			l.lastEffects = map[string]time.Time{}
		}
		if at, ok := l.lastEffects[r.IdempotencyKey]; ok && r.StartedAt.Sub(at) < window {
			r.TookEffect = false
		} else {
			l.lastEffects[r.IdempotencyKey] = r.StartedAt
		}
	}
	l.runs = append(l.runs, r)
}

// Server is a running endpoint.
type Server struct {
	Addr string

	options Options
	cores   chan struct{}
	started time.Time
	http    *http.Server
	done    chan struct{}

	mu       sync.Mutex
	waiting  int
	working  int
	served   int
	probed   int
	draining bool
	fault    func(*http.Request) Fault
}

// Fault is what goes wrong with a request.
type Fault uint8

// The faults.
const (
	NoFault         Fault = iota
	InternalError         // 500
	NoResponse            // no answer, until the client leaves
	ConnectionReset       // the connection is reset, after the request was taken
	Conflict              // 409: it ran, and what it asked for cannot be
)

// Start starts an endpoint on a free port of loopback.
func Start(options Options) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Serve(ln, options), nil
}

// Serve starts an endpoint on a listener.
func Serve(ln net.Listener, options Options) *Server {
	s := &Server{Addr: ln.Addr().String(), options: options, started: time.Now(), done: make(chan struct{})}
	if options.Cores > 0 {
		s.cores = make(chan struct{}, options.Cores)
	}
	s.http = &http.Server{Handler: s}
	go func() {
		defer close(s.done)
		s.http.Serve(ln)
	}()
	return s
}

// Close ends the endpoint at once, as a process that dies: its connections are reset.
func (s *Server) Close() {
	s.http.Close()
	<-s.done
}

// SetDraining says whether the endpoint is draining: it finishes what it has and turns new requests away.
func (s *Server) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// SetFaults sets what goes wrong from now on; nil is nothing.
func (s *Server) SetFaults(f func(*http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Started returns when the endpoint started.
func (s *Server) Started() time.Time { return s.started }

// Load returns how many requests are being worked at and waiting.
func (s *Server) Load() (working, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.working, s.waiting
}

// ServeHTTP answers a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/healthy", "/-/load":
		s.mu.Lock()
		s.probed++
		text := fmt.Sprintf("TEXT inflight=%d, queue=%d", s.working+s.waiting, s.waiting)
		s.mu.Unlock()
		_, _ = io.WriteString(w, text) // a client that has gone needs none
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // it has not come whole, so it has not run
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	run := Run{Endpoint: s.options.Name, Class: class, TraceID: r.Header.Get("X-Trace-Id"), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		StartedAt: time.Now(), TookEffect: true}
	fault, turnedAway := s.admit(r)
	if turnedAway {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.options.Ledger != nil {
		s.options.Ledger.add(run, s.options.IdempotencyWindow)
	}
	ran := s.runOnCore(r.Context(), class)
	s.finish()
	switch {
	case !ran || fault == ConnectionReset:
		panic(http.ErrAbortHandler)
	case fault == NoResponse:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case fault == InternalError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The answer tells whose it is, so that a client can see that it got its own.
	answer := run.TraceID + " " + s.options.Name + " " + fmt.Sprint(len(body)) + "\n"
	if more := s.options.MinResponseSize - len(answer); more > 0 {
		answer += strings.Repeat(".", more)
	}
	w.Header().Set("Content-Type", "text/plain")
	if fault == Conflict {
		w.WriteHeader(http.StatusConflict)
	}
	_, _ = io.WriteString(w, answer) // a client that has gone needs none
}

func (s *Server) admit(r *http.Request) (fault Fault, turnedAway bool) {
	s.mu.Lock()
	if s.draining || s.options.QueueLimit > 0 && s.waiting >= s.options.QueueLimit {
		s.mu.Unlock()
		return NoFault, true
	}
	s.waiting++
	f := s.fault
	s.mu.Unlock()
	if f != nil {
		fault = f(r) // it may wait, for its own request only
	}
	return fault, false
}

// work waits for a core and holds it, and says whether the client stayed to the end.
func (s *Server) runOnCore(ctx context.Context, class string) bool {
	if s.cores != nil {
		select {
		case s.cores <- struct{}{}:
		case <-ctx.Done():
			s.mu.Lock()
			s.waiting, s.working = s.waiting-1, s.working+1
			s.mu.Unlock()
			return false
		}
		defer func() { <-s.cores }()
	}
	s.mu.Lock()
	s.waiting, s.working = s.waiting-1, s.working+1
	s.mu.Unlock()
	d, ok := s.options.ServiceTime[class]
	if !ok {
		d = s.options.ServiceTime[""]
	}
	if d <= 0 {
		return true
	}
	d = time.Duration(float64(d) * (1 + s.options.Spread*(2*rand.Float64()-1)) / s.speed())
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// speed is the share of its full speed that the endpoint has by now.
func (s *Server) speed() float64 {
	age := time.Since(s.started)
	if s.options.WarmupTime <= 0 || s.options.WarmupStartSpeed <= 0 || age >= s.options.WarmupTime {
		return 1
	}
	return s.options.WarmupStartSpeed + (1-s.options.WarmupStartSpeed)*age.Seconds()/s.options.WarmupTime.Seconds()
}

func (s *Server) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working--
	s.served++
}

// ProbeCount returns how many probes were answered.
func (s *Server) ProbeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probed
}

// ServedCount returns how many requests have been worked at to an end.
func (s *Server) ServedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}
