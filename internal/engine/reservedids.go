package engine

import (
	"cmp"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// This file refuses requests whose ID belongs to another request that may still run at an endpoint, although it is not
// open here: its client has left, or it is open in the process or generation before this one.

// maxReservedIDs bounds the memory of reservations. Beyond it the oldest are dropped.
const maxReservedIDs = 20_000

// ReservedID is an ID that may still run, in a Snapshot.
type ReservedID struct {
	Client    string          `json:"Client"`
	ID        string          `json:"ID"`
	Remaining monotime.Micros `json:"Remaining"` // how long it is reserved from the instant of the snapshot
}

// clientRequestID identifies a request by its client's name and the ID that the client chose.
type clientRequestID struct{ client, id string }

// idReservations holds IDs that are reserved until an instant each. The zero idReservations is empty.
type idReservations struct {
	until map[clientRequestID]monotime.Micros
	order []clientRequestID // keys of until, in the order in which they were reserved
}

// reserve reserves an ID until an instant. It does not shorten an earlier reservation.
func (r *idReservations) reserve(now, until monotime.Micros, key clientRequestID) {
	if r.until == nil {
		r.until = map[clientRequestID]monotime.Micros{}
	}
	r.removeExpired(now)
	if _, known := r.until[key]; !known {
		r.order = append(r.order, key)
	}
	r.until[key] = max(r.until[key], until)
}

// removeExpired removes the oldest reservations that have expired or exceed maxReservedIDs.
func (r *idReservations) removeExpired(now monotime.Micros) {
	removed := 0
	for _, key := range r.order {
		if r.until[key] > now && len(r.order)-removed < maxReservedIDs {
			break
		}
		delete(r.until, key)
		removed++
	}
	r.order = r.order[removed:]
}

// contains reports whether an ID is reserved at the instant now.
func (r *idReservations) contains(now monotime.Micros, key clientRequestID) bool {
	return r.until[key] > now
}

// key returns the client's name for the request.
func (c *Call) key() clientRequestID { return clientRequestID{c.Client.name, c.ID} }

// mustRunOnce reports whether a second request with the call's ID could have an effect of its own: the client chose the
// ID, and the class is not idempotent.
func (eng *Engine) mustRunOnce(c *Call) bool {
	class := &eng.config.Site.Settings.Classes[c.Request.Class]
	return !c.GeneratedID && class.Idempotency != balancer.Idempotent
}

// isReserved reports whether the call's ID belongs to another request that is open or may still run.
func (eng *Engine) isReserved(now monotime.Micros, c *Call) bool {
	return c.Client.openCalls[c.ID] != nil ||
		eng.abandonedIDs.contains(now, c.key()) || eng.inheritedIDs.contains(now, c.key())
}

// reserveAbandoned reserves the ID of a request that has ended without a response, since its client has left, if an
// endpoint may run it: for as long as a client of its class waits.
func (eng *Engine) reserveAbandoned(c *Call) {
	if !c.clientGone || !c.mayHaveRun || !eng.mustRunOnce(c) {
		return
	}
	timeout := eng.config.Site.Settings.Classes[c.Request.Class].ClientTimeout
	eng.abandonedIDs.reserve(eng.now, eng.now+timeout, c.key())
}

// reservedIDs returns the IDs that a successor must not accept: those of open requests, until their deadlines, and
// those that are reserved here.
func (eng *Engine) reservedIDs(now monotime.Micros) (reserved []ReservedID) {
	add := func(key clientRequestID, until monotime.Micros) {
		if until > now {
			reserved = append(reserved, ReservedID{Client: key.client, ID: key.id, Remaining: until - now})
		}
	}
	for _, c := range eng.calls {
		if eng.mustRunOnce(c) {
			add(c.key(), c.Request.Deadline)
		}
	}
	for _, reservations := range []*idReservations{&eng.abandonedIDs, &eng.inheritedIDs} {
		for key, until := range reservations.until {
			add(key, until)
		}
	}
	slices.SortFunc(reserved, func(a, b ReservedID) int {
		return cmp.Or(cmp.Compare(a.Client, b.Client), cmp.Compare(a.ID, b.ID))
	})
	return reserved
}

// restoreReservedIDs replaces the inherited reservations by those of a snapshot that was taken age before now.
func (eng *Engine) restoreReservedIDs(now, age monotime.Micros, reserved []ReservedID) {
	eng.inheritedIDs = idReservations{}
	for _, r := range reserved {
		eng.inheritedIDs.reserve(now, now-age+r.Remaining, clientRequestID{r.Client, r.ID})
	}
}
