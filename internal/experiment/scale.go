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

// Size is the size of a simulated fleet.
type Size struct {
	Instances int `json:"Instances"`
	Endpoints int `json:"Nodes"`
}

// SizeRun is a simulated run of a fleet of some size, and the processor time and memory that it took.
type SizeRun struct {
	Size
	Subset        int             `json:"Subset"`
	Length        time.Duration   `json:"Length"` // simulated time
	Rate          float64         `json:"Rate"`   // operations per simulated second
	Operations    int64           `json:"Stories"`
	Decisions     int64           `json:"Decisions"`
	ProcessorTime time.Duration   `json:"Processor"` // processor time used, summed over all processors
	Memory        int64           `json:"Memory"`    // peak resident memory, in bytes
	Result        *measure.Result `json:"Result"`
}

// Scaling holds the options of runs that measure the cost of simulating a fleet of some size.
type Scaling struct {
	Scenario   *scenario.Scenario
	Variant    *Variant
	Subset     int   // endpoints on an instance's list; raised to the minimum of minSubsetFactor
	Operations int64 // approximate number of operations per run; sets the run's length
	Seed       uint64
	Program    string   // dunlinsail-experiment binary whose play command makes the run; "" is this one
	Env        []string // environment variables for Program, added to those of this process
}

// minSubsetFactor is the minimum size of an instance's endpoint list, as a multiple of its equal share of all
// endpoints.
const minSubsetFactor = 4

// RunSize simulates a fleet of the given size in a separate process, so that memory and processor time can be
// measured.
func (sc *Scaling) RunSize(ctx context.Context, size Size) (*SizeRun, error) {
	s, err := Resize(sc.Scenario, nil, size.Instances, size.Endpoints)
	if err != nil {
		return nil, err
	}
	s = s.Clone()
	// The endpoints on the lists of a few instances must suffice for all of the traffic.
	run := &SizeRun{
		Size:   size,
		Subset: min(max(sc.Subset, minSubsetFactor*size.Endpoints/size.Instances), size.Endpoints),
	}
	if run.Subset < size.Endpoints {
		s.Fleet.SubsetSize = run.Subset
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
	if run.Result, processState, err = job.runWithProgram(ctx, program, sc.Env...); err != nil {
		return nil, fmt.Errorf("%d instances on %d endpoints: %w", size.Instances, size.Endpoints, err)
	}
	run.Operations = run.Result.Operations
	run.Decisions = run.Result.Costs.Decisions
	run.ProcessorTime = processState.UserTime() + processState.SystemTime()
	if usage, ok := processState.SysUsage().(*syscall.Rusage); ok {
		run.Memory = usage.Maxrss << 10 // Maxrss is in KiB (getrusage(2))
	}
	return run, nil
}
