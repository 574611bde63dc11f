package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["keyed-static"] = keyedStatic }

// cell is a set of endpoints that share which keys they have seen.
type cell struct {
	name string
	mu   sync.Mutex
	seen map[string]time.Time
}

// repeats reports whether a key was seen within the window, and records it.
func (c *cell) repeats(key string, window time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, seen := c.seen[key]
	if seen && time.Since(first) < window {
		return true
	}
	c.seen[key] = time.Now()
	return false
}

// keyedStatic has an endpoint lose answers to keyed requests that it has run.
func keyedStatic(r *run) error {
	const (
		window = 400 * time.Millisecond
		losses = 6 * time.Second // length of the disruption
	)
	var firstLoss time.Time
	var mu sync.Mutex
	effects := map[string][]string{}
	runs := 0
	// book runs a booking once for each key and cell. Every fourth answer of an unreliable endpoint is lost.
	book := func(c *cell, unreliable bool) func(id string) reply {
		return func(id string) reply {
			if !c.repeats(id, window) {
				mu.Lock()
				effects[id] = append(effects[id], c.name)
				runs++
				lose := unreliable && r.trouble && runs%4 == 0 && (firstLoss.IsZero() || time.Since(firstLoss) < losses)
				if lose && firstLoss.IsZero() {
					firstLoss = time.Now()
				}
				mu.Unlock()
				r.note("%s books %s", c.name, id)
				if lose {
					r.note("the connection breaks before the answer for %s", id)
					panic(http.ErrAbortHandler)
				}
			}
			return reply{after: 5 * time.Millisecond, status: 200, body: "booked " + id}
		}
	}
	one := &cell{name: "cell-1", seen: map[string]time.Time{}}
	two := &cell{name: "cell-2", seen: map[string]time.Time{}}
	a1, a2 := r.newEndpoint("a1", book(one, true)), r.newEndpoint("a2", book(one, true))
	b1, b2 := r.newEndpoint("b1", book(two, false)), r.newEndpoint("b2", book(two, false))
	address := freeAddress()
	config := r.write("app.toml", fmt.Sprintf(`[[listener]]
address = %q
[[pool]]
name = "agenda"
endpoints = [%q, %q, %q, %q]
[[class]]
name = "read"
repeat = "safe"
aim = "500ms"
give_up = "2s"
[[class]]
name = "write"
repeat = "unsafe"
aim = "500ms"
give_up = "2s"
[[class]]
name = "book"
repeat = "keyed"
group = "cell"
window = "400ms"
aim = "300ms"
give_up = "600ms"
[[route]]
path = "/visits"
pool = "agenda"
class = "book"
key = "header:Idempotency-Key"
id = "header:X-Trace-Id"
`, address, a1.address, a2.address, b1.address, b2.address))
	r.daemon("daemon", config)
	if err := r.awaitReady(address, 10*time.Second); err != nil {
		return err
	}
	const bookings = 300
	for n := range bookings {
		id := fmt.Sprintf("visit-%d", n)
		r.ask(address, id, http.MethodPost, "/visits", idField+id+"\r\nIdempotency-Key: "+id+"\r\n", "{}", time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, cells := range effects {
		if len(cells) > 1 {
			twice++
			r.note("%s took effect in %v", id, cells)
		}
	}
	if twice > 0 {
		return fmt.Errorf("%w: %d of %d bookings took effect twice", errBroken, twice, bookings)
	}
	return nil
}
