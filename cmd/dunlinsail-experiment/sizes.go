package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"dunlinsail/internal/experiment"
)

type scaleCmd struct {
	Instances  []int    `help:"Fleets of so many instances," default:"3,30,300,3000"`
	Nodes      []int    `help:"on so many endpoints: each with each." default:"10,100,1000,10000"`
	Subset     int      `help:"An instance is told of so many endpoints at most, or of four times its part of all where that is more." default:"50"`
	Operations int64    `name:"stories" help:"About so many stories in each run." default:"200000"`
	Scenario   string   `help:"A scenario by name, or a file; nothing goes wrong in it." default:"calm"`
	Settings   string   `help:"The variant." default:"shipped"`
	Cores      []string `help:"Play the second fleet with so many processors each, and say whether it comes to the very same." default:"1,2,4"`
	Seed       uint64   `help:"The seed." default:"1"`
	JSON       bool     `help:"Print all as JSON."`
}

// Run plays fleets of several sizes and prints the cost of each run.
func (c *scaleCmd) Run(ctx context.Context, w *output) error {
	sizes := SizeFlags{}
	s, err := sizes.load(c.Scenario)
	if err != nil {
		return err
	}
	v, err := experiment.ParseVariant(c.Settings)
	if err != nil {
		return err
	}
	if len(c.Instances) == 0 || len(c.Nodes) == 0 || c.Operations < 1 || c.Subset < 1 {
		return errors.New("sizes, --subset and --stories must be positive")
	}
	sc := experiment.Scaling{
		Scenario:   s,
		Variant:    v,
		Subset:     c.Subset,
		Operations: c.Operations,
		Seed:       c.Seed,
		Program:    v.Program,
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if !c.JSON {
		fmt.Fprintln(
			t,
			"instances\tendpoints\teach told of\tsimulated\tstories\tdecisions\tprocessor time\t"+
				"decisions/s\tstories/s\tmemory\t",
		)
	}
	for _, instances := range c.Instances {
		for _, endpoints := range c.Nodes {
			r, err := sc.RunSize(ctx, experiment.Size{Instances: instances, Endpoints: endpoints})
			if err != nil {
				return err
			}
			if !c.JSON {
				printSize(t, r)
				continue
			}
			r.Result = nil
			if err := json.NewEncoder(w).Encode(r); err != nil {
				return err
			}
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if c.JSON || len(c.Cores) == 0 {
		return nil
	}
	return c.compareCores(ctx, w, &sc)
}

// printSize prints the line of one size.
func printSize(w io.Writer, r *experiment.SizeRun) {
	seconds := r.ProcessorTime.Seconds()
	fmt.Fprintf(w, "%d\t%d\t%d\t%v\t%d\t%d\t%v\t%.0f\t%.0f\t%d MB\t\n",
		r.Instances, r.Endpoints, r.Subset, r.Length, r.Operations, r.Decisions,
		r.ProcessorTime.Round(10*time.Millisecond), float64(r.Decisions)/seconds, float64(r.Operations)/seconds,
		r.Memory>>20)
}

// compareCores plays the second size on several numbers of processors: all have to give the same result.
func (c *scaleCmd) compareCores(ctx context.Context, w io.Writer, sc *experiment.Scaling) error {
	z := experiment.Size{Instances: c.Instances[min(1, len(c.Instances)-1)], Endpoints: c.Nodes[min(1, len(c.Nodes)-1)]}
	same := true
	var first string
	for _, cores := range c.Cores {
		sc.Env = []string{"GOMAXPROCS=" + cores}
		r, err := sc.RunSize(ctx, z)
		if err != nil {
			return err
		}
		if first == "" {
			first = r.Result.Digest
		}
		same = same && r.Result.Digest == first
		fmt.Fprintf(
			w, "%d instances on %d endpoints with %s processors: digest %s\n", z.Instances, z.Endpoints, cores,
			r.Result.Digest,
		)
	}
	if !same {
		fmt.Fprintln(w, "these differ: a run depends on something that it should not")
		return errFailed
	}
	return nil
}

type buildCmd struct {
	Program string   `arg:"" help:"Where the program is to be."`
	Const   []string `help:"FOLDER.NAME=EXPRESSION, as balancer.maxAcceptWeight=1.3 or internal/decide/concurrency.defaultShrinkThreshold=0.3." required:"" sep:"none" placeholder:"CONST"`
	Root    string   `help:"The module's folder." default:"."`
}

// Run builds the program with other constants.
func (c *buildCmd) Run(ctx context.Context, w *output) error {
	var all []experiment.Constant
	for _, text := range c.Const {
		k, err := experiment.ParseConstant(text)
		if err != nil {
			return err
		}
		all = append(all, k)
	}
	if err := experiment.Build(ctx, c.Root, c.Program, all); err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: compare shipped @%s:shipped -s SCENARIO\n", c.Program, c.Program)
	return nil
}
