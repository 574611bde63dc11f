package engine

import "dunlinsail/internal/decide/fairqueue"

// Client is a source of requests. Its requests share one account of the fair queue, and the IDs of its open
// requests must be distinct. A client belongs to one engine, and is not safe for concurrent use.
type Client struct {
	name      string
	account   *fairqueue.Client
	openCalls map[string]*Call // by the request ID that the client chose; maintained by the engine
}

// NewClient returns a client, or an error if the spec is invalid.
func NewClient(spec fairqueue.ClientSpec) (*Client, error) {
	account, err := fairqueue.NewClient(spec)
	if err != nil {
		return nil, err
	}
	return &Client{name: spec.Name, account: account, openCalls: map[string]*Call{}}, nil
}

// OpenCalls returns the number of the client's calls in the request table.
func (c *Client) OpenCalls() int { return len(c.openCalls) }

// SetSpec changes the client's spec, or returns an error if the new spec is invalid. Open requests are not
// affected.
func (c *Client) SetSpec(spec fairqueue.ClientSpec) error { return c.account.Update(spec) }
