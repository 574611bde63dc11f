package simulation

import (
	"fmt"
	"strconv"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// upstreamTarget is an endpoint as an engine's target.
type upstreamTarget struct{ endpoint *endpoint }

// Drop does nothing: idle connections to an endpoint that has gone expire.
func (upstreamTarget) Drop() {}

// NewTarget finds an endpoint by its address, which is its index.
func (in *instance) NewTarget(_, addr string) engine.Target {
	index, err := strconv.Atoi(addr)
	if err != nil {
		panic(err) // endpointInfo wrote it
	}
	return upstreamTarget{in.run.endpoints[index]}
}

// StartAttempt sends an attempt to its endpoint.
func (in *instance) StartAttempt(a *engine.Attempt) { newAttempt(in, a).start() }

// CancelUnsent cancels an attempt that was not sent yet, and reports whether it could.
func (in *instance) CancelUnsent(a *engine.Attempt) bool {
	s, ok := a.HostData.(*attempt)
	return !ok || s.cancelUnsent()
}

// AbortAttempt ends an attempt.
func (in *instance) AbortAttempt(a *engine.Attempt) {
	if s, ok := a.HostData.(*attempt); ok {
		s.abort()
	}
}

// AttemptTimedOut closes the endpoint's idle connections that were last used before the attempt started.
func (in *instance) AttemptTimedOut(a *engine.Attempt) {
	s, ok := a.HostData.(*attempt)
	if !ok {
		return
	}
	idle := in.idleUpstream[s.endpoint.index]
	remaining := idle[:0]
	for _, conn := range idle {
		if conn.idleSince >= s.startedAt {
			remaining = append(remaining, conn)
			continue
		}
		in.upstreamConns--
		s.endpoint.disconnect(conn.endpointIncarnation)
	}
	in.idleUpstream[s.endpoint.index] = remaining
}

// StartProbe sends a health check to an endpoint, which replies with its load report.
func (in *instance) StartProbe(p *engine.Pool, e *engine.Endpoint) { newProbe(in, e) }

// Respond sends the response to the client.
func (in *instance) Respond(c *engine.Call, a engine.Response) {
	t := c.HostData.(*clientRequest)
	r := in.run
	t.response = a
	t.responded = true
	in.removeInFlight(t)
	in.recordRequest(t, false)
	if t.conn != nil {
		if closed := in.connTable.MarkIdle(in.localTime(), t.conn); closed != nil {
			in.forgetIdleClientConn(closed)
		}
		p := t.conn.Value.process
		in.idleClientConns[p] = append(in.idleClientConns[p], t.conn)
		t.conn = nil
	}
	r.events.push(r.now+r.network.clientDelay(t.operation.ID, t.Number, true)+in.overhead(), responseAtClient, 0, t)
}

// EndpointReady does nothing: no hot restart waits for it in a simulation.
func (in *instance) EndpointReady() {}

// Log passes a log line on to Options.Log.
func (in *instance) Log(line string, args ...any) {
	if in.run.options.Log != nil {
		in.run.options.Log(in.run.now, in.index, fmt.Sprint(append([]any{line}, args...)...))
	}
}

// Warn does the same as Log.
func (in *instance) Warn(line string, args ...any) { in.Log(line, args...) }

// overhead is the time that a request spends in the process before its attempts, and again after them.
func (in *instance) overhead() monotime.Micros { return in.run.plan.Host.Overhead.Micros() / 2 }
