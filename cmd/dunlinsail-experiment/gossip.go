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

// caseTotals are the results of one case, over all seeds.
type caseTotals struct {
	maxSpent    int       // units in the worst second
	exceeded    int       // units spent beyond the budget
	utilization []float64 // of each run, 0 to 1

	// Sums over the runs: messages and bytes a second of an instance, and of the allocator.
	messageRate          float64
	byteRate             float64
	allocatorMessageRate float64
	allocatorByteRate    float64
}

// add adds the result of a run.
func (t *caseTotals) add(r *gossipsim.Result) {
	t.maxSpent = max(t.maxSpent, r.MaxSpent)
	t.exceeded += r.UnitsExceeded
	t.utilization = append(t.utilization, r.Utilization)
	t.messageRate += r.MessageRate
	t.byteRate += r.ByteRate
	t.allocatorMessageRate += r.AllocatorMessageRate
	t.allocatorByteRate += r.AllocatorByteRate
}

// randomCase is the name of the case whose faults are drawn.
const randomCase = "random"

// Run simulates the messages between instances, and checks what they spend in each second.
func (c *gossipCmd) Run(ctx context.Context, w *output) error {
	if c.Members < 1 || c.Seeds < 1 {
		return fmt.Errorf("--members and --seeds must be positive")
	}
	cases := gossipsim.HardCases(c.Members)
	names := c.Cases
	if len(names) == 0 {
		names = append(slices.Sorted(maps.Keys(cases)), randomCase)
	}
	for _, name := range names {
		if _, known := cases[name]; !known && name != randomCase {
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

// messageSize is the size of a message between two instances, in bytes.
func messageSize(m coordination.Message) int {
	const name = "instance-100"
	text, err := peers.Encode(name, name, m)
	if err != nil {
		panic(err) // the simulation made the message
	}
	return len(text)
}

// simulate runs a case with each seed, on all processors.
func (c *gossipCmd) simulate(ctx context.Context, name string, faults []gossipsim.Fault) (t caseTotals, err error) {
	var mu sync.Mutex // guards t and err
	var workers sync.WaitGroup
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() { // ends once seeds is closed
			for seed := range seeds {
				result, runErr := gossipsim.Run(c.settings(name, faults, seed))
				mu.Lock()
				if runErr != nil {
					err = runErr
				} else {
					t.add(result)
				}
				mu.Unlock()
			}
		})
	}
	for seed := c.First; seed < c.First+uint64(c.Seeds) && ctx.Err() == nil; seed++ {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
	if ctx.Err() != nil {
		return t, context.Cause(ctx)
	}
	return t, err
}

// Bounds of the durations that follow from --every, in request intervals.
const (
	minQuotaLease  = 8
	minLeaderLease = 4
)

// leaseCandidates is the number of members that may lead.
const leaseCandidates = 3

// settings returns the settings of a case's run with a seed.
func (c *gossipCmd) settings(name string, faults []gossipsim.Fault, seed uint64) gossipsim.Settings {
	s := gossipsim.Settings{
		Members:      c.Members,
		Candidates:   leaseCandidates,
		BudgetRate:   c.Units,
		DemandRate:   c.Demand * c.Units,
		Duration:     c.For.Microseconds(),
		Seed:         seed,
		Coordination: gossipsim.DefaultSettings(),
		MessageSize:  messageSize,
		Faults:       faults,
		PlantedError: c.Plant,
	}
	if interval := c.Every.Microseconds(); c.Every > 0 {
		quota := &s.Coordination.Quota
		quota.RequestInterval = interval
		quota.LeaseDuration = max(quota.LeaseDuration, minQuotaLease*interval)
		s.Coordination.LeaseDuration = max(s.Coordination.LeaseDuration, minLeaderLease*interval)
	}
	if c.Plant == "spends as it starts" {
		s.Coordination.Quota.Reserve = 1 // so that no unit is unused when a member is killed
	}
	if name == randomCase {
		s.Faults = gossipsim.RandomFaults(seed, c.Members, s.Duration)
	}
	return s
}
