package experiment

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"dunlinsail/internal/accesslog"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/scenario"
	"dunlinsail/internal/simulation/simclient"
)

// digestFiles returns a digest of the names and contents of the files at paths, including all files below folders.
func digestFiles(paths []string) (string, error) {
	hash := xxhash.New()
	for _, p := range paths {
		err := filepath.WalkDir(p, func(path string, e os.DirEntry, err error) error {
			if err != nil || e.IsDir() {
				return err
			}
			f, err := os.Open(path)
			if err != nil {
				return err
			}
			defer f.Close()
			_, _ = io.WriteString(hash, filepath.Base(path))
			_, err = io.Copy(hash, f)
			return err
		})
		if err != nil {
			return "", fmt.Errorf("record %s: %w", p, err)
		}
	}
	return hex.EncodeToString(hash.Sum(nil)), nil
}

// recordCache holds the access record that was read last, since the runs of all seeds replay the same one.
var recordCache struct {
	sync.Mutex
	digest     string
	operations []*accesslog.Operation
	runs       []*accesslog.Run
	from       int64
}

// readRecord reads the access record of a replay, or returns it from the cache. from is the record's first instant, in
// microseconds.
func readRecord(r *scenario.Replay) (operations []*accesslog.Operation, runs []*accesslog.Run, from int64, err error) {
	digest, err := digestFiles(r.From)
	if err != nil {
		return nil, nil, 0, err
	}
	digest += fmt.Sprint(r.Align)
	recordCache.Lock()
	defer recordCache.Unlock()
	if recordCache.digest != digest {
		rec, err := accesslog.Read(r.From...)
		if err != nil {
			return nil, nil, 0, err
		}
		if len(rec.Requests) == 0 {
			return nil, nil, 0, fmt.Errorf("record %q: it contains no request: %q", r.From, rec.Problems)
		}
		if r.Align {
			rec.Align()
		}
		recordCache.digest = digest
		recordCache.operations = rec.Operations()
		recordCache.runs = rec.Runs
		recordCache.from, _ = rec.Span()
	}
	return recordCache.operations, recordCache.runs, recordCache.from, nil
}

// recordedOperations holds the operations of an access record by instance. It implements scenario.Source.
type recordedOperations [][]simclient.Operation

// Operations returns an iterator over the operations of an instance: each call returns the next one, false at the end.
func (r recordedOperations) Operations(instance int) func() (simclient.Operation, bool) {
	next := 0
	return func() (operation simclient.Operation, ok bool) {
		if instance >= len(r) || next >= len(r[instance]) {
			return operation, false
		}
		next++
		return r[instance][next-1], true
	}
}

// replayRecord returns the operations of a plan from its access record. Each operation is the first request of a
// recorded operation, at the instance that received it. If the record is a sample, operations are duplicated to
// restore the rate.
func replayRecord(p *scenario.Plan) (scenario.Source, error) {
	recorded, runs, from, err := readRecord(p.Replay)
	if err != nil {
		return nil, err
	}
	replay := newReplay(p, runs, from+p.Replay.Start.Micros())
	for index, operation := range recorded {
		if err := replay.add(index, operation.FirstAttempt()); err != nil {
			return nil, err
		}
	}
	for _, operations := range replay.operations {
		slices.SortFunc(operations, func(a, b simclient.Operation) int {
			return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.ID, b.ID))
		})
	}
	return replay.operations, nil
}

// replay converts the requests of a record into the operations of a plan.
type replay struct {
	plan            *scenario.Plan
	planStart       int64   // instant of the record at which the plan starts, in microseconds
	sampledFraction float64 // fraction of all requests that the record contains
	instances       map[string]int
	classes         map[string]int
	tenants         map[string]int
	processes       map[string]int // client process number by "instance/client", in order of appearance
	workRand        *randstream.Stream
	copyRand        *randstream.Stream

	operations recordedOperations
}

// newReplay returns a replay without operations for a plan. It maps the recorded instances to those of the plan.
func newReplay(p *scenario.Plan, runs []*accesslog.Run, from int64) *replay {
	r := &replay{
		plan:            p,
		planStart:       from,
		sampledFraction: 1.0,
		instances:       map[string]int{},
		classes:         map[string]int{},
		tenants:         map[string]int{},
		processes:       map[string]int{},
		workRand:        randstream.New(p.Seed, "stories"),
		copyRand:        randstream.New(p.Seed, "copies"),
		operations:      make(recordedOperations, len(p.Instances)),
	}
	for _, run := range runs {
		r.sampledFraction = min(r.sampledFraction, run.Sample)
		r.instances[run.Instance] = 0
	}
	for i, name := range slices.Sorted(maps.Keys(r.instances)) {
		r.instances[name] = i % len(p.Instances)
	}
	for i, c := range p.Classes {
		r.classes[c.Name] = i
	}
	for i, t := range p.Tenants {
		r.tenants[t.Name] = i
	}
	return r
}

// add adds a recorded request, the index-th of the record, as an operation. If the record is a sample, it adds
// 1/sampledFraction copies on average.
func (r *replay) add(index int, request *accesslog.Request) error {
	class, ok := r.classes[request.Class]
	if !ok {
		return fmt.Errorf("class %q of the record is not a class of the scenario", request.Class)
	}
	tenant := -1
	if request.Tenant != "" {
		if tenant, ok = r.tenants[request.Tenant]; !ok {
			return fmt.Errorf("tenant %q of the record is not a tenant of the scenario", request.Tenant)
		}
	}
	instance := r.instances[request.Instance]
	client := request.Instance + "/" + request.Client
	if _, ok := r.processes[client]; !ok {
		r.processes[client] = len(r.processes) % r.plan.Clients.Processes
	}
	countRand := r.copyRand.For(uint64(index))
	expectedCopies := 1 / r.sampledFraction
	count := int(expectedCopies)
	if countRand.Float64() < expectedCopies-float64(count) {
		count++
	}
	for copyIndex := range count {
		startedAt := request.Arrived - r.planStart
		if copyIndex > 0 { // arrival of a request not in the sample is unknown: draw it within 0.5 s
			startedAt += int64((countRand.Float64() - 0.5) * 1e6)
		}
		if startedAt < 0 || startedAt >= r.plan.Length.Micros() {
			continue
		}
		id := uint64(instance)<<32 | uint64(index)<<4 | uint64(copyIndex&15)
		operationRand := r.workRand.For(id)
		r.operations[instance] = append(r.operations[instance], simclient.Operation{
			ID:             id,
			Instance:       instance,
			Process:        r.processes[client],
			Class:          class,
			Tenant:         tenant,
			Object:         request.ObjectHash,
			StartedAt:      startedAt,
			IdempotencyKey: operationRand.Uint64() | 1,
			Work:           r.plan.Classes[class].Draw(operationRand),
		})
	}
	return nil
}
