package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"dunlinsail/internal/fake/scriptedpeer"
)

// witness records what happens to clients' requests: when each reached the endpoint, when its client disconnected, and
// which rules were broken.
type witness struct {
	mu           sync.Mutex
	received     map[string][]time.Time // by request id
	disconnected map[string]time.Time   // by request id
	violations   []string

	closed []string // requests of racing clients whose connection was closed without a response
}

func newWitness() *witness {
	return &witness{received: map[string][]time.Time{}, disconnected: map[string]time.Time{}}
}

// violated records a broken rule.
func (w *witness) violated(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// endpoint returns a handler that responds with the request's id after a delay drawn from a seed. With wrongly every
// seventh response has the id of another.
func (w *witness) endpoint(seed uint64, wrongly bool) http.HandlerFunc {
	rng := rand.New(rand.NewPCG(seed, 37))
	delays := make([]time.Duration, 64)
	for i := range delays {
		delays[i] = time.Duration(rng.IntN(30)) * time.Millisecond
	}
	return func(rw http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Trace-Id")
		w.mu.Lock()
		w.received[id] = append(w.received[id], time.Now())
		n := len(w.received)
		w.mu.Unlock()
		time.Sleep(delays[n%len(delays)]) // the service time
		if wrongly && n%7 == 0 {
			id = "another's"
		}
		io.WriteString(rw, id)
	}
}

// lifetimeClient is a client of TestLivesOfClients. A racing client connects while the sidecar stops: it may find no
// listener, or be closed without a response if none of its requests was forwarded.
type lifetimeClient struct {
	witness *witness
	addr    string
	rng     *rand.Rand
	racing  bool
}

// connectOnce is the lifetime of one connection, as drawn by the client's rng. It calls onSent once the client sends
// nothing more.
func (c *lifetimeClient) connectOnce(t *testing.T, onSent func()) {
	t.Helper()
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		if !c.racing {
			c.witness.violated("no connection: %v", err)
		}
		onSent()
		return
	}
	defer conn.Close()
	ids, text := c.drawRequests(t)
	stays := c.rng.IntN(3) > 0
	cut := 1 + c.rng.IntN(len(text))
	io.WriteString(conn, text[:cut])
	if stays || c.rng.IntN(2) == 0 {
		io.WriteString(conn, text[cut:])
	}
	onSent()
	if !stays {
		c.disconnect(conn, ids)
		return
	}
	c.readResponses(conn, ids)
}

// drawRequests returns the ids and the text of one to three requests.
func (c *lifetimeClient) drawRequests(t *testing.T) (ids []string, text string) {
	t.Helper()
	for range 1 + c.rng.IntN(3) {
		r := look(900)
		if c.rng.IntN(2) == 0 {
			r = request("POST", "/pay", "pay", 900, "x")
		}
		ids = append(ids, r.Header.Get("X-Trace-Id"))
		text += requestText(t, r)
	}
	return ids, text
}

// disconnect closes or resets the connection after a moment.
func (c *lifetimeClient) disconnect(conn net.Conn, ids []string) {
	time.Sleep(time.Duration(c.rng.IntN(20)) * time.Millisecond)
	if c.rng.IntN(2) == 0 {
		reset(conn)
	} else {
		conn.Close()
	}
	w := c.witness
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.disconnected[id] = time.Now()
	}
}

// readResponses reads a response to each request in order.
func (c *lifetimeClient) readResponses(conn net.Conn, ids []string) {
	w := c.witness
	conn.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	in := bufio.NewReader(conn)
	for i, id := range ids {
		resp, err := http.ReadResponse(in, nil)
		if err != nil && c.racing {
			w.mu.Lock()
			w.closed = append(w.closed, ids[i:]...)
			w.mu.Unlock()
			return
		}
		if err != nil {
			w.violated("%s, number %d of %d: no answer: %v", id, i, len(ids), err)
			return
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode == 200 && string(body) != id {
			w.violated("%s was answered %s with %q, %v", id, resp.Status, body, err)
		}
		if resp.Close && i < len(ids)-1 {
			w.violated("%s: closed with %d requests behind it", id, len(ids)-1-i)
			return
		}
	}
}

// clientLifetimes has clients send complete and partial requests, single, pipelined and in pieces, wait, disconnect and
// connect again, in an order drawn from a seed, while the sidecar is stopped at the end. It returns which rules were
// broken: a complete request of a connected client without a final answer, a response of another request, an unsafe
// request that was received twice, one that was forwarded later than cancelTimeout after its client's disconnect, or a
// request that is open at the end. With wrongly the endpoint sends responses of other requests.
func clientLifetimes(t *testing.T, seed uint64, wrongly bool) []string {
	t.Helper()
	w := newWitness()
	s := start(t, configureStatic(t, instances(scriptedpeer.StartHTTP(t, w.endpoint(seed, wrongly)))))
	newClient := func(stream uint64, racing bool) *lifetimeClient {
		return &lifetimeClient{witness: w, addr: s.addr, rng: rand.New(rand.NewPCG(seed, stream)), racing: racing}
	}
	var clients sync.WaitGroup
	for i := range uint64(6) {
		client := newClient(i, false)
		clients.Go(func() {
			for range 8 {
				client.connectOnce(t, func() {})
			}
		})
	}
	clients.Wait()
	scriptedpeer.Eventually(t, "nothing is left", func() bool { return s.idle() && s.openConnections() == 0 })
	// These have sent everything before the stop: connections in the listener's queue are served, too.
	var last, sending sync.WaitGroup
	for i := range uint64(4) {
		client := newClient(100+i, false)
		sending.Add(1)
		last.Go(func() { client.connectOnce(t, sending.Done) })
	}
	sending.Wait()
	for i := range uint64(4) {
		client := newClient(200+i, true)
		last.Go(func() { client.connectOnce(t, func() {}) })
	}
	s.stop()
	last.Wait()
	if err := scriptedpeer.Receive(t, s.ended, "end"); err != nil {
		w.violated("ended with %v", err)
	}
	return w.result()
}

// result returns all violations, with those that only the end shows.
func (w *witness) result() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.violations
	for _, id := range w.closed {
		if len(w.received[id]) > 0 {
			all = append(all, id+" was sent on and never answered")
		}
	}
	for id, times := range w.received {
		for _, at := range times {
			if left, gone := w.disconnected[id]; gone && at.Sub(left) > cancelTimeout {
				all = append(all, fmt.Sprintf("%s was sent on %v after its client had left", id, at.Sub(left)))
			}
		}
		if len(times) > 1 {
			all = append(all, fmt.Sprintf("%s was received %d times by an endpoint that never failed", id, len(times)))
		}
	}
	return all
}

// Whatever clients do with their connections, no rule of clientLifetimes is broken. An endpoint that sends responses of
// other requests is found.
func TestLivesOfClients(t *testing.T) {
	for seed := range uint64(6) {
		for _, violation := range clientLifetimes(t, seed, false) {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	if len(clientLifetimes(t, 0, true)) == 0 {
		t.Error("a planted fault was not found")
	}
}
