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
	type wrong struct {
		at       time.Duration // since the start of the run
		lateness time.Duration // of the second response; 0: there was none
	}
	first := life{from: 0, to: 10 * time.Second}
	second := life{from: 5 * time.Second, to: 20 * time.Second}
	for _, c := range []struct {
		name      string
		processes []life
		wrong     []wrong
		permitted int
	}{
		{"up to the tolerated lateness", []life{first}, []wrong{{time.Second, notLate}}, 0},
		{"later", []life{first}, []wrong{{time.Second, late}}, 1},
		{"twice in one process", []life{first}, []wrong{{time.Second, late}, {2 * time.Second, late}}, 1},
		{"of no second response", []life{first}, []wrong{{time.Second, 0}}, 0},
		{"once in each process", []life{first, second}, []wrong{{6 * time.Second, late}, {15 * time.Second, late}}, 2},
		{"in another order", []life{second, first}, []wrong{{15 * time.Second, late}, {6 * time.Second, late}}, 2},
		{"found in another order", []life{first, second}, []wrong{{7 * time.Second, late}, {time.Second, late}}, 2},
		{"before the second process", []life{first, second}, []wrong{{time.Second, late}, {2 * time.Second, late}}, 1},
		{"after all processes", []life{first}, []wrong{{11 * time.Second, late}}, 0},
		{"a violation before", []life{first}, []wrong{{time.Second, notLate}, {2 * time.Second, late}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newCheckedRun(c.processes)
			for i, w := range c.wrong {
				r.addWrongResponse(i, w.at, w.lateness)
			}
			r.classifyWrongResponses()
			for i := range r.results {
				r.checkResult(&r.results[i])
			}
			permitted := r.report.Permitted
			violations := r.report.Violations
			if len(permitted) != c.permitted || len(violations) != len(c.wrong)-c.permitted {
				t.Errorf("permitted %q, violations %q; want %d permitted", permitted, violations, c.permitted)
			}
		})
	}
}

// The violation names the request whose response it was, the endpoint and how late that really was.
func TestWrongResponseText(t *testing.T) {
	r := newCheckedRun([]life{{0, time.Second}})
	r.addWrongResponse(0, time.Millisecond, 12340*time.Microsecond)
	r.classifyWrongResponses()
	r.checkResult(&r.results[0])
	const want = "look got-0 got another response, status 200, that of sent-0; the second response of s-1, 12.34ms late"
	if v := r.report.Violations; len(v) != 1 || v[0] != want {
		t.Errorf("%q, want %q", v, want)
	}
}

// A response whose request had got another one itself has no second response behind it, and is a violation as well.
func TestWrongResponseAfterAnother(t *testing.T) {
	r := newCheckedRun([]life{{0, time.Second}})
	r.addWrongResponse(0, time.Millisecond, toleratedLateness+time.Millisecond)
	r.addWrongResponse(1, 2*time.Millisecond, 0)
	r.results[1].NamedID = r.results[0].ID
	r.classifyWrongResponses()
	for i := range r.results {
		r.checkResult(&r.results[i])
	}
	const want = "look got-1 got another response, status 200, that of got-0; which had got another one itself"
	if v := r.report.Violations; len(v) != 1 || v[0] != want || len(r.report.Permitted) != 1 {
		t.Errorf("%q, want %q; permitted %q", v, want, r.report.Permitted)
	}
}

// Of several second responses to one request the least late one counts: which of them reached another is not known.
func TestSeveralSecondResponses(t *testing.T) {
	r := newCheckedRun([]life{{0, time.Second}})
	r.addWrongResponse(0, time.Millisecond, toleratedLateness+time.Millisecond)
	for _, lateness := range []time.Duration{toleratedLateness, 2 * toleratedLateness} {
		record := endpoint.SecondResponseRecord{TraceID: r.results[0].NamedID, Lateness: lateness}
		r.fleet.ledger.AddSecondResponse(record)
	}
	r.classifyWrongResponses()
	if w := r.wrong[r.results[0].ID]; w.permitted || w.cause.Lateness != toleratedLateness {
		t.Errorf("permitted %v, %v late", w.permitted, w.cause.Lateness)
	}
}

// A process that has not begun to serve permits nothing.
func TestProcessThatHasNotServed(t *testing.T) {
	r := newCheckedRun([]life{{0, time.Second}})
	r.programs.all[0].log = lockedBuffer{}
	if lives := r.servingProcesses(); len(lives) != 0 {
		t.Errorf("%v", lives)
	}
}

// life is the time of a process since the start of a run.
type life struct{ from, to time.Duration }

// newCheckedRun returns a run whose processes have ended.
func newCheckedRun(lives []life) *run {
	start := time.Now()
	r := &run{report: &Report{}, fleet: &fleet{ledger: &endpoint.Ledger{}}, programs: &programs{}, startedAt: start}
	for _, l := range lives {
		p := &process{startedAt: start.Add(l.from), endedAt: start.Add(l.to)}
		fmt.Fprintf(&p.log, "time=%s level=INFO %s\n", p.startedAt.Format(time.RFC3339Nano), servingMessage)
		r.programs.all = append(r.programs.all, p)
	}
	return r
}

// addWrongResponse adds a request that got the second response of another one, or a response that none was behind.
func (r *run) addWrongResponse(i int, at, lateness time.Duration) {
	sentID := fmt.Sprint("sent-", i)
	if lateness > 0 {
		record := endpoint.SecondResponseRecord{Endpoint: "s-1", TraceID: sentID, Lateness: lateness}
		r.fleet.ledger.AddSecondResponse(record)
	}
	r.results = append(r.results, client.Result{
		ID:        fmt.Sprint("got-", i),
		NamedID:   sentID,
		Class:     "look",
		Verdict:   client.WrongResponse,
		Status:    200,
		StartedAt: r.startedAt.Add(at - time.Millisecond),
		Latency:   time.Millisecond,
	})
}
