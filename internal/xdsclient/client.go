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

	// OnUpdate is called for each version that arrives, on the client's goroutine. Until it returns nothing more is
	// read.
	OnUpdate func(Update)
}

// Client holds a stream to a control plane, and opens another one whenever it ends. Make one with New. Its methods
// may be called from any goroutine.
type Client struct {
	options     Options
	credentials credentials.TransportCredentials
	node        *core.Node

	mu               sync.Mutex
	versionInfo      string                           // of the version that is running; "" is none
	nonces           map[string]string                // of the present stream, by version_info
	requests         chan *discovery.DiscoveryRequest // to send on the present stream; nil without one
	responseReceived bool                             // on the present stream
}

const (
	minBackoff        = 500 * time.Millisecond // after a stream has ended
	backoffMultiplier = 2
	dialJitter        = 0.5
	minConnectTimeout = 5 * time.Second
	keepaliveTime     = 20 * time.Second // without traffic a ping is sent,
	keepaliveTimeout  = 5 * time.Second  // and must be answered within this
)

// userAgent is the user_agent_name of the node.
const userAgent = "dunlinsaild"

// New returns a client that does nothing until Run, or the error of certificates that cannot be read.
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

// Run holds a stream until ctx ends. Between streams it waits a backoff with full jitter.
func (c *Client) Run(ctx context.Context) {
	settings := &c.options.Settings
	conn, err := c.dial()
	if err != nil {
		c.options.Log.Error("control plane client failed to start", "error", err)
		return
	}
	defer conn.Close()
	maxBackoff := settings.MaxBackoff.Duration
	for wait := minBackoff; ctx.Err() == nil; {
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
			wait = minBackoff
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
				BaseDelay:  minBackoff,
				Multiplier: backoffMultiplier,
				Jitter:     dialJitter,
				MaxDelay:   settings.MaxBackoff.Duration,
			},
		}),
	)
}
