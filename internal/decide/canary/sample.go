package canary

import "dunlinsail/internal/monotime"

// Sample summarizes the requests that ended in one time slot.
type Sample struct {
	Duration      monotime.Micros // length of the slot
	OfferedWeight float64         // sum of the requests' priority weights
	ServedWeight  float64         // sum of the priority weights of requests served within the latency objective
	Requests      int64
	Failed        int64 // requests that failed or ended too late; rejected requests are not counted
}

// arm accumulates the samples of the baseline or of the canary.
type arm struct {
	duration       monotime.Micros
	requests       float64
	recentRequests [batchSlots]float64 // ring buffer: number of requests in each of the latest slots
	slots          int                 // number of slots added to recentRequests

	service  ratioSeries // ratio of served weight to offered weight
	failures ratioSeries // ratio of failed requests to all requests
}

// add accumulates a sample. Its served and offered weights are ignored if its slot is part of a surge of demand.
func (a *arm) add(sample *Sample, surge bool) {
	a.duration += sample.Duration
	a.requests += float64(sample.Requests)
	a.failures.add(float64(sample.Failed), float64(sample.Requests))
	if !surge {
		a.service.add(sample.ServedWeight, sample.OfferedWeight)
	}
}

// requestRate returns the mean request rate, in requests per microsecond.
func (a *arm) requestRate() float64 {
	if a.duration <= 0 {
		return 0
	}
	return a.requests / float64(a.duration)
}

// observeRequests adds the number of requests in a slot to recentRequests. It returns the sum over recentRequests and
// the number of slots that it covers.
func (a *arm) observeRequests(requests int64) (sum float64, slots int) {
	a.recentRequests[a.slots%batchSlots] = float64(requests)
	a.slots++
	for _, slotRequests := range a.recentRequests {
		sum += slotRequests
	}
	return sum, min(a.slots, batchSlots)
}
