// Package differential sends two programs that stand before the same application the same exchanges, and finds where
// they differ: in what the client gets, or in what the application receives. It knows the programs by their addresses
// only.
package differential

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"dunlinsail/internal/fake/webapp"
)

// Exchange is one request and the response that the application is to give.
type Exchange struct {
	Method, Path string
	Header       http.Header
	Body         int // bytes; -1 is none
	Chunked      bool
	Trailer      http.Header // of a chunked body
	Expect       bool        // Expect: 100-continue
	Plan         webapp.Plan
}

// The values of Outcome.Failed.
const (
	failedHead = "head"
	failedBody = "body"
)

// Outcome is how an exchange ended.
type Outcome struct {
	Status             int
	Header             string
	Body               string // its length and digest
	Trailer            string
	EarlyHints         int    // 103 responses before the final one
	FailedPart         string // "head" or "body": where the response broke; "" is nowhere
	ApplicationRequest string // the request as the application received it; "" where it did not say
}

// Difference is a part in which two outcomes of one exchange differ.
type Difference struct {
	Index    int // of the exchange
	Exchange Exchange
	Part     string
	A, B     string
	Reason   string // why it is expected, "" where no reason is known
}

// maxShownChars bounds what is shown of each side of a difference, in characters.
const maxShownChars = 300

// String returns the difference and its exchange in one line.
func (d Difference) String() string {
	x := &d.Exchange
	return fmt.Sprintf("exchange %d, %s: %.*s | %.*s (%s %s, body %d, chunked %v, expect %v, %s)",
		d.Index, d.Part, maxShownChars, d.A, maxShownChars, d.B,
		x.Method, x.Path, x.Body, x.Chunked, x.Expect, x.Plan.JSON())
}

const (
	dialTimeout     = time.Second
	continueTimeout = 5 * time.Second // until a body is sent although no 100 has come
)

// Run sends both programs all exchanges, one after another, and returns the differences.
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

// Parts of an outcome, by which differences are named.
const (
	partStatus      = "status"
	partHeader      = "header"
	partBody        = "body"
	partTrailer     = "trailer"
	partEarlyHints  = "hints"
	partFailed      = "failed"
	partApplication = "application"
)

// compare returns the parts in which the outcomes of an exchange differ, each with its reason where one is known.
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

// Unexplained returns the differences without a reason, and how many there are of each reason.
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
