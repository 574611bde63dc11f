package simulation

import (
	"context"

	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

// eventKind is the kind of an event. The comments say what its index or target is, and what happens.
type eventKind uint8

const (
	operationArrives  eventKind = iota // index: an instance; its next operation starts
	requestRetried                     // target: *operation; its next request starts
	requestAtInstance                  // target: *clientRequest; the request has arrived completely at the instance
	connRejected                       // target: *clientRequest; the instance's machine rejects its connection
	responseAtClient                   // target: *clientRequest; its response arrives at the client
	clientConnReset                    // target: *clientRequest; the client sees its connection break
	clientTimeout                      // target: *clientRequest; its client times out, or leaves early
	instanceWakeup                     // target: *instance; its engine has a timer due
	attemptConnected                   // target: *attempt; its connection is established
	dialFailed                         // target: *attempt; its dial failed
	attemptAtEndpoint                  // target: *attempt; it arrives at the endpoint
	replyAtInstance                    // target: *attempt; its reply arrives at the instance
	attemptAborted                     // target: *attempt; the endpoint notices that its connection was closed
	endpointWakeup                     // index: an endpoint; a job completes there
	probeAtEndpoint                    // target: *probe; it arrives at the endpoint
	probeReplied                       // target: *probe; its report arrives at the instance
	// index: an endpoint, target: engine.EndpointInfo; discovery is notified of the endpoint's new state
	discoveryNotified
	watchEventArrives  // target: *watchEvent; an update of the endpoint list arrives at its instance
	plannedEventStarts // index: a planned event, which starts
	plannedEventEnds   // index: a planned event, which ends
	// index: a planned event, which goes on with its next endpoint or phase; target: the number of that
	plannedEventSteps
	endpointStarts      // index: an endpoint, which starts
	instanceRestarts    // target: *instance; it starts again
	endpointPauses      // index: an endpoint; its process pauses
	fleetMessageArrives // target: *fleetMessage; it arrives at its instance
	// target: *clientRequest; its instance notices that the client has left
	clientGoneNoticed
)

// play handles events until all operations have ended, or maxDrainTime is over.
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

// handle handles an event. While the instance that handles it is frozen, the event is postponed to the end of that.
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

// postpone has an event handled once its instance goes on: what clients do comes after all else, as in package core.
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

// freeze stops the instance until an instant.
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

// handlingInstance is the instance whose process handles an event, nil for events elsewhere.
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
