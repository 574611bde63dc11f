package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
)

// This file checks that no request is served with the response to another one.

// toleratedLateness is how late a second response may be that must never reach another request. One that is later may
// do so once in each process: HTTP/1.1 does not name the request that a response belongs to, and a process that knows
// nothing of its endpoints yet cannot distinguish it from the response to the next request.
const toleratedLateness = 15 * time.Millisecond

// wrongResponse is what is known of a response that belonged to another request.
type wrongResponse struct {
	cause     *endpoint.SecondResponseRecord // nil: no endpoint has sent a second response to the request it belongs to
	permitted bool
}

// classifyWrongResponses finds the second response behind each wrong response, and decides which are permitted: those
// whose second response was over toleratedLateness late, once for each process that has served.
func (r *run) classifyWrongResponses() {
	var wrongResults []*client.Result
	for i := range r.results {
		if r.results[i].Verdict == client.WrongResponse {
			wrongResults = append(wrongResults, &r.results[i])
		}
	}
	slices.SortFunc(wrongResults, func(a, b *client.Result) int { return endTime(a).Compare(endTime(b)) })
	lifetimes := r.servingLifetimes()
	r.wrongResponses = map[string]wrongResponse{}
	for _, result := range wrongResults {
		response := wrongResponse{cause: r.secondResponseTo(result.NamedID)}
		if response.cause != nil && response.cause.Lateness > toleratedLateness {
			lifetimes, response.permitted = removeProcessAt(lifetimes, endTime(result))
		}
		r.wrongResponses[result.ID] = response
	}
}

// endTime returns when a request got its response.
func endTime(result *client.Result) time.Time { return result.StartedAt.Add(result.Latency) }

// secondResponseTo returns the second response that was sent to a request, the least late if it got several, nil
// without one.
func (r *run) secondResponseTo(requestID string) *endpoint.SecondResponseRecord {
	var leastLate *endpoint.SecondResponseRecord
	for _, record := range r.fleet.ledger.SecondResponses() {
		if record.TraceID == requestID && (leastLate == nil || record.Lateness < leastLate.Lateness) {
			leastLate = &record
		}
	}
	return leastLate
}

// processLifetime is the time of a process that has served, from its start to its end.
type processLifetime struct{ start, end time.Time }

// servingLifetimes returns the lives of the processes that have served, those that ended first first.
func (r *run) servingLifetimes() []processLifetime {
	var lifetimes []processLifetime
	for _, p := range r.processes.started {
		if !p.servedAt().IsZero() {
			lifetimes = append(lifetimes, processLifetime{p.startedAt, p.endedAt})
		}
	}
	slices.SortFunc(lifetimes, func(a, b processLifetime) int { return a.end.Compare(b.end) })
	return lifetimes
}

// removeProcessAt removes the first process that was alive at an instant, and reports whether there was one. For
// instants in their order, and processes in the order of their ends, it finds a process for as many as possible.
func removeProcessAt(lifetimes []processLifetime, instant time.Time) (remaining []processLifetime, found bool) {
	i := slices.IndexFunc(lifetimes, func(lifetime processLifetime) bool {
		return !instant.Before(lifetime.start) && !instant.After(lifetime.end)
	})
	if i < 0 {
		return lifetimes, false
	}
	return slices.Delete(lifetimes, i, i+1), true
}

// checkWrongResponse reports a response that belonged to another request, as a violation unless it is permitted.
func (r *run) checkWrongResponse(result *client.Result) {
	response := r.wrongResponses[result.ID]
	text := fmt.Sprintf("%s %s got another response, status %d, that of %s; %s", result.Class, result.ID, result.Status,
		cmp.Or(result.NamedID, "no request"), r.describeCause(result))
	if response.permitted {
		r.report.Permitted = append(r.report.Permitted, text)
		return
	}
	r.recordViolation("%s", text)
}

// describeCause describes why the response to a request may have reached another one: it was a second response, or its
// own request had got another one's on the same connection.
func (r *run) describeCause(result *client.Result) string {
	if cause := r.wrongResponses[result.ID].cause; cause != nil {
		lateness := cause.Lateness.Round(10 * time.Microsecond)
		return fmt.Sprintf("the second response of %s, %v late", cause.Endpoint, lateness)
	}
	if _, isWrong := r.wrongResponses[result.NamedID]; isWrong {
		return "which had got another one itself"
	}
	return "to which no endpoint sent a second one"
}
