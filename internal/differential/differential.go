// Package differential asks two programs that stand before the same application the same, and tells where they differ:
// in what the client gets, or in what the application does. It knows the programs by their addresses only.
package differential

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"regexp"
	"strings"
	"time"

	"dunlinsail/internal/fake/webapp"
)

// Exchange is one request and how it is to be answered.
type Exchange struct {
	Method, Path string
	Header       http.Header
	Body         int // bytes; -1 is none
	Chunked      bool
	Trailer      http.Header // of a body in chunks
	Expect       bool        // 100-continue
	Plan         webapp.Plan
}

// Outcome is what came of an exchange.
type Outcome struct {
	Status  int
	Header  string
	Body    string // its length and digest
	Trailer string
	Hints   int
	Failed  string // "head" or "body": where the answer broke; "" is nowhere
	App     string // what the application saw; "" where it did not tell
}

// Unlike are the headers that are not compared, with the reason.
var Unlike = map[string]string{
	"Date":              "each second is another",
	"Connection":        "of one connection only (RFC 9110 section 7.6.1)",
	"Transfer-Encoding": "of one connection only",
	"Trailer":           "an announcement; the trailers themselves are compared",
	"Accept-Encoding":   "ReverseProxy's client side may add its own",
	"User-Agent":        "ReverseProxy sets an empty one where there is none",
	"X-Forwarded-For":   "ReverseProxy adds it by itself; with routes it is the operator's choice",
	"Te":                "of one connection only; both pass on that trailers are taken",
}

func headerText(h http.Header) string {
	var without []string
	for name := range Unlike {
		without = append(without, name)
	}
	return webapp.HeaderText(h, without...)
}

// Difference is where two outcomes differ.
type Difference struct {
	Place    int // of the exchange
	Exchange Exchange
	Part     string
	A, B     string
	Reason   string // why it is to be so, "" where nothing is known of it
}

func (d Difference) String() string {
	return fmt.Sprintf("exchange %d, %s: %.300s | %.300s (%s %s, body %d, chunked %v, expect %v, %s)", d.Place, d.Part, d.A, d.B,
		d.Exchange.Method, d.Exchange.Path, d.Exchange.Body, d.Exchange.Chunked, d.Exchange.Expect, d.Exchange.Plan.JSON())
}

// Named are the differences that are to be, by what is seen of them.
var Named = []struct {
	Reason string
	Is     func(x *Exchange, part string, a, b *Outcome) bool
}{
	{"an answer that breaks before it has begun for the client is 502 here and there, each in its own words",
		func(x *Exchange, part string, a, b *Outcome) bool {
			return a.Status == 502 && b.Status == 502 && part != "status"
		}},
	{"an answer that is held whole, or ends with its head, tells its length",
		func(x *Exchange, part string, a, b *Outcome) bool {
			return part == "header" && !strings.Contains(b.Header, "Content-Length") && length.ReplaceAllString(a.Header, "") == b.Header
		}},
	{"a body in chunks that is held whole goes on with its length; the daemon answers an Expect itself, ReverseProxy passes it on; " +
		"ReverseProxy passes on the names of a request's trailers without their values",
		func(x *Exchange, part string, a, b *Outcome) bool {
			return part == "application" && a.App != "" && plainApp.ReplaceAllString(a.App, "") == plainApp.ReplaceAllString(b.App, "") &&
				(x.Chunked || x.Expect) && strings.HasSuffix(a.App, webapp.HeaderText(x.Trailer))
		}},
	{"ReverseProxy's server side closes a request's body as its answer begins, while its client side may still read there: " +
		"the answer then breaks now and then, where the daemon's is as the application was asked for",
		func(x *Exchange, _ string, a, b *Outcome) bool {
			return x.Body >= 0 && (b.Failed != "" || b.Status == http.StatusBadGateway) && asPlanned(x, a)
		}},
	{"of an answer that breaks, how much has come before it shows is chance",
		func(x *Exchange, part string, a, b *Outcome) bool {
			return x.Plan.ResetAfter > 0 && (part == "body" || part == "failed" || part == "status" || part == "header") && a.Failed+b.Failed != "" || x.Plan.ResetAfter > 0 && (a.Status == 502 || b.Status == 502)
		}},
}

var plainApp = regexp.MustCompile(`(Content-Length: \["\d+"\]|Expect: \["100-continue"\]); | X-Sum: \[.*$`)

var length = regexp.MustCompile(`Content-Length: \["\d+"\]; `)

// asPlanned says whether an answer came whole, with the status and the body that the application was asked for.
func asPlanned(x *Exchange, o *Outcome) bool {
	var d webapp.Digest
	if x.Method != http.MethodHead && x.Plan.Status != http.StatusNoContent && x.Plan.Status != http.StatusNotModified {
		for _, n := range x.Plan.PieceSizes() {
			if err := webapp.WriteBody(&d, n); err != nil {
				return false
			}
		}
	}
	return o.Failed == "" && o.Status == x.Plan.Status && o.Body == d.String()
}

// Generate draws the exchanges of a seed.
func Generate(seed uint64, n int) []Exchange {
	rng := rand.New(rand.NewPCG(seed, 1))
	pick := func(of ...string) string { return of[rng.IntN(len(of))] }
	var all []Exchange
	for i := range n {
		x := Exchange{Method: pick("GET", "GET", "GET", "HEAD", "POST", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "REPORT"),
			Path: pick("/", "/a", "/a/b?x=1&y=%2f", "/%C3%A9/;p=1", "/a?", "/long/"+strings.Repeat("x", 60)), Body: -1, Header: http.Header{}}
		x.Header.Set("X-Id", fmt.Sprint(seed, "-", i))
		for range rng.IntN(4) {
			x.Header.Add(pick("X-A", "X-B", "Accept", "Cookie"), pick("1", "a, b", "", "\"q\"", "x=y; z"))
		}
		if x.Method != "GET" && x.Method != "HEAD" && x.Method != "OPTIONS" && rng.IntN(5) > 0 || rng.IntN(30) == 0 && x.Method == "GET" {
			x.Body = []int{0, 1, 10, 1000, 5000, 70_000, 300_000}[rng.IntN(7)]
			x.Chunked = rng.IntN(2) == 0
			x.Expect = x.Body > 0 && rng.IntN(8) == 0
			if x.Chunked && rng.IntN(3) == 0 {
				x.Trailer = http.Header{"X-Sum": {fmt.Sprint(i)}}
			}
		}
		p := &x.Plan
		p.Status = []int{200, 200, 200, 200, 201, 204, 301, 302, 304, 400, 401, 403, 404, 409, 410, 422, 418, 451, 501}[rng.IntN(19)]
		p.BodySize = []int{0, 1, 10, 1000, 5000, 70_000, 500_000}[rng.IntN(7)]
		p.Header = map[string][]string{"X-Plain": {"yes"}, "Content-Type": {"text/plain"}}
		switch rng.IntN(6) {
		case 0:
			p.Header["Location"] = []string{"/elsewhere"}
		case 1:
			p.Header["Set-Cookie"] = []string{"a=b", "c=d; Path=/"}
		case 2:
			p.Header["Cache-Control"] = []string{"no-store"}
			p.Header["Etag"] = []string{`"x"`}
		}
		if rng.IntN(3) == 0 {
			p.Pieces = 1 + rng.IntN(5)
			if rng.IntN(8) == 0 {
				p.PieceInterval = 30 * time.Millisecond
			}
			if rng.IntN(2) == 0 {
				p.Trailer = map[string]string{"X-Check": fmt.Sprint(i)}
			}
		}
		switch rng.IntN(14) {
		case 0:
			p.EarlyHints = 1 + rng.IntN(2)
		case 1:
			if x.Method != "HEAD" && p.Status != 204 && p.Status != 304 {
				p.CloseDelimited, p.Pieces, p.Trailer = true, 0, nil
			}
		case 2:
			if x.Method != "HEAD" && p.Status == 200 && p.BodySize > 10 && x.Method == "POST" {
				p.ResetAfter, p.Pieces, p.Trailer = 1+rng.IntN(p.BodySize-1), 0, nil
			}
		case 3:
			p.BeforeBody = x.Body > 0 && x.Body <= 5000 && !x.Expect
		}
		all = append(all, x)
	}
	return all
}

// Ask sends one exchange to a program.
func Ask(ctx context.Context, t http.RoundTripper, addr string, x *Exchange) Outcome {
	var o Outcome
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
		if code == http.StatusEarlyHints {
			o.Hints++
		}
		return nil
	}})
	var body io.Reader
	if x.Body >= 0 {
		r, w := io.Pipe()
		go func() { w.CloseWithError(webapp.WriteBody(w, x.Body)) }()
		defer r.Close()
		body = r
	}
	q, err := http.NewRequestWithContext(ctx, x.Method, "http://"+addr+x.Path, body)
	if err != nil {
		o.Failed = err.Error()
		return o
	}
	q.Header = x.Header.Clone()
	q.Host = "app.example"
	q.Header.Set(webapp.PlanHeader, x.Plan.JSON())
	q.Header.Set("User-Agent", "differential")
	if x.Expect {
		q.Header.Set("Expect", "100-continue")
	}
	if x.Body == 0 && !x.Chunked {
		q.Body = http.NoBody
	}
	if q.ContentLength = int64(max(0, x.Body)); x.Chunked {
		q.ContentLength = -1
		q.Trailer = x.Trailer.Clone()
	}
	resp, err := t.RoundTrip(q)
	if err != nil {
		o.Failed = "head"
		return o
	}
	defer resp.Body.Close()
	var d webapp.Digest
	if _, err := io.Copy(&d, resp.Body); err != nil {
		o.Failed = "body"
	}
	o.Status, o.Body, o.Trailer = resp.StatusCode, d.String(), webapp.HeaderText(resp.Trailer)
	if text := resp.Header.Get(webapp.ObservedRequestHeader); text != "" {
		var got webapp.ObservedRequest
		if err := json.Unmarshal([]byte(text), &got); err != nil {
			o.App = err.Error()
		} else {
			o.App = fmt.Sprint(got.Method, " ", got.URI, " ", got.Host, " ", headerText(got.Header), " ", got.Body, " ", webapp.HeaderText(got.Trailer))
		}
		resp.Header.Del(webapp.ObservedRequestHeader)
	}
	o.Header = headerText(resp.Header)
	if resp.ContentLength >= 0 && x.Method == http.MethodHead {
		o.Header += fmt.Sprint("; length ", resp.ContentLength)
	}
	return o
}

// Run asks both programs all exchanges, one after another, and returns the differences. asked is told after each.
func Run(ctx context.Context, a, b string, all []Exchange) ([]Difference, error) {
	transport := func() *http.Transport {
		return &http.Transport{DisableCompression: true, ExpectContinueTimeout: 5 * time.Second,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	}
	ta, tb := transport(), transport()
	defer ta.CloseIdleConnections()
	defer tb.CloseIdleConnections()
	var found []Difference
	for i := range all {
		if ctx.Err() != nil {
			return found, context.Cause(ctx)
		}
		x := &all[i]
		oa, ob := Ask(ctx, ta, a, x), Ask(ctx, tb, b, x)
		for _, part := range []struct{ name, a, b string }{
			{"status", fmt.Sprint(oa.Status), fmt.Sprint(ob.Status)}, {"header", oa.Header, ob.Header}, {"body", oa.Body, ob.Body},
			{"trailer", oa.Trailer, ob.Trailer}, {"hints", fmt.Sprint(oa.Hints), fmt.Sprint(ob.Hints)},
			{"failed", oa.Failed, ob.Failed}, {"application", oa.App, ob.App},
		} {
			if part.a == part.b {
				continue
			}
			d := Difference{Place: i, Exchange: *x, Part: part.name, A: part.a, B: part.b}
			for _, n := range Named {
				if n.Is(x, part.name, &oa, &ob) {
					d.Reason = n.Reason
					break
				}
			}
			found = append(found, d)
		}
	}
	return found, nil
}

// Unexplained returns the differences without a reason, and how many there are of each reason.
func Unexplained(all []Difference) (without []Difference, reasons map[string]int) {
	reasons = map[string]int{}
	for _, d := range all {
		if d.Reason == "" {
			without = append(without, d)
		} else {
			reasons[d.Reason]++
		}
	}
	return without, reasons
}
