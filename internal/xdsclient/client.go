// Package xdsclient speaks to a control service, from which versions of the configuration come: the xDS transport protocol
// (https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol), state of the world, over gRPC, with resources of the
// project's own kinds. It reads what the service sends, within bounds, and says what became of it; which version is
// applied, package decide/versions decides, and whether one makes sense, package config. It knows nothing of daemons.
package xdsclient

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"golang.org/x/time/rate"
	status "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/types/known/structpb"

	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/rollout"
)

// Options are what a Client needs.
type Options struct {
	Settings     config.Control
	InstanceName string // of the instance, where Control.Node is empty
	Zone         string
	Applied      *rollout.ID // the version of the service's that runs, nil for none
	Log          *slog.Logger

	// Offer is called for each version that comes, on the client's goroutine; it may wait, and nothing more is read
	// meanwhile.
	OnUpdate func(Update)
}

// Client holds a stream to a control service, and asks for it again whenever it ends. Make one with New.
type Client struct {
	options     Options
	credentials credentials.TransportCredentials
	node        *core.Node

	mu               sync.Mutex
	versionInfo      string            // version_info of what was acknowledged last
	nonces           map[string]string // of the present stream, by version_info
	requests         chan *discovery.DiscoveryRequest
	responseReceived bool // the present stream has brought something
}

const (
	minBackoff        = 500 * time.Millisecond
	keepaliveTime     = 20 * time.Second // a service that says nothing for so long is asked whether it is there,
	keepaliveTimeout  = 5 * time.Second  // and has so long to say so
	responseRate      = 5                // versions a second that are read,
	responseBurst     = 10               // so many at once; what is beyond waits with the service
	maxQueuedRequests = 64               // answers that wait to be sent
	maxNonces         = 512              // versions of one stream that are not answered yet
)

// New returns a client, or the error of certificates that cannot be read.
func New(o Options) (*Client, error) {
	c := &Client{options: o, nonces: map[string]string{}}
	if c.options.Settings.Node == "" {
		c.options.Settings.Node = o.InstanceName
	}
	if o.Applied != nil {
		c.versionInfo = FormatVersionInfo(*o.Applied)
	}
	var err error
	if c.credentials, err = transportCredentials(&o.Settings); err != nil {
		return nil, err
	}
	c.node = &core.Node{Id: c.options.Settings.Node, Cluster: o.Settings.Cluster, UserAgentName: "dunlinsaild",
		UserAgentVersionType: &core.Node_UserAgentVersion{UserAgentVersion: buildVersion()}}
	if o.Zone != "" {
		c.node.Locality = &core.Locality{Zone: o.Zone}
	}
	return c, nil
}

// build is the version of the program, as far as it knows it.
func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

// transport returns how the connection is secured: both sides show a certificate, or neither does, on loopback.
func transportCredentials(c *config.Control) (credentials.TransportCredentials, error) {
	if c.Plaintext {
		return insecure.NewCredentials(), nil
	}
	pem, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, fmt.Errorf("control.ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("control.ca: no certificate is in %s", c.CA)
	}
	own, err := tls.LoadX509KeyPair(c.Cert, c.Key)
	if err != nil {
		return nil, fmt.Errorf("control.cert: %w", err)
	}
	name := c.ServerName
	if name == "" {
		name, _, _ = net.SplitHostPort(c.Address)
	}
	return credentials.NewTLS(&tls.Config{RootCAs: roots, Certificates: []tls.Certificate{own}, ServerName: name, MinVersion: tls.VersionTLS13}), nil
}

// Run asks for versions until ctx ends.
func (c *Client) Run(ctx context.Context) {
	n := &c.options.Settings
	conn, err := grpc.NewClient(n.Address, grpc.WithTransportCredentials(c.credentials), grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(int(n.SizeMost.Bytes)), grpc.WaitForReady(true)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 5 * time.Second,
			Backoff: backoff.Config{BaseDelay: minBackoff, Multiplier: 2, Jitter: 0.5, MaxDelay: n.RetryMost.Duration}}))
	if err != nil {
		c.options.Log.Error("no versions of the configuration will come", "error", err)
		return
	}
	defer conn.Close()
	for wait := minBackoff; ctx.Err() == nil; {
		// Spread over all of the wait, so that instances that lost the service together do not come back together.
		select {
		case <-time.After(rand.N(min(wait, n.RetryMost.Duration))):
		case <-ctx.Done():
			return
		}
		err := c.runStream(ctx, conn)
		if ctx.Err() != nil {
			return
		}
		if wait = min(2*wait, n.RetryMost.Duration); c.responseReceived {
			wait = minBackoff
		}
		c.options.Log.Warn("control service lost, asking again; what runs goes on", "service", n.Address, "within", wait, "error", err)
	}
}

// stream holds one stream until it ends.
func (c *Client) runStream(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := discovery.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	words := make(chan *discovery.DiscoveryRequest, maxQueuedRequests)
	c.mu.Lock()
	clear(c.nonces)
	c.requests, c.responseReceived = words, false
	first := &discovery.DiscoveryRequest{Node: c.node, TypeUrl: TypeURL, VersionInfo: c.versionInfo}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.requests = nil
		c.mu.Unlock()
	}()
	if err := s.Send(first); err != nil {
		return err
	}
	var sending sync.WaitGroup
	defer sending.Wait()
	defer cancel()
	sending.Go(func() {
		for {
			select {
			case w := <-words:
				if s.Send(w) != nil {
					return // Recv tells why
				}
			case <-ctx.Done():
				return
			}
		}
	})
	bound := rate.NewLimiter(responseRate, responseBurst)
	for {
		r, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return errors.New("the service ended the stream")
		}
		if err != nil {
			return err
		}
		c.responseReceived = true
		c.handleResponse(r)
		if err := bound.Wait(ctx); err != nil {
			return err
		}
	}
}

// take takes a response in.
func (c *Client) handleResponse(r *discovery.DiscoveryResponse) {
	u, err := decode(r)
	if err != nil {
		c.options.Log.Error("what the control service sent is refused", "error", err)
		c.send(&discovery.DiscoveryRequest{ResponseNonce: r.GetNonce(), ErrorDetail: errorDetail(err.Error())})
		return
	}
	c.mu.Lock()
	if len(c.nonces) >= maxNonces {
		clear(c.nonces) // answers that are still owed to old ones are not sent; the service has newer ones
	}
	c.nonces[r.GetVersionInfo()] = r.GetNonce()
	c.mu.Unlock()
	c.options.OnUpdate(*u)
}

func errorDetail(reason string) *status.Status {
	return &status.Status{Code: int32(codes.InvalidArgument), Message: reason}
}

// Ack tells the service that a version is applied, and whether for good or on trial.
func (c *Client) Ack(id rollout.ID, final bool) {
	state := "trial"
	if final {
		state = "good"
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

// Nack tells the service that a version is refused, or gone back from, and which one runs, nil for none of its own.
func (c *Client) Nack(id rollout.ID, reason string, running *rollout.ID) {
	c.mu.Lock()
	c.versionInfo = ""
	if running != nil {
		c.versionInfo = FormatVersionInfo(*running)
	}
	info := FormatVersionInfo(id)
	nonce := c.nonces[info]
	c.mu.Unlock()
	if nonce != "" { // of this stream; the next begins with what runs
		c.send(&discovery.DiscoveryRequest{ResponseNonce: nonce, ErrorDetail: errorDetail(reason), Node: c.nodeWithState(info, "refused")})
	}
}

// told is the node with how it stands with a version: xDS has no word for a version on trial.
func (c *Client) nodeWithState(info, state string) *core.Node {
	return &core.Node{Id: c.node.Id, Cluster: c.node.Cluster, Metadata: &structpb.Struct{Fields: map[string]*structpb.Value{
		"version": structpb.NewStringValue(info), "state": structpb.NewStringValue(state)}}}
}

// say sends a request on the present stream. Without one, or where too many wait, it is dropped: the next stream begins with
// what runs, and the service sends again what it wants.
func (c *Client) send(w *discovery.DiscoveryRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.TypeUrl, w.VersionInfo = TypeURL, c.versionInfo
	if c.requests == nil {
		return
	}
	select {
	case c.requests <- w:
	default:
		c.options.Log.Warn("an answer to the control service is dropped: it does not read them")
	}
}
