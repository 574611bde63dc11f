package engine

import (
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/monotime"
)

// maxUploadDivisor limits the uploads in flight to 1/2 of the requests in flight. An upload lasts as long as its client
// takes to send it; if uploads could use all places, a few slow clients would keep all other requests waiting.
const maxUploadDivisor = 2

// admissionQueue holds the requests of a pool that wait or are in flight: uploads, whose bodies are still arriving from
// their clients, apart from all others.
type admissionQueue struct {
	maxInFlight int // limit of requests in flight, uploads included; 0 is no limit
	requests    *fairqueue.Scheduler
	uploads     *fairqueue.Scheduler
}

// newAdmissionQueue returns an empty queue. settings.MaxInFlight is not used.
func newAdmissionQueue(maxInFlight int, settings fairqueue.Settings) *admissionQueue {
	return &admissionQueue{
		maxInFlight: maxInFlight,
		requests:    fairqueue.New(settings),
		uploads:     fairqueue.New(settings),
	}
}

// schedulerOf returns the scheduler of a request.
func (q *admissionQueue) schedulerOf(c *Call) *fairqueue.Scheduler {
	if c.Request.Upload {
		return q.uploads
	}
	return q.requests
}

// enqueue adds a request, whose response is of use until the given instant, and which may wait for the given fraction
// of the time until then (fairqueue.Request.MaxWaitFraction).
func (q *admissionQueue) enqueue(now monotime.Micros, c *Call, usefulUntil monotime.Micros, maxWaitFraction float64) {
	q.divideLimit()
	q.schedulerOf(c).Enqueue(now, c.Client.account, fairqueue.Request{
		ID:              c.Request.ID,
		Class:           int(c.Request.Class),
		Deadline:        usefulUntil,
		MaxWaitFraction: maxWaitFraction,
	})
}

// next returns a decision that is due, at the current limit.
func (q *admissionQueue) next(now monotime.Micros) (decision fairqueue.Decision, ok bool) {
	q.divideLimit()
	if decision, ok = q.requests.Next(now); ok {
		return decision, true
	}
	return q.uploads.Next(now)
}

// noPlace is the limit of a scheduler that may admit no request.
const noPlace = -1

// divideLimit divides maxInFlight: uploads get a part of it, if that is free, and what they neither use nor wait for is
// for the other requests. If maxInFlight is 1, an upload and another request may be in flight together.
func (q *admissionQueue) divideLimit() {
	if q.maxInFlight == 0 {
		q.requests.SetMaxInFlight(0)
		q.uploads.SetMaxInFlight(0)
		return
	}
	_, requests := q.requests.Counts()
	waitingUploads, uploads := q.uploads.Counts()
	reserved := max(uploads, min(1, waitingUploads))
	q.requests.SetMaxInFlight(max(1, q.maxInFlight-reserved))
	uploadLimit := min(max(1, q.maxInFlight/maxUploadDivisor), q.maxInFlight-requests)
	if uploadLimit <= 0 {
		uploadLimit = noPlace
	}
	q.uploads.SetMaxInFlight(uploadLimit)
}

// done records that a request has ended, or no longer occupies its place.
func (q *admissionQueue) done(now monotime.Micros, c *Call) { q.schedulerOf(c).Done(now, c.Request.ID) }

// close declares that no more requests will be added.
func (q *admissionQueue) close() {
	q.requests.Close()
	q.uploads.Close()
}

// counts returns how many requests wait and how many are in flight.
func (q *admissionQueue) counts() (waiting, inFlight int) {
	waiting, inFlight = q.requests.Counts()
	waitingUploads, uploadsInFlight := q.uploads.Counts()
	return waiting + waitingUploads, inFlight + uploadsInFlight
}

// nextExpiry returns the instant at which next must be called unless another event occurs earlier, or 0.
func (q *admissionQueue) nextExpiry() monotime.Micros {
	expiry := q.requests.NextExpiry()
	if uploadExpiry := q.uploads.NextExpiry(); expiry == 0 || uploadExpiry > 0 && uploadExpiry < expiry {
		return uploadExpiry
	}
	return expiry
}
