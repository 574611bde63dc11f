// Package attemptscript is a group of fake endpoints that end the attempts of one request in a scripted order,
// whichever endpoint each attempt reaches, and the orders with which tests check the final responses of requests.
package attemptscript

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"dunlinsail/internal/fake/scriptedpeer"
)

// Response is what an endpoint does once it has received a request: the text that it sends, or Reset or Silent.
type Response string

// Responses of endpoints.
const (
	Reset  Response = ""       // the connection is closed without a response
	Silent Response = "silent" // the connection stays open without a response

	Success     Response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	Error       Response = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	Unavailable Response = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

	NeverRan        Response = "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	NeverRanTimeout Response = "HTTP/1.1 504 Gateway Timeout\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	Overloaded      Response = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// streamedSize is the length in bytes of a response body that is too long to be buffered.
const streamedSize = 100_000

// NeverRanStreamed is NeverRan with a body that is too long to be buffered.
var NeverRanStreamed = Response(fmt.Sprintf(
	"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: %d\r\n\r\n%s",
	streamedSize, strings.Repeat("x", streamedSize)))

// Order is an order in which the attempts of a request end, with the status that the request's client must get. An
// attempt beyond the responses ends with Reset.
type Order struct {
	Responses []Response
	ByClass   int // status without routes, where an endpoint's response is forwarded only if it is a success
	Routed    int // status on a route
}

// Orders of attempt ends, by how a request may be repeated. The status 503 promises that a retry is harmless, so
// that it may only be sent if the class is idempotent, or if no attempt may have run except the one whose own response
// is forwarded.
var (
	NonIdempotent = []Order{
		{[]Response{NeverRan, Reset}, 502, 502},
		{[]Response{NeverRan, NeverRan, Reset}, 502, 502},
		{[]Response{NeverRan, Silent}, 504, 504},
		{[]Response{NeverRanTimeout, Reset}, 502, 502},
		{[]Response{NeverRan, NeverRan, NeverRan}, 503, 503},
		{[]Response{NeverRan, Success}, 200, 200},
		{[]Response{NeverRan, Error}, 502, 500},
		{[]Response{NeverRan, Unavailable}, 502, 503},
		{[]Response{NeverRan, Overloaded}, 502, 503},
		{[]Response{NeverRan, NeverRanStreamed, Reset}, 502, 503},
	}
	IdempotentByKey = []Order{
		{[]Response{NeverRan, Reset, Reset}, 502, 502},
		{[]Response{NeverRan, Reset, NeverRan}, 502, 502},
		{[]Response{Reset, NeverRan, NeverRan}, 502, 502},
		{[]Response{Reset, NeverRan, NeverRanStreamed}, 502, 502},
		{[]Response{Reset, Unavailable, Reset}, 502, 502},
		{[]Response{Error, Overloaded, Overloaded}, 502, 502},
		{[]Response{NeverRan, Silent}, 504, 504},
		{[]Response{Reset, Silent}, 504, 504},
		{[]Response{Reset, Success}, 200, 200},
		{[]Response{NeverRan, NeverRan, NeverRan}, 503, 503},
	}
	Idempotent = []Order{
		{[]Response{NeverRan, Reset, Reset}, 503, 503},
		{[]Response{Reset, NeverRan, NeverRan}, 503, 503},
		{[]Response{Error, Error, NeverRan}, 503, 503},
		{[]Response{Reset, Unavailable, Reset}, 503, 503},
		{[]Response{Reset, NeverRan, Success}, 200, 200},
	}
)

// String returns the status lines of the order's responses.
func (o Order) String() string {
	var lines []string
	for _, response := range o.Responses {
		statusLine, _, _ := strings.Cut(string(response), "\r\n")
		switch {
		case response == Reset:
			statusLine = "reset"
		case strings.Contains(string(response), "X-Never-Ran"):
			statusLine += ", never ran"
		}
		lines = append(lines, strings.TrimPrefix(statusLine, "HTTP/1.1 "))
	}
	return strings.Join(lines, "; ")
}

// TimeoutMs returns how long the client of the order's request waits, in milliseconds. It is short only if an attempt
// gets no response.
func (o Order) TimeoutMs() int {
	if slices.Contains(o.Responses, Silent) {
		return 1_000
	}
	return 15_000
}

// Start starts as many endpoints as the order has responses, and returns their addresses. They end with the test.
func (o Order) Start(t testing.TB) (addrs []string) {
	t.Helper()
	var received atomic.Int64
	for range o.Responses {
		addrs = append(addrs, scriptedpeer.StartTCP(t, func(conn *net.TCPConn, reader *bufio.Reader) {
			for {
				if _, err := scriptedpeer.ReadRequest(reader); err != nil {
					return
				}
				switch response := o.response(int(received.Add(1))); response {
				case Reset:
					_ = conn.SetLinger(0) // a failure makes the end an EOF, which has the same outcome
					return
				case Silent:
					_, _ = reader.Peek(1) // returns once the attempt has been given up
				default:
					if _, err := io.WriteString(conn, string(response)); err != nil {
						return
					}
				}
			}
		}))
	}
	return addrs
}

// response returns the response to the n-th request, from 1.
func (o Order) response(n int) Response {
	if n > len(o.Responses) {
		return Reset
	}
	return o.Responses[n-1]
}

// Check checks a client's response. wantStatus is one of the order's statuses. A status other than 503 must come
// without the header field that states that the request never ran.
func (o Order) Check(t testing.TB, response *http.Response, wantStatus int) {
	t.Helper()
	neverRan := response.Header.Get("X-Never-Ran")
	if response.StatusCode != wantStatus || neverRan != "" && wantStatus != http.StatusServiceUnavailable {
		t.Errorf("%v: status %d, X-Never-Ran %q, want status %d", o, response.StatusCode, neverRan, wantStatus)
	}
}
