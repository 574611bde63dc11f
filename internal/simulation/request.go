package simulation

import (
	"fmt"
	"math"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/siteconfig"
)

// submit submits a request that has arrived completely to the instance's engine, or rejects its connection.
func (c *clientRequest) submit() {
	in := c.instance
	r := c.operation.run
	o := c.operation
	if c.clientDone {
		return // the client has already left
	}
	if in.down || !in.acceptConn(c) {
		r.events.push(r.now+r.network.clientDelay(o.ID, c.Number, true), connRejected, 0, c)
		return
	}
	c.incarnation = in.incarnation
	c.submitted = true
	c.inFlightIndex = len(in.inFlight)
	in.inFlight = append(in.inFlight, c)
	now := in.localTime()
	tenant := uint16(math.MaxUint16)
	if o.Tenant >= 0 {
		tenant = uint16(r.settingsTenantOf[o.Tenant])
	}
	// The client sends its remaining time with the request. The instance counts it from the arrival, because
	// it does not know the network delay.
	c.call = engine.Call{
		Client:    in.clients[o.Process],
		Pool:      in.pool,
		ID:        fmt.Sprintf("%x-%d", o.ID, c.Number),
		ArrivedAt: now,
		HostData:  c,
		Request: balancer.Request{
			Class:     uint8(r.settingsClassOf[o.Class]),
			Tenant:    tenant,
			Retry:     c.Retry,
			ObjectKey: o.Object,
			Write:     o.class.Idempotency != balancer.Idempotent,
			Deadline:  now + (c.Deadline-c.sentAt)/1000*1000 - siteconfig.ResponseMargin.Microseconds(),
		},
	}
	r.meter.Costs.Decisions++
	in.engine.Submit(now, &c.call)
	in.advanceEngine()
}

// acceptConn assigns an idle or a new connection of the client's process to the request, and reports whether
// it succeeded.
func (in *instance) acceptConn(request *clientRequest) bool {
	now := in.localTime()
	process := request.operation.Process
	for {
		conn, _ := in.connTable.RemoveExpired(now)
		if conn == nil {
			break
		}
		in.forgetIdleClientConn(conn)
	}
	if idle := in.idleClientConns[process]; len(idle) > 0 {
		request.conn = idle[len(idle)-1]
		in.idleClientConns[process] = idle[:len(idle)-1]
	} else {
		conn, closed := in.connTable.Add(now, in.connOwners[process], &clientConn{process})
		if closed != nil {
			in.forgetIdleClientConn(closed)
		}
		if conn == nil {
			return false
		}
		request.conn = conn
	}
	return in.connTable.MarkBusy(request.conn)
}

// forgetIdleClientConn removes a closed connection from the idle client connections.
func (in *instance) forgetIdleClientConn(conn *connlimit.Conn[*clientConn]) {
	idle := in.idleClientConns[conn.Value.process]
	for i := range idle {
		if idle[i] == conn {
			in.idleClientConns[conn.Value.process] = append(idle[:i], idle[i+1:]...)
			return
		}
	}
}

// removeInFlight removes a request from the instance's requests in flight.
func (in *instance) removeInFlight(request *clientRequest) {
	last := len(in.inFlight) - 1
	in.inFlight[request.inFlightIndex] = in.inFlight[last]
	in.inFlight[request.inFlightIndex].inFlightIndex = request.inFlightIndex
	in.inFlight[last] = nil
	in.inFlight = in.inFlight[:last]
}

// recordRequest reports a finished request to Options.Record.
func (in *instance) recordRequest(request *clientRequest, clientGone bool) {
	record := in.run.options.Record
	if record == nil {
		return
	}
	o := request.operation
	arrivedAt := request.call.ArrivedAt
	record(&RequestRecord{
		Instance:       in.index,
		Process:        o.Process,
		Operation:      o.ID,
		Class:          o.Class,
		Tenant:         o.Tenant,
		IdempotencyKey: request.IdempotencyKey,
		Object:         o.Object,
		Retry:          request.Retry,
		ArrivedAt:      arrivedAt,
		Duration:       in.localTime() - arrivedAt,
		Timeout:        request.call.Request.Deadline - arrivedAt,
		ClientGone:     clientGone,
		Response:       request.response,
	})
}

// clientGone notifies the instance's engine that the client of a request has left.
func (in *instance) clientGone(request *clientRequest) {
	if !request.responded {
		in.removeInFlight(request)
		in.connTable.Remove(request.conn)
		in.recordRequest(request, true)
	}
	in.engine.ClientGone(in.localTime(), &request.call)
	in.advanceEngine()
}
