package canary

import "dunlinsail/internal/monotime"

// Sample is the sum of the requests that ended in one slot.
type Sample struct {
	Duration      monotime.Micros // of the slot
	OfferedWeight float64         // sum of the requests' priority weights
	ServedWeight  float64         // sum of the priority weights of those served within the latency objective
	Requests      int64
	Failed        int64 // requests that ended with an error or too late; rejected ones do not count
}

// arm accumulates the samples of one side of the comparison.
type arm struct {
	duration       monotime.Micros
	requests       float64
	recentRequests [batchSlots]float64 // ring of the latest slots' requests
	slots          int                 // number of slots added to recentRequests

	service  ratioSeries // of served weight to offered weight
	failures ratioSeries // of failed requests to requests
}

// add accumulates a sample. During a surge of demand its service does not count.
func (a *arm) add(sample *Sample, surge bool) {
	a.duration += sample.Duration
	a.requests += float64(sample.Requests)
	a.failures.add(float64(sample.Failed), float64(sample.Requests))
	if !surge {
		a.service.add(sample.ServedWeight, sample.OfferedWeight)
	}
}

// requestRate returns the mean request rate, in requests a microsecond.
func (a *arm) requestRate() float64 {
	if a.duration <= 0 {
		return 0
	}
	return a.requests / float64(a.duration)
}

// observeRequests adds a slot's requests to the ring, and returns the ring's sum and the number of slots in it.
func (a *arm) observeRequests(requests int64) (sum float64, slots int) {
	a.recentRequests[a.slots%batchSlots] = float64(requests)
	a.slots++
	for _, n := range a.recentRequests {
		sum += n
	}
	return sum, min(a.slots, batchSlots)
}
