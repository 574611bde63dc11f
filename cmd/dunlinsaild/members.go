package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"dunlinsail/internal/admin"
	"dunlinsail/internal/daemon"
	"dunlinsail/internal/decide/coordination"
)

type membersCmd struct {
	adminFlag
	JSON bool `name:"json" help:"For programs."`
}

// Run prints a daemon's view of its fleet.
func (c *membersCmd) Run(stop context.Context) error {
	text, err := c.call(stop, admin.PathMembers, nil)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = fmt.Fprintf(os.Stdout, "%s\n", text)
		return err
	}
	var v daemon.View
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	return printMembers(os.Stdout, &v)
}

// micros returns a number of microseconds as a duration, rounded to 10 ms.
func micros(v int64) time.Duration {
	return (time.Duration(v) * time.Microsecond).Round(10 * time.Millisecond)
}

// printMembers prints a daemon's view of its fleet for people.
func printMembers(out io.Writer, v *daemon.View) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s sees:\n", v.Name)
	fmt.Fprintln(w, "INSTANCE\tADDRESS\tSTATE\tSINCE")
	for _, m := range v.Members {
		state := "alive"
		if !m.Alive {
			state = "gone, or not to be reached"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.Name, m.Address, state, m.Since.UTC().Format(time.RFC3339))
	}
	fmt.Fprintln(w)
	printQuota(w, &v.Fleet)
	return w.Flush()
}

// printQuota prints the instance's quota lease and budgets and, at the allocator, the leases that it has granted.
func printQuota(w io.Writer, f *coordination.View) {
	switch {
	case !f.Active:
		fmt.Fprintln(w, "It takes no part yet: another process has its place.")
	case f.Allocator == "":
		fmt.Fprintln(w, "Nobody lends, as far as it knows: it goes on with its least.")
	case f.LeaseRemaining == 0:
		fmt.Fprintf(w, "%s lends, and has not answered for %v: it goes on with its least.\n",
			f.Allocator, micros(f.SinceLastGrant))
	default:
		fmt.Fprintf(w, "%s lends (heard %v ago); its loan ends in %v if it is not renewed.\n",
			f.Allocator, micros(f.SinceLastGrant), micros(f.LeaseRemaining))
	}
	if len(f.Budgets) > 0 {
		fmt.Fprintln(w, "BUDGET\tIT MAY SPEND A SECOND\tSPENT IN THE LAST")
		for _, s := range f.Budgets {
			fmt.Fprintf(w, "%s\t%d\t%d\n", s.Budget, s.Allowed, s.Spent)
		}
	}
	if f.RecoveryRemaining > 0 {
		fmt.Fprintf(w, "\nIt lends since a moment: for %v only what the others show that they hold.\n",
			micros(f.RecoveryRemaining))
	}
	if len(f.Leases) > 0 {
		fmt.Fprintln(w, "\nIt has lent:")
		fmt.Fprintln(w, "TO\tBUDGET\tUNITS\tIS TO HAVE\tASKED FOR")
		for _, l := range f.Leases {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f\n", l.Lessee, l.Budget, l.Units, l.Target, l.Requested)
		}
	}
}
