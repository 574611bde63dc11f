package engine

import (
	"fmt"
	"strings"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

// keyedRun is a pool in which one request with an idempotency key is sent, whose first attempt may have run.
type keyedRun struct {
	engine *Engine
	pool   *Pool
	host   *recordingHost
}

// startKeyedRun starts a pool without endpoints whose class "book" is retried within a scope.
func startKeyedRun(t *testing.T, scope balancer.DedupScope, subsetSettings *subset.Settings) *keyedRun {
	t.Helper()
	site := tenantSite(0, 1, 0)
	book := &site.Settings.Classes[1]
	book.Idempotency = balancer.IdempotentByKey
	book.DedupScope = scope
	book.DedupWindow = 400_000
	host := &recordingHost{responses: map[string]Response{}}
	engine := New(Config{Site: site, Seed: 1, Host: host, Concurrency: ConcurrencySettings{MaxOpen: 1000}})
	pool, err := engine.NewPool(PoolConfig{
		Source:           "one",
		InitialEndpoints: EndpointUpdate{Generation: -1},
		SetWatch:         func(bool) {},
		Subset:           subsetSettings,
	})
	require.NoError(t, err)
	pool.Start(0)
	return &keyedRun{engine, pool, host}
}

// update passes on a complete list.
func (r *keyedRun) update(update EndpointUpdate, list ...EndpointInfo) {
	update.Endpoints = list
	r.pool.UpdateEndpoints(1_000, update)
}

// sentAt is the instant of the request. The endpoints, which started at instants 0 and 1, have warmed up by then.
const sentAt = 100 * monotime.Second

// send sends the request and returns its first attempt.
func (r *keyedRun) send(t *testing.T) *Attempt {
	t.Helper()
	r.engine.Advance(sentAt)
	request := balancer.Request{Class: 1, Tenant: 1, Deadline: sentAt + 500_000}
	r.engine.Submit(sentAt, newCall(t, r.pool, sentAt, "visit-1", request))
	if len(r.host.started) == 0 {
		t.Fatalf("the request was not sent: %+v", r.host.responses)
	}
	return r.host.nextAttempt()
}

// isRetried loses the answer to an attempt, and reports whether the request is then sent once more.
func (r *keyedRun) isRetried(attempt *Attempt) bool {
	const lostAt = sentAt + 1_000
	r.engine.AttemptEnded(lostAt, attempt, AttemptResult{Status: balancer.Reset, ObservedAt: lostAt})
	return len(r.host.started) > 0
}

// twoEndpoints returns the entries of two endpoints after the groups of both are set.
func twoEndpoints(setGroups func(first, second *EndpointInfo)) []EndpointInfo {
	first := readyAt("e0", "10.0.0.1:80")
	second := readyAt("e1", "10.0.0.2:80")
	setGroups(&first, &second)
	return []EndpointInfo{first, second}
}

// inCells sets the cells of two endpoints.
func inCells(first, second uint16) func(*EndpointInfo, *EndpointInfo) {
	return func(a, b *EndpointInfo) {
		a.Cell, a.CellKnown = first, true
		b.Cell, b.CellKnown = second, true
	}
}

// inZones sets the zones of two endpoints.
func inZones(first, second string) func(*EndpointInfo, *EndpointInfo) {
	return func(a, b *EndpointInfo) { a.Zone, b.Zone = first, second }
}

// listWays are the ways in which the entries of a list reach a pool's balancer.
var listWays = map[string]func(t *testing.T, scope balancer.DedupScope, list []EndpointInfo) *keyedRun{
	"complete list": func(t *testing.T, scope balancer.DedupScope, list []EndpointInfo) *keyedRun {
		t.Helper()
		r := startKeyedRun(t, scope, nil)
		r.update(EndpointUpdate{Kind: balancer.ListFull, Generation: 1}, list...)
		return r
	},
	"cached list": func(t *testing.T, scope balancer.DedupScope, list []EndpointInfo) *keyedRun {
		t.Helper()
		r := startKeyedRun(t, scope, nil)
		r.update(EndpointUpdate{Kind: balancer.ListCached, Generation: 1}, list...)
		return r
	},
	"change of a list": func(t *testing.T, scope balancer.DedupScope, list []EndpointInfo) *keyedRun {
		t.Helper()
		r := startKeyedRun(t, scope, nil)
		r.update(EndpointUpdate{Kind: balancer.ListFull, Generation: 1}, twoEndpoints(inCells(9, 9))...)
		r.update(EndpointUpdate{Kind: balancer.ListDelta, Generation: 2}, list...)
		return r
	},
	"subset": func(t *testing.T, scope balancer.DedupScope, list []EndpointInfo) *keyedRun {
		t.Helper()
		r := startKeyedRun(t, scope, &subset.Settings{Instances: 1, MinMembers: 2})
		r.update(EndpointUpdate{Kind: balancer.ListFull, Generation: 1}, list...)
		return r
	},
	"snapshot": func(t *testing.T, scope balancer.DedupScope, list []EndpointInfo) *keyedRun {
		t.Helper()
		predecessor := startKeyedRun(t, scope, nil)
		predecessor.update(EndpointUpdate{Kind: balancer.ListFull, Generation: 1}, list...)
		stored := encodeSnapshot(t, predecessor.engine.Snapshot(2_000))
		r := startKeyedRun(t, scope, nil)
		r.engine.Restore(2_000, 0, decodeSnapshot(t, stored))
		return r
	},
}

// Guards against keyed requests that take effect twice since endpoints whose zone or cell is not known count as one
// group, and against requests that are not retried within a group that is known.
func TestKeyedRequestStaysInKnownGroup(t *testing.T) {
	assumedZone := func(a, b *EndpointInfo) { a.ZoneAssumed, b.ZoneAssumed = true, true }
	for name, tc := range map[string]struct {
		scope     balancer.DedupScope
		setGroups func(first, second *EndpointInfo)
		retried   bool
	}{
		"same cell":                    {balancer.DedupCell, inCells(3, 3), true},
		"same cell 0":                  {balancer.DedupCell, inCells(0, 0), true},
		"other cell":                   {balancer.DedupCell, inCells(0, 3), false},
		"no cells":                     {balancer.DedupCell, func(_, _ *EndpointInfo) {}, false},
		"cell 0 and none":              {balancer.DedupCell, func(a, _ *EndpointInfo) { a.CellKnown = true }, false},
		"same zone":                    {balancer.DedupZone, inZones("z", "z"), true},
		"other zone":                   {balancer.DedupZone, inZones("z", "y"), false},
		"same zone, not in settings":   {balancer.DedupZone, inZones("x", "x"), true},
		"other zones, not in settings": {balancer.DedupZone, inZones("x", "y"), false},
		"no zones":                     {balancer.DedupZone, inZones("", ""), false},
		"assumed zones":                {balancer.DedupZone, assumedZone, false},
		"no group, all endpoints":      {balancer.DedupAll, inZones("", ""), true},
	} {
		for way, start := range listWays {
			r := start(t, tc.scope, twoEndpoints(tc.setGroups))
			if got := r.isRetried(r.send(t)); got != tc.retried {
				t.Errorf("%s in a %s: retried %v, want %v", name, way, got, tc.retried)
			}
		}
	}
}

// Guards against keyed requests that take effect twice since two discoveries use the same names for different groups.
func TestGroupsOfTwoSourcesDiffer(t *testing.T) {
	for _, scope := range []balancer.DedupScope{balancer.DedupZone, balancer.DedupCell} {
		for source, retried := range map[string]bool{"": true, "one": true, "two": false} {
			r := startKeyedRun(t, scope, nil)
			list := twoEndpoints(inCells(1, 1))
			r.update(EndpointUpdate{Kind: balancer.ListFull, Generation: 1}, list...)
			attempt := r.send(t)
			added := list[0]
			added.Name, added.Addr = "e2", "10.0.0.3:80"
			added.StartedAt = 1 // long ago
			r.update(EndpointUpdate{Kind: balancer.ListFull, Generation: 2, Source: source, NewSource: true}, added)
			if got := r.isRetried(attempt); got != retried {
				t.Errorf("scope %d, source %q: retried %v, want %v", scope, source, got, retried)
			}
		}
	}
}

// Guards against keyed requests that fail although they could be retried, since discovery has moved to another address
// that lists the same endpoints in the same groups. Other names, or other endpoints of the same names, are no evidence.
func TestGroupsOfMovedDiscovery(t *testing.T) {
	for name, tc := range map[string]struct {
		// change changes the entries of two endpoints that both discoveries list: a ready one, and one that drains.
		change  func(shared, drained *EndpointInfo)
		retried bool
	}{
		"same groups":             {func(_, _ *EndpointInfo) {}, true},
		"same groups, restarted":  {func(shared, _ *EndpointInfo) { shared.StartedAt = 2 }, true},
		"other addresses":         {func(a, b *EndpointInfo) { a.Addr, b.Addr = "10.9.0.2:80", "10.9.0.3:80" }, false},
		"other endpoints":         {func(a, b *EndpointInfo) { a.Name, b.Name = "e8", "e9" }, false},
		"other groups":            {func(a, b *EndpointInfo) { inCells(2, 2)(a, b); inZones("y", "y")(a, b) }, false},
		"unknown groups":          {func(a, b *EndpointInfo) { a.dropGroups(); b.dropGroups() }, false},
		"other groups of one":     {func(_, drained *EndpointInfo) { drained.Cell, drained.Zone = 2, "y" }, false},
		"not listed any more":     {func(_, drained *EndpointInfo) { drained.State = balancer.Gone }, true},
		"unknown groups of one":   {func(_, drained *EndpointInfo) { drained.dropGroups() }, true},
		"other groups than first": {func(shared, _ *EndpointInfo) { shared.Cell, shared.Zone = 2, "y" }, false},
	} {
		for _, scope := range []balancer.DedupScope{balancer.DedupZone, balancer.DedupCell} {
			for _, subsetSettings := range []*subset.Settings{nil, {Instances: 1, MinMembers: 3}} {
				r := startKeyedRun(t, scope, subsetSettings)
				list := twoEndpoints(inCells(1, 1))
				drained := readyAt("e3", "10.0.0.4:80")
				drained.Cell, drained.CellKnown, drained.State = 1, true, balancer.Draining
				r.update(EndpointUpdate{Kind: balancer.ListFull, Generation: 1}, append(list, drained)...)
				attempt := r.send(t)
				shared, added := list[0], list[1]
				if shared.Name == attempt.Endpoint.Name {
					shared, added = added, shared
				}
				tc.change(&shared, &drained)
				added.Name, added.Addr, added.StartedAt = "e2", "10.0.0.3:80", 1
				moved := EndpointUpdate{Kind: balancer.ListFull, Source: "two", NewSource: true}
				r.update(moved, shared, added, drained)
				if got := r.isRetried(attempt); got != tc.retried {
					t.Errorf("%s, scope %d: retried %v, want %v", name, scope, got, tc.retried)
				}
			}
		}
	}
}

// Guards against cells of a discovery that has been replaced which a snapshot passes on as those of the new one.
func TestSnapshotHasNoGroupsOfEarlierSource(t *testing.T) {
	r := startKeyedRun(t, balancer.DedupCell, nil)
	r.update(EndpointUpdate{Kind: balancer.ListFull, Generation: 1}, twoEndpoints(inCells(1, 1))...)
	r.pool.SetSource("two")
	for _, info := range r.engine.Snapshot(2_000).Pools[0].Endpoints {
		if info.HasCell() || info.HasZone() || info.Zone != "z" {
			t.Errorf("%+v has a known zone or cell", info)
		}
	}
}

// In the snapshot of an earlier build a cell 0 may be the lack of a cell, unless the successor's own list states it.
// Any other number is a cell.
func TestCellsOfEarlierBuild(t *testing.T) {
	for _, tc := range []struct {
		cell          uint16
		ownGeneration int64 // of a list with the same cells that the successor has received; 0 for none
		retried       bool
	}{
		{0, 0, false},
		{7, 0, true},
		{0, 5, true},
		{0, 4, false},
	} {
		stored := fmt.Sprintf(`{"Pools":[{"Source":"one","Generation":5,"Members":[`+
			`{"Name":"e0","Addr":"10.0.0.1:80","Zone":"z","Cell":%d,"Weight":1},`+
			`{"Name":"e1","Addr":"10.0.0.2:80","Zone":"z","Cell":%d,"Weight":1}]}]}`, tc.cell, tc.cell)
		r := startKeyedRun(t, balancer.DedupCell, nil)
		if tc.ownGeneration > 0 {
			ownList := twoEndpoints(inCells(tc.cell, tc.cell))
			r.update(EndpointUpdate{Kind: balancer.ListFull, Generation: tc.ownGeneration}, ownList...)
		}
		r.engine.Restore(2_000, 0, decodeSnapshot(t, []byte(stored)))
		if got := r.isRetried(r.send(t)); got != tc.retried {
			t.Errorf("%+v: retried %v", tc, got)
		}
	}
}

// The fields for groups are encoded as the first build with them encoded them, and left out where they are not set.
func TestGroupsEncodingIsStable(t *testing.T) {
	const want = `"Cell":0,"State":0,"Weight":0,"Started":0,"CellKnown":true,"ZoneAssumed":true}`
	s := &Snapshot{Pools: []PoolSnapshot{{Endpoints: []EndpointInfo{{CellKnown: true, ZoneAssumed: true}}}}}
	got := string(encodeSnapshot(t, s))
	if !strings.Contains(got, want) {
		t.Errorf("encoded as %s, want %s in it", got, want)
	}
	decoded := decodeSnapshot(t, []byte(got)).Pools[0].Endpoints[0]
	if !decoded.CellKnown || !decoded.ZoneAssumed {
		t.Errorf("decoded as %+v", decoded)
	}
}

// warningHost records the warnings of a pool.
type warningHost struct {
	recordingHost
	lines []string
}

func (h *warningHost) Warn(message string, args ...any) {
	h.lines = append(h.lines, message+fmt.Sprint(args...))
}
func (h *warningHost) Log(message string, args ...any) { h.Warn(message, args...) }

// A list whose endpoints have no known group is logged once, and so is the end of that.
func TestUnknownGroupsAreLogged(t *testing.T) {
	r := startKeyedRun(t, balancer.DedupCell, nil)
	host := &warningHost{}
	r.engine.config.Host = host
	known := twoEndpoints(inCells(1, 1))
	unknown := twoEndpoints(func(_, _ *EndpointInfo) {})
	for i, list := range [][]EndpointInfo{unknown, unknown, known, known, unknown} {
		r.update(EndpointUpdate{Kind: balancer.ListFull, Generation: int64(i)}, list...)
	}
	if len(host.lines) != 3 || !strings.Contains(host.lines[0], "book") || !strings.Contains(host.lines[1], "known") {
		t.Errorf("logged %q, want a warning, its end and a warning", host.lines)
	}
}

// Guards against a machine of a stated cell 0 that maintenance lets out as if others of its cell were in service, since
// machines without a cell counted as cell 0.
func TestMachineWithoutCellIsNotInCellZero(t *testing.T) {
	r := startKeyedRun(t, balancer.DedupCell, nil)
	r.update(EndpointUpdate{Kind: balancer.ListFull, Generation: 1},
		twoEndpoints(func(first, _ *EndpointInfo) { first.CellKnown = true })...)
	machines := r.engine.MaintenanceStatus(sentAt).Machines
	if machines[0].Cell != 0 || machines[1].Cell != maintenance.UnknownCell {
		t.Errorf("cells %d and %d, want 0 and unknown", machines[0].Cell, machines[1].Cell)
	}
}
