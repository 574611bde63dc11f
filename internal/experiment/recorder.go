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
		writer, err := accesslog.NewWriter(accesslog.Options{
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
		r.writers = append(r.writers, writer)
	}
	return r.writers[instance], nil
}

func (r *recorder) close() {
	for _, w := range r.writers {
		w.Close()
	}
}

// accessLogVerdicts are the verdicts of an access record by the engine's; all others are failures.
var accessLogVerdicts = map[engine.Verdict]string{
	engine.Served:      accesslog.Served,
	engine.Rejected:    accesslog.Rejected,
	engine.RateLimited: accesslog.Rejected,
	engine.TimedOut:    accesslog.TimedOut,
}

// record writes one request; where its instance's writer cannot be opened it is dropped.
func (r *recorder) record(request *simulation.RequestRecord) {
	r.now.Store(max(r.now.Load(), request.ArrivedAt+request.Duration))
	w, err := r.writer(request.Instance)
	if err != nil {
		return
	}
	row := accesslog.Row{
		Arrived:       request.ArrivedAt,
		Duration:      request.Duration,
		QueueTime:     request.Response.QueueTime,
		ClientTimeout: request.Timeout,
		Client:        fmt.Sprint("process-", request.Process),
		Class:         r.site.Classes[request.Class],
		Verdict:       accesslog.Failed,
		Endpoint:      request.Response.Endpoint,
		Attempts:      int32(request.Response.Attempts),
		ObjectHash:    r.hasher.Hash("object", fmt.Sprint(request.Object)),
		Retry:         request.Retry,
	}
	if request.IdempotencyKey != 0 {
		row.KeyHash = r.hasher.Hash("key", fmt.Sprint(request.IdempotencyKey))
	}
	if request.Tenant >= 0 {
		row.Tenant = r.site.Tenants[request.Tenant]
	}
	if verdict, ok := accessLogVerdicts[request.Response.Verdict]; ok {
		row.Verdict = verdict
	}
	if request.ClientGone {
		row.Verdict = accesslog.Cancelled
	}
	w.Add(row)
}
