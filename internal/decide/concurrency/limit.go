// Package concurrency learns how many requests an instance may have in flight before they only wait for one another at
// the endpoints. It knows how long requests took and how many were in flight when each went out; it knows nothing
// of endpoints, clients or sockets. It is a deterministic state machine for one caller at a time.
//
// The rule is that of TCP Vegas (Brakmo, Peterson: "TCP Vegas: End to End Congestion Avoidance on a Global
// Internet", JSAC 1995): of n requests in flight that take r times what they take alone, n·(1-1/r) are waiting. The
// limit grows while fewer than a few wait, and shrinks while more do. What a request takes alone is measured while
// few are in flight; where that never happens by itself, the limit is lowered for a moment now and then, as
// Envoy's adaptive concurrency filter does for its minRTT.
package concurrency

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings are what a Limit needs.
type Settings struct {
	Classes     int // of requests
	Least, Most int // bounds of the limit
	First       int // the limit at the start, once it is known what requests take alone
	Seed        uint64

	// Grow and Shrink are parts of the limit: it grows while fewer are waiting than the one, about, and shrinks while more
	// are than the other; 0 is growPart and shrinkPart.
	Grow, Shrink float64
}

// Validate says which setting makes no sense.
func (s Settings) Validate() error {
	switch {
	case s.Classes < 1:
		return fmt.Errorf("classes %d: at least one is needed", s.Classes)
	case s.Least < 1:
		return fmt.Errorf("least %d: must be at least 1", s.Least)
	case s.Most < s.Least:
		return fmt.Errorf("most %d: must not be under least, %d", s.Most, s.Least)
	case !(s.Grow >= 0) || !(s.Shrink >= 0) || s.Shrink >= 1 || (s.Grow > 0) != (s.Shrink > 0) || s.Grow > s.Shrink:
		return fmt.Errorf("grows below %v, shrinks above %v: must be parts in order, or both 0", s.Grow, s.Shrink)
	case s.First < s.Least || s.First > s.Most:
		return fmt.Errorf("first %d: must be in %d..%d", s.First, s.Least, s.Most)
	}
	return nil
}

const (
	windowLeast  = second / 10 // a window is judged after so long at the soonest,
	windowCount  = 30          // and so many samples, or as many as the limit
	waitingLeast = 0.4         // the limit grows while fewer requests wait than this and a part of it,
	waitingMost  = 0.8         // and shrinks while more than this and a larger part:
	growPart     = 1.0 / 4     // at endpoints that are at work for seven tenths of their time, which is well, about so many wait
	shrinkPart   = 1.0 / 2.5   // by chance alone
	quietPart    = 4           // a request that goes out with no more in flight than such a part of the limit is alone
	quietCount   = 24          // samples that make a measurement of what requests take alone
	quietClass   = 6           // of one class, to go by them alone
	quietWeight  = 0.05
	quietEvery   = 15 * second // without such samples for so long, the limit is lowered to get some,
	quietFor     = second      // for no longer than this
	ratioMost    = 4.0         // one request counts as no more than this many times what it takes alone
)

// Limit is the number of requests that may be in flight. Make one with New.
type Limit struct {
	s     Settings
	rng   uint64
	value float64
	start bool // it has never been too high: it doubles

	alone []alone // by class

	// The present window.
	from       monotime.Micros
	count      int
	took, base float64
	full       bool // the limit was reached

	// Measuring what requests take alone.
	quiet      bool
	quietUntil monotime.Micros
	quietSeen  int
	quietNext  monotime.Micros // when to measure again, unless that happens by itself
}

// alone is what a class's requests take with hardly any others in flight.
type alone struct {
	mean float64
	n    int

	sum float64 // of the present measurement
	in  int
}

// New returns a limit, or the error of settings that make no sense.
func New(s Settings) (*Limit, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("limit: %w", err)
	}
	if s.Grow == 0 {
		s.Grow, s.Shrink = growPart, shrinkPart
	}
	return &Limit{s: s, rng: s.Seed, value: float64(s.First), start: true, alone: make([]alone, s.Classes),
		quiet: true, quietUntil: math.MaxInt64}, nil
}

// Value returns how many requests may be in flight now.
func (l *Limit) Value() int {
	if l.quiet {
		return max(l.s.Least, int(l.value/quietPart))
	}
	return int(l.value)
}

// Sample tells of a request that was served: how long it took, how many were in flight when it went out, itself
// included, and whether any has had to wait for its turn meanwhile.
func (l *Limit) Sample(now monotime.Micros, class int, took monotime.Micros, inFlight int, waited bool) {
	a := &l.alone[class]
	if l.quiet {
		l.measure(now, a, took, inFlight)
		return
	}
	if now >= l.quietNext {
		l.begin(now)
		return
	}
	if a.n == 0 || inFlight <= max(1, int(l.value/quietPart)) {
		a.n++
		a.mean += (float64(took) - a.mean) * max(quietWeight, 1/float64(a.n))
		if l.quietSeen++; l.quietSeen >= quietCount { // it happens by itself
			l.quietSeen, l.quietNext = 0, l.next(now)
		}
	}
	l.count++
	l.took += min(float64(took), ratioMost*a.mean)
	l.base += a.mean
	l.full = l.full || waited || inFlight >= int(l.value)
	if now-l.from >= windowLeast && l.count >= max(windowCount, int(l.value)) {
		l.judge()
		l.reset(now)
	}
}

// Learned returns the limit and how long requests of each class take alone, zero where that is not known.
func (l *Limit) Learned() (value float64, alone []float64) {
	for i := range l.alone {
		alone = append(alone, l.alone[i].mean)
	}
	return l.value, alone
}

// Restore takes over what another had learned: there is nothing to be measured first. What makes no sense, or is
// not known of every class, is passed over.
func (l *Limit) Restore(now monotime.Micros, value float64, alone []float64) {
	ok := value >= 1 && !math.IsInf(value, 0) && len(alone) == len(l.alone)
	for _, a := range alone {
		ok = ok && a > 0 && !math.IsInf(a, 0)
	}
	if !ok {
		return
	}
	for i, a := range alone {
		l.alone[i].mean, l.alone[i].n = a, quietCount
	}
	l.value = min(float64(l.s.Most), max(float64(l.s.Least), value))
	l.start, l.quiet, l.quietSeen, l.quietNext = false, false, 0, l.next(now)
	l.reset(now)
}

// begin lowers the limit for a measurement.
func (l *Limit) begin(now monotime.Micros) {
	l.quiet, l.quietSeen, l.quietUntil = true, 0, now+quietFor
	for i := range l.alone {
		l.alone[i].sum, l.alone[i].in = 0, 0
	}
}

// measure takes a sample while the limit is lowered. What went out before, with more in flight, does not count.
func (l *Limit) measure(now monotime.Micros, a *alone, took monotime.Micros, inFlight int) {
	if l.quietUntil == math.MaxInt64 {
		l.quietUntil = now + quietFor // the first sample of all
	}
	if inFlight <= l.Value() {
		a.sum += float64(took)
		a.in++
		l.quietSeen++
	}
	if l.quietSeen < quietCount && now < l.quietUntil {
		return
	}
	for i := range l.alone {
		if a := &l.alone[i]; a.in >= quietClass || a.in > 0 && a.n == 0 {
			a.mean, a.n = a.sum/float64(a.in), a.in
		}
	}
	l.quiet, l.quietSeen, l.quietNext = false, 0, l.next(now)
	l.reset(now)
}

// next is when to measure again.
func (l *Limit) next(now monotime.Micros) monotime.Micros {
	return now + quietEvery + l.below(quietEvery/4)
}

// judge moves the limit by what the window showed.
func (l *Limit) judge() {
	ratio := max(1, l.took/l.base)
	waiting := l.value * (1 - 1/ratio)
	least, most := waitingLeast+l.s.Grow*l.value, waitingMost+l.s.Shrink*l.value
	switch {
	case waiting > most:
		l.start = false
		l.value -= max(1, (waiting-most)/2)
	case waiting < least && l.full && l.start:
		l.value *= 1.5
	case waiting < least && l.full:
		l.value += max(1, l.value/16)
	case waiting >= least:
		l.start = false
	}
	l.value = min(float64(l.s.Most), max(float64(l.s.Least), l.value))
}

func (l *Limit) reset(now monotime.Micros) {
	l.from, l.count, l.took, l.base, l.full = now, 0, 0, 0, false
}

// below returns a duration in [0,d) (SplitMix64).
func (l *Limit) below(d monotime.Micros) monotime.Micros {
	l.rng += 0x9e3779b97f4a7c15
	z := l.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return monotime.Micros(float64((z^z>>31)>>11) / (1 << 53) * float64(d))
}
