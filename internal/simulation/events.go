package simulation

import (
	"context"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/simulation/simclient"
)

// eventKind is what kind of event happens.
type eventKind uint8

const (
	operationArrives  eventKind = iota // index: an instance; the next operation begins there
	requestRetried                     // target: *operation; its next request begins
	requestAtInstance                  // target: *clientRequest; its request is whole at the instance
	connRejected                       // target: *clientRequest; the instance's machine rejects its connection
	responseAtClient                   // target: *clientRequest; its answer is at the client
	clientConnReset                    // target: *clientRequest; the client sees its connection break
	clientTimeout                      // target: *clientRequest; the client has waited long enough, or leaves
	instanceWakeup                     // target: *instance; its engine has something due
	attemptConnected                   // target: *attempt; its connection stands, at the instance
	dialFailed                         // target: *attempt; it has none
	attemptAtEndpoint                  // target: *attempt; it is at the endpoint
	replyAtInstance                    // target: *attempt; its reply is at the instance
	attemptAborted                     // target: *attempt; the endpoint sees that its sender has gone
	endpointWakeup                     // index: an endpoint that has finished something
	probeAtEndpoint                    // target: *probe; it is at the endpoint
	probeReplied                       // target: *probe; its answer is at the instance
	// index: an endpoint, target: engine.EndpointInfo; discovery hears how it stands with it
	discoveryNotified
	watchEventArrives  // target: *watchEvent; a discovery event is at an instance
	plannedEventStarts // index: a planned event begins
	plannedEventEnds   // index: a planned event ends
	// index: a planned event goes on, at its next endpoint or phase; target: how far
	plannedEventSteps
	endpointStarts      // index: an endpoint starts
	instanceRestarts    // target: *instance; it starts anew
	endpointPauses      // index: an endpoint stops for a moment
	fleetMessageArrives // target: *fleetMessage; it is at its instance
	// target: *clientRequest; its instance goes on and sees that its client has left
	clientGoneNoticed
)

// play handles events until there are none that matter any more.
func (r *run) play(ctx context.Context) error {
	end := r.plan.Length.Micros()
	for n := 0; r.events.len() > 0; n++ {
		if n&0xfff == 0 {
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

// handle handles an event, or puts it off to when the instance that handles it is no longer frozen.
func (r *run) handle(e *event) {
	if in := handlingInstance(e); in != nil && in.frozenUntil > r.now && !in.down {
		if e.kind == instanceWakeup {
			in.wakeupAt = in.frozenUntil
		}
		r.events.push(in.frozenUntil, e.kind, e.index, e.target)
		return
	}
	r.dispatch(e)
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
		if t := e.target.(*clientRequest); t.incarnation == t.instance.incarnation && !t.instance.down {
			t.instance.clientGone(t)
		}
	}
}

// handlingInstance is the instance whose process handles an event, nil for what happens elsewhere.
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
