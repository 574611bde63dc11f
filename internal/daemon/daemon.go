// Package daemon assembles the fleet daemon: listeners for the client processes of a host, one core and balancer for
// all of them, the pools of connections to endpoints, the watches at discovery, and the hot restart by the next
// process. It starts these parts, changes them as its configuration changes, and stops them in order. It makes no
// balancing decisions: the packages below decide do.
//
// A process (process.go, rollout.go) runs over all its configurations. A generation (generation.go) is the parts that
// serve by one configuration, and its lifecycle (lifecycle.go, successor.go, predecessor.go) takes it from its start to
// its end.
package daemon

import (
	"context"
	"log/slog"
	"os"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/rollout"
)

// stopAcceptDelay is how long a daemon that stops goes on accepting, for clients that have just resolved its address.
const stopAcceptDelay = 300 * time.Millisecond

// Options are the options of Run.
type Options struct {
	Config *config.Config
	Log    *slog.Logger

	Reload  <-chan os.Signal               // Read is called at each signal; nil is never
	Read    func() (*config.Config, error) // reads the configuration file again
	Prepare func(*config.Process) error    // applies the settings of the whole process; nil does nothing
	Seed    uint64                         // of random numbers; 0 is a random seed

	// Serving is called once the daemon accepts, with the address of each listener by name, and again after a new
	// generation has taken over; nil is not called.
	Serving func(addresses map[string]string)
	// Answered is called for each version of the configuration that is acknowledged or rejected; nil is not called.
	Answered func(rollout.Command)
}

// Run serves until stop ends or another process has taken over, and returns once every request is answered or handed
// over. An error means that the first configuration could not be started, or why the last generation ended.
func Run(stop context.Context, o Options) error {
	p := newProcess(stop, o)
	if err := p.assembleFirst(); err != nil {
		return err
	}
	return p.run()
}
