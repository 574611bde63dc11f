package http1

import (
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// ExchangeRecord describes a client's request that is over (Options.RecordExchange).
type ExchangeRecord struct {
	ArrivedAt      monotime.Micros
	EndedAt        monotime.Micros
	ClientTimeout  monotime.Micros // how long the client waits from ArrivedAt
	ClientName     string
	RouteName      string
	Class          uint8
	Tenant         uint16
	IdempotencyKey string // as the client sent it
	Object         string // as the client sent it
	Retry          bool   // the client marked the request as a repetition
	RequestBytes   int64  // of the request's body; -1 is not known
	ResponseBytes  int64  // of the response's body as far as it was buffered; -1 is not known

	// ClientGone is set if the client closed its connection before the response. The fields below are not set then.
	ClientGone bool
	Response   engine.Response // its Result must not be used any more
	Status     int             // HTTP status that the client received
}

// newExchangeRecord returns the record of a request that starts now, nil if nothing is recorded.
func (s *Server) newExchangeRecord(
	c *conn, call *core.Call, route, key, object string, requestBytes int64,
) *ExchangeRecord {
	if s.options.RecordExchange == nil {
		return nil
	}
	return &ExchangeRecord{
		ArrivedAt:      call.ArrivedAt,
		ClientTimeout:  call.Request.Deadline - call.ArrivedAt,
		ClientName:     c.client.Name,
		RouteName:      route,
		Class:          call.Request.Class,
		Tenant:         call.Request.Tenant,
		IdempotencyKey: key,
		Object:         object,
		Retry:          call.Request.Retry,
		RequestBytes:   requestBytes,
	}
}

// finishExchange counts and records a request that is over. response is nil if the client has closed its connection.
func (s *Server) finishExchange(
	record *ExchangeRecord, class uint8, response *engine.Response, status int, responseBytes int64,
) {
	s.outcomes.record(class, status)
	if record == nil {
		return
	}
	record.EndedAt = s.options.Clock.Now()
	record.Status = status
	record.ResponseBytes = responseBytes
	if response != nil {
		record.Response = *response
	} else {
		record.ClientGone = true
	}
	s.options.RecordExchange(record)
}
