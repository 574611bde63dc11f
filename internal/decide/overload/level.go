package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	// A second's increase, and the part of the level that a second takes off in which all requests fail. In
	// equilibrium the part increasePerSecond/(decreasePerSecond*level) of the requests fails: 7% at a level of
	// half. docs/design/overload.md has what other values come to.
	increasePerSecond = 0.1
	decreasePerSecond = 3.0
	// While requests spend less than idleLoad of their objective at endpoints there is no lasting overload, and
	// the level recovers five times as fast: by half within a second.
	idleIncreasePerSecond = 0.5
	idleLoad              = 0.3
	// maxRequestWeight is the part of a second that one request counts as at most: an instance with few
	// requests learns from as many requests as another one, only over a longer time.
	maxRequestWeight = 0.1
	// minLevel is always admitted, or nothing would show that more may be.
	minLevel = 0.05

	// maxLoadSample bounds a sample to the whole objective: an endpoint that reports falsely or hangs moves the
	// mean by its part of the samples at most. With one such endpoint of twelve, 0.2 in calm becomes 0.27.
	maxLoadSample = 1.0
	// saturatedLoad is the load beyond which endpoints count as saturated; a request without others takes about
	// a fifth.
	saturatedLoad = 0.45

	loadSpan      = second // time constant of the mean load
	maxLoadWeight = 0.1    // of one sample: with few samples the mean goes by as many, over a longer time
)

// admissionLevel is the part of a standard mix of work that is admitted (see sheddingOrder). It rises by a step
// for each request, and falls by a part of itself for each request that fails: one that the balancer or an
// endpoint rejects after it was admitted, or that is answered too late. Those failures depend on the endpoints'
// queues, which all instances share; and as a high level falls by more than a low one, instances that see the
// same converge (AIMD: Chiu and Jain 1989).
//
// The queues themselves are bounded by the balancer's limits, request by request. The level only finds the part
// of the work that those limits need not reject. It depends on demand and capacity and does not follow the
// queues, so that evidence which is seconds old controls it without oscillation (docs/design/overload.md).
type admissionLevel struct {
	value         float64
	requestAt     monotime.Micros // instant of the latest request
	requestWeight float64         // part of a second that it counts as

	sharedUntil monotime.Micros // until then value is a SharedLevel's, and own requests do not change it
	requests    int             // since the last TakeObservations
	failed      int             // the same, such as failed

	load      float64 // part of its objective that a request spends at an endpoint, as a mean of recent samples
	sampledAt monotime.Micros
	samples   int
}

// addSample takes in the part of its objective that a request spent at an endpoint.
func (l *admissionLevel) addSample(now monotime.Micros, load float64) {
	if !(load >= 0) {
		return
	}
	elapsed := float64(max(0, now-l.sampledAt))
	l.sampledAt = now
	l.samples++
	weight := max(1/float64(l.samples), min(maxLoadWeight, -math.Expm1(-elapsed/float64(loadSpan))))
	l.load += (min(load, maxLoadSample) - l.load) * weight
}

// saturated reports whether the endpoints count as saturated.
func (l *admissionLevel) saturated() bool { return l.load > saturatedLoad }

// onRequest notes a request, and raises the level.
func (l *admissionLevel) onRequest(now monotime.Micros) {
	l.requestWeight = min(maxRequestWeight, float64(max(0, now-l.requestAt))/float64(second))
	l.requestAt = now
	l.requests++
	if now < l.sharedUntil {
		return
	}
	rise := increasePerSecond
	if l.load < idleLoad {
		rise = idleIncreasePerSecond
	}
	l.value = min(1, l.value+l.requestWeight*rise)
}

// onFailure notes that an admitted request failed, and lowers the level.
func (l *admissionLevel) onFailure() {
	l.failed++
	if l.requestAt >= l.sharedUntil {
		l.value = max(minLevel, l.value-l.requestWeight*decreasePerSecond*l.value)
	}
}
