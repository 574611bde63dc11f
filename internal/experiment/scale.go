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

// Size is the size of a fleet.
type Size struct {
	Instances int `json:"Instances"`
	Endpoints int `json:"Nodes"`
}

// SizeRun is the cost of a simulated run of a fleet of some size.
type SizeRun struct {
	Size
	Subset        int             `json:"Subset"`
	Length        time.Duration   `json:"Length"` // simulated
	Rate          float64         `json:"Rate"`   // operations a simulated second
	Operations    int64           `json:"Stories"`
	Decisions     int64           `json:"Decisions"`
	ProcessorTime time.Duration   `json:"Processor"` // of all processors together
	Memory        int64           `json:"Memory"`    // peak, in bytes
	Result        *measure.Result `json:"Result"`
}

// Scaling are the options of runs that measure their cost.
type Scaling struct {
	Scenario   *scenario.Scenario
	Variant    *Variant
	Subset     int   // endpoints on an instance's list, at most
	Operations int64 // about this many in each run, by its length
	Seed       uint64
	Program    string   // a dunlinsail-experiment whose command play makes a run; "" is this program
	Env        []string // environment of that program, beside this one's
}

// minSubsetFactor is the least size of an instance's list, relative to its part of all endpoints.
const minSubsetFactor = 4

// RunSize makes a run of a size in a process of its own, so that its memory and time are known.
func (sc *Scaling) RunSize(ctx context.Context, size Size) (*SizeRun, error) {
	s, err := Resize(sc.Scenario, nil, size.Instances, size.Endpoints)
	if err != nil {
		return nil, err
	}
	s = s.Clone()
	// The endpoints of a few instances must suffice for all of the traffic.
	run := &SizeRun{
		Size:   size,
		Subset: min(max(sc.Subset, minSubsetFactor*size.Endpoints/size.Instances), size.Endpoints),
	}
	if run.Subset < size.Endpoints {
		s.Fleet.Subset = run.Subset
	}
	run.Rate = s.Draw(sc.Seed).Rate
	run.Length = time.Duration(float64(sc.Operations) / run.Rate * float64(time.Second)).Round(10 * time.Millisecond)
	run.Length = min(max(run.Length, time.Second), 10*time.Minute)
	s.Length = stricttoml.Duration{Duration: run.Length}
	s.Events = nil
	s.Shape = nil
	job, err := sc.Variant.Job(s, sc.Variant, sc.Seed)
	if err != nil {
		return nil, err
	}
	program := sc.Program
	if program == "" {
		if program, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	var processState *os.ProcessState
	if run.Result, processState, err = job.playWith(ctx, program, sc.Env...); err != nil {
		return nil, fmt.Errorf("%d instances on %d endpoints: %w", size.Instances, size.Endpoints, err)
	}
	run.Operations = run.Result.Operations
	run.Decisions = run.Result.Costs.Decisions
	run.ProcessorTime = processState.UserTime() + processState.SystemTime()
	if usage, ok := processState.SysUsage().(*syscall.Rusage); ok {
		run.Memory = usage.Maxrss << 10 // getrusage(2): in KiB
	}
	return run, nil
}
