// Package daemon assembles the fleet daemon: listeners for the client processes of a host, one core and balancer for
// all of them, the pool of connections to endpoints, the watch at discovery, and the takeover by the next process.
// It starts these, changes them as its configuration changes, and stops them in order. What is decided, the packages
// below it decide. process.go holds what a process is over all its configurations, run.go the course of one of them
// from its start to its end, generation.go what serves by it.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/rollout"
)

// stopAcceptDelay is how long a daemon that stops goes on accepting: clients that have just resolved its
// address still connect.
const stopAcceptDelay = 300 * time.Millisecond

// Options are what a daemon is started with.
type Options struct {
	Config *config.Config
	Log    *slog.Logger

	Reload  <-chan os.Signal               // at each, Read is called; nil is never
	Read    func() (*config.Config, error) // the file anew
	Prepare func(*config.Process) error    // sets what holds for the whole process; nil is that nothing does
	Seed    uint64                         // for random numbers; 0 is drawn

	// Serving is called once the daemon accepts, with the address that each listener has by name, and again when that
	// has changed; nil is nobody.
	Serving func(addresses map[string]string)
	// Told is called for each answer that a version of the configuration gets; nil is nobody.
	Answered func(rollout.Command)
}

// Run serves until stop ends or another process has taken over, and returns once what was taken is answered.
func Run(stop context.Context, o Options) error {
	p := newProcess(stop, o)
	if err := p.assembleFirst(); err != nil {
		return err
	}
	return p.run()
}

// errorf returns the error of a step of the start.
func errorf(format string, args ...any) error { return fmt.Errorf(format, args...) }
