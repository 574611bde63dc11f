package main

import (
	"context"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/peers"
	"dunlinsail/internal/simulation/gossipsim"
)

type gossipCmd struct {
	Cases   []string      `arg:"" optional:"" help:"Hard cases by name, or 'random'; none is all and 50 drawn ones."`
	Members int           `help:"Instances." default:"9"`
	Units   float64       `help:"The budget, units a second." default:"200"`
	Demand  float64       `help:"Times the budget that is wanted." default:"2"`
	Seeds   int           `help:"So many seeds of each; of drawn ones, so many draws." default:"50"`
	First   uint64        `help:"The first." default:"1"`
	For     time.Duration `help:"How long a run is." default:"44s"`
	Every   time.Duration `help:"From one question to the next; 0 is as shipped. Loans are at least four times as long."`
	Plant   string        `help:"An error to plant, which must be found: two books, slow clocks, spends as it starts, more than said."`
}

// told is what the runs of one case come to.
type caseTotals struct {
	maxSpent, exceeded                                             int
	utilization                                                    []float64
	messageRate, byteRate, allocatorMessageRate, allocatorByteRate float64
}

// Run plays the words between instances in simulated time, and checks each second of what they spend.
func (c *gossipCmd) Run(ctx context.Context, w *output) error {
	if c.Members < 1 || c.Seeds < 1 {
		return fmt.Errorf("--members and --seeds must be positive")
	}
	cases := gossipsim.HardCases(c.Members)
	names := c.Cases
	if len(names) == 0 {
		names = append(slices.Sorted(maps.Keys(cases)), "random")
	}
	for _, name := range names {
		if _, known := cases[name]; !known && name != "random" {
			return fmt.Errorf(
				"there is no case %q; there are random, %s", name, strings.Join(slices.Sorted(maps.Keys(cases)), ", "),
			)
		}
	}
	table := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintf(
		table,
		"CASE\tWORST SECOND, OF %.0f\tBEYOND\tUSED\tWORDS A SECOND AND INSTANCE\tBYTES\tTHE BOOK'S WORDS\tBYTES\n",
		c.Units,
	)
	beyond := 0
	for _, name := range names {
		t, err := c.simulate(ctx, name, cases[name])
		if err != nil {
			return err
		}
		beyond += t.exceeded
		slices.Sort(t.utilization)
		n := float64(c.Seeds)
		fmt.Fprintf(
			table, "%s\t%d\t%d\t%.2f to %.2f\t%.1f\t%.0f\t%.0f\t%.0f\n", name, t.maxSpent, t.exceeded, t.utilization[0],
			t.utilization[len(t.utilization)-1], t.messageRate/n, t.byteRate/n, t.allocatorMessageRate/n,
			t.allocatorByteRate/n,
		)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	switch {
	case beyond > 0 && c.Plant != "":
		fmt.Fprintln(w, "the planted error is found")
	case beyond > 0:
		return errFailed
	case c.Plant != "":
		fmt.Fprintln(w, "the planted error is not found")
		return errFailed
	}
	return nil
}

func (c *gossipCmd) simulate(ctx context.Context, name string, faults []gossipsim.Fault) (t caseTotals, err error) {
	size := func(w coordination.Message) int {
		text, err := peers.Encode("instance-100", "instance-100", w)
		if err != nil {
			panic(err) // of our own words
		}
		return len(text)
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for seed := range seeds {
				s := gossipsim.Settings{
					Members:      c.Members,
					Candidates:   3,
					Units:        c.Units,
					Demand:       c.Demand * c.Units,
					Duration:     c.For.Microseconds(),
					Seed:         seed,
					Coordination: gossipsim.DefaultSettings(), MessageSize: size, Faults: faults, PlantedError: c.Plant}
				if c.Every > 0 {
					s.Coordination.Quota.RequestInterval = c.Every.Microseconds()
					s.Coordination.Quota.LeaseDuration = max(
						s.Coordination.Quota.LeaseDuration, 8*s.Coordination.Quota.RequestInterval,
					)
					s.Coordination.LeaseDuration = max(
						s.Coordination.LeaseDuration, 4*s.Coordination.Quota.RequestInterval,
					)
				}
				if c.Plant == "spends as it starts" {
					s.Coordination.Quota.Reserve = 1 // nothing lies idle where one is killed
				}
				if name == "random" {
					s.Faults = gossipsim.RandomFaults(seed, c.Members, s.Duration)
				}
				r, failed := gossipsim.Run(s)
				mu.Lock()
				if failed != nil {
					err = failed
				} else {
					t.maxSpent = max(t.maxSpent, r.MaxSpent)
					t.exceeded += r.UnitsExceeded
					t.utilization = append(t.utilization, r.Utilization)
					t.messageRate += r.MessageRate
					t.byteRate += r.ByteRate
					t.allocatorMessageRate += r.AllocatorMessageRate
					t.allocatorByteRate += r.AllocatorByteRate
				}
				mu.Unlock()
			}
		})
	}
	for seed := c.First; seed < c.First+uint64(c.Seeds) && ctx.Err() == nil; seed++ {
		seeds <- seed
	}
	close(seeds)
	all.Wait()
	if ctx.Err() != nil {
		return t, context.Cause(ctx)
	}
	return t, err
}
