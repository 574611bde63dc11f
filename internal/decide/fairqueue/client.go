package fairqueue

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

// Spec is what one client may do. A bound of 0 is no bound.
type ClientSpec struct {
	Name    string
	Weight  float64 // of its share; must be positive
	MaxOpen int     // requests in flight and waiting together
	Rate    float64 // requests a second, as an average: up to Burst may come at once
	Burst   float64 // at least 1 where there is a Rate
}

// Validate says which part of a spec makes no sense.
func (s ClientSpec) Validate() error {
	switch {
	case !(s.Weight > 0) || math.IsInf(s.Weight, 0):
		return fmt.Errorf("weight %v: must be positive", s.Weight)
	case s.MaxOpen < 0:
		return fmt.Errorf("open requests %d: must not be negative", s.MaxOpen)
	case !(s.Rate >= 0) || math.IsInf(s.Rate, 0):
		return fmt.Errorf("rate %v: must not be negative", s.Rate)
	case s.Rate > 0 && !(s.Burst >= 1):
		return fmt.Errorf("burst %v: must be at least 1 where there is a rate", s.Burst)
	}
	return nil
}

// Client is one client. Its bounds hold over all schedulers that it uses; its weight holds in each. Make one with
// NewClient.
type Client struct {
	spec ClientSpec
	open int // waiting and in flight

	tokens   float64 // of its rate
	tokensAt monotime.Micros

	flows map[*Scheduler]*clientFlow
}

// account is what one scheduler knows of a client.
type clientFlow struct {
	client     *Client
	tag        float64 // virtual time at which its next request starts
	queue      []*queuedRequest
	queuedCost float64 // of those waiting, in microseconds in flight
	open       int     // waiting and in flight
	heapIndex  int     // in Scheduler.backlog; -1 while nothing waits
}

// Total bounds the requests in flight and waiting together over several schedulers.
type SharedLimit struct {
	Max  int // 0 is no bound
	open int
}

// NewClient returns a new client, for schedulers of one caller.
func NewClient(spec ClientSpec) (*Client, error) {
	if err := spec.Validate(); err != nil {
		return nil, fmt.Errorf("client %q: %w", spec.Name, err)
	}
	return &Client{spec: spec, tokens: spec.Burst, flows: map[*Scheduler]*clientFlow{}}, nil
}

// Change gives a client another spec. What it has open stays open.
func (c *Client) Update(spec ClientSpec) error {
	if err := spec.Validate(); err != nil {
		return fmt.Errorf("client %q: %w", spec.Name, err)
	}
	for x, a := range c.flows {
		if a.heapIndex >= 0 {
			x.backlogWeight += spec.Weight - c.spec.Weight
		}
	}
	c.spec = spec
	c.tokens = min(c.tokens, spec.Burst)
	return nil
}

// Open returns how many of the client's requests are waiting and in flight.
func (c *Client) Counts() (waiting, inFlight int) {
	for _, a := range c.flows {
		waiting += len(a.queue)
	}
	return waiting, c.open - waiting
}
