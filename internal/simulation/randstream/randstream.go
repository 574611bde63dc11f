// Package randstream draws the simulation's random numbers from named, independent streams. A drawn number
// depends only on the seed, the stream's name and the keys of the entity for which it is drawn, not on the
// order of events. Two variants of a fleet therefore face the same arrivals, the same work and the same
// faults, whatever their decisions (common random numbers: Law, "Simulation Modeling and Analysis", 5th ed.,
// section 11.2).
package randstream

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Stream is a named stream of random numbers for one seed.
type Stream struct {
	key uint64     // hash of the seed and the name
	pcg *rand.PCG  // generator behind rng, seeded by each call of For
	rng *rand.Rand // returned by For
}

// New returns the stream with a seed and a name. A stream is not safe for concurrent use.
func New(seed uint64, name string) *Stream {
	var seedBytes [8]byte
	binary.LittleEndian.PutUint64(seedBytes[:], seed)
	digest := xxhash.New()
	digest.Write(seedBytes[:])
	digest.WriteString(name)
	pcg := rand.NewPCG(0, 0)
	return &Stream{key: digest.Sum64(), pcg: pcg, rng: rand.New(pcg)}
}

// For returns the random numbers for the entity that up to four keys identify. They are valid until the next
// call of For or Source.
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

// Source returns random numbers for the entity that up to four keys identify. They stay valid after further
// calls.
func (s *Stream) Source(keys ...uint64) *rand.Rand {
	var seedBytes [8]byte
	s.For(keys...)
	binary.LittleEndian.PutUint64(seedBytes[:], s.rng.Uint64())
	return rand.New(rand.NewPCG(s.key, xxhash.Sum64(seedBytes[:])))
}

// Uniform draws a number from the uniform distribution between two ends.
func Uniform(random *rand.Rand, ends [2]float64) float64 {
	return ends[0] + (ends[1]-ends[0])*random.Float64()
}

// LogNormal draws a number from the log-normal distribution with the given mean and coefficient of variation.
func LogNormal(random *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	logVariance := math.Log1p(cv * cv)
	return mean * math.Exp(math.Sqrt(logVariance)*random.NormFloat64()-logVariance/2)
}
