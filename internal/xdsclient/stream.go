package xdsclient

import (
	"context"
	"errors"
	"io"
	"sync"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"golang.org/x/time/rate"
	status "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/types/known/structpb"

	"dunlinsail/internal/decide/rollout"
)

const (
	responseRate      = 5   // responses a second that are read; the others wait at the control plane
	responseBurst     = 10  // responses at once
	maxQueuedRequests = 64  // ACKs and NACKs that wait to be sent
	maxNonces         = 512 // versions of one stream without an answer
)

// The states that the node's metadata tell with an ACK or NACK: xDS has no term for a version on canary. They are on
// the wire: they stay as they are.
const (
	stateCanary    = "trial"
	stateConfirmed = "good"
	stateRejected  = "refused"
)

// runStream holds one stream until it ends.
func (c *Client) runStream(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := discovery.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	requests := make(chan *discovery.DiscoveryRequest, maxQueuedRequests)
	first := c.startStream(requests)
	defer c.endStream()
	if err := stream.Send(first); err != nil {
		return err
	}
	var sender sync.WaitGroup
	defer sender.Wait()
	defer cancel()
	sender.Go(func() {
		for {
			select {
			case request := <-requests:
				if stream.Send(request) != nil {
					return // Recv returns the reason
				}
			case <-ctx.Done():
				return
			}
		}
	})
	limiter := rate.NewLimiter(responseRate, responseBurst)
	for {
		response, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return errors.New("the control plane ended the stream")
		}
		if err != nil {
			return err
		}
		c.responseReceived = true
		c.handleResponse(response)
		if err := limiter.Wait(ctx); err != nil {
			return err
		}
	}
}

// startStream makes requests those of the present stream, and returns the first one.
func (c *Client) startStream(requests chan *discovery.DiscoveryRequest) *discovery.DiscoveryRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.nonces)
	c.requests = requests
	c.responseReceived = false
	return &discovery.DiscoveryRequest{Node: c.node, TypeUrl: TypeURL, VersionInfo: c.versionInfo}
}

func (c *Client) endStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = nil
}

// handleResponse passes a response on, or rejects it if its version cannot be read.
func (c *Client) handleResponse(response *discovery.DiscoveryResponse) {
	update, err := decode(response)
	if err != nil {
		c.options.Log.Error("control plane response rejected", "error", err)
		c.send(&discovery.DiscoveryRequest{
			ResponseNonce: response.GetNonce(),
			ErrorDetail:   errorDetail(err.Error()),
		})
		return
	}
	c.mu.Lock()
	if len(c.nonces) >= maxNonces {
		clear(c.nonces) // old versions stay without an answer: the control plane has sent newer ones
	}
	c.nonces[response.GetVersionInfo()] = response.GetNonce()
	c.mu.Unlock()
	c.options.OnUpdate(*update)
}

func errorDetail(reason string) *status.Status {
	return &status.Status{Code: int32(codes.InvalidArgument), Message: reason}
}

// Ack acknowledges a version that is running: confirmed, or on canary.
func (c *Client) Ack(id rollout.ID, confirmed bool) {
	state := stateCanary
	if confirmed {
		state = stateConfirmed
	}
	c.mu.Lock()
	info := FormatVersionInfo(id)
	c.versionInfo = info
	nonce := c.nonces[info]
	c.mu.Unlock()
	if nonce != "" {
		c.send(&discovery.DiscoveryRequest{ResponseNonce: nonce, Node: c.nodeWithState(info, state)})
	}
}

// Nack rejects a version, before it was applied or after it was rolled back. running is the version of the control
// plane that runs instead, nil for none.
func (c *Client) Nack(id rollout.ID, reason string, running *rollout.ID) {
	c.mu.Lock()
	c.versionInfo = ""
	if running != nil {
		c.versionInfo = FormatVersionInfo(*running)
	}
	info := FormatVersionInfo(id)
	nonce := c.nonces[info]
	c.mu.Unlock()
	if nonce == "" { // the version came on an earlier stream: the present one has told what runs
		return
	}
	c.send(&discovery.DiscoveryRequest{
		ResponseNonce: nonce,
		ErrorDetail:   errorDetail(reason),
		Node:          c.nodeWithState(info, stateRejected),
	})
}

// nodeWithState returns the node with the state of a version in its metadata.
func (c *Client) nodeWithState(info, state string) *core.Node {
	return &core.Node{
		Id:      c.node.Id,
		Cluster: c.node.Cluster,
		Metadata: &structpb.Struct{Fields: map[string]*structpb.Value{
			"version": structpb.NewStringValue(info),
			"state":   structpb.NewStringValue(state),
		}},
	}
}

// send queues a request on the present stream. Without a stream, or with a full queue, it is dropped: the next stream
// begins with what runs, and the control plane sends its version again.
func (c *Client) send(request *discovery.DiscoveryRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.TypeUrl = TypeURL
	request.VersionInfo = c.versionInfo
	if c.requests == nil {
		return
	}
	select {
	case c.requests <- request:
	default:
		c.options.Log.Warn("control plane request dropped", "reason", "the send queue is full")
	}
}
