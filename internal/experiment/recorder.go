package experiment

import (
	"dunlinsail/internal/siteconfig"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"dunlinsail/internal/accesslog"
	"dunlinsail/internal/config"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/simulation"
)

// NewRecorder returns an option that has a run write an access record to a folder, as its instances would. The caller
// must call closer after the run.
func NewRecorder(dir string, j *Job) (option func(*simulation.Options), closer func(), err error) {
	parsed, err := config.Parse([]byte(j.CriteriaSettings))
	if err != nil {
		return nil, nil, err
	}
	hasher := accesslog.NewHasherFromSecret([]byte("of no patient's: a model's"))
	r := &recorder{dir: dir, site: &parsed.Site, hasher: hasher}
	if _, err := r.writer(0); err != nil { // an unusable folder is reported before the run
		return nil, nil, err
	}
	return func(o *simulation.Options) { o.Record = r.record }, r.close, nil
}

// recorder writes access records of a simulated run, with a writer for each instance.
type recorder struct {
	dir     string
	site    *siteconfig.Site
	hasher  *accesslog.Hasher
	writers []*accesslog.Writer
	now     atomic.Int64 // of the run, in microseconds
}

// writer returns the writer of an instance.
func (r *recorder) writer(instance int) (*accesslog.Writer, error) {
	for len(r.writers) <= instance {
		w, err := accesslog.NewWriter(accesslog.Options{
			Dir:      r.dir,
			Instance: fmt.Sprint("instance-", len(r.writers)),
			Sample:   1,
			Rows:     1 << 20,
			Age:      24 * time.Hour,
			Log:      slog.New(slog.DiscardHandler),
			Now:      func() time.Time { return time.UnixMicro(r.now.Load()) },
		})
		if err != nil {
			return nil, err
		}
		r.writers = append(r.writers, w)
	}
	return r.writers[instance], nil
}

func (r *recorder) close() {
	for _, w := range r.writers {
		w.Close()
	}
}

// recordedVerdicts are the verdicts of an access record by the engine's; all others are failures.
var recordedVerdicts = map[engine.Verdict]string{
	engine.Served:      accesslog.Served,
	engine.Rejected:    accesslog.Rejected,
	engine.RateLimited: accesslog.Rejected,
	engine.TimedOut:    accesslog.TimedOut,
}

// record writes one request; where its instance's writer cannot be opened it is dropped.
func (r *recorder) record(x *simulation.RequestRecord) {
	r.now.Store(max(r.now.Load(), x.ArrivedAt+x.Duration))
	w, err := r.writer(x.Instance)
	if err != nil {
		return
	}
	row := accesslog.Row{
		Arrived:       x.ArrivedAt,
		Duration:      x.Duration,
		QueueTime:     x.Response.QueueTime,
		ClientTimeout: x.Timeout,
		Client:        fmt.Sprint("process-", x.Process),
		Class:         r.site.Classes[x.Class],
		Verdict:       accesslog.Failed,
		Endpoint:      x.Response.Endpoint,
		Attempts:      int32(x.Response.Attempts),
		ObjectHash:    r.hasher.Hash("object", fmt.Sprint(x.Object)),
		Retry:         x.Retry,
	}
	if x.IdempotencyKey != 0 {
		row.KeyHash = r.hasher.Hash("key", fmt.Sprint(x.IdempotencyKey))
	}
	if x.Tenant >= 0 {
		row.Tenant = r.site.Tenants[x.Tenant]
	}
	if v, ok := recordedVerdicts[x.Response.Verdict]; ok {
		row.Verdict = v
	}
	if x.ClientGone {
		row.Verdict = accesslog.Cancelled
	}
	w.Add(row)
}
