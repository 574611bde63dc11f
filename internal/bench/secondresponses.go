package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"dunlinsail/internal/bench/secondresponses"
)

// The endpoints of the measurement SecondResponses.
const (
	secondResponseEndpoints = 30
	secondResponseSentOnce  = 100 // responses of an endpoint before it sends one twice
	secondResponsePeriod    = 40  // responses of which one is sent twice
)

// SecondResponsesOptions configure the measurement SecondResponses.
type SecondResponsesOptions struct {
	Pools    []string // names of secondresponses.Pools; none means all
	Lateness []time.Duration
	Requests int     // of each run
	Rate     float64 // requests a second of each run
	Gaps     secondresponses.Gaps
	Seed     uint64
	AtOnce   int // runs at the same time
}

// SecondResponses measures how many requests are served with a response to another request where
// endpoints send some responses twice: for each kind of endpoint, pool and lateness of the second responses.
func SecondResponses(ctx context.Context, w io.Writer, options SecondResponsesOptions) error {
	pools, err := secondResponsePools(options.Pools)
	if err != nil {
		return err
	}
	if options.Requests < secondResponseEndpoints || options.Rate <= 0 {
		return fmt.Errorf("%d requests at %v a second: at least one to each of %d endpoints, at a rate above 0",
			options.Requests, options.Rate, secondResponseEndpoints)
	}
	fmt.Fprintf(w, "%d endpoints in turn, %d requests at %.0f a second with %v gaps, seed %d; after %d responses, "+
		"each endpoint sends one of %d twice\n", secondResponseEndpoints, options.Requests, options.Rate, options.Gaps,
		options.Seed, secondResponseSentOnce, secondResponsePeriod)
	runs := secondResponseRuns(pools, options)
	cells := secondresponses.RunAll(ctx, runs, options.AtOnce)
	printSecondResponses(w, cells)
	if err := ctx.Err(); err != nil {
		return err
	}
	for _, c := range cells {
		if c.Err != nil {
			return c.Err
		}
	}
	return nil
}

// secondResponsePools returns the kinds of pools with these names.
func secondResponsePools(names []string) ([]secondresponses.PoolKind, error) {
	if len(names) == 0 {
		return secondresponses.Pools, nil
	}
	byName := map[string]secondresponses.PoolKind{}
	for _, kind := range secondresponses.Pools {
		byName[kind.Name] = kind
	}
	var kinds []secondresponses.PoolKind
	for _, name := range names {
		kind, known := byName[name]
		if !known {
			return nil, fmt.Errorf("unknown pool %q", name)
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// secondResponseRuns returns the runs in the order in which they are printed.
func secondResponseRuns(
	pools []secondresponses.PoolKind, options SecondResponsesOptions,
) (runs []secondresponses.Options) {
	for _, behavior := range secondresponses.Behaviors {
		for _, pool := range pools {
			for _, lateness := range options.Lateness {
				runs = append(runs, secondresponses.Options{
					Pool:      pool,
					Behavior:  behavior,
					Lateness:  lateness,
					Endpoints: secondResponseEndpoints,
					Requests:  options.Requests,
					Rate:      options.Rate,
					Gaps:      options.Gaps,
					SentOnce:  secondResponseSentOnce,
					Period:    secondResponsePeriod,
					Seed:      options.Seed,
				})
			}
		}
	}
	return runs
}

// printSecondResponses prints one line for each run that has ended.
func printSecondResponses(w io.Writer, cells []secondresponses.Cell) {
	fmt.Fprintf(w, "%-13s  %-17s %6s  %22s  %8s %7s  %30s  %8s  %18s  %s\n", "", "", "",
		"wrong responses", "", "", "second responses", "", "connections opened", "")
	fmt.Fprintf(w, "%-13s  %-17s %6s  %5s %6s %9s  %8s %7s  %4s %5s %9s %9s  %8s  %7s %10s  %s\n",
		"endpoint", "pool", "late", "all", "<=15ms", "endpoints", "not sent", "failed", "due", "sent", "stretched",
		"latest", "detected", "before", "after", "target")
	for _, c := range cells {
		if c.Err != nil {
			continue
		}
		r := c.Result
		target := "met"
		if len(r.Violations()) > 0 {
			target = "missed"
		}
		fmt.Fprintf(w, "%-13v  %-17s %6v  %5d %6d %9d  %8d %7d  %4d %5d %9d %9v  %8d  %7d %10d  %s\n",
			c.Options.Behavior, c.Options.Pool.Name, c.Options.Lateness, r.Wrong(), r.WrongWithin, r.WrongEndpoints,
			r.NotSent, r.Failed, r.SentTwice, r.SentSecond, r.Stretched, r.MaxLateness.Round(100*time.Microsecond),
			r.Detected, r.DialsBeforeDetection, r.DialsAfterDetection, target)
	}
}
