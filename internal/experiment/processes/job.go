package processes

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"dunlinsail/balancer"
	"dunlinsail/internal/simulation/simendpoint"
)

// job is a request at an endpoint.
type job struct {
	simendpoint.Job
	operation *operation
	attempt   int
	retry     bool // its instance sent the request before
}

// job makes an endpoint's request of what came.
func (r *run) parseJob(q *http.Request) (*job, error) {
	v := q.URL.Query()
	id, err := strconv.ParseUint(v.Get("s"), 16, 64)
	try, err2 := strconv.Atoi(v.Get("t"))
	if err := errors.Join(err, err2); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.operations[id]
	if s == nil {
		return nil, fmt.Errorf("no client asked for %x", id)
	}
	which := uint64(try)<<8 | uint64(s.arrivals[try])
	s.arrivals[try]++
	j := &job{operation: s, attempt: try, retry: s.arrivals[try] > 1}
	c := 0
	for i, at := range r.criteriaClass {
		if at == s.Class {
			c = i
		}
	}
	j.Class, j.Work = s.Class, simendpoint.DrawWork(r.workNoise.For(id, which), s.Work, r.plan.Classes[c].Noise)
	j.Chance = r.outcomeRand.For(id, which).Float64()
	if text := q.Header.Get("Idempotency-Key"); text != "" {
		if j.IdempotencyKey, err = strconv.ParseUint(text, 16, 64); err != nil {
			return nil, err
		}
	}
	return j, nil
}

// ran notes that a request has run.
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
