// Package uploadscript has fake endpoints that handle a request with a streamed body in a scripted way, and a client
// that sends such a request and measures when its response is complete.
package uploadscript

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/http1msg"
)

// ClientTimeout is how long the clients wait for the response, from the last byte of the request on.
const ClientTimeout = 600 * time.Millisecond

// LatenessTolerance is the time after ClientTimeout at which a response still counts as given: 0.5 s (page FLEET), and
// 50 ms by which each limit is longer on sockets (page PROTOCOL).
const LatenessTolerance = 550 * time.Millisecond

// Reading is how much of a request's body an endpoint reads.
type Reading uint8

// Readings of a request's body.
const (
	ReadsAll       Reading = iota // before it responds
	ReadsAlongside                // the complete body, while it responds
	ReadsPart                     // partSize bytes before it responds, and no more
	ReadsNothing
)

// partSize is the number of bytes of the body that are read with ReadsPart.
const partSize = 20_000

var readingNames = [...]string{"body read first", "body read alongside", "body read in part", "body not read"}

func (r Reading) String() string { return readingNames[r] }

// Response is what an endpoint sends, after which it keeps the connection open.
type Response struct {
	Name     string
	Text     string
	Interval time.Duration // time between two bytes; 0: the text is sent in one piece
}

// Responses without a complete message.
var (
	None        = Response{Name: "no response"}
	PartOfHead  = Response{Name: "a part of a head", Text: "HTTP/1.1 200 OK\r\nContent-Le"}
	InterimOnly = Response{Name: "an interim response", Text: "HTTP/1.1 103 Early Hints\r\nLink: </1>\r\n\r\n"}
	HeadOnly    = Response{Name: "a head without its body", Text: headOf500Bytes}
	WrongLength = Response{Name: "a wrong length", Text: headOf500Bytes + "done "}
	ByteByByte  = Response{
		Name:     "a body byte by byte",
		Text:     headOf500Bytes + strings.Repeat("x", 499),
		Interval: 5 * time.Millisecond,
	}
	HeadByteByByte = Response{
		Name:     "a head byte by byte",
		Text:     "HTTP/1.1 200 OK\r\nX-Padding: " + strings.Repeat("x", 1_000),
		Interval: 5 * time.Millisecond,
	}
)

const headOf500Bytes = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"

// Incomplete are responses that give a request no final response: its client must get one in time from the load
// balancer.
var Incomplete = []Response{None, PartOfHead, InterimOnly, HeadOnly, WrongLength, ByteByByte, HeadByteByByte}

// StartEndpoint starts an endpoint that reads request bodies as reading says and sends response, after which
// it keeps the connection open until the test ends. It returns the endpoint's address.
func StartEndpoint(t testing.TB, reading Reading, response Response) string {
	t.Helper()
	return scriptedpeer.StartTCP(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		switch reading {
		case ReadsAll:
			_, err = io.Copy(io.Discard, request.Body)
		case ReadsPart:
			_, err = io.CopyN(io.Discard, request.Body, partSize)
		}
		if err != nil {
			return
		}
		if reading == ReadsAlongside {
			go func() { _, _ = io.Copy(io.Discard, request.Body) }() // until the connection is closed
		}
		response.send(conn)
		<-t.Context().Done()
	})
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// StartPausedEndpoint starts an endpoint that reads the first bytes of a request's body, and the rest once resume is
// closed. It then responds with the status 200. It returns the endpoint's address.
func StartPausedEndpoint(t testing.TB, first int64, resume <-chan struct{}) string {
	t.Helper()
	return startReader(t, func(body io.Reader) error {
		_, err := io.CopyN(io.Discard, body, first)
		<-resume
		if err == nil {
			_, err = io.Copy(io.Discard, body)
		}
		return err
	})
}

// StartSlowEndpoint starts an endpoint that reads pieceSize bytes of a request's body in each interval until the test
// ends, and responds with the status 200. It returns the endpoint's address.
func StartSlowEndpoint(t testing.TB, pieceSize int64, interval time.Duration) string {
	t.Helper()
	return startReader(t, func(body io.Reader) error {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			if _, err := io.CopyN(io.Discard, body, pieceSize); err != nil {
				return err
			}
			select {
			case <-tick.C:
			case <-t.Context().Done(): // what the load balancer has written is not read to its end
				return t.Context().Err()
			}
		}
	})
}

// readerBufferSize is the size in bytes of the kernel's buffer for what an endpoint of startReader has not read.
const readerBufferSize = 128 << 10

// startReader starts an endpoint that responds with the status 200 once read has returned nil or io.EOF.
func startReader(t testing.TB, read func(body io.Reader) error) string {
	t.Helper()
	return scriptedpeer.StartTCP(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		_ = conn.SetReadBuffer(readerBufferSize)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if err := read(request.Body); err != nil && !errors.Is(err, io.EOF) {
			return
		}
		_, _ = io.WriteString(conn, okResponse)
		_, _ = reader.Peek(1) // until the load balancer closes the connection
	})
}

// HasHead reports whether the head of a final response is complete. On a route such a response is passed on as it
// arrives.
func (r Response) HasHead() bool { return strings.HasPrefix(r.Text, headOf500Bytes) }

// send writes the response until it is complete or the connection is closed.
func (r Response) send(conn *net.TCPConn) {
	if r.Interval == 0 {
		_, _ = io.WriteString(conn, r.Text)
		return
	}
	tick := time.NewTicker(r.Interval)
	defer tick.Stop()
	for i := range len(r.Text) {
		if _, err := io.WriteString(conn, r.Text[i:i+1]); err != nil {
			return
		}
		<-tick.C
	}
}

var lastRequestID atomic.Uint32

// Upload is a request of a client whose body is streamed.
type Upload struct {
	Size    int  // length of the body in bytes
	Chunked bool // the body has no Content-Length
	// Timeout is how long the client says that it waits; 0 is ClientTimeout.
	Timeout time.Duration
}

func (u Upload) String() string {
	framing := "with its length"
	if u.Chunked {
		framing = "chunked"
	}
	return fmt.Sprintf("%d kB %s", u.Size/1000, framing)
}

// Head returns the head of the request, for the class or route book.
func (u Upload) Head() string {
	framing := fmt.Sprintf("Content-Length: %d\r\n", u.Size)
	if u.Chunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	return fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %016x\r\nX-Qos: book\r\n"+
		"X-Expires-In-Ms: %d\r\nIdempotency-Key: key-1\r\n%s\r\n",
		lastRequestID.Add(1), cmp.Or(u.Timeout, ClientTimeout).Milliseconds(), framing)
}

// Length in bytes of a chunk of a chunked body, without and with its framing.
const (
	ChunkSize   = 32_000
	ChunkLength = len("7d00\r\n") + ChunkSize + len("\r\n")
)

// Body returns the body of the request in the form in which it is sent.
func (u Upload) Body() []byte {
	content := bytes.Repeat([]byte("x"), u.Size)
	if !u.Chunked {
		return content
	}
	var body []byte
	for len(content) > 0 {
		n := min(ChunkSize, len(content))
		body = http1msg.AppendChunkHeader(body, n)
		body = append(body, content[:n]...)
		body = append(body, "\r\n"...)
		content = content[n:]
	}
	return http1msg.AppendLastChunk(body, nil)
}

// Result is the response to an Upload as its client sees it.
type Result struct {
	WriteErr error         // why the request has not been written to its last byte
	Status   int           // 0 if no head of a response came
	Err      error         // why the response is not complete
	Elapsed  time.Duration // from the last byte of the request to the end of the response
}

// Send sends the request at once on a connection and reads its response.
func (u Upload) Send(conn net.Conn) Result {
	_ = conn.SetWriteDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	_, err := conn.Write(append([]byte(u.Head()), u.Body()...))
	result := AwaitResponse(conn, time.Now()) // after a failed write, too: the response may have come
	result.WriteErr = err
	return result
}

// SendSlowly sends the first bytes of a request's body at once, and the rest in pieces of pieceSize bytes, one in each
// interval. It then calls written, and reads the response.
func (u Upload) SendSlowly(conn net.Conn, first, pieceSize int, interval time.Duration, written func()) Result {
	_ = conn.SetWriteDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	body := u.Body()
	_, err := conn.Write(append([]byte(u.Head()), body[:first]...))
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for body = body[first:]; len(body) > 0 && err == nil; body = body[min(pieceSize, len(body)):] {
		<-tick.C
		_, err = conn.Write(body[:min(pieceSize, len(body))])
	}
	written()
	result := AwaitResponse(conn, time.Now())
	result.WriteErr = err
	return result
}

// AwaitResponse reads the response to a request whose last byte was written at sentAt.
func AwaitResponse(conn net.Conn, sentAt time.Time) (result Result) {
	_ = conn.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	for err == nil && response.StatusCode < http.StatusOK {
		response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	}
	if err == nil {
		result.Status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
	}
	result.Err = err
	result.Elapsed = time.Since(sentAt)
	return result
}

// CheckTimedOut checks that the client has got the status 504, and in time.
func (r Result) CheckTimedOut(t testing.TB) {
	t.Helper()
	if r.Status != http.StatusGatewayTimeout || r.Err != nil || r.Elapsed > ClientTimeout+LatenessTolerance {
		t.Errorf("status %d after %v, error %v; want 504 within %v", r.Status, r.Elapsed, r.Err, ClientTimeout)
	}
}

// CheckNotCutOff checks that the client has written the request to its last byte, and got no response right after it.
func (r Result) CheckNotCutOff(t testing.TB) {
	t.Helper()
	if r.WriteErr != nil || r.Elapsed < ClientTimeout/2 {
		t.Errorf("status %d %v after the last byte, write error %v; want a response to the complete request", r.Status,
			r.Elapsed, r.WriteErr)
	}
}

// CheckServed checks that the client has got a complete response with the status 200.
func (r Result) CheckServed(t testing.TB) {
	t.Helper()
	if r.Status != http.StatusOK || r.Err != nil {
		t.Errorf("status %d after %v, error %v; want 200", r.Status, r.Elapsed, r.Err)
	}
}

// CheckBrokenOff checks that the client has got a part of a response and its visible end, other than by its own
// timeout.
func (r Result) CheckBrokenOff(t testing.TB) {
	t.Helper()
	if r.Status != http.StatusOK || r.Err == nil || errors.Is(r.Err, os.ErrDeadlineExceeded) {
		t.Errorf("status %d after %v, error %v; want a response that breaks off", r.Status, r.Elapsed, r.Err)
	}
}
