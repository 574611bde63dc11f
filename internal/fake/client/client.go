// Package client is a fake client process for tests and benchmarks: it sends requests at a fixed rate, whether or not
// responses arrive (an open loop), or from workers one after another (a closed loop), over persistent HTTP/1.1
// connections, and records how each request ended. It must not import the program under test.
package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Class is a kind of request that a client sends.
type Class struct {
	Name               string
	Share              float64 // of the client's requests, relative to the other classes
	Method             string  // GET for an idempotent class, else POST
	SendIdempotencyKey bool
	BodySize           int // bytes; ignored for GET
	Timeout            time.Duration
}

// Options configure a client.
type Options struct {
	Name    string // prefix of its request ids
	Network string // "tcp" or "unix"
	Addr    string
	Tenant  string
	Classes []Class
	Rate    float64 // requests a second, with exponential gaps; ignored with Workers
	Workers int     // when positive, this many goroutines send requests one after another
	// Duration is how long new requests are sent; those then open are waited for.
	Duration time.Duration
	// MaxOpen bounds the open requests; one that is due beyond it is counted as Skipped. 0 is no bound.
	MaxOpen int
	Seed    uint64
	// Grace is how long after its timeout a response is still waited for.
	Grace time.Duration
	// ResendAfterReset has a request sent again whose reused connection is reset right after it, as if the connection
	// had ended: it crossed the server's close. A test that sets it has to check that no request ran twice.
	ResendAfterReset bool
	// Dial opens a connection; nil is that of package net.
	Dial func(deadline time.Time) (net.Conn, error) `json:"-"`
	// OnDone is called with each finished request, concurrently; may be nil.
	OnDone func(Result) `json:"-"`
}

// arrivalStream is the second part of the seed of the arrivals' random stream.
const arrivalStream = 7

// Client is a client process's side of its connections. It is safe for concurrent use.
type Client struct {
	options Options

	mu        sync.Mutex
	idleConns []*conn
}

// New returns a client.
func New(options Options) *Client { return &Client{options: options} }

// Run sends requests until the duration has passed or ctx ends, waits for the open ones, closes the idle connections
// and returns a report.
func (c *Client) Run(ctx context.Context) Report {
	var report Report
	var mu sync.Mutex
	onDone := func(result Result) {
		if c.options.OnDone != nil {
			c.options.OnDone(result)
		}
		mu.Lock()
		defer mu.Unlock()
		report.add(result)
	}
	var scheduled, skipped int
	if c.options.Workers > 0 {
		scheduled = c.runWorkers(ctx, onDone)
	} else {
		scheduled, skipped = c.runArrivals(ctx, onDone)
	}
	c.Close()
	report.Scheduled = scheduled
	report.Skipped = skipped
	report.sort()
	return report
}

// runArrivals sends requests at the rate, and returns how many were due and how many of these were skipped.
func (c *Client) runArrivals(ctx context.Context, onDone func(Result)) (scheduled, skipped int) {
	var open sync.WaitGroup
	defer open.Wait()
	slots := make(chan struct{}, max(1, c.options.MaxOpen))
	rng := rand.New(rand.NewPCG(c.options.Seed, arrivalStream))
	next := time.Now()
	end := next.Add(c.options.Duration)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / c.options.Rate * float64(time.Second)))
		if next.After(end) {
			return scheduled, skipped
		}
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return scheduled, skipped
		}
		scheduled++
		if c.options.MaxOpen > 0 {
			select {
			case slots <- struct{}{}:
			default:
				skipped++
				continue
			}
		}
		class := c.drawClass(rng)
		id := fmt.Sprintf("%s-%d", c.options.Name, n)
		key := drawKey(class, rng)
		open.Go(func() {
			result := c.Send(class, id, key)
			if c.options.MaxOpen > 0 {
				<-slots
			}
			onDone(result)
		})
	}
}

// runWorkers sends requests from workers, each one after another, and returns how many were sent.
func (c *Client) runWorkers(ctx context.Context, onDone func(Result)) int {
	var workers sync.WaitGroup
	var sent atomic.Int64
	end := time.Now().Add(c.options.Duration)
	for i := range c.options.Workers {
		workers.Go(func() {
			rng := rand.New(rand.NewPCG(c.options.Seed, uint64(i)))
			for time.Now().Before(end) && ctx.Err() == nil {
				class := c.drawClass(rng)
				key := drawKey(class, rng)
				id := fmt.Sprintf("%s-%d", c.options.Name, sent.Add(1))
				onDone(c.Send(class, id, key))
			}
		})
	}
	workers.Wait()
	return int(sent.Load())
}

// drawClass draws a class by the classes' shares.
func (c *Client) drawClass(rng *rand.Rand) Class {
	var sum float64
	for _, class := range c.options.Classes {
		sum += class.Share
	}
	x := rng.Float64() * sum
	for _, class := range c.options.Classes {
		if x -= class.Share; x < 0 {
			return class
		}
	}
	return c.options.Classes[len(c.options.Classes)-1]
}

// drawKey draws an idempotency key, or returns "" for a class without keys.
func drawKey(class Class, rng *rand.Rand) string {
	if !class.SendIdempotencyKey {
		return ""
	}
	return fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
}

// Send sends one request and waits for its end. When a reused connection turns out to have been closed before the
// request, the request is sent again on another one, as PROTOCOL requires of clients.
func (c *Client) Send(class Class, id, key string) Result {
	result := Result{ID: id, Key: key, Class: class.Name, StartedAt: time.Now()}
	request := c.requestText(class, id, key)
	deadline := result.StartedAt.Add(class.Timeout + c.options.Grace)
	for {
		connection, err := c.getConn(deadline)
		if err == nil {
			reused := connection.reused
			var stale bool
			stale, err = c.exchange(connection, request, deadline, &result)
			if stale && reused {
				continue
			}
		}
		result.Latency = time.Since(result.StartedAt)
		if err != nil {
			result.fail(err)
		}
		return result
	}
}

// requestText returns a request as it is written to the connection.
func (c *Client) requestText(class Class, id, key string) string {
	var b strings.Builder
	b.WriteString(class.Method + " /" + class.Name + "/x HTTP/1.1\r\nHost: origin.svc\r\n")
	b.WriteString("X-Trace-Id: " + id + "\r\nX-Qos: " + class.Name + "\r\nX-Customer: " + c.options.Tenant + "\r\n")
	b.WriteString("X-Expires-In-Ms: " + strconv.FormatInt(class.Timeout.Milliseconds(), 10) + "\r\n")
	if key != "" {
		b.WriteString("Idempotency-Key: " + key + "\r\n")
	}
	if class.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(class.BodySize) + "\r\n")
	}
	b.WriteString("\r\n")
	if class.Method != http.MethodGet {
		b.WriteString(strings.Repeat("b", class.BodySize))
	}
	return b.String()
}
