package daemon

import (
	"fmt"

	"dunlinsail/internal/accesslog"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/frontend/http1"
)

// openAccessLog starts the access log, where the file configures one.
func (d *generation) openAccessLog() error {
	c := &d.options.Config.Record
	if c.Dir == "" {
		return nil
	}
	var err error
	if d.keyHasher, err = accesslog.NewHasher(c.Secret); err != nil {
		return fmt.Errorf("access record: %w", err)
	}
	d.recorder, err = accesslog.NewWriter(accesslog.Options{
		Dir:      c.Dir,
		Instance: d.options.Config.Name,
		Sample:   c.Sample,
		Rows:     c.SegmentRows,
		Age:      c.SegmentAge.Duration,
		Keep:     c.Keep.Bytes,
		Log:      d.log,
	})
	if err != nil {
		return fmt.Errorf("access record: %w", err)
	}
	return nil
}

// recordExchange adds a finished request to the canary tally and the access log.
func (d *generation) recordExchange(x *http1.Exchange) {
	if d.tally != nil {
		d.tally.add(x)
	}
	if d.recorder != nil {
		d.recorder.Add(d.accessLogRow(x))
	}
}

// accessLogRow returns the row of the access log for a request.
func (d *generation) accessLogRow(x *http1.Exchange) accesslog.Row {
	site := &d.options.Config.Site
	h := d.keyHasher
	r := accesslog.Row{
		Arrived:  x.Arrived,
		Took:     x.Ended - x.Arrived,
		Waited:   x.Answer.QueueTime,
		Patience: x.Patience,
		Client:   x.Client,
		Route:    x.Route,
		Class:    site.Classes[x.Class],
		Endpoint: x.Answer.Endpoint,
		Status:   int32(x.Status),
		Attempts: int32(x.Answer.Attempts),
		Key:      h.Hash("key", x.Key),
		Object:   h.Hash("object", x.Object),
		In:       x.In,
		Out:      x.Out,
		Retry:    x.Retry,
	}
	if int(x.Tenant) < len(site.Tenants) {
		r.Tenant = site.Tenants[x.Tenant]
	}
	switch {
	case x.Left:
		r.Verdict = accesslog.Left
	case x.Answer.Verdict == engine.Served:
		r.Verdict = accesslog.Served
	case x.Answer.Verdict == engine.Rejected, x.Answer.Verdict == engine.RateLimited:
		r.Verdict = accesslog.Refused
	case x.Answer.Verdict == engine.TimedOut:
		r.Verdict = accesslog.Late
	default:
		r.Verdict = accesslog.Failed
	}
	return r
}
