package connlimit

import (
	"math/rand/v2"
	"slices"
	"testing"

	"dunlinsail/internal/fake/require"
)

func newTestTable(t *testing.T, l Limits) *Table[int] {
	t.Helper()
	table, err := New[int](l, nil)
	require.NoError(t, err)
	return table
}

var testLimits = Limits{MaxConnections: 8, MaxIdle: 4, MaxIdleTime: 1000, MinIdleTime: 100}

func TestInvalidLimits(t *testing.T) {
	for _, l := range []Limits{
		{},
		{MaxConnections: 1, MaxIdleTime: 1},
		{MaxConnections: 1, MaxIdle: 2, MaxIdleTime: 1},
		{MaxConnections: 1, MaxIdle: 1},
		{MaxConnections: 1, MaxIdle: 1, MaxIdleTime: 1, MinIdleTime: 2},
		{MaxConnections: 1, MaxIdle: 1, MaxIdleTime: 1, MinIdleTime: -1},
	} {
		if _, err := New[int](l, nil); err == nil {
			t.Errorf("%+v was accepted", l)
		}
	}
}

// If MaxIdle connections are idle, the longest idle one is evicted for a new connection. A connection with an
// open request is never evicted: if all have one, no connection is added.
func TestEvictsLongestIdleConnection(t *testing.T) {
	table := newTestTable(t, testLimits)
	o := table.NewOwner(1, 100, 0)
	var conns []*Conn[int]
	for i := range 4 {
		c, evicted := table.Add(int64(i), o, i)
		if c == nil || evicted != nil {
			t.Fatalf("connection %d: %v, %v", i, c, evicted)
		}
		conns = append(conns, c)
	}
	table.MarkBusy(conns[0])
	table.MarkIdle(10, conns[0]) // connection 0 is now the one that became idle last
	if _, evicted := table.Add(11, o, 4); evicted != conns[1] {
		t.Fatalf("evicted: %+v, want connection 1", evicted)
	}
	if table.MarkBusy(conns[1]) {
		t.Error("a removed connection was marked busy")
	}
	table.Remove(conns[1]) // the caller may remove an evicted connection again
	if total, busy := table.Counts(); total != 4 || busy != 0 {
		t.Errorf("%d connections, %d busy; want 4, 0", total, busy)
	}

	table = newTestTable(t, testLimits)
	o = table.NewOwner(1, 100, 0)
	for i := range 8 {
		c, evicted := table.Add(0, o, i)
		if c == nil || evicted != nil || !table.MarkBusy(c) {
			t.Fatalf("busy connection %d: %v, %v", i, c, evicted)
		}
		conns = append(conns, c)
	}
	if c, evicted := table.Add(0, o, 8); c != nil || evicted != nil {
		t.Errorf("over MaxConnections: %v, %v", c, evicted)
	}
}

// The idle timeout shrinks as the number of idle connections approaches MaxIdle.
func TestIdleTimeoutShrinksNearMaxIdle(t *testing.T) {
	table := newTestTable(t, testLimits)
	o := table.NewOwner(1, 100, 0)
	table.Add(0, o, 0)
	if c, next := table.RemoveExpired(0); c != nil || next != 775 {
		t.Fatalf("one of four: %v, %d; want nil, 775", c, next)
	}
	for i := range 3 {
		table.Add(50, o, i+1)
	}
	if c, next := table.RemoveExpired(99); c != nil || next != 100 {
		t.Fatalf("four of four: %v, %d; want nil, 100", c, next)
	}
	if c, _ := table.RemoveExpired(100); c == nil || c.Value != 0 {
		t.Fatalf("expired: %+v, want connection 0", c)
	}
	if c, next := table.RemoveExpired(100); c != nil || next != 50+325 {
		t.Fatalf("three of four: %v, %d; want nil, 375", c, next)
	}
	if c, next := newTestTable(t, testLimits).RemoveExpired(5); c != nil || next != 0 {
		t.Errorf("an empty table: %v, %d", c, next)
	}
}

// Guards against a client whose only connection is closed because another client has many idle ones. The idle
// time of an owner within its share of MaxIdle must not be shortened, and MaxIdle must still not be exceeded.
func TestIdleTimeOfOneOwnerIsNotShortenedByAnother(t *testing.T) {
	limits := Limits{MaxConnections: 200, MaxIdle: 80, MaxIdleTime: 15_000, MinIdleTime: 100}
	table := newTestTable(t, limits)
	singleOwner := table.NewOwner(1, 100, 0)
	manyOwner := table.NewOwner(1, 100, 0)
	onlyConn, _ := table.Add(0, singleOwner, 0)
	for i := range 79 {
		table.Add(1, manyOwner, 1+i)
	}
	for range 50 {
		c, evicted := table.Add(2, manyOwner, 100)
		if c == nil || evicted == nil || evicted.owner != manyOwner {
			t.Fatalf("evicted: %+v, want a connection of the owner with many", evicted)
		}
	}
	if total, busy := table.Counts(); total-busy != limits.MaxIdle {
		t.Errorf("%d idle connections, want %d", total-busy, limits.MaxIdle)
	}
	table.Add(2, manyOwner, 101)
	for _, now := range []int64{102, 1000, 14_000} {
		for c, _ := table.RemoveExpired(now); c != nil; c, _ = table.RemoveExpired(now) {
			if c == onlyConn {
				t.Fatalf("the only connection of an owner expired after %d", now)
			}
		}
	}
	for c, _ := table.RemoveExpired(15_100); c != nil; c, _ = table.RemoveExpired(15_100) {
	}
	if total, _ := table.Counts(); total != 0 {
		t.Errorf("%d connections left after MaxIdleTime, want none", total)
	}
}

// If an owner has reached its own limit, one of its own connections is evicted. At the limit of the table, a
// connection of the owner with more idle connections is evicted.
func TestOwnerLimitsAndWeights(t *testing.T) {
	table := newTestTable(t, testLimits)
	manyOwner := table.NewOwner(1, 3, 0)
	fewOwner := table.NewOwner(1, 3, 0)
	table.Add(0, fewOwner, 0)
	for i := range 3 {
		table.Add(int64(1+i), manyOwner, 1+i)
	}
	if _, evicted := table.Add(9, manyOwner, 4); evicted == nil || evicted.Value != 1 {
		t.Fatalf("at its own limit: %+v, want connection 1 evicted", evicted)
	}
	if c, evicted := table.Add(9, fewOwner, 5); c == nil || evicted == nil || evicted.owner != manyOwner {
		t.Errorf("at the limit of the table: %+v evicted, want a connection of the owner with many", evicted)
	}
	// Idle connections are divided by weight: two of an owner with weight 4 count less than one with weight 1.
	table = newTestTable(t, testLimits)
	heavyOwner := table.NewOwner(4, 8, 0)
	lightOwner := table.NewOwner(1, 8, 0)
	table.Add(0, heavyOwner, 0)
	table.Add(0, heavyOwner, 1)
	table.Add(5, lightOwner, 2)
	table.Add(6, lightOwner, 3)
	if got := table.Evictable(); got.owner != lightOwner {
		t.Errorf("evictable: connection %d of the heavy owner", got.Value)
	}
	// If all connections of an owner at its limit are busy, its new connection is not kept, and no connection
	// of another owner is evicted.
	table = newTestTable(t, testLimits)
	fullOwner := table.NewOwner(1, 1, 0)
	otherOwner := table.NewOwner(1, 1, 0)
	table.Add(0, otherOwner, 0)
	c, _ := table.Add(0, fullOwner, 1)
	table.MarkBusy(c)
	if c, evicted := table.Add(0, fullOwner, 2); c != nil || evicted != nil {
		t.Errorf("%+v added, %+v evicted", c, evicted)
	}
}

// The reserved bytes of an owner are limited, and are released when a request has its response or a connection
// is removed.
func TestReservedBytesAreBoundedAndReleased(t *testing.T) {
	table := newTestTable(t, testLimits)
	o := table.NewOwner(1, 100, 1000)
	connA, _ := table.Add(0, o, 1)
	connB, _ := table.Add(0, o, 2)
	if !table.ReserveBytes(connA, 600, false) || table.ReserveBytes(connB, 600, false) ||
		!table.ReserveBytes(connB, 400, false) {
		t.Fatal("want 600 and 400 of 1000 bytes reserved, but not 600 twice")
	}
	table.MarkBusy(connA)
	if !table.ReserveBytes(connA, 5000, true) || o.ReservedBytes() != 6000 {
		t.Errorf("%d bytes reserved with a response of 5000", o.ReservedBytes())
	}
	table.MarkIdle(1, connA)
	if o.ReservedBytes() != 400 {
		t.Errorf("%d bytes reserved after the response", o.ReservedBytes())
	}
	table.Remove(connB)
	table.Remove(connB)
	if o.ReservedBytes() != 0 || table.ReserveBytes(connB, 1, true) {
		t.Errorf("%d bytes reserved after the removal", o.ReservedBytes())
	}
}

// The reserved bytes of all owners together are limited, too.
func TestReservedBytesOfAllOwnersAreBounded(t *testing.T) {
	limits := testLimits
	limits.MaxReservedBytes = 1000
	table := newTestTable(t, limits)
	connA, _ := table.Add(0, table.NewOwner(1, 100, 0), 1)
	connB, _ := table.Add(0, table.NewOwner(1, 100, 0), 2)
	if !table.ReserveBytes(connA, 700, false) || table.ReserveBytes(connB, 301, false) ||
		!table.ReserveBytes(connB, 300, false) || !table.ReserveBytes(connB, 0, false) {
		t.Fatal("want 700 and 300 of 1000 bytes reserved, but no more")
	}
	if !table.ReserveBytes(connA, 1, true) || !table.ReserveBytes(connB, 0, false) ||
		table.ReserveBytes(connB, 1, false) {
		t.Error("over the limit, want a response and a request without a body, but no other")
	}
	table.Remove(connA)
	table.Remove(connA)
	table.ReleaseBytes(connA)
	if !table.ReserveBytes(connB, 700, false) || table.ReserveBytes(connB, 1, false) {
		t.Error("the bytes of a removed connection were not released once")
	}
	table.ReleaseBytes(connB)
	if !table.ReserveBytes(connB, 1000, false) {
		t.Error("released bytes were not released")
	}
}

// Guards against a new connection, whose request is about to arrive, being evicted while connections are still open
// whose clients have got their last response.
func TestAnsweredConnectionIsEvictedFirst(t *testing.T) {
	table := newTestTable(t, testLimits)
	o := table.NewOwner(1, 100, 0)
	var conns []*Conn[int]
	for i := range testLimits.MaxIdle {
		c, _ := table.Add(int64(i), o, i)
		conns = append(conns, c)
	}
	last := conns[len(conns)-1]
	table.MarkAnswered(last)
	table.MarkAnswered(last)
	if _, evicted := table.Add(9, o, 9); evicted != last {
		t.Errorf("evicted: %+v, want the connection with its last response", evicted)
	}
	if _, evicted := table.Add(10, o, 10); evicted != conns[0] {
		t.Errorf("evicted: %+v, want the longest idle connection", evicted)
	}
	table.MarkAnswered(conns[0])
	table.MarkBusy(conns[1])
	table.MarkAnswered(conns[1])
	if got := table.Evictable(); got == conns[0] || got == conns[1] {
		t.Errorf("evictable: connection %d, which is removed or busy", got.Value)
	}
}

// Guards against idle and new connections that are evicted because many clients have sent parts of requests. Those are
// evicted only where the number of all connections requires it, after the idle ones and the longest first.
func TestArrivingRequestsEvictNoIdleConnection(t *testing.T) {
	table := newTestTable(t, testLimits)
	o := table.NewOwner(1, 100, 0)
	idleConn, _ := table.Add(0, o, 0)
	var arriving []*Conn[int]
	for i := 1; i < testLimits.MaxConnections; i++ {
		c, evicted := table.Add(int64(i), o, i)
		if evicted != nil {
			t.Fatalf("evicted: %+v", evicted)
		}
		table.MarkArriving(c)
		arriving = append(arriving, c)
	}
	if _, busy := table.Counts(); busy != 0 {
		t.Errorf("%d busy, want none", busy)
	}
	for i, want := range []*Conn[int]{idleConn, arriving[0], arriving[1]} {
		c, evicted := table.Add(int64(100+i), o, 100+i)
		if evicted != want {
			t.Errorf("evicted: %+v, want connection %d", evicted, want.Value)
		}
		table.MarkArriving(c)
	}
	if c, _ := table.RemoveExpired(1 << 40); c != nil {
		t.Errorf("connection %d expired while a request was arriving", c.Value)
	}
	full := table.NewOwner(1, 1, 0)
	table.Remove(arriving[2])
	only, _ := table.Add(200, full, 200)
	table.MarkArriving(only)
	if _, evicted := table.Add(201, full, 201); evicted != only {
		t.Errorf("at the limit of the owner: %+v evicted, want its only connection", evicted)
	}
}

// without returns a list of connections without the given connection.
func without(conns []*Conn[int], c *Conn[int]) []*Conn[int] {
	for i := range conns {
		if conns[i] == c {
			return append(conns[:i], conns[i+1:]...)
		}
	}
	return conns
}

// checkCounts compares the counts of the table with the expected idle, arriving and busy connections, and all with the
// limits.
func (r *randomRun) checkCounts(t *testing.T, seed uint64) {
	t.Helper()
	table := r.table
	owners := r.owners
	idle := r.idle
	busy := slices.Concat(r.arriving, r.busy)
	recounted := map[*Owner[int]][2]int{}
	for _, c := range idle {
		n := recounted[c.owner]
		recounted[c.owner] = [2]int{n[0] + 1, n[1]}
	}
	for _, c := range busy {
		n := recounted[c.owner]
		recounted[c.owner] = [2]int{n[0] + 1, n[1] + 1}
	}
	for ownerIndex, o := range owners {
		total, busy := o.Connections()
		if [2]int{total, busy} != recounted[o] || total > o.maxConnections {
			t.Fatalf("seed %d: owner %d has %d, %d busy, limit %d; counted %v",
				seed, ownerIndex, total, busy, o.maxConnections, recounted[o])
		}
	}
	total, withOpenRequest := table.Counts()
	overLimits := total > table.limits.MaxConnections || len(idle) > table.limits.MaxIdle
	if total != len(idle)+len(busy) || withOpenRequest != len(r.busy) || overLimits {
		t.Fatalf("seed %d: %d connections, %d busy; counted %d and %d; limits %+v",
			seed, total, withOpenRequest, len(idle)+len(busy), len(busy), table.limits)
	}
}

// randomRun applies random events to a table, and tracks which of its connections are expected to be idle, to have an
// arriving request, and to be busy.
type randomRun struct {
	rng      *rand.Rand
	table    *Table[int]
	owners   []*Owner[int]
	idle     []*Conn[int]
	arriving []*Conn[int]
	busy     []*Conn[int]
	now      int64
}

// step applies one random event.
func (r *randomRun) step(t *testing.T, value int) {
	t.Helper()
	r.now += int64(r.rng.IntN(40))
	switch r.rng.IntN(7) {
	case 0, 1:
		c, evicted := r.table.Add(r.now, r.owners[r.rng.IntN(3)], value)
		r.idle = without(r.idle, evicted)
		r.arriving = without(r.arriving, evicted)
		if c != nil {
			r.idle = append(r.idle, c)
		}
		r.idle = without(r.idle, r.table.EvictExcessIdle())
	case 2:
		r.markAnyBusy(t)
	case 3:
		r.markAnyIdle()
	case 4:
		r.expireOrRemove()
	case 5:
		r.markAnyArriving()
	case 6:
		r.markAnyAnswered()
	}
}

// markAnyArriving records that a request begins to arrive on a random idle connection.
func (r *randomRun) markAnyArriving() {
	if len(r.idle) > 0 {
		c := r.idle[r.rng.IntN(len(r.idle))]
		r.table.MarkArriving(c)
		r.idle = without(r.idle, c)
		r.arriving = append(r.arriving, c)
	}
}

// markAnyAnswered records the last response on a random connection without an open request.
func (r *randomRun) markAnyAnswered() {
	if conns := slices.Concat(r.idle, r.arriving); len(conns) > 0 {
		r.table.MarkAnswered(conns[r.rng.IntN(len(conns))])
	}
}

// markAnyBusy marks a random connection without an open request as busy.
func (r *randomRun) markAnyBusy(t *testing.T) {
	t.Helper()
	conns := slices.Concat(r.idle, r.arriving)
	if len(conns) == 0 {
		return
	}
	c := conns[r.rng.IntN(len(conns))]
	r.idle = without(r.idle, c)
	r.arriving = without(r.arriving, c)
	if !r.table.MarkBusy(c) {
		t.Fatal("a connection without an open request was not marked busy")
	}
	r.busy = append(r.busy, c)
}

// markAnyIdle marks a random busy connection as idle.
func (r *randomRun) markAnyIdle() {
	if len(r.busy) == 0 {
		return
	}
	c := r.busy[r.rng.IntN(len(r.busy))]
	r.busy = without(r.busy, c)
	r.idle = append(without(r.idle, r.table.MarkIdle(r.now, c)), c)
}

// expireOrRemove removes a connection that has expired. If none has expired, it sometimes removes a busy
// connection.
func (r *randomRun) expireOrRemove() {
	if c, _ := r.table.RemoveExpired(r.now); c != nil {
		r.idle = without(r.idle, c)
		return
	}
	if len(r.busy) > 0 && r.rng.IntN(2) == 0 {
		r.table.Remove(r.busy[0])
		r.busy = r.busy[1:]
	}
}

// With random events, the table stays within its limits, and its counts equal those of a recount.
func TestLimitsHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limits := Limits{MaxIdleTime: 500, MinIdleTime: 10}
		limits.MaxConnections = 2 + rng.IntN(20)
		limits.MaxIdle = 1 + rng.IntN(2)
		r := &randomRun{rng: rng, table: newTestTable(t, limits)}
		for _, weight := range []float64{1, 3, 0.5} {
			r.owners = append(r.owners, r.table.NewOwner(weight, 1+rng.IntN(9), 0))
		}
		for step := range 400 {
			r.step(t, step)
			r.checkCounts(t, seed)
		}
	}
}

// Guards against losing a request: a connection on which a request has arrived that was not read yet is not
// evicted for any reason. It counts as busy, and a later MarkBusy does not count it again.
func TestConnectionWithUnreadRequestIsNotEvicted(t *testing.T) {
	hasUnread := map[int]bool{}
	table, err := New(testLimits, func(n int) bool { return !hasUnread[n] })
	require.NoError(t, err)
	o := table.NewOwner(1, 5, 0)
	var conns []*Conn[int]
	for i := range 4 {
		c, _ := table.Add(int64(i), o, i)
		conns = append(conns, c)
	}
	hasUnread[0] = true
	hasUnread[2] = true
	// MaxIdle is reached. Connection 0 is idle longest but has an unread request, so that 1 is evicted.
	conn4, evicted := table.Add(5, o, 4)
	if evicted != conns[1] || conn4 == nil {
		t.Fatalf("evicted: %+v", evicted)
	}
	conn5, evicted := table.Add(6, o, 5) // 0 counts as busy, so that MaxIdle is not reached
	if evicted != nil || conn5 == nil {
		t.Fatalf("evicted: %+v", evicted)
	}
	// The owner's limit is reached. Connection 2 is idle longest but has an unread request, so that 3 is evicted.
	if _, evicted = table.Add(7, o, 6); evicted != conns[3] {
		t.Fatalf("evicted: %+v", evicted)
	}
	if total, busy := table.Counts(); total != 5 || busy != 2 {
		t.Errorf("%d connections, %d busy; want 5, 2", total, busy)
	}
	if !table.MarkBusy(conns[0]) || !table.MarkBusy(conns[2]) {
		t.Error("a connection with an unread request was not marked busy")
	}
	if _, busy := table.Counts(); busy != 2 {
		t.Errorf("%d busy, want 2", busy)
	}
	hasUnread[4] = true
	hasUnread[5] = true
	if c, _ := table.RemoveExpired(10_000); c == nil || c.Value != 6 {
		t.Errorf("expired: %+v, want 6", c)
	}
	if c, _ := table.RemoveExpired(10_000); c != nil {
		t.Errorf("expired: %+v", c)
	}
	for i := range 7 {
		hasUnread[i] = false
	}
	table.MarkIdle(20_000, conns[0])
	table.Remove(conns[2])
	if total, busy := table.Counts(); total != 3 || busy != 2 { // 4 and 5 count as busy
		t.Errorf("%d connections, %d busy; want 3, 2", total, busy)
	}
}
