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
	var seedBytes [8]byte
	binary.LittleEndian.PutUint64(seedBytes[:], seed)
	digest := xxhash.New()
	digest.Write(seedBytes[:])
	digest.WriteString(name)
	pcg := rand.NewPCG(0, 0)
	return &Stream{key: digest.Sum64(), pcg: pcg, rng: rand.New(pcg)}
}

// For returns the draws for someone. They are good until the next call of For.
func (s *Stream) For(keys ...uint64) *rand.Rand {
	var buffer [40]byte
	binary.LittleEndian.PutUint64(buffer[:], s.key)
	length := 8
	for _, key := range keys[:min(len(keys), 4)] {
		binary.LittleEndian.PutUint64(buffer[length:], key)
		length += 8
	}
	s.pcg.Seed(s.key, xxhash.Sum64(buffer[:length]))
	return s.rng
}

// Source returns draws for someone that are good for as long as they are wanted.
func (s *Stream) Source(keys ...uint64) *rand.Rand {
	var seedBytes [8]byte
	s.For(keys...)
	binary.LittleEndian.PutUint64(seedBytes[:], s.rng.Uint64())
	return rand.New(rand.NewPCG(s.key, xxhash.Sum64(seedBytes[:])))
}

// Range draws evenly from a range of two ends.
func Range(random *rand.Rand, ends [2]float64) float64 {
	return ends[0] + (ends[1]-ends[0])*random.Float64()
}

// LogNormal draws from a log-normal distribution by its mean and its coefficient of variation.
func LogNormal(random *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	variance := math.Log1p(cv * cv)
	return mean * math.Exp(math.Sqrt(variance)*random.NormFloat64()-variance/2)
}
