// Package client is a stand-in for a client process: it asks at its own pace, whether or not answers come, over
// kept HTTP/1.1 connections, and notes what became of each request. It knows nothing of the program under test.
package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Class is a kind of request that a client makes.
type Class struct {
	Name   string
	Share  float64       // of its requests
	Method string        // GET for what is safe to repeat, else POST
	Keyed  bool          // with an Idempotency-Key
	Body   int           // bytes
	Wait   time.Duration // how long an answer is waited for
}

// Options say what a client does.
type Options struct {
	Name    string // of this client; its request ids begin with it
	Network string // "tcp" or "unix"
	Addr    string
	Tenant  string
	Classes []Class
	Rate    float64       // requests a second; the gaps between them are exponential
	Workers int           // in place of a rate: so many ask one request after another
	For     time.Duration // then it stops asking and waits for what is open
	Most    int           // requests open at once; more are not asked but counted as Skipped; 0 is no bound
	Seed    uint64
	OnDone  func(Result) `json:"-"` // called for each request when it is over, from many goroutines; may be nil
}

// Verdict is what became of a request.
type Verdict uint8

// The verdicts.
const (
	Served   Verdict = iota
	Refused          // 429 or 503
	Failed           // any other whole answer
	Lost             // no whole answer: the connection broke, or could not be had
	TimedOut         // the client gave up
	Wrong            // an answer that is another request's, or more than one
	Answered         // 4xx, in the endpoint's own words
	Verdicts         // how many there are
)

var verdicts = [Verdicts]string{"served", "refused", "failed", "lost", "timed out", "wrong", "answered"}

func (v Verdict) String() string { return verdicts[v] }

// Result is what became of one request.
type Result struct {
	ID, Key, Class string
	Verdict        Verdict
	Code           int
	Began          time.Time
	Took           time.Duration
	Err            error  `json:"-"` // for Lost and TimedOut
	Why            string // the same, for those who read it elsewhere
}

// Report sums up what became of a client's requests.
type Report struct {
	Asked, Skipped int
	By             [len(verdicts)]int
	Took           []time.Duration // of those served, sorted
	LongestGap     time.Duration   // between two answers served
}

// Quantile returns how long the served requests took at most, but for the slowest share of 1-q; 0 for none.
func (r *Report) Quantile(q float64) time.Duration {
	if len(r.Took) == 0 {
		return 0
	}
	return r.Took[min(len(r.Took)-1, int(q*float64(len(r.Took))))]
}

// Client is a client process's side of its connections.
type Client struct {
	o Options

	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	r *bufio.Reader
}

// New returns a client.
func New(o Options) *Client { return &Client{o: o} }

// Run asks until its time is over or ctx ends, waits for what is open, closes its connections and reports.
func (c *Client) Run(ctx context.Context) Report {
	var report Report
	var mu sync.Mutex
	var open sync.WaitGroup
	var lastServed time.Time
	over := func(r Result) {
		if c.o.OnDone != nil {
			c.o.OnDone(r)
		}
		mu.Lock()
		defer mu.Unlock()
		report.By[r.Verdict]++
		if r.Verdict != Served {
			return
		}
		report.Took = append(report.Took, r.Took)
		at := r.Began.Add(r.Took)
		if !lastServed.IsZero() {
			report.LongestGap = max(report.LongestGap, at.Sub(lastServed))
		}
		lastServed = at
	}
	if c.o.Workers > 0 {
		asked := c.work(ctx, over)
		c.Close()
		slices.Sort(report.Took)
		report.Asked = asked
		return report
	}
	held := make(chan struct{}, max(1, c.o.Most))
	rng := rand.New(rand.NewPCG(c.o.Seed, 7))
	next := time.Now()
	end := next.Add(c.o.For)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / c.o.Rate * float64(time.Second)))
		if next.After(end) {
			break
		}
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		report.Asked++
		if c.o.Most > 0 {
			select {
			case held <- struct{}{}:
			default:
				report.Skipped++
				continue
			}
		}
		class := c.draw(rng)
		id := fmt.Sprintf("%s-%d", c.o.Name, n)
		key := ""
		if class.Keyed {
			key = fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
		}
		open.Go(func() {
			r := c.Ask(class, id, key)
			if c.o.Most > 0 {
				<-held
			}
			over(r)
		})
	}
	open.Wait()
	c.Close()
	slices.Sort(report.Took)
	return report
}

// work has workers ask one request after another, and says how many they have asked.
func (c *Client) work(ctx context.Context, over func(Result)) int {
	var workers sync.WaitGroup
	var asked atomic.Int64
	end := time.Now().Add(c.o.For)
	for i := range c.o.Workers {
		workers.Go(func() {
			rng := rand.New(rand.NewPCG(c.o.Seed, uint64(i)))
			for time.Now().Before(end) && ctx.Err() == nil {
				class := c.draw(rng)
				key := ""
				if class.Keyed {
					key = fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
				}
				over(c.Ask(class, fmt.Sprintf("%s-%d", c.o.Name, asked.Add(1)), key))
			}
		})
	}
	workers.Wait()
	return int(asked.Load())
}

// Close closes the kept connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.Close()
	}
	c.idle = nil
}

func (c *Client) draw(rng *rand.Rand) Class {
	var sum float64
	for _, k := range c.o.Classes {
		sum += k.Share
	}
	x := rng.Float64() * sum
	for _, k := range c.o.Classes {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return c.o.Classes[len(c.o.Classes)-1]
}

// Ask makes one request. Where a kept connection turns out to have been closed before the request, it is made
// once more on a new one, as PROTOCOL has clients do.
func (c *Client) Ask(class Class, id, key string) Result {
	r := Result{ID: id, Key: key, Class: class.Name, Began: time.Now()}
	text := c.text(class, id, key)
	deadline := r.Began.Add(class.Wait)
	for {
		k, kept, err := c.get(deadline)
		if err == nil {
			var again bool
			if again, err = c.exchange(k, text, deadline, &r); again && kept {
				continue
			}
		}
		r.Took = time.Since(r.Began)
		if err != nil {
			r.Verdict, r.Err, r.Why = Lost, err, err.Error()
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				r.Verdict = TimedOut
			}
		}
		return r
	}
}

func (c *Client) text(class Class, id, key string) string {
	var b strings.Builder
	b.WriteString(class.Method + " /" + class.Name + "/x HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id +
		"\r\nX-Qos: " + class.Name + "\r\nX-Customer: " + c.o.Tenant + "\r\nX-Expires-In-Ms: " +
		strconv.FormatInt(class.Wait.Milliseconds(), 10) + "\r\n")
	if key != "" {
		b.WriteString("Idempotency-Key: " + key + "\r\n")
	}
	if class.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(class.Body) + "\r\n")
	}
	b.WriteString("\r\n")
	if class.Method != http.MethodGet {
		b.WriteString(strings.Repeat("b", class.Body))
	}
	return b.String()
}

// exchange writes a request and reads its answer; again says that the connection had been closed before.
func (c *Client) exchange(k *conn, text string, deadline time.Time, r *Result) (again bool, err error) {
	k.SetDeadline(deadline)
	if _, err := io.WriteString(k, text); err != nil {
		k.Close()
		return true, err
	}
	if _, err := k.r.Peek(1); err != nil {
		k.Close()
		return errors.Is(err, io.EOF), err
	}
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		k.Close()
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		k.Close()
		return false, err
	}
	more := k.r.Buffered() > 0 // behind the one answer
	if resp.Close || more {
		k.Close()
	} else {
		c.put(k)
	}
	r.Code = resp.StatusCode
	switch {
	case more, r.Code == http.StatusOK && !strings.HasPrefix(string(body), r.ID+" "):
		r.Verdict = Wrong
	case r.Code == http.StatusOK:
		r.Verdict = Served
	case r.Code < http.StatusInternalServerError && strings.HasPrefix(string(body), r.ID+" "):
		r.Verdict = Answered
	case r.Code == http.StatusTooManyRequests || r.Code == http.StatusServiceUnavailable:
		r.Verdict = Refused
	default:
		r.Verdict = Failed
	}
	return false, nil
}

func (c *Client) get(deadline time.Time) (k *conn, kept bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		k = c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return k, true, nil
	}
	c.mu.Unlock()
	nc, err := (&net.Dialer{Deadline: deadline}).Dial(c.o.Network, c.o.Addr)
	if err != nil {
		return nil, false, err
	}
	return &conn{Conn: nc, r: bufio.NewReader(nc)}, false, nil
}

func (c *Client) put(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
}
