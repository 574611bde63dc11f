// Package differential sends the same exchanges to two proxies in front of the same application, and reports the
// differences: in the response that the client gets, or in the request that the application receives. The package knows
// the proxies by their addresses only.
package differential

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"dunlinsail/internal/fake/webapp"
)

// Exchange is a request and the response that the application is asked to give.
type Exchange struct {
	Method, Path string
	Header       http.Header
	Body         int         // size of the request's body in bytes; -1 for no body
	Chunked      bool        // whether the request's body is sent in chunks
	Trailer      http.Header // trailer fields after a chunked body
	Expect       bool        // whether the request has Expect: 100-continue
	Plan         webapp.Plan // the response, in the form that the application understands
}

// Values of Outcome.FailedPart.
const (
	failedHead = "head"
	failedBody = "body"
)

// Outcome is the result of an exchange: the response that the client got, and the request that the application
// received.
type Outcome struct {
	Status             int
	Header             string
	Body               string // length and digest of the body
	Trailer            string
	EarlyHints         int    // number of 103 responses before the final response
	FailedPart         string // "head" or "body": the part of the response that failed; "" if none did
	ApplicationRequest string // the request as the application received it; "" if it did not report it
}

// Difference is a part in which the two outcomes of one exchange differ.
type Difference struct {
	Index    int // number of the exchange, starting with 0
	Exchange Exchange
	Part     string // one of the part constants
	A, B     string // the part as text, in the outcome of the first and of the second proxy
	Reason   string // why the difference is expected; "" if no reason is known
}

// maxShownChars limits how much String shows of each side of a difference, in characters.
const maxShownChars = 300

// String describes the difference and its exchange in one line.
func (d Difference) String() string {
	x := &d.Exchange
	return fmt.Sprintf("exchange %d, %s: %.*s | %.*s (%s %s, body %d, chunked %v, expect %v, %s)",
		d.Index, d.Part, maxShownChars, d.A, maxShownChars, d.B,
		x.Method, x.Path, x.Body, x.Chunked, x.Expect, x.Plan.JSON())
}

const (
	dialTimeout     = time.Second
	continueTimeout = 5 * time.Second // after which the client sends the body although no 100 response has arrived
)

// Run sends each exchange to both proxies, one exchange after another, and returns the differences.
func Run(ctx context.Context, addrA, addrB string, exchanges []Exchange) ([]Difference, error) {
	transportA := newTransport()
	defer transportA.CloseIdleConnections()
	transportB := newTransport()
	defer transportB.CloseIdleConnections()
	var differences []Difference
	for i := range exchanges {
		if ctx.Err() != nil {
			return differences, context.Cause(ctx)
		}
		x := &exchanges[i]
		a := Send(ctx, transportA, addrA, x)
		b := Send(ctx, transportB, addrB, x)
		differences = append(differences, compare(i, x, &a, &b)...)
	}
	return differences, nil
}

func newTransport() *http.Transport {
	return &http.Transport{
		DisableCompression:    true,
		ExpectContinueTimeout: continueTimeout,
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
}

// Parts of an outcome, for Difference.Part.
const (
	partStatus      = "status"
	partHeader      = "header"
	partBody        = "body"
	partTrailer     = "trailer"
	partEarlyHints  = "hints"
	partFailed      = "failed"
	partApplication = "application"
)

// compare returns the parts in which the outcomes of an exchange differ, each with the reason if one is known.
func compare(index int, x *Exchange, a, b *Outcome) (differences []Difference) {
	for _, part := range []struct{ name, a, b string }{
		{partStatus, fmt.Sprint(a.Status), fmt.Sprint(b.Status)},
		{partHeader, a.Header, b.Header},
		{partBody, a.Body, b.Body},
		{partTrailer, a.Trailer, b.Trailer},
		{partEarlyHints, fmt.Sprint(a.EarlyHints), fmt.Sprint(b.EarlyHints)},
		{partFailed, a.FailedPart, b.FailedPart},
		{partApplication, a.ApplicationRequest, b.ApplicationRequest},
	} {
		if part.a == part.b {
			continue
		}
		differences = append(differences, Difference{
			Index: index, Exchange: *x, Part: part.name, A: part.a, B: part.b,
			Reason: expectedReason(x, part.name, a, b),
		})
	}
	return differences
}

// Unexplained returns the differences without a known reason, and the number of differences for each known
// reason.
func Unexplained(differences []Difference) (withoutReason []Difference, byReason map[string]int) {
	byReason = map[string]int{}
	for _, d := range differences {
		if d.Reason == "" {
			withoutReason = append(withoutReason, d)
		} else {
			byReason[d.Reason]++
		}
	}
	return withoutReason, byReason
}
