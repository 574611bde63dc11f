package overload

import "math"

// lottery is the budget of further attempts. Within any second there are no more than a part of the first attempts that
// were accepted in it: where nothing is accepted there are none, and what is asked earns nothing. A quiet instance's part
// is less than one; it has one with that chance, drawn once a second. So the sum over many instances is the part of what
// all were served, and nothing that was saved up by thousands in calm can come in one second.
type lottery struct {
	seed           uint64
	accepted, sent window
}

func (l *lottery) earn(now Micros)  { l.accepted.add(now) }
func (l *lottery) spend(now Micros) { l.sent.add(now) }

// may says whether one more further attempt is within a share of the accepted ones.
func (l *lottery) may(now Micros, share float64) bool {
	return float64(l.sent.count(now, true))+l.luck(now) < share*float64(l.accepted.count(now, false))
}

// luck is what decides in a second over a part of one.
func (l *lottery) luck(now Micros) float64 { return draw(l.seed, uint64(now/second)+1) }

// window counts what came within so many tenths of the latest seconds, the present one included.
type window struct {
	parts [tenths + 1]int
	head  Micros
}

const tenths = 10

func (w *window) slide(now Micros) *int {
	part := now / (second / tenths)
	n := Micros(len(w.parts))
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

func (w *window) add(now Micros) { *w.slide(now)++ }

// count returns how many there were within a second at the most, or at the least.
func (w *window) count(now Micros, least bool) (n int) {
	w.slide(now)
	for _, v := range w.parts {
		n += v
	}
	if !least {
		n -= w.parts[(w.head+1)%Micros(len(w.parts))] // the oldest tenth
	}
	return n
}

// purse is the budget of probes: a part of one for each first attempt that was accepted, and the own part of the least that
// all endpoints get together, whatever happens. Neither refusals nor repeats fill it.
type purse struct {
	tokens float64
	at     Micros
}

// rates are what a purse is filled with.
type rates struct {
	part   float64 // of a probe for each first attempt accepted
	served float64 // of these, a second
	least  float64 // probes a second beside that
	most   float64 // within any second; 0 is no bound
}

// rate is how many probes a second there is room for.
func (r rates) rate() float64 { return r.part*r.served + r.least }

// purseSpan is for how long probes may be saved up: enough that they need not go in step with answers.
const (
	purseSpan  = second / 2
	purseLeast = 3 // what two draws for a request need, and a round beside them
)

func (p *purse) fill(now Micros, r rates) {
	if p.at != 0 && now > p.at {
		p.tokens += r.least * float64(now-p.at) / float64(second)
	}
	p.at = max(p.at, now)
	p.tokens = min(p.tokens, max(purseLeast, r.rate()*float64(purseSpan)/float64(second)))
}

func (p *purse) earn(now Micros, r rates) {
	p.tokens += r.part
	p.fill(now, r)
}

func (p *purse) take(now Micros, r rates) bool {
	if p.fill(now, r); p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// meter is a rate a second, averaged over about two seconds.
type meter struct {
	sum float64
	at  Micros
}

func (m *meter) decayed(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(max(0, now-m.at))/float64(meterSpan))
}

func (m *meter) add(now Micros, x float64) { m.sum, m.at = m.decayed(now)+x, now }

func (m *meter) rate(now Micros) float64 {
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
