// Package slowclients is a fake of many clients that are connected at once and stop, or go on very slowly, in the
// middle of a request or of a response. It must not import the program under test.
package slowclients

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

// Kind is a way in which clients are slow.
type Kind uint8

// The kinds.
const (
	HalfHead        Kind = iota // stop in a head of the largest size
	ManyFields                  // send a head of very many short fields
	HalfBody                    // stop half way through a body that is buffered
	HalfChunkedBody             // stop half way through such a body in chunks
	HalfUpload                  // stop half way through a large body
	SlowUpload                  // send a large body in small pieces
	SlowReader                  // read a long response in small pieces
	NonReader                   // send requests for long responses and read nothing
	kindCount
)

var kindNames = [kindCount]string{
	"half a head", "many short fields", "half a body", "half a chunked body", "half an upload", "slow upload",
	"slow reader", "no reader",
}

// String returns the kind's name as test names and reports print it.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() (kinds []Kind) {
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}

// Sizes in bytes of what clients send, as a server that buffers up to 64 KiB takes most memory for.
const (
	headBytes     = 15 << 10
	bufferedBytes = 64 << 10
	uploadBytes   = 32 << 20
	pieceBytes    = 512
	shortFields   = 2000 // header fields of ManyFields
)

const (
	pieceInterval = 20 * time.Millisecond
	dialTimeout   = time.Second
	reconnectWait = 50 * time.Millisecond
)

// Options configure the clients.
type Options struct {
	Addr        string
	Kind        Kind
	Connections int
	SafeClass   string // class of requests for long responses, whose path ends with /flood (package floodclient)
	UnsafeClass string // class of requests with a body
}

// clients are slow clients that are running.
type clients struct {
	options  Options
	requests atomic.Int64
}

// Run keeps the given number of connections open until ctx ends. A connection that ends is replaced by a new one.
func Run(ctx context.Context, options Options) {
	c := &clients{options: options}
	var workers sync.WaitGroup
	for range options.Connections {
		workers.Go(func() {
			for ctx.Err() == nil {
				c.useConnection(ctx)
			}
		})
	}
	workers.Wait()
}

// useConnection opens a connection and uses it until it ends or ctx does.
func (c *clients) useConnection(ctx context.Context) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.options.Addr)
	if err != nil {
		time.Sleep(reconnectWait) // the server has no descriptor left
		return
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if _, err := io.WriteString(conn, c.opening()); err != nil {
		return
	}
	switch c.options.Kind {
	case SlowUpload:
		sendSlowly(conn)
	case SlowReader:
		readSlowly(conn)
	case NonReader:
		<-ctx.Done()
	default:
		_, _ = io.Copy(io.Discard, conn) // until the server gives up
	}
}

// sendSlowly sends small pieces of a body until the connection ends.
func sendSlowly(conn io.Writer) {
	piece := strings.Repeat("x", pieceBytes)
	for {
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
		time.Sleep(pieceInterval)
	}
}

// readSlowly reads small pieces of a response until the connection ends.
func readSlowly(conn io.Reader) {
	piece := make([]byte, pieceBytes)
	for {
		if _, err := conn.Read(piece); err != nil {
			return
		}
		time.Sleep(pieceInterval)
	}
}

// opening returns what a client sends at once.
func (c *clients) opening() string {
	id := fmt.Sprintf("Host: slow\r\nX-Trace-Id: slow-%d\r\n", c.requests.Add(1))
	get := "GET /" + c.options.SafeClass
	post := "POST /" + c.options.UnsafeClass + "/x HTTP/1.1\r\n" + id
	half := strings.Repeat("x", bufferedBytes/2)
	switch c.options.Kind {
	case HalfHead:
		return get + "/x HTTP/1.1\r\n" + id + "X-Long: " + strings.Repeat("x", headBytes)
	case ManyFields:
		var fields strings.Builder
		for i := range shortFields {
			fmt.Fprintf(&fields, "%x:\r\n", i)
		}
		return get + "/x HTTP/1.1\r\n" + id + fields.String() + "\r\n"
	case HalfBody:
		return post + fmt.Sprintf("Content-Length: %d\r\n\r\n", bufferedBytes) + half
	case HalfChunkedBody:
		return post + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", bufferedBytes) + half
	case HalfUpload, SlowUpload:
		return post + fmt.Sprintf("Content-Length: %d\r\n\r\n", uploadBytes) + half
	}
	return get + "/flood HTTP/1.1\r\n" + id + "\r\n"
}
