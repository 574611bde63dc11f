package http1

import (
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Exchange is what is told of a client's request that is over, to whoever keeps a record (Options.Record).
type ExchangeRecord struct {
	ArrivedAt, EndedAt     monotime.Micros
	ClientTimeout          monotime.Micros // how long its client waits
	ClientName, RouteName  string          // by their names
	Class                  uint8
	Tenant                 uint16
	IdempotencyKey, Object string // as the client has them
	Retry                  bool   // its client said that it is a repetition
	RequestBytes           int64  // bytes of its body; -1 is not known
	ResponseBytes          int64  // bytes of the answer's body that were held; -1 is not known

	ClientGone bool            // its client went before its answer, and what follows is not known
	Response   engine.Response // its Reply is not to be used any more
	Status     int             // of HTTP, as the client got it
}

// taken begins what is told of a request, nil if nobody is.
func (s *Server) newExchangeRecord(c *conn, call *core.Call, route, key, object string, requestBytes int64) *ExchangeRecord {
	if s.options.RecordExchange == nil {
		return nil
	}
	return &ExchangeRecord{ArrivedAt: call.ArrivedAt, ClientTimeout: call.Request.Deadline - call.ArrivedAt, ClientName: c.client.Name, RouteName: route, Class: call.Request.Class, Tenant: call.Request.Tenant,
		IdempotencyKey: key, Object: object, Retry: call.Request.Retry, RequestBytes: requestBytes}
}

// over tells of a request of a class that is over.
func (s *Server) finishExchange(record *ExchangeRecord, class uint8, response *engine.Response, status int, responseBytes int64) {
	s.outcomes.record(class, status)
	if record == nil {
		return
	}
	record.EndedAt, record.Status, record.ResponseBytes = s.options.Clock.Now(), status, responseBytes
	if response != nil {
		record.Response = *response
	} else {
		record.ClientGone = true
	}
	s.options.RecordExchange(record)
}
