package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// held is a dial that is done, and whose connection is kept back until the test lets it go: a handshake that takes its time.
type held struct {
	dialing chan struct{}
	release chan struct{}
	ended   atomic.Int32 // dials that were given up meanwhile
}

func holdDials() *held {
	return &held{dialing: make(chan struct{}, 1000), release: make(chan struct{})}
}

func (h *held) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	h.dialing <- struct{}{}
	select {
	case <-h.release:
	case <-ctx.Done():
		h.ended.Add(1)
		c.Close()
		return nil, ctx.Err()
	}
	return c, nil
}

// counting is an endpoint that counts the bytes of what comes, and answers.
func counting(t *testing.T, bytes *atomic.Int64) string {
	return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			if _, err := r.Peek(1); err != nil {
				return
			}
			bytes.Add(int64(r.Buffered()))
			if _, err := scriptedpeer.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, okAnswer)
		}
	})
}

// sent is the whole text of a request.
func sent(t *testing.T, r *http.Request) string {
	t.Helper()
	var b bytes.Buffer
	if err := r.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// noticedWithin is how long after a client has left nothing of its request may go on any more.
const noticedWithin = 300 * time.Millisecond

// forgets waits until nothing of any request is held any more, and fails the test if that took too long since
// the client left.
func (s *running) forgets(t *testing.T, left time.Time) {
	t.Helper()
	scriptedpeer.Eventually(t, "its place is free", func() bool {
		counts := s.parts.endpoints.Counts()
		return counts.InFlight == 0 && counts.OpenCalls == 0
	})
	if took := time.Since(left); took > noticedWithin {
		t.Errorf("noticed after %v", took)
	}
}

// hanging is an endpoint that takes requests, counts them and never answers.
func hanging(t *testing.T, taken *atomic.Int32) string {
	return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			if _, err := scriptedpeer.ReadRequest(r); err != nil {
				return
			}
			taken.Add(1)
		}
	})
}

// A client that leaves while its request waits for a connection takes it along: nothing of it goes to an
// endpoint from then on, however the client has left and whatever it had sent before, also where the settings
// forbid to withdraw what runs. It costs nothing more: its place is free at once, before the connection is up.
func TestLeavesWhileConnecting(t *testing.T) {
	large := strings.Repeat("x", 200<<10)
	next := func(t *testing.T, r *http.Request) string { return sent(t, r) }
	ways := map[string]func(t *testing.T, c *net.TCPConn){
		"closes":      func(t *testing.T, c *net.TCPConn) { c.Close() },
		"resets":      func(t *testing.T, c *net.TCPConn) { reset(c) },
		"half closes": func(t *testing.T, c *net.TCPConn) { c.CloseWrite() },
		"after a first byte of the next": func(t *testing.T, c *net.TCPConn) {
			io.WriteString(c, "G")
			c.Close()
		},
		"after the next, in two pieces": func(t *testing.T, c *net.TCPConn) {
			text := next(t, look(900))
			io.WriteString(c, text[:30])
			io.WriteString(c, text[30:])
			c.Close()
		},
		"after more than is held": func(t *testing.T, c *net.TCPConn) {
			io.WriteString(c, next(t, request("POST", "/pay", "pay", 900, large[:40<<10])))
			c.CloseWrite()
		},
	}
	requests := map[string]func() *http.Request{
		"safe":     func() *http.Request { return look(900) },
		"unsafe":   func() *http.Request { return request("POST", "/pay", "pay", 900, "x") },
		"streamed": func() *http.Request { return request("POST", "/pay", "pay", 900, large) },
	}
	for way, leave := range ways {
		for kind, make := range requests {
			if kind == "streamed" && way != "resets" {
				continue // its end would wait at the client, behind what does not fit between
			}
			for _, cancel := range []string{"true", "false"} {
				t.Run(fmt.Sprintf("%s, %s, cancel %s", way, kind, cancel), func(t *testing.T) {
					t.Parallel()
					var got atomic.Int64
					h := holdDials()
					cfg := configure(t, scriptedpeer.ClosedAddress(t), []discovery.Instance{scripteddiscovery.Up("s-1", counting(t, &got))}, `"cancel":true`, `"cancel":`+cancel)
					s := startDialing(t, cfg, h.dial)
					nc, err := net.Dial("tcp", s.addr)
					if err != nil {
						t.Fatal(err)
					}
					defer nc.Close()
					go io.WriteString(nc, sent(t, make())) // a body that streams is not taken before the connection is up
					scriptedpeer.Receive(t, h.dialing, "dial")
					leave(t, nc.(*net.TCPConn))
					left := time.Now()
					s.forgets(t, left)
					scriptedpeer.Eventually(t, "the dial is given up", func() bool { return h.ended.Load() == 1 })
					close(h.release)
					// Another goes on as ever, and what was held for the one that left would have come before.
					if resp, _ := s.request(t, look(900)); resp.StatusCode != 200 {
						t.Errorf("the next is answered %s", resp.Status)
					}
					want := int64(len(sent(t, look(900))))
					if n := got.Load(); n > 2*want {
						t.Errorf("the endpoint got %d bytes, where the other request has about %d", n, want)
					}
					if n := h.ended.Load(); n != 1 {
						t.Errorf("%d dials were given up, want that of the request", n)
					}
				})
			}
		}
	}
}

// A request that is held until probes have answered waits, too: if its client leaves, nothing of it goes out
// once they have. A round in which the probes' own time was up first, on a busy machine, shows nothing and is
// played again.
func TestLeavesWhileProbesAreWaitedFor(t *testing.T) {
	var mu sync.Mutex
	var taken []time.Time
	release := make(chan struct{})
	addr := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/load" {
			<-release
			return
		}
		mu.Lock()
		taken = append(taken, time.Now())
		mu.Unlock()
		io.WriteString(w, "ok")
	})
	defer close(release)
	var list []discovery.Instance // several: one that is being probed anyway is not waited for
	for i := range 8 {
		list = append(list, scripteddiscovery.Up(fmt.Sprint("s-", i), addr))
	}
	for round := 0; ; round++ {
		// A new one each time: who was asked more lately does not wait for probes.
		s := start(t, configure(t, scriptedpeer.ClosedAddress(t), list,
			`"probes":false`, `"probes":true`, `"target":500000,"give-up":1000000`, `"target":1000000,"give-up":9000000`))
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		mu.Lock()
		before := len(taken)
		mu.Unlock()
		io.WriteString(c, sent(t, look(9000)))
		scriptedpeer.Eventually(t, "it is taken", func() bool {
			counts := s.parts.endpoints.Counts()
			mu.Lock()
			defer mu.Unlock()
			return counts.OpenCalls == 1 || len(taken) > before
		})
		c.Close()
		left := time.Now()
		s.forgets(t, left)
		time.Sleep(time.Until(left.Add(noticedWithin))) // the probes' time is up by then, too
		mu.Lock()
		late := taken[before:]
		mu.Unlock()
		if len(late) == 0 {
			return
		}
		if round == 20 {
			t.Fatalf("in each of %d rounds it was sent on, now %v after its client had left", round, late[0].Sub(left))
		}
	}
}

// A client whose whole body has come and that has left then, all of it still in the kernel, has left all the same.
func TestLeavesBehindAStreamedBody(t *testing.T) {
	var got atomic.Int64
	h := holdDials()
	s := startDialing(t, configure(t, scriptedpeer.ClosedAddress(t), []discovery.Instance{scripteddiscovery.Up("s-1", counting(t, &got))}), h.dial)
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, sent(t, request("POST", "/pay", "pay", 900, strings.Repeat("x", 70<<10)))); err != nil {
		t.Fatal(err)
	}
	scriptedpeer.Receive(t, h.dialing, "dial")
	nc.Close()
	left := time.Now()
	s.forgets(t, left)
	close(h.release)
	if resp, _ := s.request(t, look(900)); resp.StatusCode != 200 {
		t.Errorf("the next is answered %s", resp.Status)
	}
	if n := got.Load(); n > 1000 {
		t.Errorf("the endpoint got %d bytes", n)
	}
}

// Many that leave at once leave nothing behind.
func TestLeaveInABurst(t *testing.T) {
	var got atomic.Int64
	h := holdDials()
	s := startDialing(t, configure(t, scriptedpeer.ClosedAddress(t), []discovery.Instance{scripteddiscovery.Up("s-1", counting(t, &got))}), h.dial)
	const many, out = 40, 4 // the others are turned away, or have not been looked at yet
	var conns []net.Conn
	for range many {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, sent(t, request("POST", "/pay", "pay", 900, "x")))
		conns = append(conns, c)
	}
	for range out {
		scriptedpeer.Receive(t, h.dialing, "dial")
	}
	for i, c := range conns {
		if i%2 == 0 {
			io.WriteString(c, "POST /p")
		}
		c.Close()
	}
	scriptedpeer.Eventually(t, "all places are free", func() bool {
		counts := s.parts.endpoints.Counts()
		all, _ := s.parts.front.ConnectionCounts()
		return counts.InFlight == 0 && counts.OpenCalls == 0 && all == 0
	})
	close(h.release)
	if resp, _ := s.request(t, look(900)); resp.StatusCode != 200 {
		t.Errorf("the next is answered %s", resp.Status)
	}
	if n := got.Load(); n > 1000 {
		t.Errorf("the endpoint got %d bytes", n)
	}
}

// A request whose client had left before it was read goes nowhere. Several were sent at once, and the client
// went while the first was waiting: nothing of those behind it goes out once that one's time is up.
func TestLeftBeforeItIsRead(t *testing.T) {
	var taken atomic.Int32
	addr := hanging(t, &taken)
	s := start(t, configure(t, scriptedpeer.ClosedAddress(t), []discovery.Instance{scripteddiscovery.Up("s-1", addr)}, `"cancel":true`, `"cancel":false`))
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, sent(t, request("POST", "/pay", "pay", 900, "1")))
	scriptedpeer.Eventually(t, "the first is out", func() bool { return taken.Load() == 1 })
	for range 3 {
		io.WriteString(c, sent(t, request("POST", "/pay", "pay", 900, "2")))
	}
	c.Close()
	scriptedpeer.Eventually(t, "nobody is served", func() bool { all, _ := s.parts.front.ConnectionCounts(); return all == 0 })
	if resp, _ := s.request(t, request("POST", "/pay", "pay", 50, "3")); resp.StatusCode == 200 {
		t.Errorf("answered %s", resp.Status)
	}
	if n := taken.Load(); n != 2 {
		t.Errorf("the endpoint took %d requests, want the first and the other client's", n)
	}
}
