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
	responseRate      = 5   // responses read per second; flow control delays further ones at the control plane
	responseBurst     = 10  // responses that may be read at once
	maxQueuedRequests = 64  // length of the send queue for ACKs and NACKs
	maxNonces         = 512 // versions of one stream whose ACK or NACK may be pending
)

// Names that are sent on the wire in the node metadata of an ACK or NACK. They state a version and its rollout
// state, which xDS itself cannot express.
const (
	versionField = "version"
	stateField   = "state"

	stateCanary    = "trial"
	stateConfirmed = "good"
	stateRejected  = "refused"
)

// runStream opens a stream, and receives responses until the stream ends. It returns the reason for the end.
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

// sendQueued sends the queued requests until ctx is done or sending fails. The reason of a failure is returned by
// Recv of the stream.
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

// startStream makes requests the send queue of the current stream, and returns the first request to send.
func (c *Client) startStream(requests chan *discovery.DiscoveryRequest) *discovery.DiscoveryRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.nonces)
	c.requests = requests
	c.responseReceived = false
	return &discovery.DiscoveryRequest{Node: c.node, TypeUrl: TypeURL, VersionInfo: c.versionInfo}
}

// endStream removes the send queue, so that requests are dropped until the next stream starts.
func (c *Client) endStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = nil
}

// handleResponse passes the version in a response to OnUpdate. It rejects the response if its type_url or
// version_info is invalid.
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
		clear(c.nonces) // the control plane expects an ACK or NACK for the newest version only
	}
	c.nonces[response.GetVersionInfo()] = response.GetNonce()
	c.mu.Unlock()
	c.options.OnUpdate(*update)
}

// newErrorDetail returns the error_detail of a NACK.
func newErrorDetail(reason string) *status.Status {
	return &status.Status{Code: int32(codes.InvalidArgument), Message: reason}
}

// Ack acknowledges a running version. confirmed states whether the version is confirmed or still on canary.
func (c *Client) Ack(id rollout.ID, confirmed bool) {
	state := stateCanary
	if confirmed {
		state = stateConfirmed
	}
	c.mu.Lock()
	versionInfo := FormatVersionInfo(id)
	c.versionInfo = versionInfo
	nonce := c.nonces[versionInfo]
	c.mu.Unlock()
	if nonce != "" {
		c.send(&discovery.DiscoveryRequest{ResponseNonce: nonce, Node: c.nodeWithState(versionInfo, state)})
	}
}

// Nack rejects a version that was not applied or was rolled back. running is the version of the control plane that
// is running instead; nil if there is none.
func (c *Client) Nack(id rollout.ID, reason string, running *rollout.ID) {
	c.mu.Lock()
	c.versionInfo = ""
	if running != nil {
		c.versionInfo = FormatVersionInfo(*running)
	}
	versionInfo := FormatVersionInfo(id)
	nonce := c.nonces[versionInfo]
	c.mu.Unlock()
	if nonce == "" { // the version was received on an earlier stream
		return
	}
	c.send(&discovery.DiscoveryRequest{
		ResponseNonce: nonce,
		ErrorDetail:   newErrorDetail(reason),
		Node:          c.nodeWithState(versionInfo, stateRejected),
	})
}

// nodeWithState returns the node with a version and its rollout state in the metadata.
func (c *Client) nodeWithState(versionInfo, state string) *core.Node {
	return &core.Node{
		Id:      c.node.Id,
		Cluster: c.node.Cluster,
		Metadata: &structpb.Struct{Fields: map[string]*structpb.Value{
			versionField: structpb.NewStringValue(versionInfo),
			stateField:   structpb.NewStringValue(state),
		}},
	}
}

// send queues a request on the current stream. The request is dropped if there is no stream or the queue is full:
// the next stream starts with the version that is running, and the control plane then sends its version again.
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
