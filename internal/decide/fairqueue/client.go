package fairqueue

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Client is a client with a weight and limits. Its limits apply to all schedulers that it uses together, its
// weight to each of them. Create it with NewClient. It must not be used by several goroutines at once.
type Client struct {
	spec         ClientSpec
	openRequests int // number of requests waiting and in flight

	tokens   float64         // number of requests that spec.Rate and spec.Burst allow now
	tokensAt monotime.Micros // instant at which tokens was computed

	flows map[*Scheduler]*clientFlow // state of the client in each scheduler
}

// NewClient returns a client without open requests, or an error if the spec is invalid.
func NewClient(spec ClientSpec) (*Client, error) {
	if err := spec.Validate(); err != nil {
		return nil, fmt.Errorf("client %q: %w", spec.Name, err)
	}
	return &Client{spec: spec, tokens: spec.Burst, flows: map[*Scheduler]*clientFlow{}}, nil
}

// Update sets the spec of the client. Its open requests stay open. If the spec is invalid, Update returns an
// error and changes nothing.
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

// Counts returns how many of the client's requests are waiting and how many are in flight, in all schedulers.
func (c *Client) Counts() (waiting, inFlight int) {
	for _, flow := range c.flows {
		waiting += len(flow.queue)
	}
	return waiting, c.openRequests - waiting
}

// refill adds the tokens for the time since the last call: spec.Rate per second, up to a total of spec.Burst.
func (c *Client) refill(now monotime.Micros) {
	c.tokens = min(c.spec.Burst, c.tokens+c.spec.Rate*float64(now-c.tokensAt)/float64(second))
	c.tokensAt = now
}
