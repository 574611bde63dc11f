package processes

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"dunlinsail/balancer"
	"dunlinsail/internal/simulation/simendpoint"
)

// job is an attempt that has reached an endpoint.
type job struct {
	simendpoint.Job
	operation *operation
	attempt   int  // the number of the client's request
	retry     bool // the instance sent another attempt of the same client request before
}

// parseJob returns the job of an HTTP request, by the IDs in its URL. Its work and chance are drawn by these IDs, so
// that they do not depend on the order of arrival.
func (r *run) parseJob(q *http.Request) (*job, error) {
	v := q.URL.Query()
	id, err := strconv.ParseUint(v.Get("s"), 16, 64)
	request, requestErr := strconv.Atoi(v.Get("t"))
	if err := errors.Join(err, requestErr); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.operations[id]
	if s == nil {
		return nil, fmt.Errorf("no operation has the ID %x", id)
	}
	attempt := uint64(request)<<8 | uint64(s.arrivals[request])
	s.arrivals[request]++
	j := &job{operation: s, attempt: request, retry: s.arrivals[request] > 1}
	plannedClass := 0
	for i, class := range r.criteriaClass {
		if class == s.Class {
			plannedClass = i
		}
	}
	j.Class = s.Class
	j.Work = simendpoint.DrawWork(r.workNoise.For(id, attempt), s.Work, r.plan.Classes[plannedClass].Noise)
	j.Chance = r.outcomeRand.For(id, attempt).Float64()
	if text := q.Header.Get("Idempotency-Key"); text != "" {
		if j.IdempotencyKey, err = strconv.ParseUint(text, 16, 64); err != nil {
			return nil, err
		}
	}
	return j, nil
}

// recordExecution records a completed execution of a job, and effects that took place twice.
func (r *run) recordExecution(j *job, x simendpoint.Completion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := j.operation
	s.Executions++
	s.serviceTime = j.Work
	if !x.Effect {
		return
	}
	s.Effects++
	s.effects[j.attempt]++
	if s.class.Idempotency != balancer.Idempotent && s.Effects > 1 {
		if s.effects[j.attempt] > 1 {
			r.counts.duplicateEffects++
		} else {
			r.counts.clientDuplicateEffects++
		}
	}
}
