package secondresponses

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/upstream"
)

// PoolKind is a configuration of a pool of connections.
type PoolKind struct {
	Name      string
	configure func(o *upstream.Options)
	idleLimit float64 // of upstream.Pool.LimitIdle; 0 is no bound
}

const (
	maxConnections = 504              // of a pool without a bound of its own
	keepAlive      = 15 * time.Second // of the endpoints, as far as the pool knows
	dialTimeout    = 250 * time.Millisecond

	fewConnections = 4 // of a pool that is near its limit of open connections
	idleLimit      = 8 // of a pool with a bound on idle connections
)

// Pools are the kinds of pools that are measured: those of the two programs, and the daemon's with two bounds.
var Pools = []PoolKind{
	{Name: "sidecar", configure: configureSidecar},
	{Name: "daemon", configure: configureDaemon},
	{Name: "daemon-max-conns", configure: func(o *upstream.Options) {
		configureDaemon(o)
		o.MaxConns = fewConnections
	}},
	{Name: "daemon-limit-idle", configure: configureDaemon, idleLimit: idleLimit},
}

// configureSidecar sets what package sidecar does.
func configureSidecar(o *upstream.Options) { o.ReuseDelay = upstream.DefaultReuseDelay }

// configureDaemon sets what package daemon does.
func configureDaemon(o *upstream.Options) {
	o.ReuseDelay = upstream.DefaultReuseDelay
	o.ReuseDelayOptional = true
}

// measuredPool is a pool whose new connections are counted.
type measuredPool struct {
	*upstream.Pool
	dialsBeforeDetection, dialsAfterDetection atomic.Int64
}

// newMeasuredPool returns a pool of a kind. The caller runs Run.
func newMeasuredPool(kind PoolKind, clk clock.Clock) *measuredPool {
	p := &measuredPool{}
	o := upstream.Options{
		Clock:       clk,
		Log:         slog.New(slog.DiscardHandler),
		DialTimeout: dialTimeout,
		KeepAlive:   keepAlive,
		MaxConns:    maxConnections,
		Dial:        p.dial,
	}
	kind.configure(&o)
	p.Pool = upstream.New(o)
	if kind.idleLimit > 0 {
		p.LimitIdle("", kind.idleLimit)
	}
	return p
}

// dial opens a connection and counts it, by whether the pool has detected a second response already.
func (p *measuredPool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if p.SurplusResponses() == 0 {
		p.dialsBeforeDetection.Add(1)
	} else {
		p.dialsAfterDetection.Add(1)
	}
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
}
