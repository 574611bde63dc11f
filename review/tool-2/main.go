// Command review-2 plays the cases of the second review: each subcommand starts the project's own programs as separate
// processes beside stand-ins in this process, and checks one rule. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by the name that run.sh passes.
var cases = map[string]func(*run) error{}

// errBroken is the result of a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case, and returns the exit code.
func play(name, root, record string) (code int) {
	r, err := newRun(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		r.close()
		os.Exit(2)
	}()
	defer func() {
		if p := recover(); p != nil {
			r.note("the case could not run: %v", p)
			code = 2
		}
	}()
	r.note("case %s, trouble %v", name, r.trouble)
	switch err := cases[name](r); {
	case err == nil:
		r.note("verdict: the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.note("verdict: %v", err)
		return 1
	default:
		r.note("the case could not run: %v", err)
		return 2
	}
}
