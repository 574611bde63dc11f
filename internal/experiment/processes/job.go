package processes

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"dunlinsail/balancer"
	"dunlinsail/internal/simulation/simendpoint"
)

// job is an attempt that has arrived at an endpoint.
type job struct {
	simendpoint.Job
	operation     *operation
	requestNumber int  // number of the client request within its operation
	retry         bool // whether an earlier attempt of the same client request has already arrived
}

// parseJob returns the job of an HTTP request. The request's URL contains the IDs of the operation and the client
// request. The job's work and chance are drawn from these IDs, so that they do not depend on the order of arrival.
func (r *run) parseJob(httpRequest *http.Request) (*job, error) {
	query := httpRequest.URL.Query()
	operationID, err := strconv.ParseUint(query.Get("s"), 16, 64)
	requestNumber, requestErr := strconv.Atoi(query.Get("t"))
	if err := errors.Join(err, requestErr); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	op := r.operations[operationID]
	if op == nil {
		return nil, fmt.Errorf("no operation has the ID %x", operationID)
	}
	attemptID := uint64(requestNumber)<<8 | uint64(op.arrivalsByRequest[requestNumber])
	op.arrivalsByRequest[requestNumber]++
	newJob := &job{operation: op, requestNumber: requestNumber, retry: op.arrivalsByRequest[requestNumber] > 1}
	plannedClass := 0
	for plannedIndex, criteriaIndex := range r.criteriaClassIndex {
		if criteriaIndex == op.Class {
			plannedClass = plannedIndex
		}
	}
	newJob.Class = op.Class
	newJob.Work = simendpoint.DrawWork(r.workNoiseRand.For(operationID, attemptID), op.Work,
		r.plan.Classes[plannedClass].AttemptWorkCV)
	newJob.Chance = r.outcomeRand.For(operationID, attemptID).Float64()
	if header := httpRequest.Header.Get("Idempotency-Key"); header != "" {
		if newJob.IdempotencyKey, err = strconv.ParseUint(header, 16, 64); err != nil {
			return nil, err
		}
	}
	return newJob, nil
}

// recordExecution records a completed execution of a job, and counts duplicate effects.
func (r *run) recordExecution(executed *job, completion simendpoint.Completion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	op := executed.operation
	op.Executions++
	op.lastServiceTime = executed.Work
	if !completion.Effect {
		return
	}
	op.Effects++
	op.effectsByRequest[executed.requestNumber]++
	if op.classSettings.Idempotency != balancer.Idempotent && op.Effects > 1 {
		if op.effectsByRequest[executed.requestNumber] > 1 {
			r.counts.duplicateEffects++
		} else {
			r.counts.clientDuplicateEffects++
		}
	}
}
