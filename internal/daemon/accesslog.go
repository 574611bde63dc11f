package daemon

import (
	"fmt"

	"dunlinsail/internal/accesslog"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/frontend/http1"
)

// openAccessLog opens the access log if the configuration has a folder for it. stopBackground closes the log.
func (g *generation) openAccessLog() error {
	settings := &g.options.Config.AccessLog
	if settings.Dir == "" {
		return nil
	}
	var err error
	if g.keyHasher, err = accesslog.NewHasher(settings.SecretFile); err != nil {
		return fmt.Errorf("access record: %w", err)
	}
	g.accessLog, err = accesslog.NewWriter(accesslog.Options{
		Dir:            settings.Dir,
		Instance:       g.options.Config.Name,
		SampleFraction: settings.SampleRate,
		MaxRows:        settings.SegmentRows,
		MaxAge:         settings.SegmentAge.Duration,
		MaxTotalBytes:  settings.MaxBytes.Bytes,
		Log:            g.log,
	})
	if err != nil {
		return fmt.Errorf("access record: %w", err)
	}
	return nil
}

// recordExchange adds a finished request to the canary tally and to the access log.
func (g *generation) recordExchange(exchange *http1.ExchangeRecord) {
	if g.tally != nil {
		g.tally.addExchange(exchange)
	}
	if g.accessLog != nil {
		g.accessLog.Add(g.accessLogRow(exchange))
	}
}

// accessLogRow returns the access log row for a finished request.
func (g *generation) accessLogRow(exchange *http1.ExchangeRecord) accesslog.Row {
	site := &g.options.Config.Site
	hasher := g.keyHasher
	row := accesslog.Row{
		Arrived:       exchange.ArrivedAt,
		Duration:      exchange.EndedAt - exchange.ArrivedAt,
		QueueTime:     exchange.Response.QueueTime,
		ClientTimeout: exchange.ClientTimeout,
		Client:        exchange.ClientName,
		Route:         exchange.RouteName,
		Class:         site.Classes[exchange.Class],
		Endpoint:      exchange.Response.Endpoint,
		Status:        int32(exchange.Status),
		Attempts:      int32(exchange.Response.Attempts),
		KeyHash:       hasher.Hash("key", exchange.IdempotencyKey),
		ObjectHash:    hasher.Hash("object", exchange.Object),
		BytesIn:       exchange.RequestBytes,
		BytesOut:      exchange.ResponseBytes,
		Retry:         exchange.Retry,
	}
	if int(exchange.Tenant) < len(site.Tenants) {
		row.Tenant = site.Tenants[exchange.Tenant]
	}
	switch {
	case exchange.ClientGone:
		row.Verdict = accesslog.Cancelled
	case exchange.Response.Verdict == engine.Served:
		row.Verdict = accesslog.Served
	case exchange.Response.Verdict == engine.Rejected, exchange.Response.Verdict == engine.RateLimited:
		row.Verdict = accesslog.Rejected
	case exchange.Response.Verdict == engine.TimedOut:
		row.Verdict = accesslog.TimedOut
	default:
		row.Verdict = accesslog.Failed
	}
	return row
}
