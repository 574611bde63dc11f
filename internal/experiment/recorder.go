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

// NewRecorder returns an option for a simulated run of j, with which the run writes access records to the folder
// dir, as its instances would. The caller must call closer after the run.
func NewRecorder(dir string, j *Job) (option func(*simulation.Options), closer func(), err error) {
	parsed, err := config.Parse([]byte(j.CriteriaSettings))
	if err != nil {
		return nil, nil, err
	}
	hasher := accesslog.NewHasherFromSecret([]byte("of no patient's: a model's"))
	r := &recorder{dir: dir, site: &parsed.Site, hasher: hasher}
	if _, err := r.writer(0); err != nil { // reports an unusable folder before the run starts
		return nil, nil, err
	}
	return func(o *simulation.Options) { o.Record = r.record }, r.close, nil
}

// recorder writes the access records of a simulated run, with one writer per instance.
type recorder struct {
	dir     string
	site    *siteconfig.Site
	hasher  *accesslog.Hasher
	writers []*accesslog.Writer
	now     atomic.Int64 // latest simulated end of a request, in microseconds
}

// writer returns the access record writer of an instance, and opens it on first use.
func (r *recorder) writer(instance int) (*accesslog.Writer, error) {
	for len(r.writers) <= instance {
		writer, err := accesslog.NewWriter(accesslog.Options{
			Dir:            r.dir,
			Instance:       fmt.Sprint("instance-", len(r.writers)),
			SampleFraction: 1,
			MaxRows:        1 << 20,
			MaxAge:         24 * time.Hour,
			Log:            slog.New(slog.DiscardHandler),
			Now:            func() time.Time { return time.UnixMicro(r.now.Load()) },
		})
		if err != nil {
			return nil, err
		}
		r.writers = append(r.writers, writer)
	}
	return r.writers[instance], nil
}

// close closes the writers of all instances.
func (r *recorder) close() {
	for _, w := range r.writers {
		w.Close()
	}
}

// accessLogVerdicts maps an engine verdict to that of an access record; engine verdicts not listed count as failed.
var accessLogVerdicts = map[engine.Verdict]string{
	engine.Served:      accesslog.Served,
	engine.Rejected:    accesslog.Rejected,
	engine.RateLimited: accesslog.Rejected,
	engine.TimedOut:    accesslog.TimedOut,
}

// record writes one request. It drops the request if the writer of its instance cannot be opened.
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
