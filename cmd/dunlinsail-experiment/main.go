// Command dunlinsail-experiment makes experiments with a simulated fleet: what would a change of settings, or another
// build, do to the service? It plays scenarios in simulated time with the production code's decisions, compares,
// sweeps, searches and reports.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"dunlinsail/internal/stricttoml"
)

// The exit codes.
const (
	exitOK      = iota
	exitFailed  // a claim fails, or a run could not be made
	exitUsage   // the call or a file has a mistake
	exitStopped // a signal ended the program before it was done
)

// errFailed is a check that failed and has been printed.
var errFailed = errors.New("not all holds")

// output is where results are printed. Progress and errors go to standard error.
type output struct {
	*bufio.Writer
}

type commands struct {
	Scenarios scenariosCmd `cmd:"" help:"List the scenarios that come with the program, or print one."`
	Check     checkCmd     `cmd:"" help:"Say what is wrong with scenario files."`
	Run       runCmd       `cmd:"" help:"Play a scenario and tell its figures."`
	Compare   compareCmd   `cmd:"" help:"Play two variants on the same plans, and tell which is better."`
	Faults    faultsCmd    `cmd:"" help:"Play scenarios by several real processes with faults between them, and judge what they claim."`
	Gossip    gossipCmd    `cmd:"" name:"words" help:"Play the words between instances in simulated time, and check each second of what they spend."`
	Expect    expectCmd    `cmd:"" help:"Play scenarios with the shipped settings, and judge what they claim."`
	Soak      soakCmd      `cmd:"" help:"Restart real processes under load by seeds, and check the rules."`
	Sweep     sweepCmd     `cmd:"" help:"Compare the values of one key or two."`
	Search    searchCmd    `cmd:"" help:"Look for the plan at which a variant does worst, and make it small."`
	Prove     proveCmd     `cmd:"" help:"Say how often comparisons are right, of which it is known what they ought to say."`
	Record    recordCmd    `cmd:"" help:"Access records: check, show, fit a scenario to one."`
	Real      realCmd      `cmd:"" help:"Play scenarios with real daemons on loopback, and hold the model against them."`
	Scale     scaleCmd     `cmd:"" help:"Say what runs of small and large fleets cost this computer."`
	Build     buildCmd     `cmd:"" help:"Build a dunlinsail-experiment whose decisions have other constants, to be compared with."`
	Play      playCmd      `cmd:"" hidden:"" help:"Play one run that another build asks for."`
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:])
	cancel()
	os.Exit(code)
}

// gcPercent makes garbage collections rarer: runs allocate many short-lived objects, and memory is not scarce.
const gcPercent = 400

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string) int {
	debug.SetGCPercent(gcPercent)
	var c commands
	parser, err := kong.New(
		&c,
		kong.Name("dunlinsail-experiment"),
		kong.Description("Experiments with a model of the fleet. See docs/operators/lab.md."),
		kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the commands are declared in this program
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunlinsail-experiment:", err)
		return exitUsage
	}
	o := &output{Writer: bufio.NewWriter(os.Stdout)}
	command.BindTo(ctx, (*context.Context)(nil))
	err = command.Run(o)
	if flushErr := o.Flush(); err == nil {
		err = flushErr
	}
	var mistakes stricttoml.Errors
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errFailed):
		return exitFailed
	case ctx.Err() != nil:
		fmt.Fprintln(
			os.Stderr,
			"dunlinsail-experiment: ended before it was done; "+
				"what was run is kept, and the same command goes on from it",
		)
		return exitStopped
	case errors.As(err, &mistakes):
		fmt.Fprintln(os.Stderr, "dunlinsail-experiment:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "dunlinsail-experiment:", err)
	return exitFailed
}
