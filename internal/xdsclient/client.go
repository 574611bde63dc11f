package xdsclient

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/rollout"
)

// Options configures a Client.
type Options struct {
	Settings     config.ControlPlane
	InstanceName string      // node ID if Settings.Node is empty
	Zone         string      // zone in the locality of the node; "" if unknown
	Applied      *rollout.ID // running version of the control plane; nil if there is none
	Log          *slog.Logger

	// OnUpdate is called for each version that is received, on the goroutine of Run. The next response is not read
	// until it returns.
	OnUpdate func(Update)
}

// Client receives versions from a control plane over a stream, which it opens again whenever it ends. It must be
// created by New. Its methods may be called concurrently.
type Client struct {
	options     Options
	credentials credentials.TransportCredentials
	node        *core.Node

	mu               sync.Mutex
	versionInfo      string                           // version_info of the running version; "" if there is none
	nonces           map[string]string                // nonces of the responses on the current stream, by version_info
	requests         chan *discovery.DiscoveryRequest // send queue of the current stream; nil if there is no stream
	responseReceived bool                             // whether the current stream has received a response
}

const (
	initialBackoff    = 500 * time.Millisecond // backoff after the first failure of a stream or connection
	backoffMultiplier = 2                      // factor by which the backoff grows with each further failure
	dialJitter        = 0.5                    // jitter of the backoff between connections, as a fraction of it
	minConnectTimeout = 5 * time.Second        // least time that a connection attempt gets before it is abandoned
	keepaliveTime     = 20 * time.Second       // time without traffic after which a ping is sent
	keepaliveTimeout  = 5 * time.Second        // time without a response to a ping after which the connection is closed
)

// userAgent is the user_agent_name of the node, which is sent to the control plane.
const userAgent = "dunlinsaild"

// New returns a client, which connects when Run is called. It returns an error if the certificates cannot be read.
func New(options Options) (*Client, error) {
	c := &Client{options: options, nonces: map[string]string{}}
	if c.options.Settings.Node == "" {
		c.options.Settings.Node = options.InstanceName
	}
	if options.Applied != nil {
		c.versionInfo = FormatVersionInfo(*options.Applied)
	}
	var err error
	if c.credentials, err = transportCredentials(&c.options.Settings); err != nil {
		return nil, err
	}
	c.node = &core.Node{
		Id:                   c.options.Settings.Node,
		Cluster:              options.Settings.Cluster,
		UserAgentName:        userAgent,
		UserAgentVersionType: &core.Node_UserAgentVersion{UserAgentVersion: buildVersion()},
	}
	if options.Zone != "" {
		c.node.Locality = &core.Locality{Zone: options.Zone}
	}
	return c, nil
}

// buildVersion returns the version of the program's main module, or "unknown".
func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

// Run keeps a stream open until ctx is done. Before each attempt to open a stream it waits for a backoff with full
// jitter.
func (c *Client) Run(ctx context.Context) {
	settings := &c.options.Settings
	conn, err := c.dial()
	if err != nil {
		c.options.Log.Error("control plane client failed to start", "error", err)
		return
	}
	defer conn.Close()
	maxBackoff := settings.MaxBackoff.Duration
	for wait := initialBackoff; ctx.Err() == nil; {
		// Full jitter spreads the reconnections of instances that lost the control plane at the same time.
		select {
		case <-time.After(rand.N(min(wait, maxBackoff))):
		case <-ctx.Done():
			return
		}
		err := c.runStream(ctx, conn)
		if ctx.Err() != nil {
			return
		}
		wait = min(backoffMultiplier*wait, maxBackoff)
		if c.responseReceived {
			wait = initialBackoff
		}
		c.options.Log.Warn("control plane stream lost", "service", settings.Address, "retry_within", wait, "error", err)
	}
}

// dial returns a gRPC connection, which is established on first use.
func (c *Client) dial() (*grpc.ClientConn, error) {
	settings := &c.options.Settings
	return grpc.NewClient(settings.Address,
		grpc.WithTransportCredentials(c.credentials),
		grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(int(settings.MaxResponseSize.Bytes)),
			grpc.WaitForReady(true),
		),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: minConnectTimeout,
			Backoff: backoff.Config{
				BaseDelay:  initialBackoff,
				Multiplier: backoffMultiplier,
				Jitter:     dialJitter,
				MaxDelay:   settings.MaxBackoff.Duration,
			},
		}),
	)
}
