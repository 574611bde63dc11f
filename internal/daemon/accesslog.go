package daemon

import (
	"fmt"

	"dunlinsail/internal/accesslog"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/frontend/http1"
)

// openAccessLog starts the access log if the configuration has a folder for it. stopBackground closes it.
func (d *generation) openAccessLog() error {
	c := &d.options.Config.AccessLog
	if c.Dir == "" {
		return nil
	}
	var err error
	if d.keyHasher, err = accesslog.NewHasher(c.SecretFile); err != nil {
		return fmt.Errorf("access record: %w", err)
	}
	d.recorder, err = accesslog.NewWriter(accesslog.Options{
		Dir:      c.Dir,
		Instance: d.options.Config.Name,
		Sample:   c.SampleRate,
		Rows:     c.SegmentRows,
		Age:      c.SegmentAge.Duration,
		Keep:     c.MaxBytes.Bytes,
		Log:      d.log,
	})
	if err != nil {
		return fmt.Errorf("access record: %w", err)
	}
	return nil
}

// recordExchange adds a finished request to the canary tally and the access log.
func (d *generation) recordExchange(x *http1.ExchangeRecord) {
	if d.tally != nil {
		d.tally.add(x)
	}
	if d.recorder != nil {
		d.recorder.Add(d.accessLogRow(x))
	}
}

// accessLogRow returns the row of the access log for a request.
func (d *generation) accessLogRow(x *http1.ExchangeRecord) accesslog.Row {
	site := &d.options.Config.Site
	h := d.keyHasher
	r := accesslog.Row{
		Arrived:       x.ArrivedAt,
		Duration:      x.EndedAt - x.ArrivedAt,
		QueueTime:     x.Response.QueueTime,
		ClientTimeout: x.ClientTimeout,
		Client:        x.ClientName,
		Route:         x.RouteName,
		Class:         site.Classes[x.Class],
		Endpoint:      x.Response.Endpoint,
		Status:        int32(x.Status),
		Attempts:      int32(x.Response.Attempts),
		KeyHash:       h.Hash("key", x.IdempotencyKey),
		ObjectHash:    h.Hash("object", x.Object),
		BytesIn:       x.RequestBytes,
		BytesOut:      x.ResponseBytes,
		Retry:         x.Retry,
	}
	if int(x.Tenant) < len(site.Tenants) {
		r.Tenant = site.Tenants[x.Tenant]
	}
	switch {
	case x.ClientGone:
		r.Verdict = accesslog.Cancelled
	case x.Response.Verdict == engine.Served:
		r.Verdict = accesslog.Served
	case x.Response.Verdict == engine.Rejected, x.Response.Verdict == engine.RateLimited:
		r.Verdict = accesslog.Rejected
	case x.Response.Verdict == engine.TimedOut:
		r.Verdict = accesslog.TimedOut
	default:
		r.Verdict = accesslog.Failed
	}
	return r
}
