package http1

import (
	"context"
	"log/slog"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/siteconfig"
)

// recordingHandler is a log handler that sends each record to a channel.
type recordingHandler struct {
	slog.Handler
	records chan slog.Record
}

func (h recordingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h recordingHandler) Handle(_ context.Context, r slog.Record) error {
	h.records <- r
	return nil
}

// Late final responses are counted, and the first of them is logged.
func TestLateResponsesAreCountedAndLogged(t *testing.T) {
	records := make(chan slog.Record, 8)
	s := &Server{options: Options{
		Clock: clock.New(),
		Site:  &siteconfig.Site{Classes: []string{"look"}},
		Log:   slog.New(recordingHandler{slog.DiscardHandler, records}),
	}}
	now := s.options.Clock.Now()
	for _, deadline := range []int64{now - minLogLateness, now - 3*minLogLateness, now + minLogLateness} {
		call := &core.Call{ID: "visit-1", Request: balancer.Request{Deadline: deadline}}
		s.observeLateness(call, &engine.Response{Verdict: engine.TimedOut})
	}
	if record := scriptedpeer.Receive(t, records, "log line"); record.Message != "response late" {
		t.Errorf("logged %q", record.Message)
	}
	if count := s.LateResponses(); count != 2 || len(records) != 0 || s.late.unlogged != 1 {
		t.Errorf("%d late responses, %d more log lines, %d unlogged", count, len(records), s.late.unlogged)
	}
}
