package simulation

import (
	"fmt"
	"strconv"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// upstreamTarget makes an endpoint the engine.Target of an instance's engine.
type upstreamTarget struct{ endpoint *endpoint }

// Drop does nothing: idle connections to an endpoint that is gone expire.
func (upstreamTarget) Drop() {}

// NewTarget returns the endpoint with an address, which is the endpoint's index.
func (in *instance) NewTarget(_, addr string) engine.Target {
	index, err := strconv.Atoi(addr)
	if err != nil {
		panic(err) // endpointInfo sets the address to a number
	}
	return upstreamTarget{in.run.endpoints[index]}
}

// StartAttempt starts the simulation of an attempt.
func (in *instance) StartAttempt(engineAttempt *engine.Attempt) {
	newAttempt(in, engineAttempt).start()
}

// CancelUnsent cancels an attempt whose request was not sent yet, and reports whether it did.
func (in *instance) CancelUnsent(engineAttempt *engine.Attempt) bool {
	a, ok := engineAttempt.HostData.(*attempt)
	return !ok || a.cancelUnsent()
}

// AbortAttempt aborts an attempt whose result the engine no longer needs.
func (in *instance) AbortAttempt(engineAttempt *engine.Attempt) {
	if a, ok := engineAttempt.HostData.(*attempt); ok {
		a.abort()
	}
}

// AttemptTimedOut closes the endpoint's idle connections that were last used before the attempt started.
func (in *instance) AttemptTimedOut(engineAttempt *engine.Attempt) {
	a, ok := engineAttempt.HostData.(*attempt)
	if !ok {
		return
	}
	idle := in.idleUpstreamConns[a.endpoint.index]
	remaining := idle[:0]
	for _, conn := range idle {
		if conn.idleSince >= a.startedAt {
			remaining = append(remaining, conn)
			continue
		}
		in.upstreamConns--
		a.endpoint.disconnect(conn.endpointIncarnation)
	}
	in.idleUpstreamConns[a.endpoint.index] = remaining
}

// StartProbe sends a probe to an endpoint, which replies with its load report.
func (in *instance) StartProbe(p *engine.Pool, e *engine.Endpoint) { newProbe(in, e) }

// Respond sends the final response of a request to its client, and makes the client's connection idle.
func (in *instance) Respond(call *engine.Call, response engine.Response) {
	request := call.HostData.(*clientRequest)
	r := in.run
	request.response = response
	request.responded = true
	in.removeInFlight(request)
	in.recordRequest(request, false)
	if request.conn != nil {
		if closed := in.connTable.MarkIdle(in.localTime(), request.conn); closed != nil {
			in.forgetIdleClientConn(closed)
		}
		process := request.conn.Value.process
		in.idleClientConns[process] = append(in.idleClientConns[process], request.conn)
		request.conn = nil
	}
	r.events.push(r.now+r.network.clientDelay(request.operation.ID, request.Number, true)+in.overhead(),
		responseAtClient, 0, request)
}

// EndpointReady does nothing: no hot restart of the simulation waits for it.
func (in *instance) EndpointReady() {}

// Log passes a log line to Options.Log.
func (in *instance) Log(message string, args ...any) {
	if in.run.options.Log != nil {
		in.run.options.Log(in.run.now, in.index, fmt.Sprint(append([]any{message}, args...)...))
	}
}

// Warn does the same as Log.
func (in *instance) Warn(message string, args ...any) { in.Log(message, args...) }

// overhead returns the processing time of a request in the instance's process in one direction, half of the
// total.
func (in *instance) overhead() monotime.Micros { return in.run.plan.Host.Overhead.Micros() / 2 }
