// Package soak restarts real processes under load, with all events drawn from one seed, and afterwards checks the
// rules of the service: each request gets its own final response in time, no request of an unsafe or keyed class takes
// effect twice, a draining endpoint receives no new request, and no socket files are left over. The endpoints, the
// clients, discovery and the platform are fakes.
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

// Options configures a run.
type Options struct {
	Program string // path of dunlinsail or dunlinsaild
	Seed    uint64
	// RequestsPerSecondResponse makes endpoints send a second response to one in this many requests, in addition to the
	// second responses among the drawn faults; 0 adds none.
	RequestsPerSecondResponse int
}

// Report is the outcome of a run.
type Report struct {
	Events          []string // descriptions of the events, in order of time
	Requests        int
	Verdicts        [client.VerdictCount]int
	Excused         int      // number of requests lost or late while a process was stopped by SIGSTOP
	Violations      []string // descriptions of the violated rules
	Permitted       []string // wrong responses that HTTP/1.1 cannot prevent (run.classifyWrongResponses)
	Variation       string   // conditions drawn for the run besides its events
	SecondResponses int      // number of second responses that endpoints sent
	Logs            string   // log output of the processes
}

// Streams of the random number generators: the second half of each generator's seed.
const (
	eventSeedStream     = 50 // draws the events and the request rate
	faultSeedStream     = 51 // draws the endpoints' faults
	variationSeedStream = 52 // draws the variation
	floodSeedStream     = 53 // draws the flood
)

const (
	requestTimeout    = 900 * time.Millisecond // longest deadline, equal to the one in the configurations
	requestRate       = 120.0                  // requests per second
	highRequestRate   = 400.0                  // requests per second in a run with high load
	delayBeforeEvents = 300 * time.Millisecond // time between the start of the load and the first event
	maxEventGap       = 500 * time.Millisecond // longest time between two events
	dialAfterStop     = 200 * time.Millisecond // how long clients still connect after the last SIGTERM
	clientGrace       = 500 * time.Millisecond // time after a request's timeout until it counts as lost
	maxRunTime        = 2 * time.Minute
	maxOpenRequests   = 200 // limit of concurrent requests of the clients
)

// run is the state of a run in progress.
type run struct {
	options   Options
	rng       *rand.Rand
	sharedDir string
	fleet     *fleet
	processes *processManager
	report    *Report

	startedAt time.Time
	flood     flood

	mu             sync.Mutex
	results        []client.Result
	wrongResponses map[string]wrongResponse // by the ID of the receiving request; set by classifyWrongResponses
	pauses         []pause
	drainingSince  map[string]time.Time // when endpoints were listed as draining, by endpoint name
	lastDialTime   time.Time            // clients open no connections after it; zero until the last process is stopped
}

// Run runs the soak of one seed. An error means that the run could not be completed; violated rules are in
// the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	r := &run{
		options:   options,
		rng:       rand.New(rand.NewPCG(options.Seed, eventSeedStream)),
		sharedDir: dir,
		report:    &Report{},

		startedAt:     time.Now(),
		drainingSince: map[string]time.Time{},
	}
	drawn := drawVariation(rand.New(rand.NewPCG(options.Seed, variationSeedStream)), options.RequestsPerSecondResponse)
	r.report.Variation = drawn.secondResponses.String()
	if filepath.Base(options.Program) == daemonProgram {
		r.report.Variation += ", " + drawn.bounds.String()
	}
	r.flood = drawFlood(rand.New(rand.NewPCG(options.Seed, floodSeedStream)))
	if r.flood.connections > 0 {
		r.recordEvent("%v", &r.flood)
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
	r.report.SecondResponses = len(r.fleet.ledger.SecondResponses())
	r.report.Logs = r.processes.logs()
	return r.report, nil
}

// runLoadAndEvents starts the first process and the clients, triggers the events, and stops the clients and
// all processes.
func (r *run) runLoadAndEvents(ctx context.Context) error {
	firstProcess, err := r.processes.start()
	if err != nil {
		return err
	}
	if !firstProcess.awaitReady(ctx) || !r.processes.awaitEndpoints(ctx) {
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
	floodDone := make(chan struct{})
	go func() {
		defer close(floodDone)
		r.flood.run(loadContext, r.processes.clientAddr)
	}()
	serving := r.runEvents(ctx, firstProcess)
	r.stopServing(serving)
	stopLoad()
	<-loadDone
	<-floodDone
	return ctx.Err()
}

// newClient returns the fake client: an open loop over persistent connections, which the client uses until
// they are closed.
func (r *run) newClient(highLoad bool) *client.Client {
	rate := requestRate
	if highLoad {
		rate = highRequestRate
		r.recordEvent("a crowd")
	}
	const timeout = requestTimeout
	return client.New(client.Options{
		Name:     "soak",
		Tenant:   "acme",
		Rate:     rate,
		MaxOpen:  maxOpenRequests,
		Duration: maxRunTime,
		Seed:     r.options.Seed,
		Grace:    clientGrace,

		ResendAfterReset: true, // checkEffects detects requests that took effect twice
		Dial:             r.dial,
		OnDone:           r.addResult,
		Classes: []client.Class{
			{Name: "look", Share: 0.6, Method: "GET", Timeout: timeout},
			{Name: "book", Share: 0.2, Method: "POST", SendIdempotencyKey: true, BodySize: 200, Timeout: timeout},
			{Name: "pay", Share: 0.2, Method: "POST", BodySize: 200, Timeout: timeout},
		},
	})
}

// addResult records the result of a request.
func (r *run) addResult(result client.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// recordEvent adds an event to the report, with the time since the start of the run.
func (r *run) recordEvent(format string, args ...any) {
	elapsed := time.Since(r.startedAt).Round(time.Millisecond)
	r.report.Events = append(r.report.Events, fmt.Sprintf("%v: ", elapsed)+fmt.Sprintf(format, args...))
}

// stopServing sends the last SIGTERM, optionally followed by SIGINT, while clients keep using their
// connections. The process is killed if it has not ended when the platform is allowed to kill it.
func (r *run) stopServing(serving *process) {
	r.mu.Lock()
	r.lastDialTime = time.Now().Add(dialAfterStop)
	r.mu.Unlock()
	r.recordEvent("last stop")
	r.stop(serving, r.rng.IntN(2) == 0)
	serving.awaitEnd()
	r.processes.awaitAll()
}

// sidecarSocket is the socket file of the sidecar's hot restart. The sidecar leaves the file in place when it
// ends, because another process may have replaced the file by then (takeover.ListenReplacing).
const sidecarSocket = "dunlinsail.takeover"

// leftoverSockets returns the socket files left in the folder that the processes shared. The file
// sidecarSocket is included only if a process still listens on it.
func (r *run) leftoverSockets() []string {
	var sockets []string
	entries, err := os.ReadDir(r.sharedDir)
	if err != nil {
		return []string{err.Error()}
	}
	for _, entry := range entries {
		if entry.Type()&os.ModeSocket == 0 {
			continue
		}
		if entry.Name() == sidecarSocket {
			conn, err := net.Dial("unixpacket", filepath.Join(r.sharedDir, sidecarSocket))
			if err != nil {
				continue
			}
			conn.Close()
		}
		sockets = append(sockets, entry.Name())
	}
	return sockets
}
