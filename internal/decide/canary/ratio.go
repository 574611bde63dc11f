package canary

import "math"

// batchSlots is the number of slots in a batch. Correlation between slots is detected within that span.
const batchSlots = 8

// ratioSeries accumulates a ratio of two sums, slot by slot and batch by batch.
type ratioSeries struct {
	perSlot  ratioMoments
	perBatch ratioMoments

	batchNumerator   float64 // sum of the present batch
	batchDenominator float64 // sum of the present batch
	slotsInBatch     int     // slots in the present batch
}

// add accumulates a slot. One with denominator 0 counts only as a part of its batch.
func (s *ratioSeries) add(numerator, denominator float64) {
	if denominator > 0 {
		s.perSlot.add(numerator, denominator)
	}
	s.batchNumerator += numerator
	s.batchDenominator += denominator
	s.slotsInBatch++
	if s.slotsInBatch < batchSlots {
		return
	}
	if s.batchDenominator > 0 {
		s.perBatch.add(s.batchNumerator, s.batchDenominator)
	}
	s.batchNumerator = 0
	s.batchDenominator = 0
	s.slotsInBatch = 0
}

// minBatches is the smallest number of batches whose variance is used.
const minBatches = 4

// varianceInflation returns the ratio of the mean's variance to its variance if slots were independent, in
// 1..batchSlots: that of batches to that of slots.
func (s *ratioSeries) varianceInflation() float64 {
	slotVariance := s.perSlot.variance()
	batchVariance := s.perBatch.variance()
	if s.perBatch.count < minBatches || slotVariance <= 0 {
		return 1
	}
	inflation := batchVariance * s.perSlot.count / s.perBatch.count / slotVariance
	return min(max(1, inflation), batchSlots)
}

// ratioMoments accumulates the moments of a ratio of two sums.
type ratioMoments struct {
	count         float64
	numerator     float64 // sum
	denominator   float64 // sum
	numeratorSq   float64 // sum of squares
	product       float64 // sum of numerator times denominator
	denominatorSq float64 // sum of squares
}

// add accumulates an observation.
func (r *ratioMoments) add(numerator, denominator float64) {
	r.count++
	r.numerator += numerator
	r.denominator += denominator
	r.numeratorSq += numerator * numerator
	r.product += numerator * denominator
	r.denominatorSq += denominator * denominator
}

// mean returns the ratio of the sums, 0 if there is none.
func (r *ratioMoments) mean() float64 {
	if r.denominator <= 0 {
		return 0
	}
	return r.numerator / r.denominator
}

// variance returns the variance of one observation's ratio: that of the residuals numerator - mean·denominator,
// divided by the square of the mean denominator (Cochran, "Sampling Techniques", 3rd ed., section 2.11).
func (r *ratioMoments) variance() float64 {
	if r.count < 2 || r.denominator <= 0 {
		return 0
	}
	ratio := r.mean()
	meanDenominator := r.denominator / r.count
	residuals := r.numeratorSq - 2*ratio*r.product + ratio*ratio*r.denominatorSq
	return max(0, residuals/(r.count-1)/(meanDenominator*meanDenominator))
}

// rho sets the number of slots at which the confidence sequence is tightest, which is
// (-log α² + log(-2 log α² + 1))/ρ² (Waudby-Smith et al., section B.2): about 135 for a Settings.Alpha of 0.01.
const rho = 0.3

// confidenceHalfWidth returns the one-sided width of the confidence sequence with error probability alpha after n
// slots, in standard deviations of one slot.
func confidenceHalfWidth(slots, alpha float64) float64 {
	if slots < 2 {
		return math.Inf(1)
	}
	scaledSlots := slots*rho*rho + 1
	return math.Sqrt(2 * scaledSlots / (slots * slots * rho * rho) * math.Log(1+math.Sqrt(scaledSlots)/(2*alpha)))
}
