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
	var wrong []*client.Result
	for i := range r.results {
		if r.results[i].Verdict == client.WrongResponse {
			wrong = append(wrong, &r.results[i])
		}
	}
	slices.SortFunc(wrong, func(a, b *client.Result) int { return endOf(a).Compare(endOf(b)) })
	serving := r.servingProcesses()
	r.wrong = map[string]wrongResponse{}
	for _, result := range wrong {
		w := wrongResponse{cause: r.secondResponseTo(result.NamedID)}
		if w.cause != nil && w.cause.Lateness > toleratedLateness {
			serving, w.permitted = withoutProcessAt(serving, endOf(result))
		}
		r.wrong[result.ID] = w
	}
}

// endOf returns when a request got its response.
func endOf(result *client.Result) time.Time { return result.StartedAt.Add(result.Latency) }

// secondResponseTo returns the second response that was sent to a request, the least late if it got several, nil
// without one.
func (r *run) secondResponseTo(requestID string) *endpoint.SecondResponseRecord {
	var found *endpoint.SecondResponseRecord
	for _, record := range r.fleet.ledger.SecondResponses() {
		if record.TraceID == requestID && (found == nil || record.Lateness < found.Lateness) {
			found = &record
		}
	}
	return found
}

// processLifetime is the time of a process that has served, from its start to its end.
type processLifetime struct{ from, to time.Time }

// servingProcesses returns the lives of the processes that have served, those that ended first first.
func (r *run) servingProcesses() []processLifetime {
	var lives []processLifetime
	for _, p := range r.programs.all {
		if !p.servedAt().IsZero() {
			lives = append(lives, processLifetime{p.startedAt, p.endedAt})
		}
	}
	slices.SortFunc(lives, func(a, b processLifetime) int { return a.to.Compare(b.to) })
	return lives
}

// withoutProcessAt removes the first process that was alive at an instant, and reports whether there was one. For
// instants in their order, and processes in the order of their ends, it finds a process for as many as possible.
func withoutProcessAt(lives []processLifetime, at time.Time) (rest []processLifetime, found bool) {
	i := slices.IndexFunc(lives, func(life processLifetime) bool { return !at.Before(life.from) && !at.After(life.to) })
	if i < 0 {
		return lives, false
	}
	return slices.Delete(lives, i, i+1), true
}

// checkWrongResponse reports a response that belonged to another request, as a violation unless it is permitted.
func (r *run) checkWrongResponse(result *client.Result) {
	w := r.wrong[result.ID]
	text := fmt.Sprintf("%s %s got another response, status %d, that of %s; %s", result.Class, result.ID, result.Status,
		cmp.Or(result.NamedID, "no request"), r.describeCause(result))
	if w.permitted {
		r.report.Permitted = append(r.report.Permitted, text)
		return
	}
	r.violate("%s", text)
}

// describeCause describes why the response to a request may have reached another one: it was a second response, or its
// own request had got another one's on the same connection.
func (r *run) describeCause(result *client.Result) string {
	if cause := r.wrong[result.ID].cause; cause != nil {
		late := cause.Lateness.Round(10 * time.Microsecond)
		return fmt.Sprintf("the second response of %s, %v late", cause.Endpoint, late)
	}
	if _, isWrong := r.wrong[result.NamedID]; isWrong {
		return "which had got another one itself"
	}
	return "to which no endpoint sent a second one"
}
