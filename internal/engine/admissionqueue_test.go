package engine

import (
	"math/rand/v2"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

// queueRun applies random arrivals and ends to an admissionQueue.
type queueRun struct {
	queue    *admissionQueue
	client   *Client
	calls    map[uint64]*Call
	inFlight map[bool][]uint64 // IDs by whether the request is an upload
	lastID   uint64
}

func newQueueRun(t *testing.T, maxInFlight int) *queueRun {
	t.Helper()
	client, err := NewClient(fairqueue.ClientSpec{Name: "desk", Weight: 1})
	require.NoError(t, err)
	return &queueRun{
		queue:    newAdmissionQueue(maxInFlight, fairqueue.Settings{InitialTimes: []monotime.Micros{1000}}),
		client:   client,
		calls:    map[uint64]*Call{},
		inFlight: map[bool][]uint64{},
	}
}

// add adds a request with a far deadline.
func (r *queueRun) add(now monotime.Micros, upload bool) {
	r.lastID++
	call := &Call{Client: r.client, Request: balancer.Request{ID: r.lastID, Upload: upload}}
	r.calls[r.lastID] = call
	r.queue.enqueue(now, call, now+monotime.Second*1000, 0)
}

// end ends a request in flight, if there is one.
func (r *queueRun) end(now monotime.Micros, upload bool) {
	if ids := r.inFlight[upload]; len(ids) > 0 {
		r.queue.done(now, r.calls[ids[0]])
		r.inFlight[upload] = ids[1:]
	}
}

// decide carries out all due decisions.
func (r *queueRun) decide(now monotime.Micros) {
	for {
		decision, ok := r.queue.next(now)
		if !ok {
			return
		}
		if decision.Action == fairqueue.Admit {
			upload := r.calls[decision.ID].Request.Upload
			r.inFlight[upload] = append(r.inFlight[upload], decision.ID)
		}
	}
}

// Guards against requests that are rejected because uploads in flight, which last as long as their clients take, occupy
// all places.
func TestUploadsOccupyHalfOfThePlaces(t *testing.T) {
	for _, maxInFlight := range []int{2, 3, 4, 9, 64} {
		rng := rand.New(rand.NewPCG(81, uint64(maxInFlight)))
		r := newQueueRun(t, maxInFlight)
		for step := range 4000 {
			now := monotime.Micros(step) * 100
			if upload := rng.IntN(2) == 0; rng.IntN(5) < 3 {
				r.add(now, upload)
			} else {
				r.end(now, upload)
			}
			r.decide(now)
			uploads := len(r.inFlight[true])
			total := uploads + len(r.inFlight[false])
			if uploads > maxInFlight/maxUploadDivisor || total > maxInFlight {
				t.Fatalf("step %d: %d uploads of %d requests in flight, %d allowed", step, uploads, total, maxInFlight)
			}
			waiting, inFlight := r.queue.counts()
			waitingUploads, _ := r.queue.uploads.Counts()
			if waiting > waitingUploads && waitingUploads > 0 && total < maxInFlight-1 || inFlight != total {
				t.Fatalf("step %d: %d of %d in flight, %d wait, %d of them uploads",
					step, total, maxInFlight, waiting, waitingUploads)
			}
		}
		if len(r.inFlight[true]) == 0 || len(r.inFlight[false]) == 0 {
			t.Errorf("limit %d: %v in flight at the end, both kinds expected", maxInFlight, r.inFlight)
		}
	}
}

func TestWithoutLimitNothingWaits(t *testing.T) {
	r := newQueueRun(t, 0)
	for range 50 {
		r.add(0, true)
		r.add(0, false)
	}
	r.decide(0)
	if waiting, inFlight := r.queue.counts(); waiting != 0 || inFlight != 100 {
		t.Errorf("%d wait, %d in flight", waiting, inFlight)
	}
}
