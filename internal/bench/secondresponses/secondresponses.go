// Package secondresponses measures how often a pool of connections to endpoints (upstream.Pool) serves a request with
// the response to another one. HTTP/1.1 does not name the request that a response belongs to. The endpoints here send
// some of their responses twice, the second time late; a second response passes for the response to the next request
// if it arrives after that has been written. Each request has an ID, which its response repeats.
//
// A run (Run) is one cell of the table that `dunlinsail-bench second-responses` prints: one kind of pool (Pools), one
// kind of endpoint (Behavior) and one lateness. endpoint.go has the endpoints, and result.go counts and judges.
package secondresponses

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/upstream"
)

const (
	// responseTime is how long an endpoint takes for each response.
	responseTime = 3 * time.Millisecond
	// requestTimeout is the time of a request, in which it is attempted once.
	requestTimeout = time.Second
	// requestIDField is the header field with the ID of a request.
	requestIDField = "X-Trace-Id"
)

// Options configure a run.
type Options struct {
	Pool     PoolKind
	Behavior Behavior
	Lateness time.Duration // from the first to the second response to a request

	Endpoints int
	Requests  int     // at all endpoints together; the endpoints get the same number, one after the other
	Rate      float64 // requests a second, at the endpoint whose turn it is
	Gaps      Gaps    // between requests

	// SentOnce is how many responses an endpoint sends once, before it sends some twice.
	SentOnce int
	// Period is the number of responses of an endpoint of which one, drawn at random, is sent twice.
	Period int

	Seed uint64 // of the gaps between requests and of the responses that are sent twice
}

// Gaps is how the times between one request and the next are distributed.
type Gaps uint8

// The distributions of gaps.
const (
	// ExponentialGaps are drawn, as of independent clients: a pool has several connections, which rest longer.
	ExponentialGaps Gaps = iota
	// ConstantGaps are all the same: where they exceed the response time, a pool needs one connection, which it reuses
	// soon if it may.
	ConstantGaps
)

// String returns the name of a distribution.
func (g Gaps) String() string {
	if g == ConstantGaps {
		return "constant"
	}
	return "exponential"
}

// run is a run in progress.
type run struct {
	options   Options
	clock     clock.Clock
	ledger    *ledger
	endpoints []*endpoint
	targets   []core.Target
	pool      *measuredPool
	outcomes  []outcome // by request ID; each is written by its own request only
}

// Run sends all requests of a run, waits for their ends and returns the counts.
func Run(ctx context.Context, options Options) (Result, error) {
	r := &run{
		options:  options,
		clock:    clock.New(),
		ledger:   newLedger(),
		outcomes: make([]outcome, options.Requests),
	}
	if err := r.startEndpoints(); err != nil {
		return Result{}, err
	}
	r.pool = newMeasuredPool(options.Pool, r.clock)
	for _, e := range r.endpoints {
		r.targets = append(r.targets, r.pool.Target("", e.addr))
	}
	poolContext, stopPool := context.WithCancel(context.Background())
	var poolEnded sync.WaitGroup
	poolEnded.Go(func() { r.pool.Run(poolContext) })
	r.sendRequests(ctx)
	stopPool()
	poolEnded.Wait() // it has closed all connections, so that the endpoints can end
	r.stopEndpoints()
	return r.result(), ctx.Err()
}

// startEndpoints starts all endpoints.
func (r *run) startEndpoints() error {
	for position := range r.options.Endpoints {
		e, err := startEndpoint(r.options, position, r.ledger)
		if err != nil {
			r.stopEndpoints()
			return err
		}
		r.endpoints = append(r.endpoints, e)
	}
	return nil
}

// stopEndpoints stops all endpoints, whose connections are closed.
func (r *run) stopEndpoints() {
	for _, e := range r.endpoints {
		e.stop()
	}
}

// sendRequests sends the requests, and waits for their ends.
func (r *run) sendRequests(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(r.options.Lateness)))
	var open sync.WaitGroup
	defer open.Wait()
	start := time.Now()
	due := time.Duration(0)
	for id := range r.options.Requests {
		due += r.gap(rng)
		select {
		case <-time.After(due - time.Since(start)):
		case <-ctx.Done():
			return
		}
		open.Go(func() { r.outcomes[id] = r.send(ctx, id) })
	}
}

// gap returns the time from one request to the next.
func (r *run) gap(rng *rand.Rand) time.Duration {
	mean := float64(time.Second) / r.options.Rate
	if r.options.Gaps == ConstantGaps {
		return time.Duration(mean)
	}
	return time.Duration(rng.ExpFloat64() * mean)
}

// endpointOf returns the position of the endpoint that a request is sent to.
func (r *run) endpointOf(id int) int { return id * r.options.Endpoints / r.options.Requests }

// send makes one attempt of a request, without retries.
func (r *run) send(ctx context.Context, id int) outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	attempt := &core.AttemptContext{
		Target:          r.targets[r.endpointOf(id)],
		Deadline:        r.clock.Now() + clock.Micros(requestTimeout),
		ClaimSend:       func(int64) bool { return true },
		ResponseStarted: func(engine.AttemptResult) bool { return false }, // responses are small, and none is streamed
	}
	result := r.pool.Send(ctx, attempt, &upstream.Request{
		Method: http.MethodGet,
		URI:    "/look",
		Host:   "origin.svc",
		Header: http.Header{requestIDField: {strconv.Itoa(id)}},
		Policy: &responsePolicy,
	})
	response, _ := result.Response.(*upstream.Response)
	if result.Status != balancer.OK || response == nil {
		return outcome{status: result.Status}
	}
	o := outcome{status: balancer.OK}
	if _, err := fmt.Sscanf(string(response.Buffered), bodyFormat, &o.servedID, &o.servedCopy); err != nil {
		o.status = balancer.Error
	}
	return o
}

// responsePolicy has responses buffered completely.
var responsePolicy = upstream.ResponsePolicy{
	MaxBuffered:         1 << 10,
	BufferSlowResponses: true,
	IdleTimeout:         requestTimeout,
}
