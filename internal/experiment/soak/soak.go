// Package soak plays restarts of real processes under load, with all events drawn from one seed, and checks the rules
// of the service afterwards: each request gets its own final response in time, nothing takes effect twice, a draining
// endpoint gets nothing new, and nothing is left over. Endpoints, clients, discovery and the platform are fakes.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dunlinsail/internal/fake/client"
)

// Options configure a run.
type Options struct {
	Program string // path of dunlinsail or dunlinsaild
	Seed    uint64
	// SecondResponses has one of so many requests get a second response beside those of the drawn faults; 0 is none.
	SecondResponses int
}

// Report is the outcome of a run.
type Report struct {
	Events     []string // what happened, in order
	Requests   int
	Verdicts   [client.VerdictCount]int
	Excused    int      // requests that were lost or late while a process was stopped by SIGSTOP
	Violations []string // broken rules
	Permitted  []string // wrong responses that HTTP/1.1 leaves possible (run.classifyWrongResponses)
	Variation  string   // in what the run differs from others beside its events
	Seconds    int      // second responses that endpoints sent
	Logs       string   // what the processes logged
}

// The second halves of the random generators' seeds.
const (
	eventSeedStream     = 50 // of events
	faultSeedStream     = 51 // of endpoints' faults
	variationSeedStream = 52 // of what runs differ in beside
)

const (
	requestRate       = 120.0                  // requests per second
	highRequestRate   = 400.0                  // the same, in a run with a crowd
	delayBeforeEvents = 300 * time.Millisecond // before the first event
	maxEventGap       = 500 * time.Millisecond // between two events
	dialAfterStop     = 200 * time.Millisecond // for which clients still connect after the last SIGTERM
	clientGrace       = 500 * time.Millisecond // after its timeout a response counts as lost
	maxRunTime        = 2 * time.Minute
	maxOpenRequests   = 200 // requests of the clients
)

// run is a run in progress.
type run struct {
	options   Options
	rng       *rand.Rand
	dir       string
	fleet     *fleet
	processes *processManager
	report    *Report

	startedAt time.Time

	mu             sync.Mutex
	results        []client.Result
	wrongResponses map[string]wrongResponse // by the ID of the request that got it; set by classifyWrongResponses
	pauses         []pause
	drainingSince  map[string]time.Time // endpoints by the instant at which they were listed as draining
	lastDialTime   time.Time            // from then on clients open no connection; zero: not yet
}

// Run plays one seed. An error means that it could not be played.
func Run(ctx context.Context, options Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	r := &run{
		options: options,
		rng:     rand.New(rand.NewPCG(options.Seed, eventSeedStream)),
		dir:     dir,
		report:  &Report{},

		startedAt:     time.Now(),
		drainingSince: map[string]time.Time{},
	}
	drawn := drawVariation(rand.New(rand.NewPCG(options.Seed, variationSeedStream)), options.SecondResponses)
	r.report.Variation = drawn.secondResponses.String()
	if filepath.Base(options.Program) == daemonProgram {
		r.report.Variation += ", " + drawn.bounds.String()
	}
	r.fleet, err = startFleet(rand.New(rand.NewPCG(options.Seed, faultSeedStream)), drawn.secondResponses)
	if err != nil {
		return nil, err
	}
	defer r.fleet.close()
	if r.processes, err = newProcessManager(options.Program, dir, r.fleet, drawn.bounds); err != nil {
		return nil, err
	}
	defer r.processes.close()
	if err := r.runLoadAndEvents(ctx); err != nil {
		return nil, fmt.Errorf("seed %d: %w; logs:\n%s", options.Seed, err, r.processes.logs())
	}
	r.checkRules()
	r.report.Seconds = len(r.fleet.ledger.SecondResponses())
	r.report.Logs = r.processes.logs()
	return r.report, nil
}

// play starts the first process and the clients, makes the events happen, and stops everything.
func (r *run) runLoadAndEvents(ctx context.Context) error {
	first, err := r.processes.start()
	if err != nil {
		return err
	}
	if !first.awaitReady(ctx) || !r.processes.awaitEndpoints(ctx) {
		return errors.New("the first process is not ready")
	}
	loadClient := r.newClient(r.rng.IntN(3) == 0)
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		loadClient.Run(loadContext)
	}()
	serving := r.runEvents(ctx, first)
	r.stopServing(serving)
	stopLoad()
	<-loadDone
	return ctx.Err()
}

// newClient returns the client processes' side: an open loop over persistent connections, which it uses until they are
// closed.
func (r *run) newClient(highLoad bool) *client.Client {
	rate := requestRate
	if highLoad {
		rate = highRequestRate
		r.recordEvent("a crowd")
	}
	const timeout = 900 * time.Millisecond
	return client.New(client.Options{
		Name:     "soak",
		Tenant:   "acme",
		Rate:     rate,
		MaxOpen:  maxOpenRequests,
		Duration: maxRunTime,
		Seed:     r.options.Seed,
		Grace:    clientGrace,

		ResendAfterReset: true, // checkEffects finds requests that ran twice
		Dial:             r.dial,
		OnDone:           r.addResult,
		Classes: []client.Class{
			{Name: "look", Share: 0.6, Method: "GET", Timeout: timeout},
			{Name: "book", Share: 0.2, Method: "POST", SendIdempotencyKey: true, BodySize: 200, Timeout: timeout},
			{Name: "pay", Share: 0.2, Method: "POST", BodySize: 200, Timeout: timeout},
		},
	})
}

// addResult records the end of a request.
func (r *run) addResult(result client.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// note records an event for the report, with its time since the start of the run.
func (r *run) recordEvent(format string, args ...any) {
	elapsed := time.Since(r.startedAt).Round(time.Millisecond)
	r.report.Events = append(r.report.Events, fmt.Sprintf("%v: ", elapsed)+fmt.Sprintf(format, args...))
}

// stopServing sends the last SIGTERM, perhaps with a SIGINT behind it, while clients go on using their connections, and
// kills the process as early as the platform may.
func (r *run) stopServing(serving *process) {
	r.mu.Lock()
	r.lastDialTime = time.Now().Add(dialAfterStop)
	r.mu.Unlock()
	r.recordEvent("last stop")
	r.stop(serving, r.rng.IntN(2) == 0)
	serving.awaitEnd()
	r.processes.awaitAll()
}

// sidecarSocket is the socket file of the sidecar's hot restart, which stays after its end: another process may have
// replaced it by then (takeover.ListenReplacing).
const sidecarSocket = "dunlinsail.takeover"

// leftovers returns the socket files in the folder that the processes shared, and the sidecar's only if a process
// listens at it.
func (r *run) leftoverSockets() []string {
	var sockets []string
	entries, err := os.ReadDir(r.dir)
	if err != nil {
		return []string{err.Error()}
	}
	for _, entry := range entries {
		if entry.Type()&os.ModeSocket == 0 {
			continue
		}
		if entry.Name() == sidecarSocket {
			conn, err := net.Dial("unixpacket", filepath.Join(r.dir, sidecarSocket))
			if err != nil {
				continue
			}
			conn.Close()
		}
		sockets = append(sockets, entry.Name())
	}
	return sockets
}
