package experiment

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/scenario"
	"dunlinsail/internal/stricttoml"
)

// Size is how large a fleet is.
type Size struct {
	Instances int `json:"Instances"`
	Endpoints int `json:"Nodes"`
}

// SizeRun is what a run of a fleet of some size costs the computer.
type SizeRun struct {
	Size
	Subset        int             `json:"Subset"`
	Length        time.Duration   `json:"Length"` // simulated
	Rate          float64         `json:"Rate"`   // stories a second, simulated
	Operations    int64           `json:"Stories"`
	Decisions     int64           `json:"Decisions"`
	ProcessorTime time.Duration   `json:"Processor"` // time of processors, in all
	Memory        int64           `json:"Memory"`    // bytes held at most
	Result        *measure.Result `json:"Result"`
}

// Scaling are the options of runs that measure their cost.
type Scaling struct {
	Scenario   *scenario.Scenario
	Variant    *Variant
	Subset     int   // endpoints that an instance is told of, at most
	Operations int64 // about so many in each run, by its length
	Seed       uint64
	Program    string   // a dunlinsail-experiment whose command play makes a run; "" is this program
	Env        []string // of that program, beside this one's
}

// RunSize makes a run of a size in a process of its own, so that its memory and time are known.
func (sc *Scaling) RunSize(ctx context.Context, z Size) (*SizeRun, error) {
	s, err := Resize(sc.Scenario, nil, z.Instances, z.Endpoints)
	if err != nil {
		return nil, err
	}
	s = s.Clone()
	// What few instances are told of must be enough for all that they are asked for.
	run := &SizeRun{Size: z, Subset: min(max(sc.Subset, 4*z.Endpoints/z.Instances), z.Endpoints)}
	if run.Subset < z.Endpoints {
		s.Fleet.Subset = run.Subset
	}
	run.Rate = s.Draw(sc.Seed).Rate
	run.Length = time.Duration(float64(sc.Operations) / run.Rate * float64(time.Second)).Round(10 * time.Millisecond)
	run.Length = min(max(run.Length, time.Second), 10*time.Minute)
	s.Length = stricttoml.Duration{Duration: run.Length}
	s.Events = nil
	s.Shape = nil
	j, err := sc.Variant.Job(s, sc.Variant, sc.Seed)
	if err != nil {
		return nil, err
	}
	program := sc.Program
	if program == "" {
		if program, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	var state *os.ProcessState
	if run.Result, state, err = j.playWith(ctx, program, sc.Env...); err != nil {
		return nil, fmt.Errorf("%d instances on %d endpoints: %w", z.Instances, z.Endpoints, err)
	}
	run.Operations = run.Result.Operations
	run.Decisions = run.Result.Costs.Decisions
	run.ProcessorTime = state.UserTime() + state.SystemTime()
	if usage, ok := state.SysUsage().(*syscall.Rusage); ok {
		run.Memory = usage.Maxrss << 10 // getrusage(2): in KiB
	}
	return run, nil
}
