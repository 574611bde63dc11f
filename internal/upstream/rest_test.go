package upstream

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/fake/scriptedpeer"
)

// The tests in this file guard against causes of reuse before the reuse delay has passed, and against events
// that are wrongly taken for a second response.

// checkOpen checks the number of open connections.
func (s *secondResponseTest) checkOpen(want int) {
	s.Helper()
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.pool.openConns != want {
		s.Errorf("%d connections open, want %d", s.pool.openConns, want)
	}
}

// Guards against a pause of the machine that is longer than any reuse delay and is counted as part of it.
func TestSecondResponseAfterLongPause(t *testing.T) {
	for _, mode := range []string{"sidecar", "daemon"} {
		t.Run(mode, func(t *testing.T) { testSecondResponseAfterPause(t, mode, time.Second) })
	}
}

// longPause is longer than the reuse delay of newLongReuseDelayTest.
const longPause = 2 * time.Hour

// newLongReuseDelayTest returns a test with a reuse delay of one hour.
func newLongReuseDelayTest(t *testing.T) *secondResponseTest {
	t.Helper()
	return newSecondResponseTest(t, withReuseDelay(time.Hour, false))
}

// pause simulates a pause of the machine while a connection is in its reuse delay and observeReuseDelays is
// sleeping.
func (s *secondResponseTest) pause(c *Conn, d time.Duration) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	c.lastResponse = c.lastResponse.Add(-d)
	s.pool.nextObservation = s.pool.nextObservation.Add(-d)
}

// awaitObservation waits until observeReuseDelays has observed once more, or has ended.
func (s *secondResponseTest) awaitObservation() {
	s.Helper()
	observationState := func() (time.Time, bool) {
		s.pool.mu.Lock()
		defer s.pool.mu.Unlock()
		return s.pool.nextObservation, s.pool.observing
	}
	lastDue, _ := observationState()
	scriptedpeer.Eventually(s, "observation", func() bool {
		nextDue, observing := observationState()
		return nextDue != lastDue || !observing
	})
}

// takeConnInReuseDelay returns the only idle connection, which is in its reuse delay, as an attempt that waits
// for the delay gets it.
func (s *secondResponseTest) takeConnInReuseDelay() *Conn {
	s.Helper()
	c, wait, err := s.pool.takeOrOpen(s.Context(), s.target, true)
	if err != nil || wait <= 0 {
		s.Fatalf("wait %v, error %v, want a connection in its reuse delay", wait, err)
	}
	s.awaitObservation() // so that no observation from before is in progress
	return c
}

// Guards against a pause that is not noticed while an attempt waits for a reuse delay to pass, and is counted
// as part of the delay.
func TestPauseWhileReuseDelayIsAwaited(t *testing.T) {
	s := newLongReuseDelayTest(t)
	s.complete("1")
	c := s.takeConnInReuseDelay()
	s.pause(c, longPause)
	if usable, err := s.pool.awaitReuseDelay(t.Context(), c, 0); usable || err != nil {
		t.Errorf("usable %v, error %v after a pause, want false and no error", usable, err)
	}
}

// Guards against a pause that is not noticed after an attempt that waited for a reuse delay was canceled, and
// is counted as part of the delay.
func TestPauseAfterAwaitedReuseDelayIsCancelled(t *testing.T) {
	s := newLongReuseDelayTest(t)
	s.complete("1")
	c := s.takeConnInReuseDelay()
	canceledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := s.pool.awaitReuseDelay(canceledCtx, c, longPause); !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want %v", err, context.Canceled)
	}
	s.awaitObservation()
	s.pause(c, longPause)
	if again := s.takeConnInReuseDelay(); again != c {
		t.Error("the connection was not returned to the pool")
	}
}

// Guards against a health check that takes a second response to the previous health check for its own response.
func TestSecondResponseToHealthCheckBefore(t *testing.T) {
	s := newLongReuseDelayTest(t)
	s.probeWith(responseFor(loadReport))
	probed := make(chan []float32, 1)
	go func() { probed <- s.target.Probe().Load }()
	second := scriptedpeer.Receive(t, s.endpoint.received, "health check 2")
	for usedConn, response := range s.lastSent {
		io.WriteString(usedConn, response)
	}
	io.WriteString(second.conn, responseFor("TEXT busy_reqs=9"))
	if load := scriptedpeer.Receive(t, probed, "report"); len(load) == 0 || load[0] != 9 {
		t.Errorf("load report %v, want 9 busy requests", load)
	}
}

// Guards against the response to a health check that is taken for a second response if the endpoint sends no
// load reports.
func TestHealthCheckWithoutReportIsNoSecondResponse(t *testing.T) {
	s := newLongReuseDelayTest(t)
	s.complete("1")
	s.probeWith(responseFor("hello"))
	if len(s.lastSent) != 1 {
		t.Fatalf("%d connections used, want 1", len(s.lastSent))
	}
	s.checkSurplus(0)
}

// Guards against a 408 response, which announces that an idle connection is closed, being taken for a second
// response.
func TestRequestTimeoutIsNoSecondResponse(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			s := newLongReuseDelayTest(t)
			endpointConn := s.complete("1")
			c := s.onlyIdle()
			io.WriteString(endpointConn, version+" 408 Request Time-out\r\nConnection: close\r\n\r\n")
			s.awaitBytes(c.Conn)
			s.pool.sweep()
			s.checkOpen(0)
			s.checkSurplus(0)
		})
	}
}

// Guards against losing the lateness of a second response that a health check reads after the reuse delay has
// passed.
func TestSecondResponseReadByHealthCheckAfterReuseDelay(t *testing.T) {
	const lateness = 300 * time.Millisecond // longer than any reuse delay without evidence
	s := newSecondResponseTest(t, withReuseDelay(DefaultReuseDelay, false))
	if r := s.probeWith(responseFor(loadReport)); r.Load == nil {
		t.Fatalf("health check: status %v, want a load report", r.Status)
	}
	s.ageResponses(2 * time.Hour)
	s.complete("1")
	s.ageResponses(lateness)
	s.probeWith(responseFor("1"))
	s.checkSurplus(1)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if reuseDelay := clock.Duration(
		s.pool.reuseDelays.ReuseDelay(s.pool.options.Clock.Now(), s.target.endpoint),
	); reuseDelay < lateness {
		t.Errorf("reuse delay %v, want %v or more", reuseDelay, lateness)
	}
}

// Guards against reuse of a connection although an unread second response from another endpoint of the same
// pool is evidence that the endpoints of this pool send late second responses.
func TestSecondResponseAtAnotherEndpoint(t *testing.T) {
	s := newSecondResponseTest(t, withReuseDelay(DefaultReuseDelay, false))
	firstEndpointConn := s.complete("1")
	c := s.onlyIdle()
	s.ageResponses(150 * time.Millisecond)
	s.useNewEndpoint()
	endpointConn := s.complete("2")
	s.ageResponses(3 * DefaultReuseDelay)
	io.WriteString(firstEndpointConn, responseFor("1"))
	s.awaitBytes(c.Conn)
	s.mustOutwaitSecondResponse(endpointConn, "3")
}

// Guards against arrivals that are not found because more connections have unread bytes than one system call
// reports.
func TestSecondResponsesOnManyConnections(t *testing.T) {
	const connections = maxArrivalEvents + 1
	s := newLongReuseDelayTest(t)
	endpointConns := s.completeAtOnce(connections)
	s.pool.mu.Lock()
	for _, endpointConn := range endpointConns {
		io.WriteString(endpointConn, s.lastSent[endpointConn])
	}
	for _, c := range s.target.idle {
		s.awaitBytes(c.Conn)
	}
	s.pool.inspectArrivalsLocked()
	s.pool.mu.Unlock()
	s.checkSurplus(connections)
}

// Guards against a second response that is not found because its arrival was reported while the connection was
// still in use.
func TestSecondResponseReportedWhileInUse(t *testing.T) {
	// The part of this body that exceeds the read buffer is read directly from the connection, and no byte
	// after the body is read.
	response := "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000)
	s := newLongReuseDelayTest(t)
	usedConn := s.complete("0")
	s.ageResponses(2 * time.Hour)
	attempt := s.pool.newAttempt(s.target)
	attempt.ResponseStarted = func(r engine.AttemptResult) bool {
		stream := r.Response.(*Response).Stream
		s.pool.mu.Lock()
		s.pool.inspectArrivalsLocked()
		s.pool.mu.Unlock()
		go func() {
			io.Copy(io.Discard, stream)
			stream.Finish()
		}()
		return true
	}
	result := s.start(attempt, tracedRequest("GET", "1"))
	req := scriptedpeer.Receive(t, s.endpoint.received, "request")
	if req.conn != usedConn {
		t.Fatal("the request came on another connection")
	}
	io.WriteString(req.conn, response+response)
	if r := scriptedpeer.Receive(t, result, "result"); r.Status != balancer.OK {
		t.Fatalf("status %v", r.Status)
	}
	s.useNewEndpoint()
	s.complete("2")
	s.checkSurplus(1)
}
