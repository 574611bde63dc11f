package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	// A second's steps up, and for a second in which all went on in vain the part down. Where they meet, up/(down*level) of
	// what is asked for goes on in vain: 7% at half of the work. What other values come to stands in docs/design/overload.md.
	increasePerSecond = 0.1
	decreasePerSecond = 3.0
	// While requests spend less than xFree of their aim at endpoints there is no overload that lasts, and the level comes
	// back five times as fast: half of the work within a second.
	idleIncreasePerSecond = 0.5
	idleLoad              = 0.3
	// One request counts as at most so much of a second: an instance that is asked for little learns from as many requests
	// as another, if over longer.
	maxRequestWeight = 0.1
	// Something always goes on, or nothing would tell that more may.
	minLevel = 0.05

	// A sample counts as no more than a whole aim: an endpoint that lies or hangs moves the mean by its part of the samples
	// at most. With one of twelve lying, 0.2 in calm becomes 0.27.
	maxLoadSample = 1.0
	// Beyond this part of the aim endpoints are taken for full: a request alone takes a fifth of it or so.
	saturatedLoad = 0.45

	loadSpan      = second // samples are averaged over this time,
	maxLoadWeight = 0.1    // but one of them moves the mean by so much at most: who has few goes by as many, if over longer
)

// level is the part of a mix of work that goes on (order.go). It rises by a step for each request that is asked for and falls
// by a part of itself for each that went on in vain: turned away by the balancer, by an endpoint, or answered too late. What
// goes on in vain depends on the endpoints' queues, which are the same for all instances; so a high level falls by more than
// a low one, and any two come to the same (additive increase, multiplicative decrease: Chiu and Jain 1989). The queues
// themselves are held by the balancer's limits, request by request; the level only has to find which part of the work those
// need not turn away. That part is a property of demand and capacity and does not move with the queues, so that evidence
// which is seconds old steers it without swinging (docs/design/overload.md).
type admissionLevel struct {
	value         float64
	requestAt     monotime.Micros // of the latest request
	requestWeight float64         // the part of a second that it counts as

	sharedUntil monotime.Micros // until then it goes by all instances' (Others): its own requests do not move it
	requests    int             // requests since they were told of,
	failed      int             // and such as went on in vain

	load      float64 // the part of its aim that a request spends at an endpoint: mean of recent samples
	sampledAt monotime.Micros
	samples   int
}

// see takes a sample in of the part of its aim that a request spends at an endpoint.
func (l *admissionLevel) addSample(now monotime.Micros, load float64) {
	if !(load >= 0) {
		return
	}
	elapsed := float64(max(0, now-l.sampledAt))
	l.sampledAt = now
	l.samples++
	l.load += (min(load, maxLoadSample) - l.load) * max(1/float64(l.samples), min(maxLoadWeight, -math.Expm1(-elapsed/float64(loadSpan))))
}

// full says whether the endpoints are taken for full.
func (l *admissionLevel) saturated() bool { return l.load > saturatedLoad }

// asked tells of a request.
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

// vain tells of a request that went on in vain.
func (l *admissionLevel) onFailure() {
	l.failed++
	if l.requestAt >= l.sharedUntil {
		l.value = max(minLevel, l.value-l.requestWeight*decreasePerSecond*l.value)
	}
}
