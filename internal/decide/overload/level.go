package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// minLevel is the least level: some work must be admitted, or no evidence could show that more may be.
const minLevel = 0.05

// admissionLevel is the part of a standard mix of work that is admitted (sheddingOrder). It rises by a step for each
// request, and falls by a part of itself for each request that fails: one that the balancer or an endpoint rejects
// after it was admitted, or that is answered too late. These failures depend on the endpoints' queues, which all
// instances share; and as a high level falls by more than a low one, instances with the same evidence converge (AIMD:
// Chiu and Jain 1989).
//
// The queues themselves are bounded by the balancer's limits, request by request. The level only finds the part of the
// work that these limits need not reject. It depends on demand and capacity and does not follow the queues, so that
// evidence that is seconds old controls it without oscillation (docs/design/overload.md).
type admissionLevel struct {
	value         float64         // minLevel to 1
	requestAt     monotime.Micros // instant of the latest request
	requestWeight float64         // of the latest request, in seconds

	sharedUntil    monotime.Micros // value is a SharedLevel's until this instant: own requests do not change it
	requests       int             // since the last TakeObservations
	failedRequests int             // failed requests since the last TakeObservations

	load      float64 // part of its objective that a request spends at an endpoint, as a mean of recent samples
	sampledAt monotime.Micros
	samples   int
}

const (
	// maxLoadSample bounds a sample to the whole objective: an endpoint that reports falsely or hangs moves the mean
	// by its part of the samples at most.
	maxLoadSample    = 1.0
	loadTimeConstant = second // time constant of the mean load
	maxLoadWeight    = 0.1    // weight of one sample, so that few samples move the mean over a longer time
)

// addSample takes in the part of its objective that a request spent at an endpoint. The weight of a sample grows with
// the time since the last one, up to maxLoadWeight, but the first samples make a plain mean.
func (l *admissionLevel) addSample(now monotime.Micros, load float64) {
	if !(load >= 0) {
		return
	}
	elapsed := float64(max(0, now-l.sampledAt))
	l.sampledAt = now
	l.samples++
	weight := max(1/float64(l.samples), min(maxLoadWeight, -math.Expm1(-elapsed/float64(loadTimeConstant))))
	l.load += (min(load, maxLoadSample) - l.load) * weight
}

// saturatedLoad is the load beyond which endpoints count as saturated. A request without others takes about a fifth
// of its objective.
const saturatedLoad = 0.45

// saturated reports whether the endpoints count as saturated.
func (l *admissionLevel) saturated() bool { return l.load > saturatedLoad }

const (
	increasePerSecond = 0.1 // of the level, added in a second
	// idleIncreasePerSecond takes the place of increasePerSecond while the load is below idleLoad: there is no lasting
	// overload then, and the level may recover fast.
	idleIncreasePerSecond = 0.5
	idleLoad              = 0.3 // of its objective that a request spends at an endpoint
	// maxRequestWeight is the greatest weight of one request, in seconds: an instance with few requests learns from
	// as many requests as another one, over a longer time.
	maxRequestWeight = 0.1
)

// onRequest raises the level for the time since the latest request, unless a shared level is in force.
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

// decreasePerSecond is the rate at which the level falls while all requests fail, as a multiple of the level a
// second. In equilibrium the part increasePerSecond/(decreasePerSecond*level) of the requests fails: 7% at a level of
// a half. For other values see docs/design/overload.md.
const decreasePerSecond = 3.0

// onFailure lowers the level for an admitted request that failed, unless a shared level was in force at the latest
// request.
func (l *admissionLevel) onFailure() {
	l.failedRequests++
	if l.requestAt >= l.sharedUntil {
		l.value = max(minLevel, l.value-l.requestWeight*decreasePerSecond*l.value)
	}
}
