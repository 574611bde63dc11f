package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/internal/fake/scriptedpeer"
)

// patternBytes returns n bytes of a repeated 16-byte pattern. n must be a multiple of 16.
func patternBytes(n int) []byte { return bytes.Repeat([]byte("0123456789abcdef"), n/16) }

// echo responds with the request's body while it arrives, in chunks if the request has no Content-Length.
func echo(w http.ResponseWriter, r *http.Request) {
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		panic(err) // net/http supports full duplex for HTTP/1.1
	}
	if r.ContentLength >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(r.ContentLength))
	}
	io.Copy(w, r.Body)
}

// Requests in all forms that HTTP/1.x allows reach the endpoint with the body that the client sent.
func TestRequestForms(t *testing.T) {
	s := start(t, configureStatic(t, instances(scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Errorf("%s: %v", r.URL, err)
		}
		if r.Method == "HEAD" {
			w.Header().Set("Content-Length", "7")
			return
		}
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
	}))))
	head := func(target string, lines ...string) string {
		return "POST " + target + " HTTP/1.1\r\nHost: origin.svc\r\nX-Qos: pay\r\n" +
			strings.Join(append(lines, "\r\n"), "\r\n")
	}
	get := "GET /look/9?q HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: 9\r\n\r\n"
	const chunked = "Transfer-Encoding: chunked"
	for _, tc := range []struct {
		name, text string
		want       []string
	}{
		{"chunked body",
			head("/pay/1", "X-Trace-Id: 1", chunked) + "3;a=\"b\"\r\nabc\r\n002\r\nde\r\n0\r\nX-Sum: 1\r\n\r\n",
			[]string{"POST /pay/1 abcde"}},
		{"absolute URI", head("http://origin.svc/pay/2?x=1", "X-Trace-Id: 2", "Content-Length: 2") + "ab",
			[]string{"POST /pay/2?x=1 ab"}},
		{"100-continue expectation",
			head("/pay/3", "X-Trace-Id: 3", "Content-Length: 2", "Expect: 100-continue") + "ab",
			[]string{"", "POST /pay/3 ab"}},
		{"pipelined after a body with a length", head("/pay/4", "X-Trace-Id: 4", "Content-Length: 2") + "ab" + get,
			[]string{"POST /pay/4 ab", "GET /look/9?q "}},
		{"pipelined after a chunked body", head("/pay/5", "X-Trace-Id: 5", chunked) + "1\r\nz\r\n0\r\n\r\n" + get,
			[]string{"POST /pay/5 z", "GET /look/9?q "}},
		{"HTTP/1.0", "GET /look/6 HTTP/1.0\r\nX-Trace-Id: 6\r\n\r\n",
			[]string{"GET /look/6 "}},
		{"HEAD method", "HEAD /look/7 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: 7\r\n\r\n" + get,
			[]string{"", "GET /look/9?q "}},
	} {
		for _, pieceSize := range []int{len(tc.text), 1} {
			s.checkExchange(t, fmt.Sprintf("%s in pieces of %d", tc.name, pieceSize), tc.text, pieceSize, tc.want)
		}
	}
}

// checkExchange sends a text on a new connection in pieces of pieceSize bytes, and checks that the responses have
// status 100 or 200 and the wanted bodies.
func (s *testSidecar) checkExchange(t *testing.T, name, text string, pieceSize int, want []string) {
	t.Helper()
	c := s.dial(t)
	defer c.Close()
	go func() {
		for unsent := text; unsent != ""; unsent = unsent[min(pieceSize, len(unsent)):] {
			io.WriteString(c, unsent[:min(pieceSize, len(unsent))])
		}
	}()
	c.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	r := bufio.NewReader(c)
	for i, want := range want {
		sent := &http.Request{Method: "GET"}
		if i == 0 {
			sent.Method, _, _ = strings.Cut(text, " ")
		}
		resp, err := http.ReadResponse(r, sent)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got, err := io.ReadAll(resp.Body)
		if string(got) != want || err != nil || resp.StatusCode != 200 && resp.StatusCode != 100 {
			t.Errorf("%s: %d %q %v, want %q", name, resp.StatusCode, got, err, want)
		}
	}
}

// A complete response is forwarded with its body unchanged, in whatever form the endpoint sends it. A truncated
// response never looks complete to the client.
func TestResponseForms(t *testing.T) {
	long := string(patternBytes(200 << 10))
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, tc := range []struct {
		name, text, want string
		truncated        bool // whether the client must detect that the response is incomplete
	}{
		{"body until close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", "abc", false},
		{"long body until close", "HTTP/1.1 200 OK\r\n\r\n" + long, long, false},
		{"chunks with extensions and a trailer",
			chunked + "2;x\r\nab\r\n1\r\nc\r\n0\r\nX-Sum: 3\r\n\r\n", "abc", false},
		{"1xx before the final response",
			"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc", false},
		{"long chunk", fmt.Sprintf(chunked+"%x\r\n%s\r\n0\r\n\r\n", len(long), long), long, false},
		{"long body, truncated", "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + long, "", true},
		{"long chunk, truncated", chunked + "fffff\r\n" + long, "", true},
	} {
		var attempts atomic.Int32
		endpoint := func() string {
			return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
				if _, err := scriptedpeer.ReadRequest(r); err == nil {
					attempts.Add(1)
					io.WriteString(c, tc.text)
				}
			})
		}
		s := start(t, configureStatic(t, instances(endpoint(), endpoint())))
		c := s.dial(t)
		safeRequest(900).Write(c)
		c.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
		r := bufio.NewReader(c)
		var got []byte
		resp, err := http.ReadResponse(r, nil)
		for err == nil && resp.StatusCode < 200 {
			resp, err = http.ReadResponse(r, nil)
		}
		if err == nil {
			got, err = io.ReadAll(resp.Body)
		}
		if tc.truncated != (err != nil) || !tc.truncated && (resp.StatusCode != 200 || string(got) != tc.want) {
			t.Errorf("%s: %d bytes, %v", tc.name, len(got), err)
		}
		if n := attempts.Load(); n != 1 {
			t.Errorf("%s: %d attempts; a response that has started must not be retried", tc.name, n)
		}
		c.Close()
	}
}

// Bodies far larger than the buffers are forwarded in both directions, with and without a Content-Length.
func TestLargeBodiesInBothDirections(t *testing.T) {
	s := start(t, configureStatic(t, instances(scriptedpeer.StartHTTP(t, echo))))
	body := patternBytes(8 << 20)
	for _, hasLength := range []bool{true, false} {
		r := request("POST", "/pay", "pay", 900, "x")
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		if !hasLength {
			r.ContentLength = -1
		}
		c := s.dial(t)
		go r.Write(c)
		resp := readHead(t, c, r)
		if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, body) {
			t.Errorf("sized %v: %s, %d bytes, %v", hasLength, resp.Status, len(got), err)
		}
	}
	outcomes, openRequests := s.sidecar.frontend.RequestStats()
	if outcomes[2].Fulfilled != 2 || s.sidecar.connPool.Forwarded() != 2 {
		t.Errorf("counts: %+v, %d open, %d forwarded", outcomes, openRequests, s.sidecar.connPool.Forwarded())
	}
}

// The first bytes of a large response are forwarded before the rest has arrived. A small response that takes
// longer than the usual attempt timeout is neither truncated nor requested twice.
func TestSlowResponseIsNotRetried(t *testing.T) {
	firstBytesRead := make(chan struct{})
	var attempts atomic.Int32
	handle := func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		controller := http.NewResponseController(w)
		if r.URL.Path == "/look/large" {
			w.Header().Set("Content-Length", fmt.Sprint(128<<10))
			w.Write(patternBytes(1 << 10))
			controller.Flush()
			<-firstBytesRead
			w.Write(patternBytes(127 << 10))
			return
		}
		w.Header().Set("Content-Length", "1024")
		for range 16 { // 400 ms in total; an attempt without any response times out after 50 ms
			w.Write(patternBytes(64))
			controller.Flush()
			time.Sleep(25 * time.Millisecond)
		}
	}
	s := start(t, configureStatic(t, instances(scriptedpeer.StartHTTP(t, handle), scriptedpeer.StartHTTP(t, handle))))
	c := s.dial(t)
	request("GET", "/look/large", "look", 900, "").Write(c)
	resp := readHead(t, c, nil)
	if _, err := io.ReadFull(resp.Body, make([]byte, 1<<10)); err != nil {
		t.Fatal("the first bytes were not received:", err)
	}
	close(firstBytesRead)
	if remaining, err := io.ReadAll(resp.Body); err != nil || len(remaining) != 127<<10 {
		t.Errorf("remaining body: %d bytes, %v", len(remaining), err)
	}
	attempts.Store(0)
	smallResponse, smallBody := s.request(t, request("GET", "/look/small", "look", 900, ""))
	if smallResponse.StatusCode != 200 || len(smallBody) != 1024 || attempts.Load() != 1 {
		t.Errorf("%s, %d bytes, %d attempts", smallResponse.Status, len(smallBody), attempts.Load())
	}
}

// The sidecar waits for a slow request body. Meanwhile, the endpoint that receives the body does not count as
// failing.
func TestSlowUpload(t *testing.T) {
	s := start(t, configureStatic(t, instances(scriptedpeer.StartHTTP(t, echo))))
	c := s.dial(t)
	fmt.Fprint(c, "POST /pay HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 77\r\nX-Qos: pay\r\nX-Expires-In-Ms: 300\r\n"+
		"Content-Length: 98304\r\n\r\n")
	for range 6 { // 600 ms in total; the timeout of 300 ms starts at the last byte
		c.Write(patternBytes(16 << 10))
		time.Sleep(100 * time.Millisecond)
		s.checkServed(t, "during an upload")
	}
	resp := readHead(t, c, nil)
	if got, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || len(got) != 96<<10 {
		t.Errorf("%s, %d bytes, %v", resp.Status, len(got), err)
	}
}
