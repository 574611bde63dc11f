package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// level is the part of a mix of work that goes on (order.go). It rises by a step for each request that is asked for and falls
// by a part of itself for each that went on in vain: turned away by the balancer, by an endpoint, or answered too late. What
// goes on in vain depends on the endpoints' queues, which are the same for all instances; so a high level falls by more than
// a low one, and any two come to the same (additive increase, multiplicative decrease: Chiu and Jain 1989). The queues
// themselves are held by the balancer's limits, request by request; the level only has to find which part of the work those
// need not turn away. That part is a property of demand and capacity and does not move with the queues, so that evidence
// which is seconds old steers it without swinging (docs/design/overload.md).
type level struct {
	y  float64
	at monotime.Micros // of the latest request
	w  float64         // the part of a second that it counts as

	joint monotime.Micros // until then it goes by all instances' (Others): its own requests do not move it
	came  int             // requests since they were told of,
	lost  int             // and such as went on in vain

	x       float64 // the part of its aim that a request spends at an endpoint: mean of recent samples
	seenAt  monotime.Micros
	samples int
}

const (
	// A second's steps up, and for a second in which all went on in vain the part down. Where they meet, up/(down*level) of
	// what is asked for goes on in vain: 7% at half of the work. What other values come to stands in docs/design/overload.md.
	up   = 0.1
	down = 3.0
	// While requests spend less than xFree of their aim at endpoints there is no overload that lasts, and the level comes
	// back five times as fast: half of the work within a second.
	upFree = 0.5
	xFree  = 0.3
	// One request counts as at most so much of a second: an instance that is asked for little learns from as many requests
	// as another, if over longer.
	stepMost = 0.1
	// Something always goes on, or nothing would tell that more may.
	levelMin = 0.05

	// A sample counts as no more than a whole aim: an endpoint that lies or hangs moves the mean by its part of the samples
	// at most. With one of twelve lying, 0.2 in calm becomes 0.27.
	xMost = 1.0
	// Beyond this part of the aim endpoints are taken for full: a request alone takes a fifth of it or so.
	xFull = 0.45

	xSpan   = second // samples are averaged over this time,
	xWeight = 0.1    // but one of them moves the mean by so much at most: who has few goes by as many, if over longer
)

// see takes a sample in of the part of its aim that a request spends at an endpoint.
func (l *level) see(now monotime.Micros, x float64) {
	if !(x >= 0) {
		return
	}
	since := float64(max(0, now-l.seenAt))
	l.seenAt = now
	l.samples++
	l.x += (min(x, xMost) - l.x) * max(1/float64(l.samples), min(xWeight, -math.Expm1(-since/float64(xSpan))))
}

// full says whether the endpoints are taken for full.
func (l *level) full() bool { return l.x > xFull }

// asked tells of a request.
func (l *level) asked(now monotime.Micros) {
	l.w = min(stepMost, float64(max(0, now-l.at))/float64(second))
	l.at = now
	l.came++
	if now < l.joint {
		return
	}
	rise := up
	if l.x < xFree {
		rise = upFree
	}
	l.y = min(1, l.y+l.w*rise)
}

// vain tells of a request that went on in vain.
func (l *level) vain() {
	l.lost++
	if l.at >= l.joint {
		l.y = max(levelMin, l.y-l.w*down*l.y)
	}
}

// Joint is the level of all instances together, kept by one of them from what all tell it. What many ask for is met by it as one
// instance's is by its own level, and no instance's few requests move it. Make one with NewJoint.
type Joint struct {
	y  float64
	at monotime.Micros
}

// NewJoint returns one that begins at what instances are at.
func NewJoint(now monotime.Micros, level float64) *Joint {
	return &Joint{y: min(1, max(levelMin, level)), at: now}
}

// jointDown is down of a joint level. What it is told is up to half a second old, and the queues answer to what it lets in at
// once: beyond a gain of about three a second it would swing.
const jointDown = 2.0

// Move moves the level by the requests that came since it was moved last, of which a part went on in vain, and returns it.
func (j *Joint) Move(now monotime.Micros, asked, vain, load float64) float64 {
	w := min(1, float64(max(0, now-j.at))/float64(second))
	j.at = now
	rise := up
	if load < xFree {
		rise = upFree
	}
	j.y = min(1, j.y+w*rise)
	if asked > 0 {
		j.y = max(levelMin, j.y-w*jointDown*j.y*min(1, vain/asked))
	}
	return j.y
}
