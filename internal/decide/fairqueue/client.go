package fairqueue

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Client is one client. Its limits hold over all schedulers that it uses together, its weight in each of them. Make one
// with NewClient. It is for one goroutine at a time.
type Client struct {
	spec         ClientSpec
	openRequests int // requests waiting and in flight

	tokens   float64         // requests that the client may send now, by spec.Rate and spec.Burst
	tokensAt monotime.Micros // instant that tokens is of

	flows map[*Scheduler]*clientFlow
}

// NewClient returns a client without open requests, or an error if the spec is invalid.
func NewClient(spec ClientSpec) (*Client, error) {
	if err := spec.Validate(); err != nil {
		return nil, fmt.Errorf("client %q: %w", spec.Name, err)
	}
	return &Client{spec: spec, tokens: spec.Burst, flows: map[*Scheduler]*clientFlow{}}, nil
}

// Update gives the client another spec. Its open requests stay open. If the spec is invalid it returns an error, and
// changes nothing.
func (c *Client) Update(spec ClientSpec) error {
	if err := spec.Validate(); err != nil {
		return fmt.Errorf("client %q: %w", spec.Name, err)
	}
	for scheduler, flow := range c.flows {
		if flow.heapIndex >= 0 {
			scheduler.backlogWeight += spec.Weight - c.spec.Weight
		}
	}
	c.spec = spec
	c.tokens = min(c.tokens, spec.Burst)
	return nil
}

// Counts returns how many of the client's requests are waiting and in flight.
func (c *Client) Counts() (waiting, inFlight int) {
	for _, flow := range c.flows {
		waiting += len(flow.queue)
	}
	return waiting, c.openRequests - waiting
}

// refill adds the tokens that have come since the last call: spec.Rate a second, spec.Burst at most.
func (c *Client) refill(now monotime.Micros) {
	c.tokens = min(c.spec.Burst, c.tokens+c.spec.Rate*float64(now-c.tokensAt)/float64(second))
	c.tokensAt = now
}
