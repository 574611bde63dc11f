package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// minLevel is the least admission level. Some work must be admitted, or there would be no evidence that more
// can be admitted.
const minLevel = 0.05

// admissionLevel is the fraction of a standard mix of work that is admitted (sheddingOrder). It rises by a step
// for each request, and falls by a fraction of itself for each failed request. A request has failed if the
// balancer or an endpoint rejects it after its admission, or if its response is too late. These failures depend
// on the endpoints' queues, which all instances share. As a high level falls by more than a low one, instances
// with the same evidence converge (AIMD: Chiu and Jain 1989).
//
// The balancer's limits bound the endpoints' queues, request by request. The level only tracks how much work
// these limits need not reject. It depends on demand and capacity and does not follow the queues, so that
// evidence that is seconds old controls it without oscillation (docs/design/overload.md).
type admissionLevel struct {
	value         float64         // admission level, minLevel to 1
	requestAt     monotime.Micros // arrival of the latest request
	requestWeight float64         // weight of the latest request, in seconds

	sharedUntil    monotime.Micros // instant until which value is the SharedLevel and does not change with own requests
	requests       int             // requests since the last TakeObservations
	failedRequests int             // failed requests since the last TakeObservations

	load      float64         // recent mean fraction of its latency objective that a request spends at an endpoint
	sampledAt monotime.Micros // instant of the latest load sample
	samples   int             // load samples so far
}

const (
	// maxLoadSample limits a load sample to the whole latency objective. An endpoint that hangs or sends false
	// reports then moves the mean by its share of the samples at most.
	maxLoadSample    = 1.0
	loadTimeConstant = second // time constant of the moving average of the load
	maxLoadWeight    = 0.1    // greatest weight of one load sample: with few samples the mean changes more slowly
)

// addSample adds a load sample: the fraction of its latency objective that a request spent at an endpoint. The
// weight of a sample grows with the time since the previous one, up to maxLoadWeight. The first samples form a
// plain mean.
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

// saturatedLoad is the mean load above which the endpoints count as saturated. Without other requests at its
// endpoint, a request has a load of about 0.2.
const saturatedLoad = 0.45

// saturated reports whether the mean load is above saturatedLoad.
func (l *admissionLevel) saturated() bool { return l.load > saturatedLoad }

const (
	increasePerSecond = 0.1 // increase of the admission level per second
	// idleIncreasePerSecond replaces increasePerSecond while the load is below idleLoad: there is no lasting
	// overload then, and the level may recover fast.
	idleIncreasePerSecond = 0.5
	idleLoad              = 0.3 // mean load below which the endpoints count as idle
	// maxRequestWeight is the greatest weight of one request, in seconds. An instance with few requests thus
	// bases its level on as many requests as a busy instance, over a longer time.
	maxRequestWeight = 0.1
)

// onRequest raises the level for the time since the previous request, unless a shared level is in force.
func (l *admissionLevel) onRequest(now monotime.Micros) {
	l.requestWeight = min(maxRequestWeight, float64(max(0, now-l.requestAt))/float64(second))
	l.requestAt = now
	l.requests++
	if now < l.sharedUntil {
		return
	}
	increaseRate := increasePerSecond
	if l.load < idleLoad {
		increaseRate = idleIncreasePerSecond
	}
	l.value = min(1, l.value+l.requestWeight*increaseRate)
}

// decreasePerSecond is the rate at which the level falls while all requests fail, as a multiple of the level
// per second. In equilibrium the fraction increasePerSecond/(decreasePerSecond*level) of the requests fails: 7%
// at a level of 0.5. docs/design/overload.md compares other values.
const decreasePerSecond = 3.0

// onFailure lowers the level for an admitted request that failed, unless a shared level was in force at the
// latest request.
func (l *admissionLevel) onFailure() {
	l.failedRequests++
	if l.requestAt >= l.sharedUntil {
		l.value = max(minLevel, l.value-l.requestWeight*decreasePerSecond*l.value)
	}
}
