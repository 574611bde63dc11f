package differential

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"dunlinsail/internal/fake/webapp"
)

// generator draws random exchanges.
type generator struct{ random *rand.Rand }

// Generate returns n exchanges, which depend on the seed only.
func Generate(seed uint64, n int) []Exchange {
	g := generator{random: rand.New(rand.NewPCG(seed, 1))}
	exchanges := make([]Exchange, 0, n)
	for i := range n {
		exchanges = append(exchanges, g.drawExchange(seed, i))
	}
	return exchanges
}

// oneIn returns true with a probability of 1/n.
func (g generator) oneIn(n int) bool { return g.random.IntN(n) == 0 }

// pickOne returns one of the values, drawn at random.
func pickOne[T any](g generator, values ...T) T { return values[g.random.IntN(len(values))] }

func (g generator) drawExchange(seed uint64, index int) Exchange {
	x := Exchange{
		Method: pickOne(g, "GET", "GET", "GET", "HEAD", "POST", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "REPORT"),
		Path:   pickOne(g, "/", "/a", "/a/b?x=1&y=%2f", "/%C3%A9/;p=1", "/a?", "/long/"+strings.Repeat("x", 60)),
		Body:   -1,
		Header: http.Header{},
	}
	x.Header.Set("X-Id", fmt.Sprint(seed, "-", index))
	for range g.random.IntN(4) {
		x.Header.Add(pickOne(g, "X-A", "X-B", "Accept", "Cookie"), pickOne(g, "1", "a, b", "", "\"q\"", "x=y; z"))
	}
	g.drawRequestBody(&x, index)
	g.drawResponsePlan(&x, index)
	return x
}

// drawRequestBody draws the body, the chunks, the Expect header and the trailer of a request.
func (g generator) drawRequestBody(x *Exchange, index int) {
	if !g.drawHasRequestBody(x.Method) {
		return
	}
	x.Body = pickOne(g, 0, 1, 10, 1000, 5000, 70_000, 300_000)
	x.Chunked = g.oneIn(2)
	x.Expect = x.Body > 0 && g.oneIn(8)
	if x.Chunked && g.oneIn(3) {
		x.Trailer = http.Header{"X-Sum": {fmt.Sprint(index)}}
	}
}

// drawHasRequestBody draws whether a request has a body: most requests do if their method allows one, and few
// GET requests do.
func (g generator) drawHasRequestBody(method string) bool {
	usualMethod := method != http.MethodGet && method != http.MethodHead && method != http.MethodOptions
	if usualMethod && !g.oneIn(5) {
		return true
	}
	return g.oneIn(30) && method == http.MethodGet
}

// drawResponsePlan draws the response that the application is asked to give.
func (g generator) drawResponsePlan(x *Exchange, index int) {
	plan := &x.Plan
	plan.Status = pickOne(g,
		200, 200, 200, 200, 201, 204, 301, 302, 304, 400, 401, 403, 404, 409, 410, 422, 418, 451, 501)
	plan.BodySize = pickOne(g, 0, 1, 10, 1000, 5000, 70_000, 500_000)
	plan.Header = map[string][]string{"X-Plain": {"yes"}, "Content-Type": {"text/plain"}}
	switch g.random.IntN(6) {
	case 0:
		plan.Header["Location"] = []string{"/elsewhere"}
	case 1:
		plan.Header["Set-Cookie"] = []string{"a=b", "c=d; Path=/"}
	case 2:
		plan.Header["Cache-Control"] = []string{"no-store"}
		plan.Header["Etag"] = []string{`"x"`}
	}
	if g.oneIn(3) {
		plan.Pieces = 1 + g.random.IntN(5)
		if g.oneIn(8) {
			plan.PieceInterval = 30 * time.Millisecond
		}
		if g.oneIn(2) {
			plan.Trailer = map[string]string{"X-Check": fmt.Sprint(index)}
		}
	}
	g.drawUnusualResponse(x)
}

// drawUnusualResponse makes a few responses unusual: with early hints, without a length and ended by closing
// the connection, reset in the body, or with a head that is sent before the request's body has been read.
func (g generator) drawUnusualResponse(x *Exchange) {
	plan := &x.Plan
	switch g.random.IntN(14) {
	case 0:
		plan.EarlyHints = 1 + g.random.IntN(2)
	case 1:
		if x.Method != "HEAD" && plan.Status != http.StatusNoContent && plan.Status != http.StatusNotModified {
			plan.CloseDelimited = true
			sendInOnePiece(plan)
		}
	case 2:
		if x.Method == "POST" && plan.Status == http.StatusOK && plan.BodySize > 10 {
			plan.ResetAfter = 1 + g.random.IntN(plan.BodySize-1)
			sendInOnePiece(plan)
		}
	case 3:
		plan.BeforeBody = x.Body > 0 && x.Body <= 5000 && !x.Expect
	}
}

func sendInOnePiece(plan *webapp.Plan) {
	plan.Pieces = 0
	plan.Trailer = nil
}
