package http1

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/upstream"
)

const (
	// copyBufferSize is the size in bytes of the buffers with which streamed response bodies are copied.
	copyBufferSize = 48 << 10
	// smallCopyBufferSize is the size in bytes of such a buffer while the bodies of all requests and responses take as
	// much memory as they may.
	smallCopyBufferSize = 4 << 10
	// forwardedHeadCapacity is the number of bytes that are allocated for the head of a forwarded response. A larger
	// head grows the buffer.
	forwardedHeadCapacity = 1024
)

var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// takeCopyBuffer returns a buffer for a streamed response, whose size depends on the memory that is left, and a
// function that releases it.
func (x *exchange) takeCopyBuffer() (buffer []byte, release func()) {
	if !x.server.conns.reserveBytes(x.conn, streamedBodyBytes, false) {
		return make([]byte, smallCopyBufferSize), func() {}
	}
	pooled := copyBufferPool.Get().(*[copyBufferSize]byte)
	return pooled[:], func() { copyBufferPool.Put(pooled) }
}

// Errors of a streamed response body that was not forwarded completely.
var (
	errClientWrite       = errors.New("writing the response to the client failed")
	errUpstreamTruncated = errors.New("the endpoint's response body is truncated")
)

// respond writes the final response to the client. It reports whether the connection may serve another request.
func (x *exchange) respond(response engine.Response) bool {
	if response.Verdict != engine.Served && x.stream != nil {
		<-x.stream.Done()
		if err := x.stream.Err(); err != nil { // reading the request's body from the client failed
			x.closeAfter = true
			return x.writeLocal(rejectionResponse(bodyReadError(err)), proxyErrRequest)
		}
	}
	if response.Result != nil && response.Result.Response != nil && (response.Verdict == engine.Served || !x.byClass) {
		return x.forwardResponse(response.Result.Response.(*upstream.Response))
	}
	return x.writeLocal(verdictResponse(&response))
}

// verdictResponse returns the response to a request for which there is no endpoint response to forward, and the
// error type for its Proxy-Status header.
func verdictResponse(response *engine.Response) (local *localResponse, proxyError string) {
	retryAfter := clock.Duration(response.RetryAfter)
	switch response.Verdict {
	case engine.Rejected:
		reason := "refused: " + cmp.Or(response.Reason, "try again later")
		return newLocalResponse(http.StatusServiceUnavailable, reason).setRetryAfter(retryAfter), proxyErrUnavailable
	case engine.RateLimited:
		reason := "refused: " + response.Reason
		return newLocalResponse(http.StatusTooManyRequests, reason).setRetryAfter(retryAfter), proxyErrDenied
	case engine.DuplicateID:
		return newLocalResponse(http.StatusConflict, "a request with this id is open"), proxyErrDenied
	case engine.TimedOut:
		return newLocalResponse(http.StatusGatewayTimeout, "no answer in time"), proxyErrTimeout
	}
	return newLocalResponse(http.StatusBadGateway, "failed"), proxyErrIncomplete
}

// writeLocal writes a response that this process generated. The Proxy-Status header (RFC 9209) distinguishes it
// from an endpoint's response and states proxyError; with "" the header is omitted. writeLocal reports whether
// the connection may serve another request.
func (x *exchange) writeLocal(response *localResponse, proxyError string) bool {
	x.status = response.status
	if proxyError != "" {
		x.setProxyStatus(response, proxyError, strings.TrimSpace(string(response.body)))
	}
	x.closeAfter = x.closeAfter || x.server.isLastResponse(x.conn)
	if x.request.Method == http.MethodHead {
		return x.conn.writeHeadOnly(response, x.closeAfter) && x.server.conns.finishRequest(x.conn) && !x.closeAfter
	}
	return x.conn.writeResponse(response, x.closeAfter) && x.server.conns.finishRequest(x.conn) && !x.closeAfter
}

// setProxyStatus sets the Proxy-Status header (RFC 9209 section 2).
func (x *exchange) setProxyStatus(response *localResponse, proxyError, details string) {
	response.header.Set("Proxy-Status", x.proxyName+"; error="+proxyError+"; details="+strconv.Quote(details))
}

// reject writes the response to a request that is rejected with err. It reports whether the connection may serve
// another request.
func (x *exchange) reject(err error) bool {
	response := rejectionResponse(err)
	proxyError := proxyErrRequest
	if reqErr := (*requestError)(nil); errors.As(err, &reqErr) && reqErr.proxyError != "" {
		proxyError = reqErr.proxyError
	}
	framing, framingErr := http1msg.RequestFraming(x.request.Header)
	if framingErr == nil && framing.Kind == http1msg.NoBody { // without a body nothing unread precedes the next request
		return x.server.conns.markBusy(x.conn) && x.writeLocal(response, proxyError)
	}
	x.setProxyStatus(response, proxyError, err.Error())
	x.conn.reject(response)
	return false
}

// outgoingFraming describes how the end of a response body is marked for the client.
type outgoingFraming struct {
	noBody  bool // the response has no body, even if its header states a length
	chunked bool
}

// responseFraming returns how the client can detect the end of a forwarded response body. If only the end of the
// connection can mark it, closeAfter is set.
func (x *exchange) responseFraming(response *upstream.Response) outgoingFraming {
	isHTTP10 := !x.request.ProtoAtLeast(1, 1)
	unknownLength := response.Stream != nil && response.Framing.Kind != http1msg.FixedLength
	framing := outgoingFraming{
		noBody: x.request.Method == http.MethodHead || response.StatusCode == http.StatusNoContent ||
			response.StatusCode == http.StatusNotModified,
	}
	framing.chunked = !framing.noBody && !isHTTP10 && (len(response.Trailer) > 0 || unknownLength)
	if !framing.noBody && !framing.chunked && unknownLength {
		x.closeAfter = true
	}
	return framing
}

// forwardResponse writes an endpoint's response to the client. It reports whether the connection may serve
// another request.
func (x *exchange) forwardResponse(response *upstream.Response) bool {
	isBuffered := response.Stream == nil
	x.status = response.StatusCode
	x.bodyLength = int64(len(response.Buffered))
	if !isBuffered {
		x.bodyLength = -1
	}
	x.closeAfter = x.closeAfter || x.server.isLastResponse(x.conn)
	x.server.conns.reserveBytes(x.conn, int64(len(response.Buffered)), true)
	if !isBuffered {
		defer response.Stream.Finish()
	}
	connection := response.Header["Connection"] // read before the edits, which may remove it
	x.responseEdits.apply(response.Header)
	framing := x.responseFraming(response)
	if !x.writeBufferedPart(response, connection, framing) {
		return false
	}
	if !isBuffered && !x.streamRest(response.Stream, framing.chunked) {
		return false
	}
	return x.server.conns.finishRequest(x.conn) && !x.closeAfter
}

// writeBufferedPart writes the head of a response and the buffered part of its body, and releases that. It reports
// whether the write succeeded.
func (x *exchange) writeBufferedPart(response *upstream.Response, connection []string, framing outgoingFraming) bool {
	buf := make([]byte, 0, forwardedHeadCapacity+len(response.Buffered))
	buf = x.appendForwardedHead(buf, response, connection, framing)
	buf = appendBufferedBody(buf, response, framing)
	response.Buffered = nil // the client may take long to read it
	return x.conn.writePatiently(buf, x.idleTimeout) == nil
}

// appendBufferedBody appends the buffered part of a response's body. If the body is chunked and complete, it also
// appends the last chunk.
func appendBufferedBody(buf []byte, response *upstream.Response, framing outgoingFraming) []byte {
	switch {
	case framing.noBody:
		return buf
	case !framing.chunked:
		return append(buf, response.Buffered...)
	}
	if len(response.Buffered) > 0 {
		buf = http1msg.AppendChunkHeader(buf, len(response.Buffered))
		buf = append(buf, response.Buffered...)
		buf = append(buf, "\r\n"...)
	}
	if response.Stream == nil {
		buf = http1msg.AppendLastChunk(buf, response.Trailer)
	}
	return buf
}

// appendForwardedHead appends the interim responses and the head of an endpoint's response, including its final
// empty line. connection is the Connection field as the endpoint sent it.
func (x *exchange) appendForwardedHead(
	buf []byte, response *upstream.Response, connection []string, framing outgoingFraming,
) []byte {
	if x.request.ProtoAtLeast(1, 1) {
		for _, interim := range response.Interim {
			buf = appendResponseHead(buf, interim.StatusCode, interim.Header, interim.Header["Connection"])
			buf = append(buf, "\r\n"...)
		}
	}
	buf = appendResponseHead(buf, response.StatusCode, response.Header, connection)
	switch {
	case framing.chunked:
		buf = append(buf, "Transfer-Encoding: chunked\r\n"...)
		if names := response.Header["Trailer"]; len(names) > 0 {
			buf = append(buf, "Trailer: "+strings.Join(names, ", ")+"\r\n"...)
		}
	case framing.noBody:
		if lengths := response.Header["Content-Length"]; len(lengths) == 1 &&
			response.StatusCode != http.StatusNoContent {
			buf = append(buf, "Content-Length: "+lengths[0]+"\r\n"...) // length of the body that a GET would receive
		}
	case response.Stream == nil:
		buf = append(buf, "Content-Length: "+strconv.Itoa(len(response.Buffered))+"\r\n"...)
	case response.Framing.Kind == http1msg.FixedLength:
		buf = append(buf, "Content-Length: "+strconv.FormatInt(response.Framing.Length, 10)+"\r\n"...)
	}
	if x.closeAfter {
		buf = append(buf, "Connection: close\r\n"...)
	}
	return append(buf, "\r\n"...)
}

// streamRest forwards the part of a response body that is not buffered. It reports whether the body was forwarded
// completely; if not, the client's connection has been reset.
func (x *exchange) streamRest(rest *upstream.ResponseStream, chunked bool) bool {
	err := x.streamBody(rest, chunked)
	if err == nil {
		return true
	}
	if errors.Is(err, errUpstreamTruncated) {
		x.status = http.StatusBadGateway // for the exchange record; the client sees a reset connection
	}
	x.conn.abort()
	return false
}

// streamBody copies the rest of a response body to the client as it arrives. It returns errClientWrite or
// errUpstreamTruncated if that fails. A slow client slows down the endpoint, because the next bytes are read from
// the endpoint only after the write to the client.
func (x *exchange) streamBody(rest *upstream.ResponseStream, chunked bool) error {
	x.server.conns.releaseBytes(x.conn) // what was buffered has been written
	buf, release := x.takeCopyBuffer()
	defer release()
	for {
		n, err := readAvailable(rest, http1msg.ChunkData(buf))
		output := http1msg.ChunkData(buf)[:n]
		if n > 0 && chunked {
			output = http1msg.FrameChunk(buf, n)
		}
		bodyEnded := errors.Is(err, io.EOF)
		if bodyEnded && chunked {
			output = http1msg.AppendLastChunk(output, rest.Trailer())
		}
		if len(output) > 0 {
			if x.conn.writePatiently(output, x.idleTimeout) != nil {
				return errClientWrite
			}
		}
		if bodyEnded {
			return nil
		}
		x.conn.input.turn.Transfer(n)
		if err != nil {
			return errUpstreamTruncated
		}
	}
}

// readAvailable waits for the next bytes of a response body and reads all bytes that have arrived into b, so that
// they are written to the client at once. Like io.Reader it may return bytes together with an error.
func readAvailable(rest *upstream.ResponseStream, b []byte) (n int, err error) {
	n, err = rest.Read(b)
	for err == nil && n < len(b) && rest.Buffered() > 0 {
		var count int
		count, err = rest.Read(b[n:])
		n += count
	}
	return n, err
}

// appendResponseHead appends the status line and the end-to-end fields of a response, without the final empty line.
func appendResponseHead(b []byte, status int, header http.Header, connection []string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	for name, values := range header {
		if http1msg.IsHopByHop(name, connection) {
			continue
		}
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}
