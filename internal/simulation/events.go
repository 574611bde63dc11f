package simulation

import (
	"context"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/simulation/simclient"
)

// kind is what kind of event happens.
type eventKind uint8

const (
	operationArrives    eventKind = iota // n: an instance; the next story begins there
	requestRetried                       // p: *story; its next try begins
	requestAtInstance                    // p: *try; its request is whole at the instance
	connRejected                         // p: *try; the instance's machine refuses its connection
	responseAtClient                     // p: *try; its answer is at the client
	clientConnReset                      // p: *try; the client sees its connection break
	clientTimeout                        // p: *try; the client has waited long enough, or leaves
	instanceWakeup                       // p: *instance; its engine has something due
	attemptConnected                     // p: *sending; its connection stands, at the instance
	dialFailed                           // p: *sending; it has none
	attemptAtEndpoint                    // p: *sending; it is at the endpoint
	replyAtInstance                      // p: *sending; its reply is at the instance
	attemptAborted                       // p: *sending; the endpoint sees that its sender has gone
	endpointWakeup                       // n: an endpoint that has finished something
	probeAtEndpoint                      // p: *probe; it is at the endpoint
	probeReplied                         // p: *probe; its answer is at the instance
	discoveryNotified                    // n: an endpoint, p: engine.Member; discovery hears how it stands with it
	watchEventArrives                    // p: *news; discovery's word is at an instance
	plannedEventStarts                   // n: a happening begins
	plannedEventEnds                     // n: a happening ends
	plannedEventSteps                    // n: a happening goes on, at its next endpoint or phase; p: how far
	endpointStarts                       // n: an endpoint starts
	instanceRestarts                     // p: *instance; it starts anew
	endpointPauses                       // n: an endpoint stops for a moment
	fleetMessageArrives                  // p: *word; it is at its instance
	clientGoneNoticed                    // p: *try; its instance goes on and sees that its client has left
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

func (r *run) handle(e *event) {
	if in := handlingInstance(e); in != nil && in.frozenUntil > r.now && !in.down {
		if e.kind == instanceWakeup {
			in.wakeupAt = in.frozenUntil
		}
		r.events.push(in.frozenUntil, e.kind, e.index, e.target)
		return
	}
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

// host is the instance whose process handles an event, nil for what happens elsewhere.
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
