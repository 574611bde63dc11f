package soak

import (
	"fmt"
	"testing"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
)

// A wrong response is a violation, unless its second response was over toleratedLateness late: then each process that
// has served may give one.
func TestWrongResponses(t *testing.T) {
	const (
		late    = toleratedLateness + time.Millisecond
		notLate = toleratedLateness
	)
	type responseCase struct {
		at       time.Duration // since the start of the run
		lateness time.Duration // of the second response; 0: there was none
	}
	processA := timeSpan{start: 0, end: 10 * time.Second}
	processB := timeSpan{start: 5 * time.Second, end: 20 * time.Second}
	for _, testCase := range []struct {
		name      string
		processes []timeSpan
		responses []responseCase
		permitted int
	}{
		{"up to the tolerated lateness", []timeSpan{processA}, []responseCase{{time.Second, notLate}}, 0},
		{"later", []timeSpan{processA}, []responseCase{{time.Second, late}}, 1},
		{"twice in one process", []timeSpan{processA},
			[]responseCase{{time.Second, late}, {2 * time.Second, late}}, 1},
		{"of no second response", []timeSpan{processA}, []responseCase{{time.Second, 0}}, 0},
		{"once in each process", []timeSpan{processA, processB},
			[]responseCase{{6 * time.Second, late}, {15 * time.Second, late}}, 2},
		{"in another order", []timeSpan{processB, processA},
			[]responseCase{{15 * time.Second, late}, {6 * time.Second, late}}, 2},
		{"found in another order", []timeSpan{processA, processB},
			[]responseCase{{7 * time.Second, late}, {time.Second, late}}, 2},
		{"before the second process", []timeSpan{processA, processB},
			[]responseCase{{time.Second, late}, {2 * time.Second, late}}, 1},
		{"after all processes", []timeSpan{processA}, []responseCase{{11 * time.Second, late}}, 0},
		{"a violation before", []timeSpan{processA},
			[]responseCase{{time.Second, notLate}, {2 * time.Second, late}}, 1},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			r := newCheckedRun(testCase.processes)
			for i, response := range testCase.responses {
				r.addWrongResponse(i, response.at, response.lateness)
			}
			r.classifyWrongResponses()
			for i := range r.results {
				r.checkResult(&r.results[i])
			}
			permitted := r.report.Permitted
			violations := r.report.Violations
			if len(permitted) != testCase.permitted || len(violations) != len(testCase.responses)-testCase.permitted {
				t.Errorf("permitted %q, violations %q; want %d permitted", permitted, violations, testCase.permitted)
			}
		})
	}
}

// The violation names the request whose response it was, the endpoint and how late that really was.
func TestWrongResponseText(t *testing.T) {
	r := newCheckedRun([]timeSpan{{0, time.Second}})
	r.addWrongResponse(0, time.Millisecond, 12340*time.Microsecond)
	r.classifyWrongResponses()
	r.checkResult(&r.results[0])
	const want = "look got-0 got another response, status 200, that of sent-0; the second response of s-1, 12.34ms late"
	if violations := r.report.Violations; len(violations) != 1 || violations[0] != want {
		t.Errorf("%q, want %q", violations, want)
	}
}

// A response whose request had got another one itself has no second response behind it, and is a violation as well.
func TestWrongResponseAfterAnother(t *testing.T) {
	r := newCheckedRun([]timeSpan{{0, time.Second}})
	r.addWrongResponse(0, time.Millisecond, toleratedLateness+time.Millisecond)
	r.addWrongResponse(1, 2*time.Millisecond, 0)
	r.results[1].NamedID = r.results[0].ID
	r.classifyWrongResponses()
	for i := range r.results {
		r.checkResult(&r.results[i])
	}
	const want = "look got-1 got another response, status 200, that of got-0; which had got another one itself"
	if violations := r.report.Violations; len(violations) != 1 || violations[0] != want ||
		len(r.report.Permitted) != 1 {
		t.Errorf("%q, want %q; permitted %q", violations, want, r.report.Permitted)
	}
}

// Of several second responses to one request the least late one counts: which of them reached another is not known.
func TestSeveralSecondResponses(t *testing.T) {
	r := newCheckedRun([]timeSpan{{0, time.Second}})
	r.addWrongResponse(0, time.Millisecond, toleratedLateness+time.Millisecond)
	for _, lateness := range []time.Duration{toleratedLateness, 2 * toleratedLateness} {
		record := endpoint.SecondResponseRecord{TraceID: r.results[0].NamedID, Lateness: lateness}
		r.fleet.ledger.AddSecondResponse(record)
	}
	r.classifyWrongResponses()
	if response := r.wrongResponses[r.results[0].ID]; response.permitted ||
		response.cause.Lateness != toleratedLateness {
		t.Errorf("permitted %v, %v late", response.permitted, response.cause.Lateness)
	}
}

// A process that has not begun to serve permits nothing.
func TestProcessThatHasNotServed(t *testing.T) {
	r := newCheckedRun([]timeSpan{{0, time.Second}})
	r.processes.started[0].log = lockedBuffer{}
	if lifetimes := r.servingLifetimes(); len(lifetimes) != 0 {
		t.Errorf("%v", lifetimes)
	}
}

// life is the time of a process since the start of a run.
type timeSpan struct{ start, end time.Duration }

// newCheckedRun returns a run whose processes have ended.
func newCheckedRun(lifetimes []timeSpan) *run {
	start := time.Now()
	r := &run{
		report:    &Report{},
		fleet:     &fleet{ledger: &endpoint.Ledger{}},
		processes: &processManager{},
		startedAt: start,
	}
	for _, lifetime := range lifetimes {
		p := &process{startedAt: start.Add(lifetime.start), endedAt: start.Add(lifetime.end)}
		fmt.Fprintf(&p.log, "time=%s level=INFO %s\n", p.startedAt.Format(time.RFC3339Nano), servingMessage)
		r.processes.started = append(r.processes.started, p)
	}
	return r
}

// addWrongResponse adds a request that got the second response of another one, or a response that none was behind.
func (r *run) addWrongResponse(index int, receivedAt, lateness time.Duration) {
	sentID := fmt.Sprint("sent-", index)
	if lateness > 0 {
		record := endpoint.SecondResponseRecord{Endpoint: "s-1", TraceID: sentID, Lateness: lateness}
		r.fleet.ledger.AddSecondResponse(record)
	}
	r.results = append(r.results, client.Result{
		ID:        fmt.Sprint("got-", index),
		NamedID:   sentID,
		Class:     "look",
		Verdict:   client.WrongResponse,
		Status:    200,
		StartedAt: r.startedAt.Add(receivedAt - time.Millisecond),
		Latency:   time.Millisecond,
	})
}
