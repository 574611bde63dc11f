package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// quota lets out so many within any second, however few that are: of a part of one there is one with that chance, drawn once a
// second. So the sum over many quiet instances is what it is meant to be, and nothing that thousands saved up in calm can come
// in one second. What a second has is settled at its beginning: were it looked at whenever it is asked, the moments of chance
// in which it is high would all be used.
type quota struct {
	seed   uint64
	second monotime.Micros // that most is of
	most   float64
	sent   window
}

// roll settles what a second has, once; it must be called before what came in it is counted.
func (q *quota) roll(now monotime.Micros, most float64) {
	if n := now / second; n != q.second {
		q.second, q.most = n, most
	}
}

// may says whether one more is within that, and within a bound of the moment.
func (q *quota) may(now monotime.Micros, bound float64) bool {
	return float64(q.sent.count(now, true))+draw(q.seed, uint64(now/second)+1) < min(q.most, bound)
}

// window counts what came within so many tenths of the latest seconds, the present one included.
type window struct {
	parts [tenths + 1]int
	head  monotime.Micros
}

const tenths = 10

func (w *window) slide(now monotime.Micros) *int {
	part := now / (second / tenths)
	n := monotime.Micros(len(w.parts))
	if part-w.head >= n {
		clear(w.parts[:])
		w.head = part
	}
	for w.head < part {
		w.head++
		w.parts[w.head%n] = 0
	}
	return &w.parts[w.head%n]
}

func (w *window) add(now monotime.Micros) { *w.slide(now)++ }

// count returns how many there were within a second at the most, or at the least.
func (w *window) count(now monotime.Micros, least bool) (n int) {
	w.slide(now)
	for _, v := range w.parts {
		n += v
	}
	if !least {
		n -= w.parts[(w.head+1)%monotime.Micros(len(w.parts))] // the oldest tenth
	}
	return n
}

// purse is what probes are earned by: a part of one for each first attempt that was accepted. Neither refusals nor repeats
// fill it.
type purse struct{ tokens float64 }

// rates are what probes are bounded by.
type rates struct {
	part   float64 // of a probe for each first attempt accepted
	served float64 // of these, a second
	least  float64 // probes a second beside that
	most   float64 // of those that are earned, a second; infinite is no bound
	lent   float64 // beside those
}

// rate is how many probes a second there is room for.
func (r rates) rate() float64 { return min(r.part*r.served, r.most+r.lent) + r.least }

const (
	purseSpan  = second / 2 // for so long what was earned is kept: probes need not go in step with answers
	purseLeast = 3          // and so many at least: what two draws for a request need, and one beside them
)

func (p *purse) earn(r rates) {
	p.tokens = min(p.tokens+r.part, max(purseLeast, r.part*r.served*float64(purseSpan)/float64(second)))
}

func (p *purse) take() bool {
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// meter is a rate a second, averaged over about two seconds.
type meter struct {
	sum float64
	at  monotime.Micros
}

func (m *meter) decayed(now monotime.Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(max(0, now-m.at))/float64(meterSpan))
}

func (m *meter) add(now monotime.Micros, x float64) { m.sum, m.at = m.decayed(now)+x, now }

func (m *meter) rate(now monotime.Micros) float64 {
	return m.decayed(now) * float64(second) / float64(meterSpan)
}

const meterSpan = 2 * second

// mean is a moving average that begins as a plain mean: taken whole, one odd first sample would steer for long.
type mean struct {
	v float64
	n float64 // samples
}

func (m *mean) add(x, weight float64) {
	m.n++
	m.v += (x - m.v) * max(weight, 1/m.n)
}

func (m *mean) or(other float64) float64 {
	if m.n > 0 {
		return m.v
	}
	return other
}

// draw is a number in 0..1 that a seed and a number give, without order (SplitMix64).
func draw(seed, n uint64) float64 {
	z := seed + 0x9e3779b97f4a7c15*(n+1)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
