package fairqueue

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

// ClientSpec is the weight and the limits of a client. A limit of 0 is none.
type ClientSpec struct {
	Name    string
	Weight  float64 // of its share; must be positive
	MaxOpen int     // requests in flight and waiting together
	Rate    float64 // requests a second on average; up to Burst may come at once
	Burst   float64 // at least 1 where there is a Rate
}

// Validate returns the error of a spec that is invalid.
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

// Client is one client. Its limits hold over all schedulers that it uses, its weight in each. Make one with NewClient.
type Client struct {
	spec ClientSpec
	open int // requests waiting and in flight

	tokens   float64         // of a token bucket by spec.Rate
	tokensAt monotime.Micros // instant that tokens is of

	flows map[*Scheduler]*clientFlow
}

// clientFlow is a client's state in one scheduler.
type clientFlow struct {
	client     *Client
	tag        float64 // virtual start time of its next request
	queue      []*queuedRequest
	queuedCost float64 // of the requests in queue, in microseconds in flight
	open       int     // requests waiting and in flight
	heapIndex  int     // in Scheduler.backlog; -1 while nothing waits
}

// Before decides whose request is admitted next (indexedheap.Element): the flow with the least tag, and among equal tags
// the one with the fewest requests in flight.
func (f *clientFlow) Before(other *clientFlow) bool {
	if f.tag != other.tag {
		return f.tag < other.tag
	}
	return f.open-len(f.queue) < other.open-len(other.queue)
}

// SetHeapIndex notes the flow's index in Scheduler.backlog.
func (f *clientFlow) SetHeapIndex(index int) { f.heapIndex = index }

// SharedLimit bounds the requests in flight and waiting over several schedulers together.
type SharedLimit struct {
	Max  int // 0 is no limit
	open int
}

// NewClient returns a new client, for schedulers of one goroutine, or the error of a spec that is invalid.
func NewClient(spec ClientSpec) (*Client, error) {
	if err := spec.Validate(); err != nil {
		return nil, fmt.Errorf("client %q: %w", spec.Name, err)
	}
	return &Client{spec: spec, tokens: spec.Burst, flows: map[*Scheduler]*clientFlow{}}, nil
}

// Update gives the client another spec. Its open requests stay open. A spec that is invalid changes nothing.
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
	return waiting, c.open - waiting
}

// refill adds the tokens that the client's rate has earned until now.
func (c *Client) refill(now monotime.Micros) {
	c.tokens = min(c.spec.Burst, c.tokens+c.spec.Rate*float64(now-c.tokensAt)/float64(second))
	c.tokensAt = now
}
