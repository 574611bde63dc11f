package http1

import (
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// ExchangeRecord describes a completed request of a client and its response (Options.RecordExchange).
type ExchangeRecord struct {
	ArrivedAt      monotime.Micros
	EndedAt        monotime.Micros
	ClientTimeout  monotime.Micros // how long the client waits for the response, from ArrivedAt
	ClientName     string
	RouteName      string
	Class          uint8
	Tenant         uint16
	IdempotencyKey string // as the client sent it
	Object         string // as the client sent it
	Retry          bool   // the client marked the request as a retry
	RequestBytes   int64  // length of the request's body; -1 if not known
	ResponseBytes  int64  // length of the response's body; -1 if it was streamed

	// ClientGone is set if the client closed its connection before the response was written. Response and Status
	// are not set in that case.
	ClientGone bool
	Response   engine.Response // Response.Result must no longer be used
	Status     int             // HTTP status of the response to the client
}

// newExchangeRecord returns the record of a request that is about to be submitted, or nil if nothing is recorded.
func (s *Server) newExchangeRecord(
	c *conn, call *core.Call, routeName, idempotencyKey, object string, requestBytes int64,
) *ExchangeRecord {
	if s.options.RecordExchange == nil {
		return nil
	}
	return &ExchangeRecord{
		ArrivedAt:      call.ArrivedAt,
		ClientTimeout:  call.Request.Deadline - call.ArrivedAt,
		ClientName:     c.client.Name,
		RouteName:      routeName,
		Class:          call.Request.Class,
		Tenant:         call.Request.Tenant,
		IdempotencyKey: idempotencyKey,
		Object:         object,
		Retry:          call.Request.Retry,
		RequestBytes:   requestBytes,
	}
}

// finishExchange counts and records a completed request. response is nil if the client closed its connection or
// was rejected before there was a response.
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
