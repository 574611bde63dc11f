package simulation

import (
	"fmt"
	"math"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/siteconfig"
)

// submit gives the complete request to the instance's engine.
func (t *clientRequest) submit() {
	in := t.instance
	r := t.operation.run
	s := t.operation
	if t.done {
		return // the client has left already
	}
	if in.down || !in.acceptConn(t) {
		r.events.push(r.now+r.network.clientDelay(s.ID, t.Number, true), connRejected, 0, t)
		return
	}
	t.incarnation = in.incarnation
	t.submitted = true
	t.inFlightIndex = len(in.inFlight)
	in.inFlight = append(in.inFlight, t)
	now := in.localTime()
	tenant := uint16(math.MaxUint16)
	if s.Tenant >= 0 {
		tenant = uint16(r.settingsTenant[s.Tenant])
	}
	// A request carries the time that its client waits from sending on. The instance does not know the delay since
	// then.
	t.call = engine.Call{
		Client:    in.clients[s.Process],
		Pool:      in.pool,
		ID:        fmt.Sprintf("%x-%d", s.ID, t.Number),
		ArrivedAt: now,
		HostData:  t,
		Request: balancer.Request{
			Class:     uint8(r.settingsClass[s.Class]),
			Tenant:    tenant,
			Retry:     t.Retry,
			ObjectKey: s.Object,
			Write:     s.class.Idempotency != balancer.Idempotent,
			Deadline:  now + (t.Deadline-t.sentAt)/1000*1000 - siteconfig.ResponseMargin.Microseconds(),
		},
	}
	r.meter.Costs.Decisions++
	in.engine.Submit(now, &t.call)
	in.advanceEngine()
}

// acceptConn takes an idle connection of the request's client, or a new one, and reports whether it got one.
func (in *instance) acceptConn(t *clientRequest) bool {
	now := in.localTime()
	p := t.operation.Process
	for {
		c, _ := in.connTable.RemoveExpired(now)
		if c == nil {
			break
		}
		in.forgetIdleClientConn(c)
	}
	if idle := in.idleClientConns[p]; len(idle) > 0 {
		t.conn = idle[len(idle)-1]
		in.idleClientConns[p] = idle[:len(idle)-1]
	} else {
		c, closed := in.connTable.Add(now, in.owners[p], &clientConn{p})
		if closed != nil {
			in.forgetIdleClientConn(closed)
		}
		if c == nil {
			return false
		}
		t.conn = c
	}
	return in.connTable.MarkBusy(t.conn)
}

// forgetIdleClientConn removes an idle connection that was closed.
func (in *instance) forgetIdleClientConn(c *connlimit.Conn[*clientConn]) {
	idle := in.idleClientConns[c.Value.process]
	for i := range idle {
		if idle[i] == c {
			in.idleClientConns[c.Value.process] = append(idle[:i], idle[i+1:]...)
			return
		}
	}
}

// removeInFlight removes a request from those in flight.
func (in *instance) removeInFlight(t *clientRequest) {
	last := len(in.inFlight) - 1
	in.inFlight[t.inFlightIndex] = in.inFlight[last]
	in.inFlight[t.inFlightIndex].inFlightIndex = t.inFlightIndex
	in.inFlight[last] = nil
	in.inFlight = in.inFlight[:last]
}

// recordRequest reports a finished request to Options.Record.
func (in *instance) recordRequest(t *clientRequest, clientGone bool) {
	record := in.run.options.Record
	if record == nil {
		return
	}
	s := t.operation
	arrived := t.call.ArrivedAt
	record(&RequestRecord{
		Instance:       in.index,
		Process:        s.Process,
		Operation:      s.ID,
		Class:          s.Class,
		Tenant:         s.Tenant,
		IdempotencyKey: t.IdempotencyKey,
		Object:         s.Object,
		Retry:          t.Retry,
		ArrivedAt:      arrived,
		Duration:       in.localTime() - arrived,
		Timeout:        t.call.Request.Deadline - arrived,
		ClientGone:     clientGone,
		Response:       t.response,
	})
}

// clientGone notifies the engine that a request's client has left.
func (in *instance) clientGone(t *clientRequest) {
	if !t.responded {
		in.removeInFlight(t)
		in.connTable.Remove(t.conn)
		in.recordRequest(t, true)
	}
	in.engine.ClientGone(in.localTime(), &t.call)
	in.advanceEngine()
}
