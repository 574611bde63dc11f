package engine

import (
	"dunlinsail/internal/decide/fairqueue"
)

// Client is whose requests are shared out together, and whose ids must differ while they are open. It belongs to its
// engine.
type Client struct {
	account   *fairqueue.Client
	openCalls map[string]*Call // owned by the engine
}

// NewClient returns a client, or the error of a spec that makes no sense.
func NewClient(s fairqueue.ClientSpec) (*Client, error) {
	account, err := fairqueue.NewClient(s)
	if err != nil {
		return nil, err
	}
	return &Client{account: account, openCalls: map[string]*Call{}}, nil
}

// Open returns how many of the client's calls are not forgotten yet.
func (c *Client) OpenCalls() int { return len(c.openCalls) }

// Change gives a client another spec, or returns the error of one that makes no sense; what it has open stays open.
func (c *Client) SetSpec(s fairqueue.ClientSpec) error { return c.account.Update(s) }
