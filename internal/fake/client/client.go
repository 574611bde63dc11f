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
	Name               string
	Share              float64       // of its requests
	Method             string        // GET for what is safe to repeat, else POST
	SendIdempotencyKey bool          // with an Idempotency-Key
	BodySize           int           // bytes
	Timeout            time.Duration // how long an answer is waited for
}

// Options say what a client does.
type Options struct {
	Name     string // of this client; its request ids begin with it
	Network  string // "tcp" or "unix"
	Addr     string
	Tenant   string
	Classes  []Class
	Rate     float64       // requests a second; the gaps between them are exponential
	Workers  int           // in place of a rate: so many ask one request after another
	Duration time.Duration // then it stops asking and waits for what is open
	MaxOpen  int           // requests open at once; more are not asked but counted as Skipped; 0 is no bound
	Seed     uint64
	OnDone   func(Result) `json:"-"` // called for each request when it is over, from many goroutines; may be nil
}

// Verdict is what became of a request.
type Verdict uint8

// The verdicts.
const (
	Served         Verdict = iota
	Rejected               // 429 or 503
	Failed                 // any other whole answer
	ConnectionLost         // no whole answer: the connection broke, or could not be had
	TimedOut               // the client gave up
	WrongResponse          // an answer that is another request's, or more than one
	ClientError            // 4xx, in the endpoint's own words
	VerdictCount           // how many there are
)

var verdictNames = [VerdictCount]string{"served", "refused", "failed", "lost", "timed out", "wrong", "answered"}

func (v Verdict) String() string { return verdictNames[v] }

// Result is what became of one request.
type Result struct {
	ID, Key, Class string
	Verdict        Verdict
	Status         int
	StartedAt      time.Time
	Latency        time.Duration
	Err            error  `json:"-"` // for Lost and TimedOut
	ErrorText      string // the same, for those who read it elsewhere
}

// Report sums up what became of a client's requests.
type Report struct {
	Scheduled, Skipped int
	ByVerdict          [len(verdictNames)]int
	Latencies          []time.Duration // of those served, sorted
	LongestGap         time.Duration   // between two answers served
}

// Quantile returns how long the served requests took at most, but for the slowest share of 1-q; 0 for none.
func (r *Report) Quantile(q float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(len(r.Latencies)-1, int(q*float64(len(r.Latencies))))]
}

// Client is a client process's side of its connections.
type Client struct {
	options Options

	mu        sync.Mutex
	idleConns []*conn
}

type conn struct {
	net.Conn
	reader *bufio.Reader
}

// New returns a client.
func New(options Options) *Client { return &Client{options: options} }

// Run asks until its time is over or ctx ends, waits for what is open, closes its connections and reports.
func (c *Client) Run(ctx context.Context) Report {
	var report Report
	var mu sync.Mutex
	var open sync.WaitGroup
	var lastServed time.Time
	over := func(r Result) {
		if c.options.OnDone != nil {
			c.options.OnDone(r)
		}
		mu.Lock()
		defer mu.Unlock()
		report.ByVerdict[r.Verdict]++
		if r.Verdict != Served {
			return
		}
		report.Latencies = append(report.Latencies, r.Latency)
		at := r.StartedAt.Add(r.Latency)
		if !lastServed.IsZero() {
			report.LongestGap = max(report.LongestGap, at.Sub(lastServed))
		}
		lastServed = at
	}
	if c.options.Workers > 0 {
		asked := c.runWorkers(ctx, over)
		c.Close()
		slices.Sort(report.Latencies)
		report.Scheduled = asked
		return report
	}
	held := make(chan struct{}, max(1, c.options.MaxOpen))
	rng := rand.New(rand.NewPCG(c.options.Seed, 7))
	next := time.Now()
	end := next.Add(c.options.Duration)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / c.options.Rate * float64(time.Second)))
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
		report.Scheduled++
		if c.options.MaxOpen > 0 {
			select {
			case held <- struct{}{}:
			default:
				report.Skipped++
				continue
			}
		}
		class := c.drawClass(rng)
		id := fmt.Sprintf("%s-%d", c.options.Name, n)
		key := ""
		if class.SendIdempotencyKey {
			key = fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
		}
		open.Go(func() {
			r := c.Send(class, id, key)
			if c.options.MaxOpen > 0 {
				<-held
			}
			over(r)
		})
	}
	open.Wait()
	c.Close()
	slices.Sort(report.Latencies)
	return report
}

// work has workers ask one request after another, and says how many they have asked.
func (c *Client) runWorkers(ctx context.Context, over func(Result)) int {
	var workers sync.WaitGroup
	var asked atomic.Int64
	end := time.Now().Add(c.options.Duration)
	for i := range c.options.Workers {
		workers.Go(func() {
			rng := rand.New(rand.NewPCG(c.options.Seed, uint64(i)))
			for time.Now().Before(end) && ctx.Err() == nil {
				class := c.drawClass(rng)
				key := ""
				if class.SendIdempotencyKey {
					key = fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
				}
				over(c.Send(class, fmt.Sprintf("%s-%d", c.options.Name, asked.Add(1)), key))
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
	for _, k := range c.idleConns {
		k.Close()
	}
	c.idleConns = nil
}

func (c *Client) drawClass(rng *rand.Rand) Class {
	var sum float64
	for _, k := range c.options.Classes {
		sum += k.Share
	}
	x := rng.Float64() * sum
	for _, k := range c.options.Classes {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return c.options.Classes[len(c.options.Classes)-1]
}

// Send makes one request. Where a kept connection turns out to have been closed before the request, it is made
// once more on a new one, as PROTOCOL has clients do.
func (c *Client) Send(class Class, id, key string) Result {
	r := Result{ID: id, Key: key, Class: class.Name, StartedAt: time.Now()}
	text := c.requestText(class, id, key)
	deadline := r.StartedAt.Add(class.Timeout)
	for {
		k, kept, err := c.getConn(deadline)
		if err == nil {
			var again bool
			if again, err = c.exchange(k, text, deadline, &r); again && kept {
				continue
			}
		}
		r.Latency = time.Since(r.StartedAt)
		if err != nil {
			r.Verdict, r.Err, r.ErrorText = ConnectionLost, err, err.Error()
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				r.Verdict = TimedOut
			}
		}
		return r
	}
}

func (c *Client) requestText(class Class, id, key string) string {
	var b strings.Builder
	b.WriteString(class.Method + " /" + class.Name + "/x HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id +
		"\r\nX-Qos: " + class.Name + "\r\nX-Customer: " + c.options.Tenant + "\r\nX-Expires-In-Ms: " +
		strconv.FormatInt(class.Timeout.Milliseconds(), 10) + "\r\n")
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

// exchange writes a request and reads its answer; again says that the connection had been closed before.
func (c *Client) exchange(connection *conn, text string, deadline time.Time, result *Result) (again bool, err error) {
	connection.SetDeadline(deadline)
	if _, err := io.WriteString(connection, text); err != nil {
		connection.Close()
		return true, err
	}
	if _, err := connection.reader.Peek(1); err != nil {
		connection.Close()
		return errors.Is(err, io.EOF), err
	}
	resp, err := http.ReadResponse(connection.reader, nil)
	if err != nil {
		connection.Close()
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		connection.Close()
		return false, err
	}
	more := connection.reader.Buffered() > 0 // behind the one answer
	if resp.Close || more {
		connection.Close()
	} else {
		c.putConn(connection)
	}
	result.Status = resp.StatusCode
	switch {
	case more, result.Status == http.StatusOK && !strings.HasPrefix(string(body), result.ID+" "):
		result.Verdict = WrongResponse
	case result.Status == http.StatusOK:
		result.Verdict = Served
	case result.Status < http.StatusInternalServerError && strings.HasPrefix(string(body), result.ID+" "):
		result.Verdict = ClientError
	case result.Status == http.StatusTooManyRequests || result.Status == http.StatusServiceUnavailable:
		result.Verdict = Rejected
	default:
		result.Verdict = Failed
	}
	return false, nil
}

func (c *Client) getConn(deadline time.Time) (k *conn, kept bool, err error) {
	c.mu.Lock()
	if n := len(c.idleConns); n > 0 {
		k = c.idleConns[n-1]
		c.idleConns = c.idleConns[:n-1]
		c.mu.Unlock()
		return k, true, nil
	}
	c.mu.Unlock()
	nc, err := (&net.Dialer{Deadline: deadline}).Dial(c.options.Network, c.options.Addr)
	if err != nil {
		return nil, false, err
	}
	return &conn{Conn: nc, reader: bufio.NewReader(nc)}, false, nil
}

func (c *Client) putConn(connection *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns = append(c.idleConns, connection)
}
