package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/fake/webapp"
)

// settled waits until nothing is open any more.
func (r *running) settled(t *testing.T) {
	t.Helper()
	scriptedpeer.Eventually(t, "nothing open", func() bool {
		for _, p := range r.pools {
			if counts := p.endpoints.Counts(); counts.Queued+counts.InFlight+counts.OpenCalls > 0 {
				return false
			}
		}
		for _, h := range r.clients.usage() {
			if h.Open != 0 || h.Bytes != 0 {
				return false
			}
		}
		return true
	})
}

// Requests that are sent before the first is answered are answered in order, whatever their bodies.
func TestPipelinedRequests(t *testing.T) {
	a := newApp(t, nil)
	d, addr := routed(t, eight, "ADDRS", addrs(a))
	k := dial(t, "tcp", addr)
	big := strings.Repeat("x", 100_000)
	plan := func(body int, work time.Duration) string {
		return webapp.PlanHeader + ": " + webapp.Plan{BodySize: body, Delay: work}.JSON() + "\r\n"
	}
	all := "GET /1 HTTP/1.1\r\nHost: h\r\n" + plan(1, 30*time.Millisecond) + "\r\n" +
		"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n" + plan(2, 0) + "\r\nabc" +
		"POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n" + plan(3, 0) + "\r\n3\r\nabc\r\n0\r\n\r\n" +
		fmt.Sprintf("POST /4 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", len(big)) + plan(100_004, 0) + "\r\n" + big +
		"GET /none HTTP/1.1\r\nHost: h\r\nX-A : b\r\n\r\n"
	go io.WriteString(k, all)
	for _, want := range []int{1, 2, 3, 100_004} {
		if resp, body := k.answer(t); resp.StatusCode != 200 || len(body) != want {
			t.Fatalf("%s with %d bytes, want %d", resp.Status, len(body), want)
		}
	}
	if resp, _ := k.answer(t); resp.StatusCode != 400 {
		t.Errorf("a head that makes no sense behind others: %s", resp.Status)
	}
	d.settled(t)
}

// What HTTP has beside GET and POST, and what is this instance's own to say, with the reason.
func TestFormsOfRequests(t *testing.T) {
	a := newApp(t, nil)
	_, addr := routed(t, eight+"path = \"/a/*\"\nmethods = [\"GET\", \"HEAD\", \"PUT\"]\n", "ADDRS", addrs(a))
	for _, tc := range []struct {
		text, want, proxyStatus string
		last                    bool
	}{
		{"GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n", "200", "", false},
		{"GET http://h/a/1 HTTP/1.1\r\nHost: h\r\n\r\n", "200", "", false},
		{"GET /a/../a/1 HTTP/1.1\r\nHost: h\r\n\r\n", "200", "", false},
		{"HEAD /a/1 HTTP/1.1\r\nHost: h\r\n\r\n", "200", "", false},
		{"PUT /a/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "200", "", false},
		{"GET /a/1 HTTP/1.0\r\n\r\n", "200", "", true},
		{"GET /a/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "200", "", true},
		{"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", "200", "", false},
		{"GET /b HTTP/1.1\r\nHost: h\r\n\r\n", "404", "destination_not_found", false},
		{"GET /a/../b HTTP/1.1\r\nHost: h\r\n\r\n", "404", "destination_not_found", false},
		{"POST /a/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "405", "http_request_denied", false},
		{"POST /a/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "405", "http_request_denied", true},
		{"HEAD /b HTTP/1.1\r\nHost: h\r\n\r\n", "404", "destination_not_found", false},
		{"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", "501", "http_request_denied", false},
		{"GET /a%2f1 HTTP/1.1\r\nHost: h\r\n\r\n", "400", "http_request_error", false},
		{"GET /../a HTTP/1.1\r\nHost: h\r\n\r\n", "400", "http_request_error", false},
		{"GET ftp://h/a/1 HTTP/1.1\r\nHost: h\r\n\r\n", "400", "http_request_error", false},
		{"GET /a/1 HTTP/1.1\r\nHost: h\r\nExpect: wonders\r\n\r\n", "417", "http_request_error", false},
		{"PRI * HTTP/2.0\r\n\r\n", "505", "", true},
	} {
		k := dial(t, "tcp", addr)
		method, _, _ := strings.Cut(tc.text, " ")
		io.WriteString(k, tc.text)
		k.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
		resp, err := http.ReadResponse(k.r, &http.Request{Method: method})
		if err != nil {
			t.Errorf("%q: %v", tc.text, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || !strings.HasPrefix(resp.Status, tc.want) || resp.Close != tc.last ||
			(tc.proxyStatus == "") != (resp.Header.Get("Proxy-Status") == "") || !strings.Contains(resp.Header.Get("Proxy-Status"), tc.proxyStatus) {
			t.Errorf("%q: %s, %q, close %v, %q, %v", tc.text, resp.Status, resp.Header["Proxy-Status"], resp.Close, body, err)
		}
		if !tc.last { // it serves another
			if resp, _ := k.request(t, "GET /a/2 HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode != 200 {
				t.Errorf("%q: the next is answered %s", tc.text, resp.Status)
			}
		}
	}
}

// Whatever two readers could take for two requests, or for other ones, is turned away, however it is cut up, and no
// endpoint hears of it.
func TestSmuggling(t *testing.T) {
	a := newApp(t, nil)
	_, addr := routed(t, eight, "ADDRS", addrs(a))
	const host = "Host: h\r\n"
	for name, text := range map[string]string{
		"length and encoding":     "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
		"encoding and length":     "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
		"two lengths":             "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"a length twice":          "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
		"list of lengths":         "POST / HTTP/1.1\r\n" + host + "Content-Length: 4, 4\r\n\r\nabcd",
		"signed length":           "POST / HTTP/1.1\r\n" + host + "Content-Length: +4\r\n\r\nabcd",
		"negative length":         "POST / HTTP/1.1\r\n" + host + "Content-Length: -4\r\n\r\nabcd",
		"hexadecimal length":      "POST / HTTP/1.1\r\n" + host + "Content-Length: 0x4\r\n\r\nabcd",
		"empty length":            "POST / HTTP/1.1\r\n" + host + "Content-Length:\r\n\r\nabcd",
		"two encodings":           "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"list of encodings":       "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"encoding unknown":        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"encoding with a tab":     "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding:\tchunked\x0b\r\n\r\n0\r\n\r\n",
		"encoding, space, colon":  "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"encoding folded":         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
		"encoding in 1.0":         "POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"folded field":            "GET / HTTP/1.1\r\n" + host + "X-A: b\r\n\tc: d\r\n\r\n",
		"lone line feed":          "GET / HTTP/1.1\r\n" + host + "X-A: b\nX-C: d\r\n\r\n",
		"lone carriage return":    "GET / HTTP/1.1\r\n" + host + "X-A: b\rX-C: d\r\n\r\n",
		"nul":                     "GET / HTTP/1.1\r\n" + host + "X-A: b\x00c\r\n\r\n",
		"no colon":                "GET / HTTP/1.1\r\n" + host + "X-A\r\n\r\n",
		"no name":                 "GET / HTTP/1.1\r\n" + host + ": b\r\n\r\n",
		"two hosts":               "GET / HTTP/1.1\r\n" + host + host + "\r\n",
		"no host":                 "GET / HTTP/1.1\r\nX-A: b\r\n\r\n",
		"target against host":     "GET http://other/ HTTP/1.1\r\n" + host + "\r\n",
		"target with a user":      "GET http://u@h/ HTTP/1.1\r\nHost: u@h\r\n\r\n",
		"line feed in the target": "GET /a\nb HTTP/1.1\r\n" + host + "\r\n",
		"two spaces":              "GET /  HTTP/1.1\r\n" + host + "\r\n",
		"no version":              "GET /\r\n" + host + "\r\n",
		"small version":           "GET / http/1.1\r\n" + host + "\r\n",
		"key hop by hop":          "POST / HTTP/1.1\r\n" + host + "Connection: idempotency-key\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
		"chunk with a sign":       "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
		"chunk with 0x":           "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
		"chunk, line feed":        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
		"chunk's end":             "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
		"chunk over all":          "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nabc",
		"extension with a return": "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3;a\rb\r\nabc\r\n0\r\n\r\n",
		"trailing length":         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 3\r\n\r\n",
	} {
		try := func(cut int) {
			k := dial(t, "tcp", addr)
			defer k.Close()
			io.WriteString(k, text[:cut])
			if cut < len(text) {
				k.SetReadDeadline(time.Now().Add(time.Microsecond)) // a moment for the first part
				k.r.Peek(1)
				io.WriteString(k, text[cut:])
			}
			k.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
			resp, err := http.ReadResponse(k.r, nil)
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !strings.Contains(err.Error(), "reset") {
					t.Errorf("%s, cut at %d: %v", name, cut, err)
				}
				return
			}
			if resp.StatusCode < 400 {
				t.Errorf("%s, cut at %d: %s", name, cut, resp.Status)
			}
		}
		for cut := 1; cut <= len(text); cut++ {
			try(cut)
		}
	}
	if n := a.RequestCount(); n > 0 {
		t.Errorf("the application got %d requests", n)
	}
}

// An endpoint that answers before it has read the body: its answer arrives, and the rest of the body goes nowhere.
func TestEarlyAnswer(t *testing.T) {
	got := make(chan int64, 1)
	early := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.CopyN(io.Discard, q.Body, 1000)
		io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\nX-Mine: yes\r\n\r\nsmall")
		n, _ := io.Copy(io.Discard, c)
		got <- n
	})
	d, addr := routed(t, eight, "ADDRS", `"`+early+`"`)
	k := dial(t, "tcp", addr)
	go func() {
		fmt.Fprintf(k, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\n")
		io.WriteString(k, strings.Repeat("x", 300_000)) // and then it waits
	}()
	if resp, body := k.answer(t); resp.StatusCode != 413 || body != "small" || resp.Header.Get("X-Mine") != "yes" || resp.Header.Get("Proxy-Status") != "" {
		t.Errorf("%s %q %v", resp.Status, body, resp.Header)
	}
	k.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	if _, err := k.r.ReadByte(); err == nil || isTimeout(err) {
		t.Errorf("the connection stays open on half a body: %v", err)
	}
	if n := scriptedpeer.Receive(t, got, "the endpoint's end"); n > 10_000_000 {
		t.Errorf("the endpoint got %d bytes more", n)
	}
	d.settled(t)
}

// A client that leaves in the middle of its body, or sends what is none: the endpoint never takes it for whole, it is
// not tried elsewhere, and nothing is blamed on the endpoint.
func TestBrokenBodies(t *testing.T) {
	var whole atomic.Int32
	var begun sync.Map // by request: what one leaves behind may reach its endpoint while the next is asked
	a := newApp(t, func(id string, is bool) {
		if id == "" {
			return // the ones asked afterwards
		}
		n, _ := begun.LoadOrStore(id, new(atomic.Int32))
		n.(*atomic.Int32).Add(1)
		if is {
			whole.Add(1)
		}
	})
	b := newApp(t, a.OnRequest)
	d, addr := routed(t, eight+"idle = \"300ms\"\nbody_most = \"1MiB\"\n", "ADDRS", addrs(a, b))
	for _, tc := range []struct {
		name, head string
		body       string
		leave      bool
		want       int
	}{
		{"leaves in a long body", "Content-Length: 1000000", strings.Repeat("x", 200_000), true, 0},
		{"leaves in a short body", "Content-Length: 1000", "x", true, 400},
		{"stops in a long body", "Content-Length: 1000000", strings.Repeat("x", 200_000), false, 408},
		{"a bad chunk behind good ones", "Transfer-Encoding: chunked", "186a0\r\n" + strings.Repeat("x", 100_000) + "\r\nzz\r\n", false, 400},
		{"stops in chunks", "Transfer-Encoding: chunked", "3\r\nabc\r\n", false, 408},
		{"chunks over the bound", "Transfer-Encoding: chunked", strings.Repeat("186a0\r\n"+strings.Repeat("x", 100_000)+"\r\n", 12), false, 413},
		{"a length over the bound", "Content-Length: 1048577", "x", false, 413},
	} {
		k := dial(t, "tcp", addr)
		id := strings.ReplaceAll(tc.name, " ", "-")
		go func() {
			fmt.Fprintf(k, "POST / HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\n%s\r\n\r\n%s", id, tc.head, tc.body)
			if tc.leave {
				k.Conn.(*net.TCPConn).CloseWrite()
			}
		}()
		k.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
		resp, err := http.ReadResponse(k.r, nil)
		switch {
		case tc.want == 0: // it is gone: what it would have been told does not matter
		case err != nil:
			t.Errorf("%s: %v", tc.name, err)
		case resp.StatusCode != tc.want || resp.Header.Get("Proxy-Status") == "" && tc.want != 413:
			t.Errorf("%s: %s, %v", tc.name, resp.Status, resp.Header)
		}
		k.Close()
		d.settled(t)
	}
	for range 20 {
		if resp, _ := dial(t, "tcp", addr).request(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode != 200 {
			t.Errorf("afterwards: %s", resp.Status)
		}
	}
	a.Close()
	b.Close()
	begun.Range(func(id, n any) bool {
		if n := n.(*atomic.Int32).Load(); n > 1 {
			t.Errorf("%v: %d attempts", id, n)
		}
		return true
	})
	if n := whole.Load(); n > 0 {
		t.Errorf("%d bodies were taken for whole", n)
	}
}

// A body that does not come is given up, one byte a second or none at all, and holds nobody else's place.
func TestBodyByteByByte(t *testing.T) {
	a := newApp(t, nil)
	_, addr := routed(t, eight, "ADDRS", addrs(a))
	k := dial(t, "tcp", addr)
	stop := make(chan struct{})
	defer close(stop)
	began := time.Now()
	io.WriteString(k, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n")
	go func() {
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				io.WriteString(k, "x")
			case <-stop:
				return
			}
		}
	}()
	for range 10 {
		if resp, _ := dial(t, "tcp", addr).request(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode != 200 {
			t.Errorf("beside it: %s", resp.Status)
		}
	}
	if resp, _ := k.answer(t); resp.StatusCode != 408 || time.Since(began) > 3*time.Second {
		t.Errorf("%s after %v", resp.Status, time.Since(began))
	}
	if a.RequestCount() != 10 {
		t.Errorf("the application got %d requests", a.RequestCount())
	}
}

// What a client does not read, the endpoint is not asked for; when it goes, so does the attempt.
func TestSlowReaderHoldsTheEndpointBack(t *testing.T) {
	var sent atomic.Int64
	ended := make(chan struct{})
	endpoint := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		defer close(ended)
		if _, err := scriptedpeer.ReadRequest(r); err != nil {
			return
		}
		const gib = 1 << 30
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", gib)
		var buf [32 << 10]byte
		for sent.Load() < gib {
			n, err := c.Write(buf[:])
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	d, addr := routed(t, eight, "ADDRS", `"`+endpoint+`"`)
	k := dial(t, "tcp", addr)
	k.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	io.WriteString(k, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	k.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	if resp, err := http.ReadResponse(k.r, nil); err != nil || resp.ContentLength != 1<<30 {
		t.Fatal(err)
	}
	last, same := int64(-1), 0
	scriptedpeer.Eventually(t, "an endpoint that waits", func() bool {
		time.Sleep(10 * time.Millisecond)
		if now := sent.Load(); now != last {
			last, same = now, 0
		} else {
			same++
		}
		return same > 10
	})
	if last > 64<<20 {
		t.Errorf("%d MiB were taken that nobody reads", last>>20)
	}
	if _, err := io.CopyN(io.Discard, k.r, 100<<20); err != nil {
		t.Errorf("read on: %v", err)
	}
	k.Close()
	scriptedpeer.Receive(t, ended, "the end of the attempt")
	d.settled(t)
}

// A client of HTTP/1.0 gets what streams without chunks, to the connection's end.
func TestOldClientsGetStreams(t *testing.T) {
	a := newApp(t, nil)
	d, addr := routed(t, eight, "ADDRS", addrs(a))
	for _, plan := range []webapp.Plan{{BodySize: 300_000}, {BodySize: 300_000, Pieces: 3, Trailer: map[string]string{"X-Sum": "1"}}, {BodySize: 300_000, CloseDelimited: true},
		{BodySize: 10, Pieces: 2, PieceInterval: 50 * time.Millisecond}} {
		k := dial(t, "tcp", addr)
		resp, body := k.request(t, "GET / HTTP/1.0\r\n"+webapp.PlanHeader+": "+plan.JSON()+"\r\n\r\n")
		if resp.StatusCode != 200 || len(body) != plan.BodySize || len(resp.TransferEncoding) > 0 || !resp.Close {
			t.Errorf("%+v: %s, %d bytes, %v", plan, resp.Status, len(body), resp.TransferEncoding)
		}
	}
	d.settled(t)
}

// An answer that breaks is seen to break, whatever would have told its end, and nothing is made up for what is
// missing.
func TestBrokenAnswers(t *testing.T) {
	big := strings.Repeat("x", 100_000)
	for name, text := range map[string]string{
		"sized":                  "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + big,
		"chunked":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n186a0\r\n" + big + "\r\n5\r\nab",
		"trailers after a reset": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n186a0\r\n" + big + "\r\n0\r\nX-Su",
		"a chunk that is none":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + big + "\r\n-1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
				if _, err := scriptedpeer.ReadRequest(r); err == nil {
					io.WriteString(c, text)
					r.Peek(1) // until it is let go, or has sent all
				}
			})
			slow := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
				if _, err := scriptedpeer.ReadRequest(r); err == nil {
					io.WriteString(c, text)
					time.Sleep(30 * time.Millisecond)
					c.SetLinger(0)
				}
			})
			for version, at := range map[string]string{"1.1": endpoint, "1.0": endpoint, "1.1, slowly": slow} {
				d, addr := routed(t, eight+"idle = \"200ms\"\n", "ADDRS", `"`+at+`"`)
				k := dial(t, "tcp", addr)
				fmt.Fprintf(k, "GET / HTTP/%.3s\r\nHost: h\r\n\r\n", version)
				k.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
				resp, err := http.ReadResponse(k.r, nil)
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(resp.Body)
				if err == nil || isTimeout(err) || len(got) > len(big)+2 || resp.Trailer.Get("X-Sum") != "" {
					t.Errorf("HTTP/%s: %d bytes, %v, trailer %v", version, len(got), err, resp.Trailer)
				}
				d.settled(t)
			}
		})
	}
}

const twoPools = `
[[listener]]
address = "127.0.0.1:0"
[[pool]]
name = "one"
endpoints = [ONE]
BUDGET
[[pool]]
name = "two"
endpoints = [TWO]
[[route]]
path = "/one/*"
pool = "one"
[[route]]
path = "/two/*"
pool = "two"
`

// A route that is taken away while its requests stream: they end whole where they are, and the next go elsewhere.
func TestRouteTakenAwayWhileItStreams(t *testing.T) {
	more := make(chan struct{})
	old := scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := scriptedpeer.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100_000))
			<-more
			io.WriteString(c, strings.Repeat("y", 100_000))
			r.Peek(1)
		}
	})
	b := newApp(t, nil)
	text := strings.Replace(twoPools, "BUDGET", "", 1)
	d, addr := routed(t, text, "ONE", `"`+old+`"`, "TWO", addrs(b))
	k := dial(t, "tcp", addr)
	io.WriteString(k, "GET /one/1 HTTP/1.1\r\nHost: h\r\n\r\n")
	k.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	was := d.pools["one"]
	next := strings.Replace(text, "path = \"/one/*\"\npool = \"one\"", "path = \"/one/*\"\npool = \"two\"", 1)
	next = strings.Replace(next, "[[pool]]\nname = \"one\"\nendpoints = [ONE]", "", 1)
	d.changed(t, parse(t, next, "TWO", addrs(b)))
	if resp, _ := dial(t, "tcp", addr).request(t, "GET /one/2 HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode != 200 || b.RequestCount() != 1 {
		t.Errorf("after the change: %s, %d asked there", resp.Status, b.RequestCount())
	}
	if counts := was.endpoints.Counts(); counts.OpenCalls != 1 {
		t.Errorf("%d calls are open", counts.OpenCalls)
	}
	close(more)
	if got, err := io.ReadAll(resp.Body); err != nil || len(got) != 200_000 {
		t.Errorf("what streamed: %d bytes, %v", len(got), err)
	}
	if resp, _ := k.request(t, "GET /one/3 HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode != 200 || b.RequestCount() != 2 {
		t.Errorf("the same connection afterwards: %s", resp.Status)
	}
	d.settled(t)
}

// A pool that is emptied is refused at once, with advice when to return; once it is refilled it serves, and whoever
// was served or refused meanwhile was told the truth.
func TestPoolEmptiedAndRefilled(t *testing.T) {
	var ran sync.Map
	a := newApp(t, func(id string, whole bool) { ran.Store(id, whole) })
	d, addr := routed(t, eight, "ADDRS", addrs(a))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var served, refused, other atomic.Int64
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			tr := &http.Transport{}
			defer tr.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				q, _ := http.NewRequest("POST", "http://"+addr+"/", strings.NewReader("x"))
				id := fmt.Sprint(i, "-", n)
				q.Header.Set("X-Id", id)
				resp, err := tr.RoundTrip(q)
				if err != nil {
					other.Add(1)
					continue
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				_, did := ran.Load(id)
				switch {
				case resp.StatusCode == 200 && did:
					served.Add(1)
				case resp.StatusCode == 503 && !did && resp.Header.Get("Retry-After") != "" && resp.Header.Get("Proxy-Status") != "":
					refused.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	for range 3 {
		s, r := served.Load(), refused.Load()
		scriptedpeer.Eventually(t, "requests served", func() bool { return served.Load() > s+50 })
		d.changed(t, parse(t, eight, "ADDRS", ""))
		scriptedpeer.Eventually(t, "requests refused", func() bool { return refused.Load() > r+50 })
		d.changed(t, parse(t, eight, "ADDRS", addrs(a)))
	}
	s := served.Load()
	scriptedpeer.Eventually(t, "requests served", func() bool { return served.Load() > s+50 })
	cancel()
	clients.Wait()
	if n := other.Load(); n > 0 {
		t.Errorf("%d of %d were neither served nor truly refused", n, served.Load()+refused.Load()+n)
	}
	d.settled(t)
}

// While every endpoint of a pool fails, no more than its share of further tries arrives there; without a budget far
// more do. Another pool is served as before.
func TestRetryBudget(t *testing.T) {
	const requests = 100
	arrivals := func(budget string) (n int64) {
		good := newApp(t, nil)
		var bad []*webapp.App
		for range 20 { // the breaker of each lets some through before it knows
			bad = append(bad, newApp(t, nil))
			bad[len(bad)-1].SetStatus(500)
		}
		d, addr := routed(t, twoPools, "ONE", addrs(bad...), "TWO", addrs(good), "BUDGET", budget)
		k, beside := dial(t, "tcp", addr), dial(t, "tcp", addr)
		for i := range requests {
			// What the breaker turns away is refused; what was tried has the endpoint's own words.
			resp, _ := k.request(t, "GET /one/1 HTTP/1.1\r\nHost: h\r\n\r\n")
			if resp.StatusCode != 500 && resp.StatusCode != 503 || (resp.StatusCode == 500) != (resp.Header.Get("Proxy-Status") == "") {
				t.Fatalf("%s, %v", resp.Status, resp.Header)
			}
			if i%10 == 0 {
				if resp, _ := beside.request(t, "GET /two/1 HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode != 200 {
					t.Fatalf("the other pool: %s", resp.Status)
				}
			}
		}
		d.settled(t)
		for _, a := range bad {
			n += a.RequestCount()
		}
		return n
	}
	with, without := arrivals("retry_budget = 0.1\nretry_least = 0.0"), arrivals("retry_budget = 10.0")
	if with > requests+requests/10 {
		t.Errorf("%d requests arrived as %d with a budget of a tenth", requests, with)
	}
	if without < with+requests/10 {
		t.Errorf("%d arrived without a budget, %d with one", without, with)
	}
}
