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
	seedStream          = 50 // of events
	faultSeedStream     = 51 // of endpoints' faults
	variationSeedStream = 52 // of what runs differ in beside
)

const (
	requestRate    = 120.0                  // requests per second
	crowdRate      = 400.0                  // the same, in a run with a crowd
	quietStart     = 300 * time.Millisecond // before the first event
	maxEventGap    = 500 * time.Millisecond // between two events
	acceptingAfter = 200 * time.Millisecond // for which clients still connect after the last SIGTERM
	clientGrace    = 500 * time.Millisecond // after its timeout a response counts as lost
	maxRunTime     = 2 * time.Minute
	maxOpen        = 200 // requests of the clients
)

// run is a run in progress.
type run struct {
	options  Options
	rng      *rand.Rand
	dir      string
	fleet    *fleet
	programs *programs
	report   *Report

	startedAt time.Time

	mu          sync.Mutex
	results     []client.Result
	wrong       map[string]wrongResponse // by the ID of the request that got it; set by classifyWrongResponses
	pauses      []pause
	drained     map[string]time.Time // endpoints by the instant at which they were listed as draining
	closingTime time.Time            // from then on clients open no connection; zero: not yet
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
		rng:     rand.New(rand.NewPCG(options.Seed, seedStream)),
		dir:     dir,
		report:  &Report{},

		startedAt: time.Now(),
		drained:   map[string]time.Time{},
	}
	v := drawVariation(rand.New(rand.NewPCG(options.Seed, variationSeedStream)), options.SecondResponses)
	r.report.Variation = v.secondResponses.String()
	if filepath.Base(options.Program) == daemonProgram {
		r.report.Variation += ", " + v.bounds.String()
	}
	r.fleet, err = startFleet(rand.New(rand.NewPCG(options.Seed, faultSeedStream)), v.secondResponses)
	if err != nil {
		return nil, err
	}
	defer r.fleet.close()
	if r.programs, err = newPrograms(options.Program, dir, r.fleet, v.bounds); err != nil {
		return nil, err
	}
	defer r.programs.close()
	if err := r.play(ctx); err != nil {
		return nil, fmt.Errorf("seed %d: %w; logs:\n%s", options.Seed, err, r.programs.logs())
	}
	r.check()
	r.report.Seconds = len(r.fleet.ledger.SecondResponses())
	r.report.Logs = r.programs.logs()
	return r.report, nil
}

// play starts the first process and the clients, makes the events happen, and stops everything.
func (r *run) play(ctx context.Context) error {
	first, err := r.programs.start()
	if err != nil {
		return err
	}
	if !first.awaitReady(ctx) || !r.programs.awaitEndpoints(ctx) {
		return errors.New("the first process is not ready")
	}
	load := r.newClient(r.rng.IntN(3) == 0)
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		load.Run(loadContext)
	}()
	serving := r.playEvents(ctx, first)
	r.stopServing(serving)
	stopLoad()
	<-loaded
	return ctx.Err()
}

// newClient returns the client processes' side: an open loop over persistent connections, which it uses until they are
// closed.
func (r *run) newClient(crowd bool) *client.Client {
	rate := requestRate
	if crowd {
		rate = crowdRate
		r.note("a crowd")
	}
	const timeout = 900 * time.Millisecond
	return client.New(client.Options{
		Name:     "soak",
		Tenant:   "acme",
		Rate:     rate,
		MaxOpen:  maxOpen,
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
func (r *run) note(format string, args ...any) {
	at := time.Since(r.startedAt).Round(time.Millisecond)
	r.report.Events = append(r.report.Events, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

// stopServing sends the last SIGTERM, perhaps with a SIGINT behind it, while clients go on using their connections, and
// kills the process as early as the platform may.
func (r *run) stopServing(serving *process) {
	r.mu.Lock()
	r.closingTime = time.Now().Add(acceptingAfter)
	r.mu.Unlock()
	r.note("last stop")
	r.stop(serving, r.rng.IntN(2) == 0)
	serving.awaitEnd()
	r.programs.awaitAll()
}

// sidecarSocket is the socket file of the sidecar's hot restart, which stays after its end: another process may have
// replaced it by then (takeover.ListenReplacing).
const sidecarSocket = "dunlinsail.takeover"

// leftovers returns the socket files in the folder that the processes shared, and the sidecar's only if a process
// listens at it.
func (r *run) leftovers() []string {
	var found []string
	entries, err := os.ReadDir(r.dir)
	if err != nil {
		return []string{err.Error()}
	}
	for _, entry := range entries {
		if entry.Type()&os.ModeSocket == 0 {
			continue
		}
		if entry.Name() == sidecarSocket {
			listening, err := net.Dial("unixpacket", filepath.Join(r.dir, sidecarSocket))
			if err != nil {
				continue
			}
			listening.Close()
		}
		found = append(found, entry.Name())
	}
	return found
}
