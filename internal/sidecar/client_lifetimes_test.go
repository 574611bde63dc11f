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

// lifetimeRecorder records when each request reached the endpoint, when its client disconnected, and the
// violations that were found.
type lifetimeRecorder struct {
	mu           sync.Mutex
	received     map[string][]time.Time // when the endpoint received the request, by request id
	disconnected map[string]time.Time   // when the client disconnected, by request id
	violations   []string

	closedWithoutResponse []string // ids of racing clients' requests whose connection closed without a response
}

func newLifetimeRecorder() *lifetimeRecorder {
	return &lifetimeRecorder{received: map[string][]time.Time{}, disconnected: map[string]time.Time{}}
}

// recordViolation records a violation with a formatted description.
func (w *lifetimeRecorder) recordViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// endpoint returns a handler that responds with the request's id after a delay drawn from a seed. With wrongIDs
// every seventh response has a wrong id.
func (w *lifetimeRecorder) endpoint(seed uint64, wrongIDs bool) http.HandlerFunc {
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
		requestCount := len(w.received)
		w.mu.Unlock()
		time.Sleep(delays[requestCount%len(delays)]) // the service time
		if wrongIDs && requestCount%7 == 0 {
			id = "another's"
		}
		io.WriteString(rw, id)
	}
}

// lifetimeClient is a client of TestLivesOfClients. A racing client connects while the sidecar stops: its
// connection may be refused, or closed without a response if none of its requests was forwarded.
type lifetimeClient struct {
	recorder *lifetimeRecorder
	addr     string
	rng      *rand.Rand
	racing   bool
}

// connectOnce opens a connection, sends requests and reads the responses or disconnects, as drawn by the client's
// rng. It calls onSent after the client has sent its last byte.
func (c *lifetimeClient) connectOnce(t *testing.T, onSent func()) {
	t.Helper()
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		if !c.racing {
			c.recorder.recordViolation("no connection: %v", err)
		}
		onSent()
		return
	}
	defer conn.Close()
	ids, text := c.drawRequests(t)
	staysConnected := c.rng.IntN(3) > 0
	firstPartLen := 1 + c.rng.IntN(len(text))
	io.WriteString(conn, text[:firstPartLen])
	if staysConnected || c.rng.IntN(2) == 0 {
		io.WriteString(conn, text[firstPartLen:])
	}
	onSent()
	if !staysConnected {
		c.disconnect(conn, ids)
		return
	}
	c.readResponses(conn, ids)
}

// drawRequests returns the ids and the encoded text of one to three random requests.
func (c *lifetimeClient) drawRequests(t *testing.T) (ids []string, text string) {
	t.Helper()
	for range 1 + c.rng.IntN(3) {
		r := safeRequest(900)
		if c.rng.IntN(2) == 0 {
			r = request("POST", "/pay", "pay", 900, "x")
		}
		ids = append(ids, r.Header.Get("X-Trace-Id"))
		text += requestText(t, r)
	}
	return ids, text
}

// disconnect closes or resets the connection after less than 20 ms, and records the time for the requests' ids.
func (c *lifetimeClient) disconnect(conn net.Conn, ids []string) {
	time.Sleep(time.Duration(c.rng.IntN(20)) * time.Millisecond)
	if c.rng.IntN(2) == 0 {
		resetConn(conn)
	} else {
		conn.Close()
	}
	w := c.recorder
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.disconnected[id] = time.Now()
	}
}

// readResponses reads the responses in the order of the requests, and records violations.
func (c *lifetimeClient) readResponses(conn net.Conn, ids []string) {
	w := c.recorder
	conn.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	reader := bufio.NewReader(conn)
	for i, id := range ids {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil && c.racing {
			w.mu.Lock()
			w.closedWithoutResponse = append(w.closedWithoutResponse, ids[i:]...)
			w.mu.Unlock()
			return
		}
		if err != nil {
			w.recordViolation("%s, index %d of %d requests: no response: %v", id, i, len(ids), err)
			return
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode == 200 && string(body) != id {
			w.recordViolation("%s got %s with body %q, %v", id, resp.Status, body, err)
		}
		if resp.Close && i < len(ids)-1 {
			w.recordViolation("%s: connection closed before %d further responses", id, len(ids)-1-i)
			return
		}
	}
}

// runClientLifetimes runs clients that send complete and partial requests, single, pipelined and in pieces, wait,
// disconnect and reconnect in an order drawn from a seed. The sidecar is stopped while the last clients are
// connected. It returns the violations found: a complete request of a connected client without a final response, a
// response to another request, a request that the endpoint received twice, a request that was forwarded later than
// cancelTimeout after its client's disconnect, or a request that is still open at the end. With wrongIDs the
// endpoint sends responses with the ids of other requests.
func runClientLifetimes(t *testing.T, seed uint64, wrongIDs bool) []string {
	t.Helper()
	w := newLifetimeRecorder()
	s := start(t, configureStatic(t, instances(scriptedpeer.StartHTTP(t, w.endpoint(seed, wrongIDs)))))
	newClient := func(rngStream uint64, racing bool) *lifetimeClient {
		return &lifetimeClient{recorder: w, addr: s.addr, rng: rand.New(rand.NewPCG(seed, rngStream)), racing: racing}
	}
	var runningClients sync.WaitGroup
	for i := range uint64(6) {
		client := newClient(i, false)
		runningClients.Go(func() {
			for range 8 {
				client.connectOnce(t, func() {})
			}
		})
	}
	runningClients.Wait()
	scriptedpeer.Eventually(t, "no request and no connection is open", func() bool {
		return s.idle() && s.openConnections() == 0
	})
	// These clients have sent everything before the stop. Connections in the listener's accept queue are served,
	// too.
	var lastClients, unsent sync.WaitGroup
	for i := range uint64(4) {
		client := newClient(100+i, false)
		unsent.Add(1)
		lastClients.Go(func() { client.connectOnce(t, unsent.Done) })
	}
	unsent.Wait()
	for i := range uint64(4) {
		client := newClient(200+i, true)
		lastClients.Go(func() { client.connectOnce(t, func() {}) })
	}
	s.stop()
	lastClients.Wait()
	if err := scriptedpeer.Receive(t, s.serveResult, "end"); err != nil {
		w.recordViolation("the sidecar ended with %v", err)
	}
	return w.allViolations()
}

// allViolations returns the recorded violations and those that can be found only after all clients have ended.
func (w *lifetimeRecorder) allViolations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	violations := w.violations
	for _, id := range w.closedWithoutResponse {
		if len(w.received[id]) > 0 {
			violations = append(violations, id+" was forwarded and got no response")
		}
	}
	for id, receivedAt := range w.received {
		for _, at := range receivedAt {
			if disconnectedAt, disconnected := w.disconnected[id]; disconnected &&
				at.Sub(disconnectedAt) > cancelTimeout {
				violations = append(violations,
					fmt.Sprintf("%s was forwarded %v after its client's disconnect", id, at.Sub(disconnectedAt)))
			}
		}
		if len(receivedAt) > 1 {
			violations = append(violations,
				fmt.Sprintf("%s was received %d times by an endpoint that never failed", id, len(receivedAt)))
		}
	}
	return violations
}

// runClientLifetimes finds no violation, however clients use and close their connections. It does find an endpoint
// that sends responses to other requests.
func TestLivesOfClients(t *testing.T) {
	for seed := range uint64(6) {
		for _, violation := range runClientLifetimes(t, seed, false) {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	if len(runClientLifetimes(t, 0, true)) == 0 {
		t.Error("no violation was found with wrong ids in responses")
	}
}
