// Package daemon assembles the fleet daemon: the listeners for the client processes of a host, one core and one
// balancer for all of these processes, the pools of connections to endpoints, the discovery watches, and the
// hot restart by which the next process takes over. It starts these parts, changes them when the configuration
// changes, and stops them in order. It makes no balancing decisions: the packages under internal/decide make
// them.
//
// A process (process.go, rollout.go) lasts for all configurations that the daemon runs with. A generation
// (generation.go) holds the parts that serve with one configuration. The lifecycle of a generation
// (lifecycle.go, successor.go, predecessor.go) starts it, lets it take over and hand over, and ends it.
package daemon

import (
	"context"
	"log/slog"
	"os"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/rollout"
	"dunlinsail/internal/timesharing"
)

// stopAcceptDelay is how long a stopping daemon continues to accept connections, for clients that resolved its
// address just before.
const stopAcceptDelay = 300 * time.Millisecond

// Options holds the initial configuration of the daemon and the callbacks of its caller.
type Options struct {
	Config *config.Config
	Log    *slog.Logger

	Reload               <-chan os.Signal               // each signal reads the file again; nil disables this
	ReadConfig           func() (*config.Config, error) // reads the configuration file again
	ApplyProcessSettings func(*config.Process) error    // applies process-wide settings such as limits; nil skips them
	Seed                 uint64                         // seed of the random numbers; 0 selects a random seed

	// OnServing is called with the address of each listener, by listener name, once the daemon accepts
	// connections, and again whenever a new generation has taken over. It may be nil.
	OnServing func(addresses map[string]string)
	// OnVersionDecided is called for each version of the configuration that is acknowledged or rejected. It may be nil.
	OnVersionDecided func(rollout.Command)

	processors *timesharing.Processors // shared by all generations of the process
}

// Run serves until stop is canceled or another process has taken over. It returns once every request has its
// final response or its connection has been handed over. It returns an error if the first configuration could
// not be started or if the last generation ended with an error.
func Run(stop context.Context, o Options) error {
	p := newProcess(stop, o)
	if err := p.assembleFirst(); err != nil {
		return err
	}
	return p.run()
}
