package simulation

import (
	"context"

	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

// eventKind is the kind of an event. The comment of each kind names its index or target and its meaning.
type eventKind uint8

const (
	operationArrives  eventKind = iota // index: an instance, whose next operation starts
	requestRetried                     // target: *operation, whose next request starts
	requestAtInstance                  // target: *clientRequest, which has arrived completely at the instance
	connRejected                       // target: *clientRequest, whose connection the instance's machine has rejected
	responseAtClient                   // target: *clientRequest, whose response arrives at the client
	clientConnReset                    // target: *clientRequest, whose connection is reset at the client
	clientTimeout                      // target: *clientRequest, whose client times out or aborts it early
	instanceWakeup                     // target: *instance, whose engine has a due timer
	attemptConnected                   // target: *attempt, whose connection is established
	dialFailed                         // target: *attempt, whose connection could not be opened
	attemptAtEndpoint                  // target: *attempt, which arrives at the endpoint
	replyAtInstance                    // target: *attempt, whose reply arrives at the instance
	attemptAborted                     // target: *attempt, whose closed connection the endpoint notices
	endpointWakeup                     // index: an endpoint, at which a job completes
	probeAtEndpoint                    // target: *probe, which arrives at the endpoint
	probeReplied                       // target: *probe, whose load report arrives at the instance
	// index: an endpoint; target: engine.EndpointInfo, the endpoint's new state, of which discovery is
	// notified
	discoveryNotified
	watchEventArrives  // target: *watchEvent, an update of the endpoint list, which arrives at its instance
	plannedEventStarts // index: a planned event, which starts
	plannedEventEnds   // index: a planned event, which ends
	// index: a planned event with several steps; target: int, the number of the step that starts
	plannedEventSteps
	endpointStarts      // index: an endpoint, which starts
	instanceRestarts    // target: *instance, which starts again
	endpointPauses      // index: an endpoint, whose process pauses
	fleetMessageArrives // target: *fleetMessage, which arrives at its recipient
	// target: *clientRequest, whose instance notices that the client has left
	clientGoneNoticed
)

// handleEvents handles events until all operations have ended, or until maxDrainTime after the planned length
// of the run.
func (r *run) handleEvents(ctx context.Context) error {
	end := r.plan.Length.Micros()
	for handled := 0; r.events.len() > 0; handled++ {
		if handled&0xfff == 0 {
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			if r.options.Progress != nil {
				r.options.Progress(r.now)
			}
		}
		e := r.events.pop()
		r.now = e.at
		if r.pendingOperations == 0 && r.instancesWithArrivals == 0 && r.now >= end || r.now > end+maxDrainTime {
			return nil
		}
		r.handle(&e)
	}
	return nil
}

// handle handles an event. If the process that handles it is frozen, the event is postponed until the freeze
// ends.
func (r *run) handle(e *event) {
	if in := handlingInstance(e); in != nil && !in.down {
		if in.frozenUntil > r.now {
			in.postpone(e)
			return
		}
		in.notifyOfStall()
	}
	r.dispatch(e)
}

// postpone schedules an event again for the end of its instance's freeze. Events of clients follow one
// microsecond later, since the event loop of package core handles them after all other events.
func (in *instance) postpone(e *event) {
	at := in.frozenUntil
	switch e.kind {
	case instanceWakeup:
		in.wakeupAt = at
	case requestAtInstance, clientGoneNoticed:
		at++
	}
	in.run.events.push(at, e.kind, e.index, e.target)
}

// freeze stops the instance's process until an instant.
func (in *instance) freeze(until monotime.Micros) {
	if !in.stalled {
		in.stalled = true
		in.stalledFrom = in.localTime()
	}
	in.frozenUntil = max(in.frozenUntil, until)
}

// notifyOfStall notifies the engine of a stall that has ended, as the event loop of package core does.
func (in *instance) notifyOfStall() {
	if in.stalled {
		in.stalled = false
		now := in.localTime()
		in.engine.Stalled(now, stall.Interval{From: in.stalledFrom, To: now})
	}
}

// dispatch calls the handler of an event.
func (r *run) dispatch(e *event) {
	switch e.kind {
	case operationArrives:
		r.startOperation(r.instances[e.index])
	case requestRetried:
		r.retryOperation(e.target.(*operation))
	case requestAtInstance:
		e.target.(*clientRequest).submit()
	case connRejected:
		e.target.(*clientRequest).end(simclient.NoResponse, 0)
	case responseAtClient:
		e.target.(*clientRequest).responseArrived()
	case clientConnReset:
		e.target.(*clientRequest).end(simclient.NoResponse, 0)
	case clientTimeout:
		e.target.(*clientRequest).clientLeaves()
	case instanceWakeup:
		e.target.(*instance).onWakeup(e.at)
	case attemptConnected:
		e.target.(*attempt).connected()
	case dialFailed:
		e.target.(*attempt).dialFailed()
	case attemptAtEndpoint:
		e.target.(*attempt).arriveAtEndpoint()
	case replyAtInstance:
		e.target.(*attempt).replyArrived()
	case attemptAborted:
		e.target.(*attempt).abortNoticed()
	case endpointWakeup:
		r.endpoints[e.index].onWakeup(e.at)
	case probeAtEndpoint:
		e.target.(*probe).arriveAtEndpoint()
	case probeReplied:
		e.target.(*probe).replyArrived()
	case discoveryNotified:
		r.discovery.publish(int(e.index), e.target.(engine.EndpointInfo))
	case watchEventArrives:
		e.target.(*watchEvent).arrive()
	case plannedEventStarts:
		r.startEvent(int(e.index))
	case plannedEventEnds:
		r.endEvent(int(e.index))
	case plannedEventSteps:
		r.stepEvent(int(e.index), e.target.(int))
	case endpointStarts:
		r.endpoints[e.index].start(false)
	case instanceRestarts:
		e.target.(*instance).start(false)
	case endpointPauses:
		r.endpoints[e.index].pause()
	case fleetMessageArrives:
		e.target.(*fleetMessage).arrive()
	case clientGoneNoticed:
		if request := e.target.(*clientRequest); request.incarnation == request.instance.incarnation &&
			!request.instance.down {
			request.instance.clientGone(request)
		}
	}
}

// handlingInstance returns the instance whose process handles an event, or nil if no instance handles it.
func handlingInstance(e *event) *instance {
	switch e.kind {
	case requestAtInstance, clientGoneNoticed:
		return e.target.(*clientRequest).instance
	case instanceWakeup:
		return e.target.(*instance)
	case attemptConnected, dialFailed, replyAtInstance:
		return e.target.(*attempt).instance
	case probeReplied:
		return e.target.(*probe).instance
	case watchEventArrives:
		return e.target.(*watchEvent).instance
	case fleetMessageArrives:
		return e.target.(*fleetMessage).to
	}
	return nil
}
