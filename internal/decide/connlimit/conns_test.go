package connlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func table(t *testing.T, l Limits) *Table[int] {
	t.Helper()
	x, err := New[int](l, nil)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

var limits = Limits{Total: 8, AtRest: 4, IdleMost: 1000, IdleLeast: 100}

func TestLimitsThatMakeNoSense(t *testing.T) {
	for _, l := range []Limits{
		{}, {Total: 1, IdleMost: 1}, {Total: 1, AtRest: 2, IdleMost: 1}, {Total: 1, AtRest: 1},
		{Total: 1, AtRest: 1, IdleMost: 1, IdleLeast: 2}, {Total: 1, AtRest: 1, IdleMost: 1, IdleLeast: -1},
	} {
		if _, err := New[int](l, nil); err == nil {
			t.Errorf("%+v was taken", l)
		}
	}
}

// With as many at rest as may be, the one that has rested for longest gives way; one with an open request never
// does, and where all have one the newcomer is not taken in.
func TestOldestAtRestGivesWay(t *testing.T) {
	x := table(t, limits)
	o := x.Owner(1, 100, 0)
	var open []*Conn[int]
	for i := range 4 {
		c, closed := x.Open(int64(i), o, i)
		if c == nil || closed != nil {
			t.Fatalf("connection %d: %v, %v", i, c, closed)
		}
		open = append(open, c)
	}
	x.Take(open[0])
	x.Rest(10, open[0]) // it has now rested for the shortest
	if _, closed := x.Open(11, o, 4); closed != open[1] {
		t.Fatalf("gave way: %+v, want connection 1", closed)
	}
	if x.Take(open[1]) {
		t.Error("a request was taken on a connection that is closed")
	}
	x.Close(open[1]) // once more, as its host may
	if all, busy := x.Len(); all != 4 || busy != 0 {
		t.Errorf("%d connections, %d busy; want 4, 0", all, busy)
	}

	x = table(t, limits)
	o = x.Owner(1, 100, 0)
	for i := range 8 {
		c, closed := x.Open(0, o, i)
		if c == nil || closed != nil || !x.Take(c) {
			t.Fatalf("busy connection %d: %v, %v", i, c, closed)
		}
		open = append(open, c)
	}
	if c, closed := x.Open(0, o, 8); c != nil || closed != nil {
		t.Errorf("beyond the total: %v, %v", c, closed)
	}
}

// The time to rest shrinks as the bound is neared.
func TestIdleTimeShrinks(t *testing.T) {
	x := table(t, limits)
	o := x.Owner(1, 100, 0)
	x.Open(0, o, 0)
	if c, next := x.Expired(0); c != nil || next != 775 {
		t.Fatalf("one of four: %v, %d; want nil, 775", c, next)
	}
	for i := range 3 {
		x.Open(50, o, i+1)
	}
	if c, next := x.Expired(99); c != nil || next != 100 {
		t.Fatalf("four of four: %v, %d; want nil, 100", c, next)
	}
	if c, _ := x.Expired(100); c == nil || c.Value != 0 {
		t.Fatalf("expired: %+v, want connection 0", c)
	}
	if c, next := x.Expired(100); c != nil || next != 50+325 {
		t.Fatalf("three of four: %v, %d; want nil, 375", c, next)
	}
	if c, next := table(t, limits).Expired(5); c != nil || next != 0 {
		t.Errorf("an empty table: %v, %d", c, next)
	}
}

// An owner at its own bound makes room from its own; one with many at rest gives way before one with few.
func TestOwners(t *testing.T) {
	x := table(t, limits)
	many, few := x.Owner(1, 3, 0), x.Owner(1, 3, 0)
	x.Open(0, few, 0)
	for i := range 3 {
		x.Open(int64(1+i), many, 1+i)
	}
	if _, closed := x.Open(9, many, 4); closed == nil || closed.Value != 1 {
		t.Fatalf("at its own bound: %+v, want connection 1 closed", closed)
	}
	if c, closed := x.Open(9, few, 5); c == nil || closed == nil || closed.owner != many {
		t.Errorf("at the bound of all: %+v closed, want one of many's", closed)
	}
	// Weight counts: two at rest of weight 4 are less than one of weight 1.
	x = table(t, limits)
	heavy, light := x.Owner(4, 8, 0), x.Owner(1, 8, 0)
	x.Open(0, heavy, 0)
	x.Open(0, heavy, 1)
	x.Open(5, light, 2)
	x.Open(6, light, 3)
	if got := x.Spare(); got.owner != light {
		t.Errorf("spare: connection %d of heavy", got.Value)
	}
	// All of an owner's are busy: its newcomer is not taken in, and nobody else's is closed for it.
	x = table(t, limits)
	full, other := x.Owner(1, 1, 0), x.Owner(1, 1, 0)
	x.Open(0, other, 0)
	c, _ := x.Open(0, full, 1)
	x.Take(c)
	if c, closed := x.Open(0, full, 2); c != nil || closed != nil {
		t.Errorf("%+v taken, %+v closed", c, closed)
	}
}

// What an owner's requests hold is bounded, and given back when they have their answers or their connections end.
func TestBytesHeld(t *testing.T) {
	x := table(t, limits)
	o := x.Owner(1, 100, 1000)
	a, _ := x.Open(0, o, 1)
	b, _ := x.Open(0, o, 2)
	if !x.Hold(a, 600, false) || x.Hold(b, 600, false) || !x.Hold(b, 400, false) {
		t.Fatal("600 and 400 of 1000 fit, 600 twice do not")
	}
	x.Take(a)
	if !x.Hold(a, 5000, true) || o.Held() != 6000 {
		t.Errorf("%d held with an answer of 5000", o.Held())
	}
	x.Rest(1, a)
	if o.Held() != 400 {
		t.Errorf("%d held after the answer", o.Held())
	}
	x.Close(b)
	x.Close(b)
	if o.Held() != 0 || x.Hold(b, 1, true) {
		t.Errorf("%d held after the end", o.Held())
	}
}

// Whatever comes, the bounds hold and the counts are those of a plain recount.
func TestBoundsHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		x := table(t, Limits{Total: 2 + rng.IntN(20), AtRest: 1 + rng.IntN(2), IdleMost: 500, IdleLeast: 10})
		owners := []*Owner[int]{x.Owner(1, 1+rng.IntN(9), 0), x.Owner(3, 1+rng.IntN(9), 0), x.Owner(0.5, 1+rng.IntN(9), 0)}
		var resting, busy []*Conn[int]
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
				c, closed := x.Open(now, owners[rng.IntN(3)], step)
				resting = drop(resting, closed)
				if c != nil {
					resting = append(resting, c)
				}
			case 2:
				if len(resting) > 0 {
					c := resting[rng.IntN(len(resting))]
					if resting = drop(resting, c); !x.Take(c) {
						t.Fatal("a connection at rest was not taken")
					}
					busy = append(busy, c)
				}
			case 3:
				if len(busy) > 0 {
					c := busy[rng.IntN(len(busy))]
					busy = drop(busy, c)
					resting = append(drop(resting, x.Rest(now, c)), c)
				}
			case 4:
				if c, _ := x.Expired(now); c != nil {
					resting = drop(resting, c)
				} else if len(busy) > 0 && rng.IntN(2) == 0 {
					x.Close(busy[0])
					busy = busy[1:]
				}
			}
			count := map[*Owner[int]][2]int{}
			for _, c := range resting {
				n := count[c.owner]
				count[c.owner] = [2]int{n[0] + 1, n[1]}
			}
			for _, c := range busy {
				n := count[c.owner]
				count[c.owner] = [2]int{n[0] + 1, n[1] + 1}
			}
			for i, o := range owners {
				if all, busy := o.Conns(); fmt.Sprint([2]int{all, busy}) != fmt.Sprint(count[o]) || all > o.most {
					t.Fatalf("seed %d: owner %d has %d, %d busy, bound %d; counted %v", seed, i, all, busy, o.most, count[o])
				}
			}
			if all, held := x.Len(); all != len(resting)+len(busy) || held != len(busy) || all > x.limits.Total ||
				len(resting) > x.limits.AtRest {
				t.Fatalf("seed %d: %d connections, %d busy; counted %d and %d; bounds %+v", seed, all, held,
					len(resting)+len(busy), len(busy), x.limits)
			}
		}
	}
}

// A connection on which something has come that was not taken yet is not closed, whatever would close it; it counts as one
// with an open request, and taking that request changes nothing more.
func TestWhatHasComeIsNotClosed(t *testing.T) {
	come := map[int]bool{}
	x, err := New(limits, func(n int) bool { return !come[n] })
	if err != nil {
		t.Fatal(err)
	}
	o := x.Owner(1, 5, 0)
	var open []*Conn[int]
	for i := range 4 {
		c, _ := x.Open(int64(i), o, i)
		open = append(open, c)
	}
	come[0], come[2] = true, true
	c4, closed := x.Open(5, o, 4) // beyond those at rest: 0 is the oldest, and 1 gives way
	if closed != open[1] || c4 == nil {
		t.Fatalf("gave way: %+v", closed)
	}
	c5, closed := x.Open(6, o, 5) // 0 is in use, so there is room
	if closed != nil || c5 == nil {
		t.Fatalf("gave way: %+v", closed)
	}
	if _, closed = x.Open(7, o, 6); closed != open[3] { // beyond the owner's: 2 is the oldest
		t.Fatalf("gave way: %+v", closed)
	}
	if all, busy := x.Len(); all != 5 || busy != 2 {
		t.Errorf("%d connections, %d busy; want 5, 2", all, busy)
	}
	if !x.Take(open[0]) || !x.Take(open[2]) {
		t.Error("a request that came was not taken")
	}
	if _, busy := x.Len(); busy != 2 {
		t.Errorf("%d busy, want 2", busy)
	}
	come[4], come[5] = true, true
	if c, _ := x.Expired(10_000); c == nil || c.Value != 6 {
		t.Errorf("expired: %+v, want 6", c)
	}
	if c, _ := x.Expired(10_000); c != nil {
		t.Errorf("expired: %+v", c)
	}
	for i := range 7 {
		come[i] = false
	}
	x.Rest(20_000, open[0])
	x.Close(open[2])
	if all, busy := x.Len(); all != 3 || busy != 2 { // 4 and 5 are in use
		t.Errorf("%d connections, %d busy; want 3, 2", all, busy)
	}
}
