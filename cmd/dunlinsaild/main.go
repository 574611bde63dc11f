// Command dunlinsaild is the fleet daemon: one instance that balances the requests of all client processes of a
// host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"dunlinsail/internal/stricttoml"
)

// Exit codes of the program.
const (
	exitOK     = iota
	exitFailed // the command failed
	exitUsage  // the arguments or a file are invalid, and nothing was started
)

// commandsHelp holds the help texts that are too long for a struct tag on one line.
var commandsHelp = kong.Vars{
	"serve_help": "Serve; take over from the process that serves now. (The default.)",
	"work_help":  "Machines that go out for work, in an order that the instances settle among themselves.",
}

// commands declares the command line of the program for the parser kong.
type commands struct {
	Serve            serveCmd      `cmd:"" default:"withargs" help:"${serve_help}"`
	Check            checkCmd      `cmd:"" help:"Say what is wrong with a file."`
	Config           configCmd     `cmd:"" help:"Versions of the configuration from a control service."`
	Members          membersCmd    `cmd:"" help:"What a daemon knows of the other instances, and what is lent to whom."`
	Work             workCmd       `cmd:"" help:"${work_help}"`
	Playground       playgroundCmd `cmd:"" help:"Show a daemon at work beside stand-ins; Ctrl-C ends it."`
	PlaygroundClient clientCmd     `cmd:"" hidden:"" help:"A part of the playground."`
}

func main() {
	// Installed before everything else, because a SIGHUP without a handler ends the program.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], reloadSignals)
	_ = cancel // not called: afterwards a SIGTERM would kill the program before it exits
	os.Exit(code)
}

// run executes the command that args name and returns the exit code.
func run(ctx context.Context, args []string, reloadSignals <-chan os.Signal) int {
	var cmds commands
	parser, err := kong.New(&cmds, kong.Name("dunlinsaild"),
		kong.Description("Balances the requests of a host's client processes. See docs/operators/daemon.md."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Vars{"user": os.Getenv("USER")}, commandsHelp, adminHelp, configHelp, workHelp)
	if err != nil {
		panic(err) // the struct tags of the commands are invalid
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "dunlinsaild: %v; dunlinsaild --help tells more\n", err)
		return exitUsage
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.Bind(reloadSignals)
	err = parsed.Run()
	var fileErr *fileError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &fileErr):
		fileErr.print()
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "dunlinsaild:", err)
	return exitFailed
}

// fileError is the error of an input file that cannot be read or is invalid.
type fileError struct {
	path string
	err  error
}

func (e *fileError) Error() string { return e.err.Error() }

// print writes the error to standard error, with one line for each mistake in the file.
func (e *fileError) print() {
	var mistakes stricttoml.Errors
	if !errors.As(e.err, &mistakes) {
		fmt.Fprintln(os.Stderr, e.err)
		return
	}
	for _, mistake := range mistakes {
		fmt.Fprintf(os.Stderr, "%s: %v\n", e.path, mistake)
	}
}
