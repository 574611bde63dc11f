package canary

import "math"

// batchSlots is the number of slots in a batch. Correlation between slots is detected if it spans at most one batch.
const batchSlots = 8

// ratioSeries accumulates the numerator and denominator of a ratio, for each slot and for each batch of slots.
type ratioSeries struct {
	perSlot  ratioMoments
	perBatch ratioMoments

	batchNumerator   float64 // sum of the numerators in the current batch
	batchDenominator float64 // sum of the denominators in the current batch
	slotsInBatch     int     // number of slots added to the current batch
}

// add accumulates a slot. A slot whose denominator is 0 is added to its batch only.
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

// minBatches is the number of batches that varianceInflation needs for an estimate.
const minBatches = 4

// varianceInflation returns the factor by which correlation between slots increases the variance of the mean, compared
// with independent slots. The factor is the variance of the mean estimated from batches, divided by the variance of the
// mean estimated from slots, and limited to 1..batchSlots.
func (s *ratioSeries) varianceInflation() float64 {
	slotVariance := s.perSlot.variance()
	batchVariance := s.perBatch.variance()
	if s.perBatch.count < minBatches || slotVariance <= 0 {
		return 1
	}
	inflation := batchVariance * s.perSlot.count / s.perBatch.count / slotVariance
	return min(max(1, inflation), batchSlots)
}

// ratioMoments accumulates the moments of a ratio from observations of its numerator and denominator.
type ratioMoments struct {
	count         float64 // number of observations
	numerator     float64 // sum of numerators
	denominator   float64 // sum of denominators
	numeratorSq   float64 // sum of squared numerators
	product       float64 // sum of numerator times denominator
	denominatorSq float64 // sum of squared denominators
}

// add accumulates the numerator and the denominator of one observation.
func (r *ratioMoments) add(numerator, denominator float64) {
	r.count++
	r.numerator += numerator
	r.denominator += denominator
	r.numeratorSq += numerator * numerator
	r.product += numerator * denominator
	r.denominatorSq += denominator * denominator
}

// mean returns the sum of the numerators divided by the sum of the denominators, 0 if the latter is 0.
func (r *ratioMoments) mean() float64 {
	if r.denominator <= 0 {
		return 0
	}
	return r.numerator / r.denominator
}

// variance returns the variance of the ratio of one observation. It is the variance of the residuals
// numerator - mean·denominator, divided by the square of the mean denominator (Cochran, "Sampling Techniques", 3rd ed.,
// section 2.11).
func (r *ratioMoments) variance() float64 {
	if r.count < 2 || r.denominator <= 0 {
		return 0
	}
	ratio := r.mean()
	meanDenominator := r.denominator / r.count
	sumSquaredResiduals := r.numeratorSq - 2*ratio*r.product + ratio*ratio*r.denominatorSq
	return max(0, sumSquaredResiduals/(r.count-1)/(meanDenominator*meanDenominator))
}

// rho sets the number of slots at which the confidence sequence is tightest. That number is
// (-log α² + log(-2 log α² + 1))/ρ² (Waudby-Smith et al., section B.2): about 135 for a Settings.Alpha of 0.01.
const rho = 0.3

// confidenceHalfWidth returns the distance between the mean and the one-sided confidence bound with error probability
// alpha after the given number of slots, in standard deviations of one slot.
func confidenceHalfWidth(slots, alpha float64) float64 {
	if slots < 2 {
		return math.Inf(1)
	}
	scaledSlots := slots*rho*rho + 1
	return math.Sqrt(2 * scaledSlots / (slots * slots * rho * rho) * math.Log(1+math.Sqrt(scaledSlots)/(2*alpha)))
}
