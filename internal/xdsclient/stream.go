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
	responseRate      = 5   // responses read a second; flow control delays the others at the control plane
	responseBurst     = 10  // responses read at once
	maxQueuedRequests = 64  // ACKs and NACKs in the send queue
	maxNonces         = 512 // versions of one stream that wait for an ACK or NACK
)

// Names on the wire in the node's metadata of an ACK or NACK: a version and its state, for which xDS has no terms.
const (
	versionField = "version"
	stateField   = "state"

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
	sender.Go(func() { sendQueued(ctx, stream, requests) })
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

// sendQueued sends the requests of a queue until ctx ends or the stream fails, whose reason Recv returns.
func sendQueued(
	ctx context.Context,
	stream discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient,
	requests <-chan *discovery.DiscoveryRequest,
) {
	for {
		select {
		case request := <-requests:
			if stream.Send(request) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// startStream makes requests the send queue of the current stream, and returns the first request.
func (c *Client) startStream(requests chan *discovery.DiscoveryRequest) *discovery.DiscoveryRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.nonces)
	c.requests = requests
	c.responseReceived = false
	return &discovery.DiscoveryRequest{Node: c.node, TypeUrl: TypeURL, VersionInfo: c.versionInfo}
}

// endStream drops requests until the next stream starts.
func (c *Client) endStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = nil
}

// handleResponse passes on the version in a response, or rejects the response if its version_info is invalid.
func (c *Client) handleResponse(response *discovery.DiscoveryResponse) {
	update, err := decode(response)
	if err != nil {
		c.options.Log.Error("control plane response rejected", "error", err)
		c.send(&discovery.DiscoveryRequest{
			ResponseNonce: response.GetNonce(),
			ErrorDetail:   newErrorDetail(err.Error()),
		})
		return
	}
	c.mu.Lock()
	if len(c.nonces) >= maxNonces {
		clear(c.nonces) // older versions get no ACK or NACK, which the control plane expects for the newest only
	}
	c.nonces[response.GetVersionInfo()] = response.GetNonce()
	c.mu.Unlock()
	c.options.OnUpdate(*update)
}

func newErrorDetail(reason string) *status.Status {
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
	if nonce == "" { // the version arrived on an earlier stream: the current one started with what is running
		return
	}
	c.send(&discovery.DiscoveryRequest{
		ResponseNonce: nonce,
		ErrorDetail:   newErrorDetail(reason),
		Node:          c.nodeWithState(info, stateRejected),
	})
}

// nodeWithState returns the node with the state of a version in its metadata.
func (c *Client) nodeWithState(info, state string) *core.Node {
	return &core.Node{
		Id:      c.node.Id,
		Cluster: c.node.Cluster,
		Metadata: &structpb.Struct{Fields: map[string]*structpb.Value{
			versionField: structpb.NewStringValue(info),
			stateField:   structpb.NewStringValue(state),
		}},
	}
}

// send queues a request on the current stream. Without a stream, or with a full queue, it is dropped: the next stream
// starts with the version that is running, and the control plane sends its own again.
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
