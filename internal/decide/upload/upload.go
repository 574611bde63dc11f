// Package upload decides from which instant the time of a request counts whose body is streamed to an endpoint.
//
// A request's time counts from its last byte (page PROTOCOL). While an endpoint takes no more of the body, the load
// balancer reads no more of it, and the last byte may lie in a buffer of a kernel: in the receive buffer of the load
// balancer, where it can be observed, or in the client's send buffer, which only the kernel of the same host reports.
//
// The end of a chunked body is known only once it is read. Until then it is inferred from what the client writes.
package upload

import "dunlinsail/internal/monotime"

const (
	// maxSendBuffer is how many bytes of a body the client's kernel is assumed to hold at most: the default maximum
	// of Linux (net.ipv4.tcp_wmem).
	maxSendBuffer = 4 << 20
	// minOpenWindow is the receive window in bytes at which the client's kernel sends all that it holds: a segment of
	// the largest size fits.
	minOpenWindow = 64 << 10
)

// Unknown is the length of a body that is sent in chunks, and any observed number of bytes that is not known.
const Unknown = -1

// Arrival is how much of a body has come from the client.
type Arrival struct {
	Read   int64 // bytes that this process has read
	Unread int64 // further bytes that have arrived, or Unknown
	Window int64 // receive window of the connection in bytes, or Unknown
	ClientSocket
	// IsIncomplete is set if all bytes that the client has written have arrived, and are known not to end with the
	// last chunk.
	IsIncomplete bool
}

// arrived returns how many bytes have arrived, as far as that is known.
func (a Arrival) arrived() int64 { return a.Read + max(0, a.Unread) }

// Observation is what is known of the progress of a body at an instant.
type Observation struct {
	Arrival
	AwaitsClient   bool  // this process waits for the client to send more
	Forwarded      int64 // bytes that this process has written to the endpoint
	Unacknowledged int64 // bytes that the endpoint's host has not acknowledged yet, or Unknown
}

// Tracker follows the progress of one body.
type Tracker struct {
	length   int64 // of the body in bytes; Unknown for chunks
	observed bool  // last is valid
	last     Observation

	written   bool            // the client has written the last byte, as far as is known
	writtenAt monotime.Micros // when that was known first
	complete  bool            // written will not change
	writer    chunkWriter     // of a chunked body
	writingAt monotime.Micros // when the client was last known to be writing
	activeAt  monotime.Micros // when the client was last known to be writing, or the endpoint to be taking bytes
}

// NewTracker returns a tracker for a body of length bytes, or of Unknown.
func NewTracker(length int64) *Tracker { return &Tracker{length: length} }

// NeedsSocket reports whether Arrival.ClientSocket is of use in an observation: in chunks, as long as the body is not
// complete; otherwise if the rest of the body that has not arrived may be in the client's send buffer.
func (t *Tracker) NeedsSocket(a Arrival) bool {
	if t.length < 0 {
		return !t.complete
	}
	missing := t.length - a.arrived()
	mayBeUnsent := missing > 0 && missing <= maxSendBuffer && (a.Unread != 0 || t.written)
	return !t.complete && mayBeUnsent
}

// NeedsEnd reports whether Arrival.IsIncomplete is of use in an observation: whether the client has written nothing
// since the last one, and all that it has written has arrived.
func (t *Tracker) NeedsEnd(a Arrival) bool {
	return t.length < 0 && !t.complete && a.Unsent == 0 && a.Written == t.last.Written
}

// Observe records an observation made at the instant now.
func (t *Tracker) Observe(now monotime.Micros, o Observation) {
	previous := t.last
	isFirst := !t.observed
	t.last = o
	t.observed = true
	delivering := o.Forwarded != previous.Forwarded || o.Unacknowledged != previous.Unacknowledged
	t.writer.observe(o.ClientSocket)
	switch {
	case t.complete:
	case t.length >= 0 && o.arrived() >= t.length:
		t.Complete(now)
	case t.length < 0 && t.isIdleWriter(o):
		t.setWritten(t.writingAt)
	case t.isWritten(o.Arrival):
		t.setWritten(now)
	case t.mustBeWriting(previous, o):
		t.written = false
		t.writingAt = now
		t.activeAt = now
	}
	if isFirst || delivering {
		t.activeAt = now
	}
}

// Complete records that nothing more of the body will be read: its last byte had arrived by the instant now, or the
// endpoint does not take it.
func (t *Tracker) Complete(now monotime.Micros) {
	t.activeAt = max(t.activeAt, now)
	t.setWritten(now)
	t.complete = true
}

// setWritten records that the client has written the last byte by the instant at.
func (t *Tracker) setWritten(at monotime.Micros) {
	if !t.written {
		t.written = true
		t.writtenAt = at
		t.activeAt = max(t.activeAt, at)
	}
}

// isIdleWriter reports whether the client of a chunked body writes nothing although it could, and may have written the
// last chunk. The end of such a body is known only once it is read: until then, the client is taken to have written
// it.
func (t *Tracker) isIdleWriter(o Observation) bool {
	allIsRead := o.AwaitsClient && o.Unread <= 0 // without a last chunk among it
	return t.writer.isIdle && !allIsRead && !o.IsIncomplete
}

// isWritten reports whether the client is known to have written the last byte.
func (t *Tracker) isWritten(a Arrival) bool {
	return t.length >= 0 && a.Unsent != Unknown && a.arrived()+a.Unsent >= t.length
}

// mustBeWriting reports whether an observation in which the client is not known to have written the last byte shows
// that it has not: it holds fewer bytes than are missing, more would have arrived or did arrive, or the rest is larger
// than what its kernel holds.
func (t *Tracker) mustBeWriting(previous, o Observation) bool {
	knownLength := t.length >= 0
	switch {
	case o.AwaitsClient, o.arrived() > previous.arrived():
		return true
	case !knownLength:
		return o.Written != Unknown // else the last chunk may be among the bytes that have arrived
	}
	return o.Unsent != Unknown || o.Unread == 0 || o.Window >= minOpenWindow || t.length-o.arrived() > maxSendBuffer
}

// Start returns the instant from which the time of the request counts, by what has been observed. It moves on until
// the client has written the last byte. As long as that is not known, it is the latest instant of progress.
//
// Once the last byte has been written, it is that instant with fromLastByte. Otherwise it moves on for as long as the
// endpoint is still taking the rest of the body.
func (t *Tracker) Start(fromLastByte bool) monotime.Micros {
	if t.written && fromLastByte {
		return t.writtenAt
	}
	return t.activeAt
}
