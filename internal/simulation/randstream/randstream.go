// Package randstream draws the simulation's random numbers from named streams that do not depend on one another. What a
// draw is follows from the seed, the stream's name and the numbers that say for whom it is, and from nothing else: not
// from the order in which things happen. So two variants of a fleet meet the same arrivals, the same work and the same
// faults (common random numbers: Law, "Simulation Modeling and Analysis", 5th ed., section 11.2), whatever each makes
// of them.
package randstream

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Stream is a named stream of a seed.
type Stream struct {
	key uint64
	pcg *rand.PCG
	rng *rand.Rand
}

// New returns a stream. It is for one caller at a time.
func New(seed uint64, name string) *Stream {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	d := xxhash.New()
	d.Write(b[:])
	d.WriteString(name)
	pcg := rand.NewPCG(0, 0)
	return &Stream{key: d.Sum64(), pcg: pcg, rng: rand.New(pcg)}
}

// For returns the draws for someone. They are good until the next call of For.
func (s *Stream) For(who ...uint64) *rand.Rand {
	var b [40]byte
	binary.LittleEndian.PutUint64(b[:], s.key)
	n := 8
	for _, w := range who[:min(len(who), 4)] {
		binary.LittleEndian.PutUint64(b[n:], w)
		n += 8
	}
	s.pcg.Seed(s.key, xxhash.Sum64(b[:n]))
	return s.rng
}

// Source returns draws for someone that are good for as long as they are wanted.
func (s *Stream) Source(who ...uint64) *rand.Rand {
	var b [8]byte
	s.For(who...)
	binary.LittleEndian.PutUint64(b[:], s.rng.Uint64())
	return rand.New(rand.NewPCG(s.key, xxhash.Sum64(b[:])))
}

// Range draws evenly from a range of two ends.
func Range(r *rand.Rand, ends [2]float64) float64 { return ends[0] + (ends[1]-ends[0])*r.Float64() }

// LogNormal draws from a log-normal distribution by its mean and its coefficient of variation.
func LogNormal(r *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	sigma2 := math.Log1p(cv * cv)
	return mean * math.Exp(math.Sqrt(sigma2)*r.NormFloat64()-sigma2/2)
}
