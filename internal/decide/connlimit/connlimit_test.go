package connlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func newTestTable(t *testing.T, l Limits) *Table[int] {
	t.Helper()
	x, err := New[int](l, nil)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

var testLimits = Limits{MaxConnections: 8, MaxIdle: 4, MaxIdleTime: 1000, MinIdleTime: 100}

func TestInvalidLimits(t *testing.T) {
	for _, l := range []Limits{
		{}, {MaxConnections: 1, MaxIdleTime: 1}, {MaxConnections: 1, MaxIdle: 2, MaxIdleTime: 1}, {MaxConnections: 1, MaxIdle: 1},
		{MaxConnections: 1, MaxIdle: 1, MaxIdleTime: 1, MinIdleTime: 2}, {MaxConnections: 1, MaxIdle: 1, MaxIdleTime: 1, MinIdleTime: -1},
	} {
		if _, err := New[int](l, nil); err == nil {
			t.Errorf("%+v was taken", l)
		}
	}
}

// With as many at rest as may be, the one that has rested for longest gives way; one with an open request never
// does, and where all have one the newcomer is not taken in.
func TestEvictsLongestIdleConnection(t *testing.T) {
	x := newTestTable(t, testLimits)
	o := x.NewOwner(1, 100, 0)
	var open []*Conn[int]
	for i := range 4 {
		c, closed := x.Add(int64(i), o, i)
		if c == nil || closed != nil {
			t.Fatalf("connection %d: %v, %v", i, c, closed)
		}
		open = append(open, c)
	}
	x.MarkBusy(open[0])
	x.MarkIdle(10, open[0]) // it has now rested for the shortest
	if _, closed := x.Add(11, o, 4); closed != open[1] {
		t.Fatalf("gave way: %+v, want connection 1", closed)
	}
	if x.MarkBusy(open[1]) {
		t.Error("a request was taken on a connection that is closed")
	}
	x.Remove(open[1]) // once more, as its host may
	if all, busy := x.Len(); all != 4 || busy != 0 {
		t.Errorf("%d connections, %d busy; want 4, 0", all, busy)
	}

	x = newTestTable(t, testLimits)
	o = x.NewOwner(1, 100, 0)
	for i := range 8 {
		c, closed := x.Add(0, o, i)
		if c == nil || closed != nil || !x.MarkBusy(c) {
			t.Fatalf("busy connection %d: %v, %v", i, c, closed)
		}
		open = append(open, c)
	}
	if c, closed := x.Add(0, o, 8); c != nil || closed != nil {
		t.Errorf("beyond the total: %v, %v", c, closed)
	}
}

// The time to rest shrinks as the bound is neared.
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

// An owner at its own bound makes room from its own; one with many at rest gives way before one with few.
func TestOwnerLimitsAndWeights(t *testing.T) {
	x := newTestTable(t, testLimits)
	many, few := x.NewOwner(1, 3, 0), x.NewOwner(1, 3, 0)
	x.Add(0, few, 0)
	for i := range 3 {
		x.Add(int64(1+i), many, 1+i)
	}
	if _, closed := x.Add(9, many, 4); closed == nil || closed.Value != 1 {
		t.Fatalf("at its own bound: %+v, want connection 1 closed", closed)
	}
	if c, closed := x.Add(9, few, 5); c == nil || closed == nil || closed.owner != many {
		t.Errorf("at the bound of all: %+v closed, want one of many's", closed)
	}
	// Weight counts: two at rest of weight 4 are less than one of weight 1.
	x = newTestTable(t, testLimits)
	heavy, light := x.NewOwner(4, 8, 0), x.NewOwner(1, 8, 0)
	x.Add(0, heavy, 0)
	x.Add(0, heavy, 1)
	x.Add(5, light, 2)
	x.Add(6, light, 3)
	if got := x.Evictable(); got.owner != light {
		t.Errorf("spare: connection %d of heavy", got.Value)
	}
	// All of an owner's are busy: its newcomer is not taken in, and nobody else's is closed for it.
	x = newTestTable(t, testLimits)
	full, other := x.NewOwner(1, 1, 0), x.NewOwner(1, 1, 0)
	x.Add(0, other, 0)
	c, _ := x.Add(0, full, 1)
	x.MarkBusy(c)
	if c, closed := x.Add(0, full, 2); c != nil || closed != nil {
		t.Errorf("%+v taken, %+v closed", c, closed)
	}
}

// What an owner's requests hold is bounded, and given back when they have their answers or their connections end.
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
		t.Errorf("%d held with an answer of 5000", o.ReservedBytes())
	}
	x.MarkIdle(1, a)
	if o.ReservedBytes() != 400 {
		t.Errorf("%d held after the answer", o.ReservedBytes())
	}
	x.Remove(b)
	x.Remove(b)
	if o.ReservedBytes() != 0 || x.ReserveBytes(b, 1, true) {
		t.Errorf("%d held after the end", o.ReservedBytes())
	}
}

// Whatever comes, the bounds hold and the counts are those of a plain recount.
func TestLimitsHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		x := newTestTable(t, Limits{MaxConnections: 2 + rng.IntN(20), MaxIdle: 1 + rng.IntN(2), MaxIdleTime: 500, MinIdleTime: 10})
		owners := []*Owner[int]{x.NewOwner(1, 1+rng.IntN(9), 0), x.NewOwner(3, 1+rng.IntN(9), 0), x.NewOwner(0.5, 1+rng.IntN(9), 0)}
		var idle, busy []*Conn[int]
		drop := func(from []*Conn[int], c *Conn[int]) []*Conn[int] {
			for i := range from {
				if from[i] == c {
					return append(from[:i], from[i+1:]...)
				}
			}
			return from
		}
		now := int64(0)
		for step := range 400 {
			now += int64(rng.IntN(40))
			switch rng.IntN(5) {
			case 0, 1:
				c, closed := x.Add(now, owners[rng.IntN(3)], step)
				idle = drop(idle, closed)
				if c != nil {
					idle = append(idle, c)
				}
			case 2:
				if len(idle) > 0 {
					c := idle[rng.IntN(len(idle))]
					if idle = drop(idle, c); !x.MarkBusy(c) {
						t.Fatal("a connection at rest was not taken")
					}
					busy = append(busy, c)
				}
			case 3:
				if len(busy) > 0 {
					c := busy[rng.IntN(len(busy))]
					busy = drop(busy, c)
					idle = append(drop(idle, x.MarkIdle(now, c)), c)
				}
			case 4:
				if c, _ := x.RemoveExpired(now); c != nil {
					idle = drop(idle, c)
				} else if len(busy) > 0 && rng.IntN(2) == 0 {
					x.Remove(busy[0])
					busy = busy[1:]
				}
			}
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
				if all, busy := o.Connections(); fmt.Sprint([2]int{all, busy}) != fmt.Sprint(count[o]) || all > o.maxConnections {
					t.Fatalf("seed %d: owner %d has %d, %d busy, bound %d; counted %v", seed, i, all, busy, o.maxConnections, count[o])
				}
			}
			if all, held := x.Len(); all != len(idle)+len(busy) || held != len(busy) || all > x.limits.MaxConnections ||
				len(idle) > x.limits.MaxIdle {
				t.Fatalf("seed %d: %d connections, %d busy; counted %d and %d; bounds %+v", seed, all, held,
					len(idle)+len(busy), len(busy), x.limits)
			}
		}
	}
}

// A connection on which something has come that was not taken yet is not closed, whatever would close it; it counts as one
// with an open request, and taking that request changes nothing more.
func TestConnectionWithUnreadRequestIsNotEvicted(t *testing.T) {
	unread := map[int]bool{}
	x, err := New(testLimits, func(n int) bool { return !unread[n] })
	if err != nil {
		t.Fatal(err)
	}
	o := x.NewOwner(1, 5, 0)
	var open []*Conn[int]
	for i := range 4 {
		c, _ := x.Add(int64(i), o, i)
		open = append(open, c)
	}
	unread[0], unread[2] = true, true
	c4, closed := x.Add(5, o, 4) // beyond those at rest: 0 is the oldest, and 1 gives way
	if closed != open[1] || c4 == nil {
		t.Fatalf("gave way: %+v", closed)
	}
	c5, closed := x.Add(6, o, 5) // 0 is in use, so there is room
	if closed != nil || c5 == nil {
		t.Fatalf("gave way: %+v", closed)
	}
	if _, closed = x.Add(7, o, 6); closed != open[3] { // beyond the owner's: 2 is the oldest
		t.Fatalf("gave way: %+v", closed)
	}
	if all, busy := x.Len(); all != 5 || busy != 2 {
		t.Errorf("%d connections, %d busy; want 5, 2", all, busy)
	}
	if !x.MarkBusy(open[0]) || !x.MarkBusy(open[2]) {
		t.Error("a request that came was not taken")
	}
	if _, busy := x.Len(); busy != 2 {
		t.Errorf("%d busy, want 2", busy)
	}
	unread[4], unread[5] = true, true
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
	if all, busy := x.Len(); all != 3 || busy != 2 { // 4 and 5 are in use
		t.Errorf("%d connections, %d busy; want 3, 2", all, busy)
	}
}
