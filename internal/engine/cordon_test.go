package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/monotime"
)

// cordonRun is a test run in which an instance's endpoints are cordoned and changed at random.
type cordonRun struct {
	seed       uint64
	rng        *rand.Rand
	host       *respondingHost
	client     *Client
	endpoints  []EndpointInfo
	now        monotime.Micros
	generation int64
	cordoned   map[string]bool
	records    []cordon.Record // all cordon records that SetCordon returned
}

// updateList passes the current endpoint list to the engine, with the next generation.
func (r *cordonRun) updateList() {
	r.generation++
	update := EndpointUpdate{Kind: balancer.ListFull, Generation: r.generation, Endpoints: r.endpoints}
	r.host.pool.UpdateEndpoints(r.now, update)
}

// setRandomCordon cordons an endpoint with probability 2/3, and uncordons it otherwise.
func (r *cordonRun) setRandomCordon(t *testing.T, name string) {
	t.Helper()
	cordoned := r.rng.IntN(3) > 0
	record, known := r.host.engine.SetCordon(r.now, name, cordoned, r.now)
	if listed := r.host.pool.byName[name] != nil; known != (listed || r.cordoned[name]) {
		t.Fatalf("seed %d: known %v; listed %v, cordoned %v", r.seed, known, listed, r.cordoned[name])
	}
	if known {
		r.records = append(r.records, record)
		r.cordoned[name] = cordoned
	}
}

// replaceEngine replaces the engine with a new one that restores a snapshot of it.
func (r *cordonRun) replaceEngine(t *testing.T) {
	t.Helper()
	snapshot := r.host.engine.Snapshot(r.now)
	r.host, r.client, _ = newInstance(t, nil)
	r.host.run(r.client, r.now-monotime.Second, 0, 0)
	r.host.pool.UpdateEndpoints(r.now, EndpointUpdate{Kind: balancer.ListFull, Generation: 0, Endpoints: nil})
	r.host.engine.Restore(r.now, 0, snapshot)
}

// changeAtRandom makes one random change to the cordons, the endpoint list or the engine.
func (r *cordonRun) changeAtRandom(t *testing.T) {
	t.Helper()
	i := r.rng.IntN(len(r.endpoints))
	switch name := r.endpoints[i].Name; r.rng.IntN(6) {
	case 0, 1:
		r.setRandomCordon(t, name)
	case 2:
		r.endpoints[i].State = balancer.EndpointState(r.rng.IntN(3))
		r.updateList()
	case 3:
		r.endpoints[i].Addr = fmt.Sprintf("10.1.0.%d:80", r.rng.IntN(200))
		r.endpoints[i].State = balancer.Ready
		r.updateList()
	case 4: // deliver all cordon records again
		for _, record := range r.records {
			r.host.engine.ReceiveCordon(r.now, record)
		}
	case 5:
		if r.rng.IntN(4) == 0 {
			r.replaceEngine(t)
		}
	}
}

// checkNoAttempts submits requests, and fails the test if a cordoned endpoint gets an attempt or is not
// excluded.
func (r *cordonRun) checkNoAttempts(t *testing.T) {
	t.Helper()
	clear(r.host.attempts)
	r.now = r.host.run(r.client, r.now, 6, monotime.Second/50)
	for name := range r.host.attempts {
		if r.cordoned[name] {
			t.Fatalf("seed %d: %s got an attempt while cordoned", r.seed, name)
		}
	}
	for name, e := range r.host.pool.byName {
		cordoned := r.cordoned[name]
		if e.excluded != cordoned || cordoned && e.MaySend(r.now) {
			t.Fatalf("seed %d: %s excluded %v, may send %v; want cordoned %v",
				r.seed, name, e.excluded, e.MaySend(r.now), cordoned)
		}
	}
}

// A cordoned endpoint gets no requests, even if it drains, disappears, returns or changes its address in list
// updates, if old cordon records are delivered again, or if another engine takes over.
func TestCordonedEndpointGetsNoRequest(t *testing.T) {
	for seed := range uint64(20) {
		h, c, list := newInstance(t, nil)
		r := &cordonRun{
			seed:       seed,
			rng:        rand.New(rand.NewPCG(seed, 7)),
			host:       h,
			client:     c,
			endpoints:  list[:6],
			now:        1_000 * monotime.Second,
			generation: 1,
			cordoned:   map[string]bool{},
		}
		r.updateList()
		for range 60 {
			r.changeAtRandom(t)
			r.checkNoAttempts(t)
		}
	}
	h, _, _ := newInstance(t, nil)
	_, known := h.engine.SetCordon(1_000*monotime.Second, "s-nobody", true, 1)
	if known || len(h.engine.Cordons()) != 0 {
		t.Errorf("cordon of an unlisted endpoint: known %v, cordons %v, want false and none", known, h.engine.Cordons())
	}
}

// Engine.Statistics counts the listed endpoints and the avoided ones.
func TestStatisticsCountListedAndAvoidedEndpoints(t *testing.T) {
	h, _, _ := newInstance(t, nil)
	h.engine.SetCordon(1_000*monotime.Second, "s-3", true, 1)
	h.engine.SetCordon(1_000*monotime.Second, "s-3", true, 2)
	h.engine.SetCordon(1_000*monotime.Second, "s-4", true, 3)
	h.engine.SetCordon(1_000*monotime.Second, "s-4", false, 4)
	if stats := h.engine.Statistics(1_000 * monotime.Second); stats != (Statistics{
		ListedEndpoints:  60,
		AvoidedEndpoints: 1,
	}) {
		t.Errorf("statistics %+v", stats)
	}
}
