package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/fake/uploadscript"
)

// uploadRoute is a route for the uploads of package uploadscript.
const uploadRoute = `
[[route]]
path = "/book/*"
pool = "app"
class = "book"
key = "header:Idempotency-Key"
idle = "300ms"
`

// uploadEdits are edits of fleetConfig: no probes, and the client timeout of package uploadscript.
var uploadEdits = []string{"on = true", "on = false", `"1s"`, `"600ms"`}

// startUploadRoute starts a daemon with uploadRoute and one endpoint, and returns the address of its listener. edits
// are pairs of old and new text.
func startUploadRoute(t *testing.T, endpoint string, edits ...string) string {
	t.Helper()
	base, _, _ := strings.Cut(onePoolConfig, "[[route]]")
	edits = append(edits, append(uploadEdits, "ADDRS", `"`+endpoint+`"`)...)
	_, addr := startRoutedDaemon(t, base+uploadRoute+fleetConfig, edits...)
	return addr
}

// startUploadClasses starts a daemon without routes and with one endpoint, and returns the addresses of its listeners
// for TCP and unix sockets. edits are pairs of old and new text.
func startUploadClasses(t *testing.T, endpoint string, edits ...string) (tcpAddr, unixPath string) {
	t.Helper()
	server, err := discoveryserver.Start(scripteddiscovery.Up("s-0", endpoint))
	require.NoError(t, err)
	t.Cleanup(server.Close)
	f := &testFleet{discovery: server, dir: t.TempDir()}
	c, err := config.Parse([]byte(f.configText(append(edits, uploadEdits...)...)))
	require.NoError(t, err)
	return startDaemon(t, c).addrs["desk"], f.dir + "/clients.sock"
}

// Guards against a request with a streamed body that gets no final response, because its endpoint has begun a response
// that does not end.
func TestUploadWithIncompleteResponse(t *testing.T) {
	upload := uploadscript.Upload{Size: 100_000}
	for _, reading := range []uploadscript.Reading{uploadscript.ReadsAll, uploadscript.ReadsAlongside} {
		for _, response := range uploadscript.Incomplete {
			t.Run(fmt.Sprint("by class: ", response.Name, ", ", reading), func(t *testing.T) {
				t.Parallel()
				endpoint := uploadscript.StartEndpoint(t, reading, response)
				addr, _ := startUploadClasses(t, endpoint)
				upload.Send(dial(t, "tcp", addr)).CheckTimedOut(t)
			})
			t.Run(fmt.Sprint("on a route: ", response.Name, ", ", reading), func(t *testing.T) {
				t.Parallel()
				endpoint := uploadscript.StartEndpoint(t, reading, response)
				addr := startUploadRoute(t, endpoint)
				result := upload.Send(dial(t, "tcp", addr))
				if response.HasHead() {
					result.CheckBrokenOff(t)
				} else {
					result.CheckTimedOut(t)
				}
			})
		}
	}
}

// Guards against a request with a streamed body that gets no final response in its time, because its endpoint stops
// reading the body. The last byte is then in a buffer of a kernel.
func TestUploadToEndpointThatStopsReading(t *testing.T) {
	for _, upload := range []uploadscript.Upload{{Size: 100_000}, {Size: 6_000_000}, {Size: 6_000_000, Chunked: true}} {
		for _, response := range []uploadscript.Response{uploadscript.None, uploadscript.WrongLength} {
			t.Run(fmt.Sprint("by class: ", response.Name, ", ", upload), func(t *testing.T) {
				t.Parallel()
				endpoint := uploadscript.StartEndpoint(t, uploadscript.ReadsPart, response)
				tcpAddr, unixPath := startUploadClasses(t, endpoint)
				upload.Send(dial(t, "tcp", tcpAddr)).CheckTimedOut(t)
				upload.Send(dial(t, "unix", unixPath)).CheckTimedOut(t)
			})
		}
		t.Run(fmt.Sprint("on a route: ", upload), func(t *testing.T) {
			t.Parallel()
			addr := startUploadRoute(t, uploadscript.StartEndpoint(t, uploadscript.ReadsPart, uploadscript.None),
				`"300ms"`, `"5s"`)
			upload.Send(dial(t, "tcp", addr)).CheckTimedOut(t)
		})
	}
}

// Guards against an upload on a route that is answered too late, because only the timeout of its class counts, and not
// the one that the client states.
func TestUploadWithDeadlineOfItsClient(t *testing.T) {
	for _, response := range []uploadscript.Response{uploadscript.None, uploadscript.HeadByteByByte} {
		t.Run(response.Name, func(t *testing.T) {
			t.Parallel()
			endpoint := uploadscript.StartEndpoint(t, uploadscript.ReadsAll, response)
			addr := startUploadRoute(t, endpoint,
				`"1s"`, `"20s"`, `idle = "300ms"`, `deadline = "header:X-Expires-In-Ms"`)
			uploadscript.Upload{Size: 100_000}.Send(dial(t, "tcp", addr)).CheckTimedOut(t)
		})
	}
}

// Guards against an endpoint that receives a deadline after that of the client of an upload.
func TestEndpointOfUploadReceivesTimeLeft(t *testing.T) {
	t.Parallel()
	deadlines := make(chan string, 1)
	endpoint := scriptedpeer.StartHTTP(t, func(_ http.ResponseWriter, r *http.Request) {
		deadlines <- r.Header.Get("X-Expires-In-Ms")
		_, _ = io.Copy(io.Discard, r.Body)
	})
	addr := startUploadRoute(t, endpoint, `"1s"`, `"20s"`, `idle = "300ms"`, `deadline = "header:X-Expires-In-Ms"`)
	uploadscript.Upload{Size: 100_000}.Send(dial(t, "tcp", addr)).CheckServed(t)
	text := scriptedpeer.Receive(t, deadlines, "request")
	if ms, err := strconv.Atoi(text); err != nil || int64(ms) > uploadscript.ClientTimeout.Milliseconds() {
		t.Errorf("the endpoint received %q ms", text)
	}
}

// Guards against an upload that gets no final response, because its endpoint takes nothing of it for the idle time of
// the route while the client cannot have sent its last byte.
func TestUploadToEndpointIdleInTheMiddle(t *testing.T) {
	t.Parallel()
	addr := startUploadRoute(t, uploadscript.StartEndpoint(t, uploadscript.ReadsPart, uploadscript.None))
	uploadscript.Upload{Size: 32_000_000}.Send(dial(t, "tcp", addr)).CheckTimedOut(t)
}

// Guards against an upload that is answered after several times the idle time of its route: a write of which the kernel
// takes a part at first, and nothing afterwards, counted as progress for as long as it was blocked.
func TestIdleTimeOfAnUpload(t *testing.T) {
	const idle = 2 * time.Second
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %v", chunked), func(t *testing.T) {
			t.Parallel()
			received := make(chan time.Time, 1)
			endpoint := scriptedpeer.StartTCP(t, func(_ *net.TCPConn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					received <- time.Now()
					<-t.Context().Done()
				}
			})
			addr := startUploadRoute(t, endpoint, `"300ms"`, `"2s"`)
			uploadscript.Upload{Size: 32_000_000, Chunked: chunked}.Send(dial(t, "tcp", addr)).CheckTimedOut(t)
			elapsed := time.Since(scriptedpeer.Receive(t, received, "request"))
			if limit := idle + uploadscript.LatenessTolerance; elapsed < idle || elapsed > limit {
				t.Errorf("response after %v, want %v to %v", elapsed, idle, limit)
			}
		})
	}
}

// Guards against an upload on a route that is cut off although its endpoint is taking it, for longer than the client's
// timeout after the client has sent its last byte.
func TestSlowEndpointOfAnUploadOnARoute(t *testing.T) {
	t.Parallel()
	addr := startUploadRoute(t, uploadscript.StartSlowEndpoint(t, 64_000, 20*time.Millisecond), `"300ms"`, `"5s"`)
	uploadscript.Upload{Size: 6_000_000}.Send(dial(t, "tcp", addr)).CheckServed(t)
}

// Guards against an upload that is cut off because its endpoint takes it slowly: a blocked write goes on only once a
// large part of the kernel's buffer is free, and that takes longer than the idle time of the route.
func TestUploadToEndpointSlowerThanIdle(t *testing.T) {
	t.Parallel()
	addr := startUploadRoute(t, uploadscript.StartSlowEndpoint(t, 64_000, 50*time.Millisecond))
	uploadscript.Upload{Size: 6_000_000}.Send(dial(t, "tcp", addr)).CheckServed(t)
}

// Guards against a chunked upload that gets no final response in its time, because its endpoint takes the body slowly
// while the last chunk is in the buffer of the client's kernel.
func TestChunkedUploadToSlowEndpoint(t *testing.T) {
	t.Parallel()
	addr, _ := startUploadClasses(t, uploadscript.StartSlowEndpoint(t, 64_000, 100*time.Millisecond))
	result := uploadscript.Upload{Size: 6_000_000, Chunked: true}.Send(dial(t, "tcp", addr))
	result.CheckTimedOut(t)
	result.CheckNotCutOff(t)
}

// Edits of a daemon's configuration that admit one request at a time and give late responses weight.
var (
	queueOfClasses = []string{"in_flight = 64", "in_flight = 1", "worth = 5.0", "worth = 5.0\nlate_worth = 0.5"}
	queueOfRoute   = []string{
		"[fleet]", "[requests]\nin_flight = 1\n[fleet]", "worth = 5.0", "worth = 5.0\nlate_worth = 0.5",
		`"300ms"`, `"5s"`,
	}
)

// forEachQueue runs a subtest by class and one on a route, each with a daemon that admits one request at a time. The
// daemon's endpoint is that of startQueueEndpoint.
func forEachQueue(t *testing.T, test func(t *testing.T, addr string, received <-chan struct{})) {
	t.Helper()
	for name, start := range map[string]func(t *testing.T, endpoint string) string{
		"by class": func(t *testing.T, endpoint string) string {
			t.Helper()
			addr, _ := startUploadClasses(t, endpoint, queueOfClasses...)
			return addr
		},
		"on a route": func(t *testing.T, endpoint string) string {
			t.Helper()
			return startUploadRoute(t, endpoint, queueOfRoute...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint, received := startQueueEndpoint(t)
			test(t, start(t, endpoint), received)
		})
	}
}

// startQueueEndpoint starts an endpoint that sends a value to received when the first request begins, and responds to
// each that has ended. It returns the endpoint's address.
func startQueueEndpoint(t *testing.T) (addr string, received <-chan struct{}) {
	t.Helper()
	first := make(chan struct{}, 1)
	return scriptedpeer.StartHTTP(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case first <- struct{}{}:
		default:
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}), first
}

// occupyQueue begins an upload, so that others wait in the queue. It returns a function that sends the rest.
func occupyQueue(t *testing.T, addr string, received <-chan struct{}) (end func()) {
	t.Helper()
	const sentAtFirst = 100_000
	upload := uploadscript.Upload{Size: 1_000_000}
	conn := dial(t, "tcp", addr)
	_, err := io.WriteString(conn, upload.Head()+strings.Repeat("x", sentAtFirst))
	require.NoError(t, err)
	scriptedpeer.Receive(t, received, "request")
	return func() {
		_, err := io.WriteString(conn, strings.Repeat("x", upload.Size-sentAtFirst))
		require.NoError(t, err)
	}
}

// Guards against an upload that waits in the queue for longer than its client does: only the time that a streamed body
// may take bounded that wait, where late responses have weight.
func TestUploadInQueue(t *testing.T) {
	forEachQueue(t, func(t *testing.T, addr string, received <-chan struct{}) {
		t.Helper()
		occupyQueue(t, addr, received)
		for _, size := range []int{100_000, 3_000_000} {
			uploadscript.Upload{Size: size}.Send(dial(t, "tcp", addr)).CheckTimedOut(t)
		}
	})
}

// Guards against an upload that is rejected while it waits in the queue, although its client is still sending it at 64
// kB a second (page DAYS): the receive window is closed, so that nothing arrives.
func TestSlowUploadInQueue(t *testing.T) {
	const first = 400_000 // more than the receive window
	const pieces = 5
	const pieceSize = 45_000
	const interval = 700 * time.Millisecond // longer than the client waits for its response
	forEachQueue(t, func(t *testing.T, addr string, received <-chan struct{}) {
		t.Helper()
		leaveQueue := occupyQueue(t, addr, received)
		upload := uploadscript.Upload{Size: first + pieces*pieceSize}
		upload.SendSlowly(dial(t, "tcp", addr), first, pieceSize, interval, leaveQueue).CheckServed(t)
	})
}

// Guards against a chunked upload that is rejected while it waits in the queue, although its client is still sending it
// at 64 kB a second: in small pieces while the receive window is closed, or in complete chunks that arrive.
func TestSlowChunkedUploadInQueue(t *testing.T) {
	for name, sent := range map[string]struct {
		firstChunks, chunks int
		pieceSize           int
		interval            time.Duration
	}{
		"small pieces":    {12, 3, 20_000, 300 * time.Millisecond},
		"complete chunks": {3, 2, uploadscript.ChunkLength, 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			forEachQueue(t, func(t *testing.T, addr string, received <-chan struct{}) {
				t.Helper()
				leaveQueue := occupyQueue(t, addr, received)
				size := (sent.firstChunks + sent.chunks) * uploadscript.ChunkSize
				uploadscript.Upload{Size: size, Chunked: true}.SendSlowly(dial(t, "tcp", addr),
					sent.firstChunks*uploadscript.ChunkLength, sent.pieceSize, sent.interval, leaveQueue).CheckServed(t)
			})
		})
	}
}

// Guards against an upload on a unix socket that is rejected while it waits in the queue, although its client cannot
// have written the last byte: what it has written has arrived, and its write is blocked.
func TestUploadOnUnixSocketInQueue(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %v", chunked), func(t *testing.T) {
			t.Parallel()
			endpoint, received := startQueueEndpoint(t)
			tcpAddr, unixPath := startUploadClasses(t, endpoint, queueOfClasses...)
			leaveQueue := occupyQueue(t, tcpAddr, received)
			conn := dial(t, "unix", unixPath)
			result := make(chan uploadscript.Result, 1)
			go func() { result <- uploadscript.Upload{Size: 1_000_000, Chunked: chunked}.Send(conn) }()
			select {
			case early := <-result:
				t.Fatalf("a response before the last byte: %+v", early)
			case <-time.After(3 * uploadscript.ClientTimeout):
			}
			leaveQueue()
			scriptedpeer.Receive(t, result, "response").CheckServed(t)
		})
	}
}

// Guards against a chunked upload on a unix socket that is cut off while its client's write is blocked, since its
// endpoint takes the body slowly, and against a late response once the last chunk has arrived.
func TestChunkedUploadOnUnixSocketToSlowEndpoint(t *testing.T) {
	t.Parallel()
	_, unixPath := startUploadClasses(t, uploadscript.StartSlowEndpoint(t, 16_000, 200*time.Millisecond))
	result := uploadscript.Upload{Size: 4_800_000, Chunked: true}.Send(dial(t, "unix", unixPath))
	result.CheckTimedOut(t)
	result.CheckNotCutOff(t)
}
