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

// membersCmd is the command that prints a daemon's view of its fleet: the members and the quota leases.
type membersCmd struct {
	adminFlag
	JSON bool `name:"json" help:"For programs."`
}

// Run prints a daemon's view of its fleet, as text or as the JSON that the daemon sends.
func (c *membersCmd) Run(ctx context.Context) error {
	body, err := c.call(ctx, admin.PathMembers, nil)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = fmt.Fprintf(os.Stdout, "%s\n", body)
		return err
	}
	var view daemon.View
	if err := json.Unmarshal(body, &view); err != nil {
		return err
	}
	return printMembers(os.Stdout, &view)
}

// microsToDuration converts a number of microseconds to a duration, rounded to 10 ms.
func microsToDuration(microseconds int64) time.Duration {
	return (time.Duration(microseconds) * time.Microsecond).Round(10 * time.Millisecond)
}

// printMembers prints a daemon's view of its fleet as text.
func printMembers(out io.Writer, view *daemon.View) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s sees:\n", view.Name)
	fmt.Fprintln(w, "INSTANCE\tADDRESS\tSTATE\tSINCE")
	for _, member := range view.Members {
		state := "alive"
		if !member.Alive {
			state = "gone, or not to be reached"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", member.Name, member.Address, state, member.Since.UTC().Format(time.RFC3339))
	}
	fmt.Fprintln(w)
	printQuota(w, &view.Fleet)
	return w.Flush()
}

// printQuota prints the instance's quota lease and its budgets. At the allocator it also prints the leases that
// were granted.
func printQuota(w io.Writer, fleet *coordination.View) {
	switch {
	case !fleet.Active:
		fmt.Fprintln(w, "It takes no part yet: another process has its place.")
	case fleet.Allocator == "":
		fmt.Fprintln(w, "Nobody lends, as far as it knows: it goes on with its least.")
	case fleet.LeaseRemaining == 0:
		fmt.Fprintf(w, "%s lends, and has not answered for %v: it goes on with its least.\n",
			fleet.Allocator, microsToDuration(fleet.SinceLastGrant))
	default:
		fmt.Fprintf(w, "%s lends (heard %v ago); its loan ends in %v if it is not renewed.\n",
			fleet.Allocator, microsToDuration(fleet.SinceLastGrant), microsToDuration(fleet.LeaseRemaining))
	}
	if len(fleet.Budgets) > 0 {
		fmt.Fprintln(w, "BUDGET\tIT MAY SPEND A SECOND\tSPENT IN THE LAST")
		for _, budget := range fleet.Budgets {
			fmt.Fprintf(w, "%s\t%d\t%d\n", budget.Budget, budget.Allowed, budget.Spent)
		}
	}
	if fleet.RecoveryRemaining > 0 {
		fmt.Fprintf(w, "\nIt lends since a moment: for %v only what the others show that they hold.\n",
			microsToDuration(fleet.RecoveryRemaining))
	}
	if len(fleet.Leases) > 0 {
		fmt.Fprintln(w, "\nIt has lent:")
		fmt.Fprintln(w, "TO\tBUDGET\tUNITS\tIS TO HAVE\tASKED FOR")
		for _, lease := range fleet.Leases {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f\n",
				lease.Lessee, lease.Budget, lease.Units, lease.Target, lease.Requested)
		}
	}
}
