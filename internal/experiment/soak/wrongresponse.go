package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
)

// This file checks that no request receives the response to another request.

// toleratedLateness is the largest lateness at which a second response must never reach another request. A
// later one may do so once in each process: HTTP/1.1 does not name the request to which a response belongs,
// and a process that has not yet observed its endpoints cannot distinguish the second response from the
// response to the next request on the connection.
const toleratedLateness = 15 * time.Millisecond

// wrongResponse describes the cause of a response that belonged to another request.
type wrongResponse struct {
	cause     *endpoint.SecondResponseRecord // nil if no endpoint sent a second response to the other request
	permitted bool                           // whether the wrong response is not a violation
}

// classifyWrongResponses finds the second response that caused each wrong response, and decides which wrong
// responses are permitted: one for each process that served, if the second response was later than
// toleratedLateness.
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

// endTime returns when a request received its response.
func endTime(result *client.Result) time.Time { return result.StartedAt.Add(result.Latency) }

// secondResponseTo returns the second response that was sent to a request, or nil if there was none. Of
// several second responses it returns the least late one.
func (r *run) secondResponseTo(requestID string) *endpoint.SecondResponseRecord {
	var leastLate *endpoint.SecondResponseRecord
	for _, record := range r.fleet.ledger.SecondResponses() {
		if record.TraceID == requestID && (leastLate == nil || record.Lateness < leastLate.Lateness) {
			leastLate = &record
		}
	}
	return leastLate
}

// processLifetime is the period from the start of a process that served to its end.
type processLifetime struct{ start, end time.Time }

// servingLifetimes returns the lifetimes of the processes that served, sorted by their ends.
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

// removeProcessAt removes the first lifetime that contains an instant, and reports whether there was one.
// Called with instants in ascending order and lifetimes sorted by their ends, it finds lifetimes for as many
// instants as possible.
func removeProcessAt(lifetimes []processLifetime, instant time.Time) (remaining []processLifetime, found bool) {
	i := slices.IndexFunc(lifetimes, func(lifetime processLifetime) bool {
		return !instant.Before(lifetime.start) && !instant.After(lifetime.end)
	})
	if i < 0 {
		return lifetimes, false
	}
	return slices.Delete(lifetimes, i, i+1), true
}

// checkWrongResponse reports a response that belonged to another request. It is a violation unless it is
// permitted.
func (r *run) checkWrongResponse(result *client.Result) {
	response := r.wrongResponses[result.ID]
	description := fmt.Sprintf("%s %s got another response, status %d, that of %s; %s",
		result.Class, result.ID, result.Status, cmp.Or(result.NamedID, "no request"), r.describeCause(result))
	if response.permitted {
		r.report.Permitted = append(r.report.Permitted, description)
		return
	}
	r.recordViolation("%s", description)
}

// describeCause describes why a request may have received the response to another request: the response was a
// second response, or the other request had itself received a wrong response on the same connection.
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
