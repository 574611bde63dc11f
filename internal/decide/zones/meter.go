package zones

import (
	"dunlinsail/internal/monotime"
)

// meter counts events of the last second or so.
type rateMeter struct {
	secondStart       monotime.Micros
	current, previous float64
}

func (m *rateMeter) advance(now monotime.Micros) {
	switch past := now - m.secondStart; {
	case past >= 2*second:
		m.secondStart, m.current, m.previous = now, 0, 0
	case past >= second:
		m.secondStart, m.current, m.previous = m.secondStart+second, 0, m.current
	}
}

func (m *rateMeter) add(now monotime.Micros) {
	m.advance(now)
	m.current++
}

// rate is how many there were in the last second, the present one counted by its part.
func (m *rateMeter) rate(now monotime.Micros) float64 {
	m.advance(now)
	return m.current + m.previous*(1-float64(now-m.secondStart)/float64(second))
}

// fared learns from what came of a guest how many more are welcome.
func (t *Router) observeSpill(now monotime.Micros, z *zone, good bool) {
	z.spillOutcomes++
	if good {
		z.spillInTime++
	}
	if z.spillOutcomes < minWindowOutcomes && now-z.spillWindowStart < windowDuration {
		return
	}
	if float64(z.spillInTime) >= spillInTimeThreshold*float64(z.spillOutcomes) {
		z.spillFactor = min(1, z.spillFactor+spillIncrease)
	} else {
		z.spillFactor = max(minSpillFactor, z.spillFactor*spillDecrease)
	}
	z.spillWindowStart, z.spillInTime, z.spillOutcomes = now, 0, 0
}
