package connlimit

import (
	"math/rand/v2"
	"testing"

	"dunlinsail/internal/fake/require"
)

func newTestTable(t *testing.T, l Limits) *Table[int] {
	t.Helper()
	x, err := New[int](l, nil)
	require.NoError(t, err)
	return x
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

// With MaxIdle idle connections the one that was idle longest is evicted; one with an open request never is, and if
// all have one, no connection is added.
func TestEvictsLongestIdleConnection(t *testing.T) {
	x := newTestTable(t, testLimits)
	o := x.NewOwner(1, 100, 0)
	var open []*Conn[int]
	for i := range 4 {
		c, evicted := x.Add(int64(i), o, i)
		if c == nil || evicted != nil {
			t.Fatalf("connection %d: %v, %v", i, c, evicted)
		}
		open = append(open, c)
	}
	x.MarkBusy(open[0])
	x.MarkIdle(10, open[0]) // it was idle for the shortest time now
	if _, evicted := x.Add(11, o, 4); evicted != open[1] {
		t.Fatalf("evicted: %+v, want connection 1", evicted)
	}
	if x.MarkBusy(open[1]) {
		t.Error("a removed connection was marked busy")
	}
	x.Remove(open[1]) // once more, as the caller may
	if all, busy := x.Counts(); all != 4 || busy != 0 {
		t.Errorf("%d connections, %d busy; want 4, 0", all, busy)
	}

	x = newTestTable(t, testLimits)
	o = x.NewOwner(1, 100, 0)
	for i := range 8 {
		c, evicted := x.Add(0, o, i)
		if c == nil || evicted != nil || !x.MarkBusy(c) {
			t.Fatalf("busy connection %d: %v, %v", i, c, evicted)
		}
		open = append(open, c)
	}
	if c, evicted := x.Add(0, o, 8); c != nil || evicted != nil {
		t.Errorf("over MaxConnections: %v, %v", c, evicted)
	}
}

// The idle timeout shrinks as MaxIdle is neared.
func TestIdleTimeoutShrinksNearMaxIdle(t *testing.T) {
	x := newTestTable(t, testLimits)
	o := x.NewOwner(1, 100, 0)
	x.Add(0, o, 0)
	if c, next := x.RemoveExpired(0); c != nil || next != 775 {
		t.Fatalf("one of four: %v, %d; want nil, 775", c, next)
	}
	for i := range 3 {
		x.Add(50, o, i+1)
	}
	if c, next := x.RemoveExpired(99); c != nil || next != 100 {
		t.Fatalf("four of four: %v, %d; want nil, 100", c, next)
	}
	if c, _ := x.RemoveExpired(100); c == nil || c.Value != 0 {
		t.Fatalf("expired: %+v, want connection 0", c)
	}
	if c, next := x.RemoveExpired(100); c != nil || next != 50+325 {
		t.Fatalf("three of four: %v, %d; want nil, 375", c, next)
	}
	if c, next := newTestTable(t, testLimits).RemoveExpired(5); c != nil || next != 0 {
		t.Errorf("an empty table: %v, %d", c, next)
	}
}

// Guards against a client whose only connection is closed because another client has many idle ones: the idle time of
// an owner within its share of MaxIdle is not shortened, and the limit holds all the same.
func TestIdleTimeOfOneOwnerIsNotShortenedByAnother(t *testing.T) {
	limits := Limits{MaxConnections: 200, MaxIdle: 80, MaxIdleTime: 15_000, MinIdleTime: 100}
	x := newTestTable(t, limits)
	single := x.NewOwner(1, 100, 0)
	crowd := x.NewOwner(1, 100, 0)
	only, _ := x.Add(0, single, 0)
	for i := range 79 {
		x.Add(1, crowd, 1+i)
	}
	for range 50 {
		c, evicted := x.Add(2, crowd, 100)
		if c == nil || evicted == nil || evicted.owner != crowd {
			t.Fatalf("evicted: %+v, want one of the crowd's", evicted)
		}
	}
	if all, busy := x.Counts(); all-busy != limits.MaxIdle {
		t.Errorf("%d idle connections, want %d", all-busy, limits.MaxIdle)
	}
	x.Add(2, crowd, 101)
	for _, now := range []int64{102, 1000, 14_000} {
		for c, _ := x.RemoveExpired(now); c != nil; c, _ = x.RemoveExpired(now) {
			if c == only {
				t.Fatalf("the only connection of an owner expired after %d", now)
			}
		}
	}
	for c, _ := x.RemoveExpired(15_100); c != nil; c, _ = x.RemoveExpired(15_100) {
	}
	if all, _ := x.Counts(); all != 0 {
		t.Errorf("%d connections left after MaxIdleTime, want none", all)
	}
}

// Of an owner at its own limit one of its own connections is evicted; an owner with many idle ones is before one with
// few.
func TestOwnerLimitsAndWeights(t *testing.T) {
	x := newTestTable(t, testLimits)
	many := x.NewOwner(1, 3, 0)
	few := x.NewOwner(1, 3, 0)
	x.Add(0, few, 0)
	for i := range 3 {
		x.Add(int64(1+i), many, 1+i)
	}
	if _, evicted := x.Add(9, many, 4); evicted == nil || evicted.Value != 1 {
		t.Fatalf("at its own limit: %+v, want connection 1 evicted", evicted)
	}
	if c, evicted := x.Add(9, few, 5); c == nil || evicted == nil || evicted.owner != many {
		t.Errorf("at the limit of all: %+v evicted, want one of many's", evicted)
	}
	// Weight counts: two idle ones of weight 4 are less than one of weight 1.
	x = newTestTable(t, testLimits)
	heavy := x.NewOwner(4, 8, 0)
	light := x.NewOwner(1, 8, 0)
	x.Add(0, heavy, 0)
	x.Add(0, heavy, 1)
	x.Add(5, light, 2)
	x.Add(6, light, 3)
	if got := x.Evictable(); got.owner != light {
		t.Errorf("evictable: connection %d of heavy", got.Value)
	}
	// If all of an owner's are busy, no connection of it is added, and none of another owner is evicted.
	x = newTestTable(t, testLimits)
	full := x.NewOwner(1, 1, 0)
	other := x.NewOwner(1, 1, 0)
	x.Add(0, other, 0)
	c, _ := x.Add(0, full, 1)
	x.MarkBusy(c)
	if c, evicted := x.Add(0, full, 2); c != nil || evicted != nil {
		t.Errorf("%+v added, %+v evicted", c, evicted)
	}
}

// The bytes of an owner are bounded, and released when its requests are answered or its connections removed.
func TestReservedBytesAreBoundedAndReleased(t *testing.T) {
	x := newTestTable(t, testLimits)
	o := x.NewOwner(1, 100, 1000)
	a, _ := x.Add(0, o, 1)
	b, _ := x.Add(0, o, 2)
	if !x.ReserveBytes(a, 600, false) || x.ReserveBytes(b, 600, false) || !x.ReserveBytes(b, 400, false) {
		t.Fatal("600 and 400 of 1000 fit, 600 twice do not")
	}
	x.MarkBusy(a)
	if !x.ReserveBytes(a, 5000, true) || o.ReservedBytes() != 6000 {
		t.Errorf("%d reserved with an answer of 5000", o.ReservedBytes())
	}
	x.MarkIdle(1, a)
	if o.ReservedBytes() != 400 {
		t.Errorf("%d reserved after the answer", o.ReservedBytes())
	}
	x.Remove(b)
	x.Remove(b)
	if o.ReservedBytes() != 0 || x.ReserveBytes(b, 1, true) {
		t.Errorf("%d reserved after the removal", o.ReservedBytes())
	}
}

// without returns a list without a connection.
func without(list []*Conn[int], c *Conn[int]) []*Conn[int] {
	for i := range list {
		if list[i] == c {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// checkCounts compares a table's counts with a recount, and both with its limits.
func checkCounts(t *testing.T, seed uint64, x *Table[int], owners []*Owner[int], idle, busy []*Conn[int]) {
	t.Helper()
	count := map[*Owner[int]][2]int{}
	for _, c := range idle {
		n := count[c.owner]
		count[c.owner] = [2]int{n[0] + 1, n[1]}
	}
	for _, c := range busy {
		n := count[c.owner]
		count[c.owner] = [2]int{n[0] + 1, n[1] + 1}
	}
	for i, o := range owners {
		all, busy := o.Connections()
		if [2]int{all, busy} != count[o] || all > o.maxConnections {
			t.Fatalf("seed %d: owner %d has %d, %d busy, limit %d; counted %v",
				seed, i, all, busy, o.maxConnections, count[o])
		}
	}
	all, withRequest := x.Counts()
	overLimits := all > x.limits.MaxConnections || len(idle) > x.limits.MaxIdle
	if all != len(idle)+len(busy) || withRequest != len(busy) || overLimits {
		t.Fatalf("seed %d: %d connections, %d busy; counted %d and %d; limits %+v",
			seed, all, withRequest, len(idle)+len(busy), len(busy), x.limits)
	}
}

// randomRun is a table on which random events happen, and its connections by what they should be.
type randomRun struct {
	rng    *rand.Rand
	table  *Table[int]
	owners []*Owner[int]
	idle   []*Conn[int]
	busy   []*Conn[int]
	now    int64
}

// step makes one event at random.
func (r *randomRun) step(t *testing.T, value int) {
	t.Helper()
	r.now += int64(r.rng.IntN(40))
	switch r.rng.IntN(5) {
	case 0, 1:
		c, evicted := r.table.Add(r.now, r.owners[r.rng.IntN(3)], value)
		r.idle = without(r.idle, evicted)
		if c != nil {
			r.idle = append(r.idle, c)
		}
	case 2:
		r.markAnyBusy(t)
	case 3:
		r.markAnyIdle()
	case 4:
		r.expireOrRemove()
	}
}

// markAnyBusy marks an idle connection busy.
func (r *randomRun) markAnyBusy(t *testing.T) {
	t.Helper()
	if len(r.idle) == 0 {
		return
	}
	c := r.idle[r.rng.IntN(len(r.idle))]
	r.idle = without(r.idle, c)
	if !r.table.MarkBusy(c) {
		t.Fatal("an idle connection was not marked busy")
	}
	r.busy = append(r.busy, c)
}

// markAnyIdle marks a busy connection idle.
func (r *randomRun) markAnyIdle() {
	if len(r.busy) == 0 {
		return
	}
	c := r.busy[r.rng.IntN(len(r.busy))]
	r.busy = without(r.busy, c)
	r.idle = append(without(r.idle, r.table.MarkIdle(r.now, c)), c)
}

// expireOrRemove removes a connection that has expired, or perhaps a busy one if none has.
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

// Whatever happens, the limits hold and the counts are those of a recount.
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
			checkCounts(t, seed, r.table, r.owners, r.idle, r.busy)
		}
	}
}

// A connection on which something has arrived that was not read yet is not evicted for any reason; it counts as one
// with an open request, and MarkBusy changes nothing more.
func TestConnectionWithUnreadRequestIsNotEvicted(t *testing.T) {
	unread := map[int]bool{}
	x, err := New(testLimits, func(n int) bool { return !unread[n] })
	require.NoError(t, err)
	o := x.NewOwner(1, 5, 0)
	var open []*Conn[int]
	for i := range 4 {
		c, _ := x.Add(int64(i), o, i)
		open = append(open, c)
	}
	unread[0] = true
	unread[2] = true
	c4, evicted := x.Add(5, o, 4) // over MaxIdle: 0 was idle longest, and 1 is evicted
	if evicted != open[1] || c4 == nil {
		t.Fatalf("evicted: %+v", evicted)
	}
	c5, evicted := x.Add(6, o, 5) // 0 is busy, so that there is capacity
	if evicted != nil || c5 == nil {
		t.Fatalf("evicted: %+v", evicted)
	}
	if _, evicted = x.Add(7, o, 6); evicted != open[3] { // over the owner's limit: 2 was idle longest
		t.Fatalf("evicted: %+v", evicted)
	}
	if all, busy := x.Counts(); all != 5 || busy != 2 {
		t.Errorf("%d connections, %d busy; want 5, 2", all, busy)
	}
	if !x.MarkBusy(open[0]) || !x.MarkBusy(open[2]) {
		t.Error("a connection with an unread request was not marked busy")
	}
	if _, busy := x.Counts(); busy != 2 {
		t.Errorf("%d busy, want 2", busy)
	}
	unread[4] = true
	unread[5] = true
	if c, _ := x.RemoveExpired(10_000); c == nil || c.Value != 6 {
		t.Errorf("expired: %+v, want 6", c)
	}
	if c, _ := x.RemoveExpired(10_000); c != nil {
		t.Errorf("expired: %+v", c)
	}
	for i := range 7 {
		unread[i] = false
	}
	x.MarkIdle(20_000, open[0])
	x.Remove(open[2])
	if all, busy := x.Counts(); all != 3 || busy != 2 { // 4 and 5 are busy
		t.Errorf("%d connections, %d busy; want 3, 2", all, busy)
	}
}
