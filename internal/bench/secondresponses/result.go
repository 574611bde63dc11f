package secondresponses

import (
	"fmt"
	"time"

	"dunlinsail/balancer"
)

const (
	// HarmlessLateness is up to which lateness of second responses no request may be served with a wrong response.
	HarmlessLateness = 15 * time.Millisecond
	// maxWrongBeyond is how many wrong responses one pool may serve in all, where second responses come later than
	// HarmlessLateness: the first, from which it learns.
	maxWrongBeyond = 1
	// stretchTolerance is how much later than its configured lateness a second response may be sent and still count
	// as late by that. A busy machine sends it later: it is stretched, and judged by its measured lateness.
	stretchTolerance = 5 * time.Millisecond
)

// outcome is how a request ended. With the status balancer.OK it was served with a copy of the response to servedID.
type outcome struct {
	status     balancer.Status
	servedID   int
	servedCopy int
}

// Result counts the requests of a run by their end, and what else happened.
type Result struct {
	Served  int // with their own response
	NotSent int // written to no connection, which a caller may repeat
	Failed  int // without a response for another reason

	WrongWithin    int // served with a response to another request, from a second response up to HarmlessLateness
	WrongBeyond    int // the same, from a later one
	WrongEndpoints int // endpoints of requests that were served with a wrong response

	Detected    uint64        // surplus responses that the pool detected
	SentTwice   int           // responses that were to be sent twice
	SentSecond  int           // of these, sent the second time; the pool had closed the connections of the others
	Stretched   int           // of these, sent later than configured by over stretchTolerance
	MaxLateness time.Duration // of the second responses, as measured

	DialsBeforeDetection, DialsAfterDetection int64 // of the pool's first surplus response
}

// Wrong returns how many requests were served with a response to another request.
func (r *Result) Wrong() int { return r.WrongWithin + r.WrongBeyond }

// Violations says how a run missed the target: no wrong response from second responses up to HarmlessLateness, and one
// wrong response of the whole pool from later ones. It is empty where the target was met.
func (r *Result) Violations() []string {
	var violations []string
	if r.WrongWithin > 0 {
		violations = append(violations, fmt.Sprintf(
			"%d wrong responses, from second responses up to %v late; 0 allowed", r.WrongWithin, HarmlessLateness))
	}
	if r.WrongBeyond > maxWrongBeyond {
		violations = append(violations, fmt.Sprintf(
			"%d wrong responses, from second responses over %v late; %d allowed",
			r.WrongBeyond, HarmlessLateness, maxWrongBeyond))
	}
	return violations
}

// result counts what happened in a run that is over.
func (r *run) result() Result {
	result := Result{
		Detected:             r.pool.SurplusResponses(),
		DialsBeforeDetection: r.pool.dialsBeforeDetection.Load(),
		DialsAfterDetection:  r.pool.dialsAfterDetection.Load(),
	}
	r.countSecondResponses(&result)
	r.countOutcomes(&result)
	return result
}

// countSecondResponses counts the second responses, once the endpoints have stopped.
func (r *run) countSecondResponses(result *Result) {
	for _, e := range r.endpoints {
		result.SentTwice += e.sentTwice
	}
	result.SentSecond = len(r.ledger.lateness)
	for _, lateness := range r.ledger.lateness {
		if r.isStretched(lateness) {
			result.Stretched++
		}
		result.MaxLateness = max(result.MaxLateness, lateness)
	}
}

// isStretched reports whether a second response was sent later than configured.
func (r *run) isStretched(measured time.Duration) bool {
	return measured > r.options.Lateness+stretchTolerance
}

// countOutcomes counts the requests by their end.
func (r *run) countOutcomes(result *Result) {
	wrongEndpoints := map[int]bool{}
	for id, o := range r.outcomes {
		switch {
		case o.isOwn(id):
			result.Served++
		case o.status == balancer.NotSent || o.status == balancer.ConnectFailed:
			result.NotSent++
		case o.status != balancer.OK:
			result.Failed++
		case r.comesFromHarmless(o):
			result.WrongWithin++
			wrongEndpoints[r.endpointOf(id)] = true
		default:
			result.WrongBeyond++
			wrongEndpoints[r.endpointOf(id)] = true
		}
	}
	result.WrongEndpoints = len(wrongEndpoints)
}

// isOwn reports whether a request was served with its own response.
func (o outcome) isOwn(id int) bool { return o.status == balancer.OK && o.servedID == id }

// comesFromHarmless reports whether a wrong response goes back to a second response that counts as late by
// HarmlessLateness at most. A request that was served with a wrong response leaves its own on the connection, which may
// be served to the next one, and so on: such a first copy goes back to what its own request was served with. A wrong
// response whose cause is unknown is none of a late one.
func (r *run) comesFromHarmless(o outcome) bool {
	for range r.outcomes {
		if o.servedCopy == secondCopy {
			return r.countedLateness(o.servedID) <= HarmlessLateness
		}
		o = r.outcomes[o.servedID]
		if o.status != balancer.OK {
			return true
		}
	}
	return true
}

// countedLateness returns by how much the second response to a request counts as late: as configured, or as measured
// if it was stretched.
func (r *run) countedLateness(id int) time.Duration {
	if measured := r.ledger.lateness[id]; r.isStretched(measured) {
		return measured
	}
	return r.options.Lateness
}
