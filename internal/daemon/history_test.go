package daemon

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dunlinsail/internal/fake/webapp"
)

// history is what clients got and what applications ran.
type history struct {
	mu   sync.Mutex
	got  map[string]end
	runs map[string]int // by id
	keys map[string]int // effects by key: the applications of a pool drop repeats of one that they know
}

// end is how a request ended for its client.
type end struct {
	kind    string // "safe", "keyed" or "unsafe"
	status  int
	own     bool // the answer is the instance's, not an application's
	planned int  // the status that an application was to give
	broken  bool // the answer broke off, and was seen to
	length  bool // it had the planned length
}

// problems joins both sides: what must not be.
func (h *history) problems() (all []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	say := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	for id, e := range h.got {
		n := h.runs[id]
		switch {
		case e.broken:
		case e.own && (e.status == 503 || e.status == 429) && e.kind != "safe" && n > 0:
			say("%s %s was refused, as if a repeat were harmless, and ran %d times", e.kind, id, n)
		case !e.own && n == 0:
			say("%s %s was answered %d, and nobody ran it", e.kind, id, e.status)
		case !e.own && (e.status != e.planned || !e.length):
			say("%s %s was answered %d, whole %v, and was to be %d", e.kind, id, e.status, e.length, e.planned)
		}
		if e.kind == "unsafe" && n > 1 {
			say("unsafe %s ran %d times", id, n)
		}
	}
	for key, n := range h.keys {
		if n > 1 {
			say("key %s took effect %d times", key, n)
		}
	}
	for id := range h.runs {
		if _, known := h.got[id]; !known {
			say("%s ran, and nobody asked for it", id)
		}
	}
	return all
}

const historyFile = `
[[listener]]
address = "127.0.0.1:0"
[[pool]]
name = "desk"
endpoints = [DESK]
[[pool]]
name = "files"
endpoints = [FILES]
[[class]]
name = "safe"
repeat = "safe"
aim = "1s"
give_up = "3s"
[[class]]
name = "keyed"
repeat = "keyed"
group = "all"
window = "10s"
aim = "1s"
give_up = "3s"
[[class]]
name = "unsafe"
repeat = "unsafe"
aim = "1s"
give_up = "3s"
[[route]]
path = "/safe/*"
pool = "desk"
class = "safe"
[[route]]
path = "/keyed/*"
pool = "desk"
class = "keyed"
key = "header:Idempotency-Key"
[[route]]
path = "/unsafe/*"
pool = "desk"
class = "unsafe"
[[route]]
path = "/files/*"
pool = "files"
class = "unsafe"
`

// play has clients ask through a daemon while applications reset connections, answer 4xx and 5xx, and bodies stream.
// mangle is what a hop does to a request before its application sees it.
func play(t *testing.T, mangle func(http.Header)) *history {
	h := &history{got: map[string]end{}, runs: map[string]int{}, keys: map[string]int{}}
	var rng struct {
		sync.Mutex
		*rand.Rand
	}
	rng.Rand = rand.New(rand.NewPCG(3, 4))
	chance := func(n int) bool {
		rng.Lock()
		defer rng.Unlock()
		return rng.IntN(n) == 0
	}
	known := map[string]bool{}
	var pools [2][]*webapp.App
	for i := range 5 {
		a := newApp(t, func(id string, whole bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if whole {
				h.runs[id]++
			}
		})
		a.SetFault(func(r *http.Request) bool {
			mangle(r.Header)
			if key := r.Header.Get("Idempotency-Key"); strings.HasPrefix(r.URL.Path, "/keyed/") {
				h.mu.Lock()
				if !known[key] || key == "" {
					known[key] = true
					h.keys[r.Header.Get("X-Id")]++
				}
				h.mu.Unlock()
			}
			return chance(12) // after it took effect
		})
		pools[i/3] = append(pools[i/3], a)
	}
	d, addr := routed(t, historyFile, "DESK", addrs(pools[0]...), "FILES", addrs(pools[1]...))
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(c), 5))
			tr := &http.Transport{DisableCompression: true, ResponseHeaderTimeout: 5 * time.Second}
			defer tr.CloseIdleConnections()
			for i := range 60 {
				id := fmt.Sprintf("c%d-%d", c, i)
				e := end{kind: []string{"safe", "keyed", "unsafe"}[rng.IntN(3)], planned: []int{200, 200, 404, 409, 422, 301}[rng.IntN(6)]}
				path, size, plan := e.kind, rng.IntN(2000), webapp.Plan{Status: e.planned, BodySize: rng.IntN(3000)}
				switch rng.IntN(5) {
				case 0:
					size = 150_000 + rng.IntN(200_000)
				case 1:
					plan.BodySize = 150_000 + rng.IntN(200_000)
				case 2:
					path, e.kind = "files", "unsafe"
				}
				var body io.Reader
				method := http.MethodGet
				if e.kind != "safe" {
					method, body = http.MethodPost, io.LimitReader(&letters{}, int64(size))
				}
				q, err := http.NewRequestWithContext(context.Background(), method, "http://"+addr+"/"+path+"/1", body)
				if err != nil {
					t.Error(err)
					return
				}
				if rng.IntN(2) == 0 && e.kind != "safe" {
					q.ContentLength = int64(size)
				}
				q.Header.Set("X-Id", id)
				q.Header.Set(webapp.PlanHeader, plan.JSON())
				if e.kind == "keyed" {
					q.Header.Set("Idempotency-Key", "k"+id)
				}
				resp, err := tr.RoundTrip(q)
				if err != nil {
					e.broken = true // seen: but it must not be, before anything of an answer has come
					t.Errorf("%s %s has no answer: %v", e.kind, id, err)
				} else {
					n, err := io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					e.status, e.own, e.broken, e.length = resp.StatusCode, resp.Header.Get("Proxy-Status") != "", err != nil, int(n) == plan.BodySize
				}
				h.mu.Lock()
				if _, twice := h.got[id]; twice {
					t.Errorf("%s has two ends", id)
				}
				h.got[id] = e
				h.mu.Unlock()
			}
		})
	}
	clients.Wait()
	d.settled(t)
	return h
}

// letters reads without end.
type letters struct{}

func (letters) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a'
	}
	return len(p), nil
}

// Every request has exactly one final answer; what is not safe to repeat takes effect once, whatever breaks;
// what ran is not refused; and a 4xx of an application arrives as it is.
func TestJoinedHistories(t *testing.T) {
	h := play(t, func(http.Header) {})
	by := map[string]int{}
	for _, e := range h.got {
		who := "application"
		if e.own {
			who = "own"
		}
		by[fmt.Sprint(who, " ", e.status)]++
	}
	for _, p := range h.problems() {
		t.Error(p)
	}
	if len(h.got) != 8*60 || by["application 409"] < 20 || by["own 502"] == 0 {
		t.Errorf("%d requests, %v", len(h.got), by)
	}
	t.Logf("%v", by)
}

// The same with what once was: a key that does not reach the endpoint. The check must see it.
func TestJoinedHistoriesSeeALostKey(t *testing.T) {
	h := play(t, func(h http.Header) { h.Del("Idempotency-Key") })
	for _, p := range h.problems() {
		if strings.HasPrefix(p, "key ") {
			return
		}
	}
	t.Error("keys were lost on the way, and nobody saw it")
}
