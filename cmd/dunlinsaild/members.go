package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/daemon"
)

type membersCmd struct {
	Config string `help:"The daemon's file; it is asked at operators.address." placeholder:"FILE" xor:"where" required:""`
	At     string `help:"Or where it is asked." placeholder:"HOST:PORT" xor:"where" required:""`
	JSON   bool   `name:"json" help:"For programs."`
}

// askFor bounds a call to a daemon.
const askFor = 3 * time.Second

// Run tells what a daemon knows of its fleet.
func (c *membersCmd) Run(stop context.Context) error {
	at := c.At
	if c.Config != "" {
		conf, err := config.Read(c.Config)
		if err != nil {
			return &mistakesIn{c.Config, err}
		}
		if at = conf.Operators.Address; at == "" {
			return errors.New("operators.address is not set in that file: nobody can be asked")
		}
	}
	ctx, cancel := context.WithTimeout(stop, askFor)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/members", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", at, text)
	}
	if c.JSON {
		_, err = fmt.Fprintf(os.Stdout, "%s\n", text)
		return err
	}
	var v daemon.View
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	return tellMembers(os.Stdout, &v)
}

func micros(v int64) time.Duration {
	return (time.Duration(v) * time.Microsecond).Round(10 * time.Millisecond)
}

// tellMembers tells a view to people.
func tellMembers(out io.Writer, v *daemon.View) error {
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
	f := &v.Fleet
	fmt.Fprintln(w)
	switch {
	case !f.Begun:
		fmt.Fprintln(w, "It takes no part yet: another process has its place.")
	case f.Book == "":
		fmt.Fprintln(w, "Nobody lends, as far as it knows: it goes on with its least.")
	case f.Loan == 0:
		fmt.Fprintf(w, "%s lends, and has not answered for %v: it goes on with its least.\n", f.Book, micros(f.HeardAgo))
	default:
		fmt.Fprintf(w, "%s lends (heard %v ago); its loan ends in %v if it is not renewed.\n", f.Book, micros(f.HeardAgo), micros(f.Loan))
	}
	if len(f.Shares) > 0 {
		fmt.Fprintln(w, "BUDGET\tIT MAY SPEND A SECOND\tSPENT IN THE LAST")
		for _, s := range f.Shares {
			fmt.Fprintf(w, "%s\t%d\t%d\n", s.Budget, s.Allowed, s.Spent)
		}
	}
	if f.Learning > 0 {
		fmt.Fprintf(w, "\nIt lends since a moment: for %v only what the others show that they hold.\n", micros(f.Learning))
	}
	if len(f.Loans) > 0 {
		fmt.Fprintln(w, "\nIt has lent:")
		fmt.Fprintln(w, "TO\tBUDGET\tUNITS\tIS TO HAVE\tASKED FOR")
		for _, l := range f.Loans {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f\n", l.Holder, l.Budget, l.Units, l.Target, l.Asked)
		}
	}
	return w.Flush()
}
