// Package floodclient is a fake of clients that send small or malformed requests as fast as the server takes them,
// without waiting for the responses. It must not import the program under test.
package floodclient

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is the kind of requests that a flood consists of.
type Kind uint8

// The kinds.
const (
	Readiness     Kind = iota // GET /-/ready
	OneAtATime                // GET /-/ready, each after the response to the one before
	UnknownClass              // requests that name a class that does not exist, each of them another
	Malformed                 // requests with a malformed head
	NewNames                  // valid requests, each with another ID, tenant and object
	NewConnection             // GET /-/ready, each on a new connection
	ShortChunks               // uploads without end, in chunks of one byte
	Uploads                   // uploads without end, in large chunks
	Downloads                 // requests for responses without end
	kindCount
)

var kindNames = [kindCount]string{
	"readiness", "one at a time", "unknown class", "malformed", "new names", "new connection", "short chunks",
	"uploads", "downloads",
}

// String returns the kind's name as test names and reports print it.
func (k Kind) String() string { return kindNames[k] }

// IsUpload reports whether a flood of the kind consists of uploads without end.
func (k Kind) IsUpload() bool { return k == ShortChunks || k == Uploads }

// Kinds returns all kinds.
func Kinds() (kinds []Kind) {
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}

// Options configure a flood.
type Options struct {
	Addr        string
	Kind        Kind
	Connections int    // connections that are used concurrently
	SafeClass   string // class of valid requests, sent by GET
	UnsafeClass string // class of uploads, sent by POST
}

// Counts are the totals of a flood.
type Counts struct {
	Connections   int64
	BytesSent     int64
	BytesReceived int64
}

const (
	// pipelined is how many requests are written at once.
	pipelined = 64
	// largeChunkBytes is the size of a chunk of Uploads, and of what Handler writes at once.
	largeChunkBytes = 32 << 10
	// reconnectDelay is the pause after a connection could not be opened.
	reconnectDelay = 5 * time.Millisecond
)

// flood is a flood in progress.
type flood struct {
	options  Options
	requests atomic.Int64 // numbers the requests, for unique names

	connections   atomic.Int64
	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
}

// Run floods the server until ctx ends, and returns the totals. A connection that ends is replaced by a new one.
func Run(ctx context.Context, options Options) Counts {
	f := &flood{options: options}
	var workers sync.WaitGroup
	for range max(1, options.Connections) {
		workers.Go(func() {
			for ctx.Err() == nil {
				f.useConnection(ctx)
			}
		})
	}
	workers.Wait()
	return Counts{
		Connections:   f.connections.Load(),
		BytesSent:     f.bytesSent.Load(),
		BytesReceived: f.bytesReceived.Load(),
	}
}

// useConnection opens a connection and sends requests on it until it ends or ctx does.
func (f *flood) useConnection(ctx context.Context) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", f.options.Addr)
	if err != nil {
		time.Sleep(reconnectDelay) // the server has no descriptor left, or is being replaced
		return
	}
	f.connections.Add(1)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	switch f.options.Kind {
	case OneAtATime:
		f.sendOneAtATime(conn)
	case NewConnection:
		f.sendOnce(conn)
	case Downloads:
		f.download(conn)
	default:
		f.sendPipelined(conn)
	}
}

// largeChunk is a chunk of a body with its framing.
var largeChunk = fmt.Sprintf("%x\r\n%s\r\n", largeChunkBytes, strings.Repeat("x", largeChunkBytes))

// sendPipelined writes requests without waiting for responses, which another goroutine discards.
func (f *flood) sendPipelined(conn net.Conn) {
	discarded := make(chan struct{})
	go func() {
		defer close(discarded)
		n, _ := io.Copy(io.Discard, conn)
		f.bytesReceived.Add(n)
		conn.Close() // ends the writes
	}()
	first := f.opening()
	if _, err := io.WriteString(conn, first); err == nil {
		for {
			n, err := io.WriteString(conn, f.batch())
			f.bytesSent.Add(int64(n))
			if err != nil {
				break
			}
		}
	}
	conn.Close()
	<-discarded
}

// sendOneAtATime sends each request after the response to the one before it.
func (f *flood) sendOneAtATime(conn net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := io.WriteString(conn, f.request())
		f.bytesSent.Add(int64(n))
		if err != nil {
			return
		}
		n, err = conn.Read(buffer) // the server writes each of these responses at once
		f.bytesReceived.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// sendOnce sends one request and reads a part of its response.
func (f *flood) sendOnce(conn net.Conn) {
	n, _ := io.WriteString(conn, f.request())
	f.bytesSent.Add(int64(n))
	n, _ = conn.Read(make([]byte, 1))
	f.bytesReceived.Add(int64(n))
}

// download sends one request and reads its response.
func (f *flood) download(conn net.Conn) {
	n := f.requests.Add(1)
	head := fmt.Sprintf("GET /%s/flood HTTP/1.1\r\nHost: flood\r\nX-Trace-Id: flood-%d\r\n\r\n", f.options.SafeClass, n)
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	received, _ := io.Copy(io.Discard, conn)
	f.bytesReceived.Add(received)
}

// opening returns what is sent first on a connection.
func (f *flood) opening() string {
	if !f.options.Kind.IsUpload() {
		return ""
	}
	return fmt.Sprintf("POST /%s/flood HTTP/1.1\r\nHost: flood\r\nX-Trace-Id: flood-%d\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", f.options.UnsafeClass, f.requests.Add(1))
}

// batch returns what is written at once.
func (f *flood) batch() string {
	switch f.options.Kind {
	case ShortChunks:
		return strings.Repeat("1\r\nx\r\n", pipelined)
	case Uploads:
		return largeChunk
	}
	var b strings.Builder
	for range pipelined {
		b.WriteString(f.request())
	}
	return b.String()
}

// request returns the next request.
func (f *flood) request() string {
	n := f.requests.Add(1)
	switch f.options.Kind {
	case UnknownClass:
		return fmt.Sprintf("GET /unknown-%d/x HTTP/1.1\r\nHost: flood\r\nX-Trace-Id: flood-%d\r\n\r\n", n, n)
	case Malformed:
		return "GET  / HTTP/1.1\r\nHost : flood\r\n\r\n"
	case NewNames:
		return fmt.Sprintf("GET /%s/%d HTTP/1.1\r\nHost: flood\r\nX-Trace-Id: flood-%d\r\nX-Customer: tenant-%d\r\n"+
			"X-Object: object-%d\r\nX-New-Field-%d: x\r\n\r\n", f.options.SafeClass, n, n, n, n, n)
	}
	return "GET /-/ready HTTP/1.1\r\nHost: flood\r\n\r\n"
}
