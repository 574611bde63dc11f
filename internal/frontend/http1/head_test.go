package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
)

// newConnReading returns a connection whose input is r.
func newConnReading(r io.Reader) *conn {
	c := &conn{}
	c.readLimit.R = r
	c.readLimit.N = MaxHeaderBytes
	return c
}

var headSeeds = []string{
	"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /a?b=c HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nX-A:\tb \r\n\r\nxxGET",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 2*readBufferSize) + "\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\n b: c\r\n\r\n",
	"GET / HTTP/1.1\r\nHost : a\r\n\r\n",
	"GET / HTTP/1.1\nHost: a\n\n",
	"GET / HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n",
	"\r\n\r\n", "\r\n", "GET", "",
	"GET  / HTTP/1.1\r\n\r\n",
	"GET / HTTP/2.0\r\n\r\n",
	"GET / HTTP/1.0\r\nConnection: keep-alive, x-trace-id\r\n\r\n",
	"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x5\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\n",
}

// Whether a head is accepted does not depend on the pieces in which it arrives. An accepted head is parsed
// identically by net/http, and cannot be read in two ways under RFC 9112.
func FuzzHead(f *testing.F) {
	for _, head := range headSeeds {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		request, err := newConnReading(bytes.NewReader(text)).readRequest(nil)
		byteByByte, byteByByteErr := newConnReading(iotest.OneByteReader(bytes.NewReader(text))).readRequest(nil)
		if (err == nil) != (byteByByteErr == nil) ||
			err != nil && len(text) < MaxHeaderBytes && err.Error() != byteByByteErr.Error() {
			t.Fatalf("%q: %v at once, %v byte by byte", text, err, byteByByteErr)
		}
		if err != nil {
			return
		}
		stdlibRequest, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			t.Fatalf("%q was accepted; net/http returns %v", text, err)
		}
		if len(stdlibRequest.TransferEncoding) > 0 {
			stdlibRequest.Header["Transfer-Encoding"] = stdlibRequest.TransferEncoding
		}
		for _, other := range []*http.Request{byteByByte, stdlibRequest} {
			if !equalRequests(request, other) {
				t.Errorf("%q: parsed as %+v and as %+v", text, request, other)
			}
		}
		if isAmbiguous(text, request) {
			t.Errorf("ambiguous head %q was accepted", text)
		}
	})
}

// equalRequests reports whether two parsed heads are equal.
func equalRequests(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Host == b.Host &&
		a.ContentLength == b.ContentLength &&
		reflect.DeepEqual(a.Header, b.Header) && reflect.DeepEqual(a.TransferEncoding, b.TransferEncoding)
}

// isAmbiguous reports whether an accepted head can be read in two ways: it has a line end other than CRLF, a
// folded field, or two body lengths. text is the input, and parsed is the request read from it.
func isAmbiguous(text []byte, parsed *http.Request) bool {
	head, _, _ := bytes.Cut(text, []byte("\r\n\r\n"))
	return bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) ||
		bytes.Contains(head, []byte("\n ")) || bytes.Contains(head, []byte("\n\t")) ||
		len(parsed.Header["Content-Length"]) > 1 ||
		len(parsed.TransferEncoding) > 0 && parsed.Header.Get("Content-Length") != ""
}

// After a head of any size the connection can release its buffer, so that an idle connection keeps none.
func TestHeadOfAnySizeReleasesItsBuffer(t *testing.T) {
	for _, size := range []int{
		1, readBufferSize - 1, readBufferSize, readBufferSize + 1,
		MaxHeaderBytes - 100, MaxHeaderBytes - 40, MaxHeaderBytes,
	} {
		text := "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", size) + "\r\n\r\n"
		c := newConnReading(strings.NewReader(text))
		request, err := c.readRequest(nil)
		if len(text) > MaxHeaderBytes {
			if err == nil || c.readLimit.N > 0 {
				t.Errorf("%d bytes: error %v, want an error at %d bytes", len(text), err, MaxHeaderBytes)
			}
			continue
		}
		if err != nil || len(request.Header.Get("X")) != size {
			t.Errorf("%d bytes: %v", len(text), err)
		}
		c.releaseBuffer()
		if c.buffer != nil {
			t.Errorf("%d bytes: the buffer is not released", len(text))
		}
	}
	_, err := newConnReading(strings.NewReader(strings.Repeat("x", 10))).readRequest(nil)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("incomplete head: error %v, want io.ErrUnexpectedEOF", err)
	}
}
