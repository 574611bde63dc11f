package soak

import (
	"fmt"
	"testing"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
)

// A wrong response is a violation unless it was a second response later than toleratedLateness. Then one
// wrong response is permitted for each process that served.
func TestWrongResponses(t *testing.T) {
	const (
		late    = toleratedLateness + time.Millisecond
		notLate = toleratedLateness
	)
	type responseCase struct {
		at       time.Duration // when the wrong response was received, since the start of the run
		lateness time.Duration // lateness of the second response; 0 if no endpoint sent one
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

// The text of a violation names the request to which the response belonged, the endpoint, and the measured
// lateness.
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

// A wrong response may belong to a request that itself received a wrong response. No second response caused
// it, so that it is a violation.
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

// If a request got several second responses, the least late one decides whether a wrong response is
// permitted, since it is not known which of them reached the other request.
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

// No wrong response is permitted for a process that never served.
func TestProcessThatHasNotServed(t *testing.T) {
	r := newCheckedRun([]timeSpan{{0, time.Second}})
	r.processes.started[0].log = lockedBuffer{}
	if lifetimes := r.servingLifetimes(); len(lifetimes) != 0 {
		t.Errorf("lifetimes of serving processes: %v, want none", lifetimes)
	}
}

// timeSpan is the lifetime of a process; start and end are measured from the start of the run.
type timeSpan struct{ start, end time.Duration }

// newCheckedRun returns a run whose processes served and have ended.
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

// addWrongResponse adds the result of a request that received the response to another request. With a
// positive lateness, an endpoint sent that response as a second response.
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
