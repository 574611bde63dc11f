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

// Options configure a Client.
type Options struct {
	Settings     config.ControlPlane
	InstanceName string      // the node ID where Settings.Node is empty
	Zone         string      // of the node's locality; "" is none
	Applied      *rollout.ID // version of the control plane that is running, nil for none
	Log          *slog.Logger

	// OnUpdate is called for each version that arrives, on the goroutine of Run. No more responses are read until it
	// returns.
	OnUpdate func(Update)
}

// Client holds a stream to a control plane, and opens another one whenever it ends. New makes one. Its methods may be
// called concurrently.
type Client struct {
	options     Options
	credentials credentials.TransportCredentials
	node        *core.Node

	mu               sync.Mutex
	versionInfo      string                           // of the version that is running; "" is none
	nonces           map[string]string                // of the current stream, by version_info
	requests         chan *discovery.DiscoveryRequest // send queue of the current stream; nil without one
	responseReceived bool                             // on the current stream
}

const (
	initialBackoff    = 500 * time.Millisecond // after the first failure of a stream or connection
	backoffMultiplier = 2                      // by which the backoff grows with each failure
	dialJitter        = 0.5                    // of the backoff between connections, as a fraction of it
	minConnectTimeout = 5 * time.Second        // for a connection to open
	keepaliveTime     = 20 * time.Second       // without traffic, after which a ping is sent
	keepaliveTimeout  = 5 * time.Second        // for the response to a ping, after which the connection is closed
)

// userAgent is the user_agent_name of the node. It is on the wire.
const userAgent = "dunlinsaild"

// New returns a client that connects in Run. It fails if the certificates cannot be read.
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

// buildVersion returns the version of the program's main module.
func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

// Run holds a stream until ctx ends. Between streams it waits for a backoff with full jitter.
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
		// Full jitter: instances that lost the control plane at the same time do not reconnect at the same time.
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

// dial returns a connection that connects when it is used.
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
