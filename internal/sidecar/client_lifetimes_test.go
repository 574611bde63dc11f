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

// witness is the reference of clients' connections: when each request reached the endpoint, when its client had
// left, and what broke a rule.
type witness struct {
	mu    sync.Mutex
	taken map[string][]time.Time
	left  map[string]time.Time
	wrong []string

	closed []string // requests of racing clients whose connection was closed with no answer
}

func (w *witness) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}

// livesOfClients has clients send whole and half requests, one or several behind one another and in pieces,
// wait, leave in the middle and come again, in an order drawn from a seed, and a sidecar that is told to stop
// while some wait. It returns what broke a rule: a whole request whose client stayed and that got no final
// answer, another's answer, an unsafe one that was taken twice, one that was sent on 0.3 s after its client had
// left, or what is left open. wrongly has the endpoint answer to another.
func clientLifetimes(t *testing.T, seed uint64, wrongly bool) []string {
	w := &witness{taken: map[string][]time.Time{}, left: map[string]time.Time{}}
	rng := rand.New(rand.NewPCG(seed, 37))
	delays := make([]time.Duration, 64)
	for i := range delays {
		delays[i] = time.Duration(rng.IntN(30)) * time.Millisecond
	}
	addr := scriptedpeer.StartHTTP(t, func(rw http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Trace-Id")
		w.mu.Lock()
		w.taken[id] = append(w.taken[id], time.Now())
		n := len(w.taken)
		w.mu.Unlock()
		time.Sleep(delays[n%len(delays)]) // work takes its time
		if wrongly && n%7 == 0 {
			id = "another's"
		}
		io.WriteString(rw, id)
	})
	s := start(t, configureStatic(t, instances(addr)))
	// one is the life of a client's connection. It calls sentAll once the client sends nothing more. A racing client
	// comes as the sidecar stops: it may find nobody, or be closed with no answer, if nothing of it was sent on.
	one := func(rng *rand.Rand, racing bool, sentAll func()) {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			if !racing {
				w.logf("no connection: %v", err)
			}
			sentAll()
			return
		}
		defer c.Close()
		var ids []string
		var text string
		for range 1 + rng.IntN(3) {
			r := look(900)
			if rng.IntN(2) == 0 {
				r = request("POST", "/pay", "pay", 900, "x")
			}
			ids = append(ids, r.Header.Get("X-Trace-Id"))
			text += requestText(t, r)
		}
		stays := rng.IntN(3) > 0
		cut := 1 + rng.IntN(len(text))
		io.WriteString(c, text[:cut])
		if stays || rng.IntN(2) == 0 {
			io.WriteString(c, text[cut:])
		}
		sentAll()
		if !stays {
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond) // it waits for a moment
			if rng.IntN(2) == 0 {
				reset(c)
			} else {
				c.Close()
			}
			w.mu.Lock()
			for _, id := range ids {
				w.left[id] = time.Now()
			}
			w.mu.Unlock()
			return
		}
		c.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
		in := bufio.NewReader(c)
		for i, id := range ids {
			resp, err := http.ReadResponse(in, nil)
			if err != nil && racing {
				w.mu.Lock()
				w.closed = append(w.closed, ids[i:]...)
				w.mu.Unlock()
				return
			}
			if err != nil {
				w.logf("%s, number %d of %d: no answer: %v", id, i, len(ids), err)
				return
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode == 200 && string(body) != id {
				w.logf("%s was answered %s with %q, %v", id, resp.Status, body, err)
			}
			if resp.Close && i < len(ids)-1 {
				w.logf("%s: closed with %d requests behind it", id, len(ids)-1-i)
				return
			}
		}
	}
	var clients sync.WaitGroup
	for i := range 6 {
		own := rand.New(rand.NewPCG(seed, uint64(i)))
		clients.Go(func() {
			for range 8 {
				one(own, false, func() {})
			}
		})
	}
	clients.Wait()
	scriptedpeer.Eventually(t, "nothing is left", func() bool { return s.idle() && s.openConnections() == 0 })
	// These have sent all that they send before the order to stop: what waits at the listener then is served, too.
	var last, sending sync.WaitGroup
	for i := range 4 {
		own := rand.New(rand.NewPCG(seed, uint64(100+i)))
		sending.Add(1)
		last.Go(func() { one(own, false, sending.Done) })
	}
	sending.Wait()
	for i := range 4 {
		own := rand.New(rand.NewPCG(seed, uint64(200+i)))
		last.Go(func() { one(own, true, func() {}) })
	}
	s.stop()
	last.Wait()
	if err := scriptedpeer.Receive(t, s.ended, "end"); err != nil {
		w.logf("ended with %v", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.closed {
		if len(w.taken[id]) > 0 {
			w.wrong = append(w.wrong, id+" was sent on and never answered")
		}
	}
	for id, at := range w.taken {
		for _, at := range at {
			if left, gone := w.left[id]; gone && at.Sub(left) > cancelTimeout {
				w.wrong = append(w.wrong, fmt.Sprintf("%s was sent on %v after its client had left", id, at.Sub(left)))
			}
		}
		if len(at) > 1 {
			w.wrong = append(w.wrong, fmt.Sprintf("%s was taken %d times by an endpoint that never failed", id, len(at)))
		}
	}
	return w.wrong
}

// Whatever meets on clients' connections, the four rules hold; an endpoint that answers to another is found out.
func TestLivesOfClients(t *testing.T) {
	for seed := range uint64(6) {
		for _, wrong := range clientLifetimes(t, seed, false) {
			t.Errorf("seed %d: %s", seed, wrong)
		}
	}
	if len(clientLifetimes(t, 0, true)) == 0 {
		t.Error("a planted fault was not found")
	}
}
