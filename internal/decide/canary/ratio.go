package canary

import "math"

// batchSlots is the number of slots in a batch, over which correlation between slots is looked for.
const batchSlots = 8

// minBatches is the number of batches from which on their variance is used.
const minBatches = 4

// ratioSeries accumulates a ratio of two sums, slot by slot and batch by batch.
type ratioSeries struct {
	perSlot  ratioMoments
	perBatch ratioMoments

	batchNumerator   float64 // of the present batch
	batchDenominator float64
	slotsInBatch     int
}

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

// varianceInflation returns how many times larger the mean's variance is than if slots were independent; in
// 1..batchSlots.
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

func (r *ratioMoments) add(numerator, denominator float64) {
	r.count++
	r.numerator += numerator
	r.denominator += denominator
	r.numeratorSq += numerator * numerator
	r.product += numerator * denominator
	r.denominatorSq += denominator * denominator
}

func (r *ratioMoments) mean() float64 {
	if r.denominator <= 0 {
		return 0
	}
	return r.numerator / r.denominator
}

// variance returns that of one observation's ratio: of the residuals numerator - mean·denominator, divided by the
// square of the mean denominator (Cochran, "Sampling Techniques", 3rd ed., section 2.11).
func (r *ratioMoments) variance() float64 {
	if r.count < 2 || r.denominator <= 0 {
		return 0
	}
	ratio := r.mean()
	meanDenominator := r.denominator / r.count
	residuals := r.numeratorSq - 2*ratio*r.product + ratio*ratio*r.denominatorSq
	return max(0, residuals/(r.count-1)/(meanDenominator*meanDenominator))
}

// rho tunes where the confidence sequence is tightest: at about (-log α² + log(-2 log α² + 1))/ρ² slots
// (Waudby-Smith et al., section B.2). Here these are a few dozen.
const rho = 0.3

// confidenceHalfWidth returns the one-sided width of the confidence sequence after n slots, in standard deviations of
// one slot.
func confidenceHalfWidth(n, alpha float64) float64 {
	if n < 2 {
		return math.Inf(1)
	}
	v := n*rho*rho + 1
	return math.Sqrt(2 * v / (n * n * rho * rho) * math.Log(1+math.Sqrt(v)/(2*alpha)))
}
