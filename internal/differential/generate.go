package differential

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"dunlinsail/internal/fake/webapp"
)

// generator draws exchanges.
type generator struct{ random *rand.Rand }

// Generate draws the exchanges of a seed.
func Generate(seed uint64, n int) []Exchange {
	g := generator{random: rand.New(rand.NewPCG(seed, 1))}
	exchanges := make([]Exchange, 0, n)
	for i := range n {
		exchanges = append(exchanges, g.exchange(seed, i))
	}
	return exchanges
}

// oneIn reports true for one of n draws.
func (g generator) oneIn(n int) bool { return g.random.IntN(n) == 0 }

func pick[T any](g generator, values ...T) T { return values[g.random.IntN(len(values))] }

func (g generator) exchange(seed uint64, index int) Exchange {
	x := Exchange{
		Method: pick(g, "GET", "GET", "GET", "HEAD", "POST", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "REPORT"),
		Path:   pick(g, "/", "/a", "/a/b?x=1&y=%2f", "/%C3%A9/;p=1", "/a?", "/long/"+strings.Repeat("x", 60)),
		Body:   -1,
		Header: http.Header{},
	}
	x.Header.Set("X-Id", fmt.Sprint(seed, "-", index))
	for range g.random.IntN(4) {
		x.Header.Add(pick(g, "X-A", "X-B", "Accept", "Cookie"), pick(g, "1", "a, b", "", "\"q\"", "x=y; z"))
	}
	g.requestBody(&x, index)
	g.responsePlan(&x, index)
	return x
}

// requestBody gives most requests whose methods have one a body, and a few with GET.
func (g generator) requestBody(x *Exchange, index int) {
	if !g.hasRequestBody(x.Method) {
		return
	}
	x.Body = pick(g, 0, 1, 10, 1000, 5000, 70_000, 300_000)
	x.Chunked = g.oneIn(2)
	x.Expect = x.Body > 0 && g.oneIn(8)
	if x.Chunked && g.oneIn(3) {
		x.Trailer = http.Header{"X-Sum": {fmt.Sprint(index)}}
	}
}

// hasRequestBody draws whether a request has a body.
func (g generator) hasRequestBody(method string) bool {
	usual := method != http.MethodGet && method != http.MethodHead && method != http.MethodOptions
	if usual && !g.oneIn(5) {
		return true
	}
	return g.oneIn(30) && method == http.MethodGet
}

// responsePlan draws what the application answers.
func (g generator) responsePlan(x *Exchange, index int) {
	p := &x.Plan
	p.Status = pick(g, 200, 200, 200, 200, 201, 204, 301, 302, 304, 400, 401, 403, 404, 409, 410, 422, 418, 451, 501)
	p.BodySize = pick(g, 0, 1, 10, 1000, 5000, 70_000, 500_000)
	p.Header = map[string][]string{"X-Plain": {"yes"}, "Content-Type": {"text/plain"}}
	switch g.random.IntN(6) {
	case 0:
		p.Header["Location"] = []string{"/elsewhere"}
	case 1:
		p.Header["Set-Cookie"] = []string{"a=b", "c=d; Path=/"}
	case 2:
		p.Header["Cache-Control"] = []string{"no-store"}
		p.Header["Etag"] = []string{`"x"`}
	}
	if g.oneIn(3) {
		p.Pieces = 1 + g.random.IntN(5)
		if g.oneIn(8) {
			p.PieceInterval = 30 * time.Millisecond
		}
		if g.oneIn(2) {
			p.Trailer = map[string]string{"X-Check": fmt.Sprint(index)}
		}
	}
	g.unusualResponse(x)
}

// unusualResponse makes a few responses unusual: early hints, an end by closing, a reset, or a head before the
// request's body has been read.
func (g generator) unusualResponse(x *Exchange) {
	p := &x.Plan
	switch g.random.IntN(14) {
	case 0:
		p.EarlyHints = 1 + g.random.IntN(2)
	case 1:
		if x.Method != "HEAD" && p.Status != http.StatusNoContent && p.Status != http.StatusNotModified {
			p.CloseDelimited = true
			inOnePiece(p)
		}
	case 2:
		if x.Method == "POST" && p.Status == http.StatusOK && p.BodySize > 10 {
			p.ResetAfter = 1 + g.random.IntN(p.BodySize-1)
			inOnePiece(p)
		}
	case 3:
		p.BeforeBody = x.Body > 0 && x.Body <= 5000 && !x.Expect
	}
}

func inOnePiece(p *webapp.Plan) {
	p.Pieces = 0
	p.Trailer = nil
}
