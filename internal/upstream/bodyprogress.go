package upstream

import (
	"dunlinsail/internal/decide/upload"
	"dunlinsail/internal/monotime"
)

// This file follows the progress of request bodies that are streamed.

// BodyClient reports how much of a body has come from the client. Its methods do not wait.
type BodyClient interface {
	// Arrival returns how much of the body has come, including bytes that RequestStream.Body has not returned yet. It
	// leaves open what the other methods report.
	Arrival() upload.Arrival
	// Socket returns what the kernel reports on the client's end of the connection.
	Socket() upload.ClientSocket
	// MayEnd reports whether the bytes that have come may end with the last chunk of a body.
	MayEnd() bool
}

// bodyEnd is the last result of BodyClient.MayEnd.
type bodyEnd struct {
	written int64 // upload.ClientSocket.Written of the bytes that were examined
	mayEnd  bool
}

// observe records the progress of the body at the instant now. unacknowledged is the number of bytes that the
// endpoint's host has not acknowledged.
func (s *RequestStream) observe(now monotime.Micros, unacknowledged int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	observation := upload.Observation{
		Arrival:        s.arrivalLocked(),
		AwaitsClient:   s.awaitsClient.Load(),
		Forwarded:      s.forwarded.Load(),
		Unacknowledged: unacknowledged,
	}
	s.tracker.Observe(now, observation)
}

// arrivalLocked returns how much of the body has come from the client.
func (s *RequestStream) arrivalLocked() upload.Arrival {
	if s.Client == nil {
		return upload.Arrival{
			Read:         s.received.Load(),
			Unread:       upload.Unknown,
			Window:       upload.Unknown,
			ClientSocket: upload.UnknownSocket,
		}
	}
	arrival := s.Client.Arrival()
	if s.socketUnknown || !s.tracker.NeedsSocket(arrival) {
		return arrival
	}
	socket := s.Client.Socket()
	s.socketUnknown = socket == upload.UnknownSocket
	arrival = s.Client.Arrival() // bytes that arrive after the call of Socket count twice, rather than not at all
	arrival.ClientSocket = socket
	arrival.IsIncomplete = s.tracker.NeedsEnd(arrival) && !s.mayEndLocked(socket.Written)
	return arrival
}

// mayEndLocked returns Client.MayEnd. It examines the bytes that have come only once, of which written is the number.
func (s *RequestStream) mayEndLocked(written int64) bool {
	if s.end.written != written {
		s.end = bodyEnd{written: written, mayEnd: s.Client.MayEnd()}
	}
	return s.end.mayEnd
}

// startOfTime returns the instant from which the time of the request counts (upload.Tracker.Start).
func (s *RequestStream) startOfTime(fromLastByte bool) monotime.Micros {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Start(fromLastByte)
}

// endReading records that no more of the body is read from the instant now on.
func (s *RequestStream) endReading(now monotime.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Complete(now)
}
