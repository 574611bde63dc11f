package http1

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/upstream"
)

var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// answer gives the final answer, and says whether the connection may serve another request.
func (x *exchange) respond(response engine.Response) bool {
	if response.Verdict != engine.Served && x.stream != nil {
		<-x.stream.Over()
		if err := x.stream.Err(); err != nil { // it is the client's body that has failed
			x.closeAfter = true
			return x.writeLocal(rejectionResponse(bodyReadError(err)), "http_request_error")
		}
	}
	if response.Result != nil && response.Result.Response != nil && (response.Verdict == engine.Served || !x.byClass) {
		return x.forwardResponse(response.Result.Response.(*upstream.Whole))
	}
	switch response.Verdict {
	case engine.Rejected:
		return x.writeLocal(newLocalResponse(http.StatusServiceUnavailable, "refused: "+orDefault(response.Reason, "try again later")).setRetryAfter(clock.Duration(response.RetryAfter)),
			"destination_unavailable")
	case engine.RateLimited:
		return x.writeLocal(newLocalResponse(http.StatusTooManyRequests, "refused: "+response.Reason).setRetryAfter(clock.Duration(response.RetryAfter)), "http_request_denied")
	case engine.DuplicateID:
		return x.writeLocal(newLocalResponse(http.StatusConflict, "a request with this id is open"), "http_request_denied")
	case engine.TimedOut:
		return x.writeLocal(newLocalResponse(http.StatusGatewayTimeout, "no answer in time"), "http_response_timeout")
	}
	return x.writeLocal(newLocalResponse(http.StatusBadGateway, "failed"), "http_response_incomplete")
}

func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

// own gives an answer of this instance's. Proxy-Status (RFC 9209) tells it from an endpoint's, and why it is given.
func (x *exchange) writeLocal(response *localResponse, proxyError string) bool {
	x.status = response.status
	if proxyError != "" {
		response.header.Set("Proxy-Status", x.proxyName+"; error="+proxyError+"; details="+strconv.Quote(strings.TrimSpace(string(response.body))))
	}
	x.closeAfter = x.closeAfter || x.server.isLastResponse(x.conn)
	if x.request.Method == http.MethodHead {
		return x.conn.writeHeadOnly(response, x.closeAfter) && x.server.conns.finishRequest(x.conn) && !x.closeAfter
	}
	return x.conn.writeResponse(response, x.closeAfter) && x.server.conns.finishRequest(x.conn) && !x.closeAfter
}

// turnAway answers a request that is not taken.
func (x *exchange) reject(err error) bool {
	response := rejectionResponse(err)
	proxyError := "http_request_error"
	if reqErr := (*requestError)(nil); errors.As(err, &reqErr) && reqErr.proxyError != "" {
		proxyError = reqErr.proxyError
	}
	framing, frameErr := http1msg.RequestFraming(x.request.Header)
	if frameErr == nil && framing.Kind == http1msg.NoBody {
		return x.server.conns.markBusy(x.conn) && x.writeLocal(response, proxyError) // nothing is in the way of the next
	}
	response.header.Set("Proxy-Status", x.proxyName+"; error="+proxyError+"; details="+strconv.Quote(err.Error()))
	x.conn.reject(response)
	return false
}

// pass gives an endpoint's answer.
func (x *exchange) forwardResponse(response *upstream.Whole) bool {
	x.status, x.bodyLength = response.Code, int64(len(response.Held))
	if response.Rest != nil {
		x.bodyLength = -1
	}
	x.closeAfter = x.closeAfter || x.server.isLastResponse(x.conn)
	if response.Rest != nil {
		defer response.Rest.End()
	}
	complete := response.Rest == nil
	if complete {
		x.server.conns.reserveBytes(x.conn, int64(len(response.Held)), true)
	}
	connection := response.Header["Connection"]
	x.responseEdits.apply(response.Header)
	http10 := !x.request.ProtoAtLeast(1, 1)
	noBody := x.request.Method == http.MethodHead || response.Code == http.StatusNoContent || response.Code == http.StatusNotModified
	chunked := !noBody && !http10 && (len(response.Trailer) > 0 || !complete && response.Framing.Kind != http1msg.FixedLength)
	if !noBody && !chunked && !complete && response.Framing.Kind != http1msg.FixedLength {
		x.closeAfter = true // only the connection's end can tell where it ends
	}
	buf := make([]byte, 0, 1024+len(response.Held))
	for _, interim := range response.Interim {
		if !http10 {
			buf = appendResponseHead(buf, interim.Code, interim.Header, interim.Header["Connection"])
			buf = append(buf, "\r\n"...)
		}
	}
	buf = appendResponseHead(buf, response.Code, response.Header, connection)
	switch {
	case chunked:
		buf = append(buf, "Transfer-Encoding: chunked\r\n"...)
		if names := response.Header["Trailer"]; len(names) > 0 {
			buf = append(buf, "Trailer: "+strings.Join(names, ", ")+"\r\n"...)
		}
	case noBody:
		if n := response.Header["Content-Length"]; len(n) == 1 && response.Code != http.StatusNoContent {
			buf = append(buf, "Content-Length: "+n[0]+"\r\n"...) // of what a GET would get
		}
	case complete:
		buf = append(buf, "Content-Length: "+strconv.Itoa(len(response.Held))+"\r\n"...)
	case response.Framing.Kind == http1msg.FixedLength:
		buf = append(buf, "Content-Length: "+strconv.FormatInt(response.Framing.Length, 10)+"\r\n"...)
	}
	if x.closeAfter {
		buf = append(buf, "Connection: close\r\n"...)
	}
	buf = append(buf, "\r\n"...)
	if !noBody && len(response.Held) > 0 {
		if chunked {
			buf = http1msg.AppendChunkHeader(buf, len(response.Held))
			buf = append(append(buf, response.Held...), "\r\n"...)
		} else {
			buf = append(buf, response.Held...)
		}
	}
	if complete && chunked {
		buf = http1msg.AppendLastChunk(buf, response.Trailer)
	}
	x.conn.SetWriteDeadline(time.Now().Add(x.idleTimeout))
	if _, err := x.conn.Write(buf); err != nil {
		return false
	}
	if !complete {
		switch complete, failed := x.streamBody(response.Rest, chunked); {
		case failed:
			x.status = http.StatusBadGateway // in all but name: the client can tell that it is not whole
			fallthrough
		case !complete:
			x.conn.abort()
			return false
		}
	}
	return x.server.conns.finishRequest(x.conn) && !x.closeAfter
}

// copy passes on what follows of an answer as it comes, and says whether it is whole, and if not, whether that is the
// endpoint's doing. The client's pace is the endpoint's: what the one does not take, the other is not asked for.
func (x *exchange) streamBody(rest *upstream.Rest, chunked bool) (complete, failed bool) {
	buf := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(buf)
	const chunkHeaderSpace = 16 // for a chunk's head
	for {
		n, err := rest.Read(buf[chunkHeaderSpace : copyBufferSize-2])
		for err == nil && n < copyBufferSize-2-chunkHeaderSpace && rest.Buffered() > 0 { // what has come goes on in one piece
			var more int
			more, err = rest.Read(buf[chunkHeaderSpace+n : copyBufferSize-2])
			n += more
		}
		piece := buf[chunkHeaderSpace : chunkHeaderSpace+n]
		if n > 0 && chunked {
			head := http1msg.AppendChunkHeader(nil, n)
			copy(buf[chunkHeaderSpace-len(head):], head)
			piece = append(buf[chunkHeaderSpace-len(head):chunkHeaderSpace+n], '\r', '\n')
		}
		if err == io.EOF && chunked {
			piece = http1msg.AppendLastChunk(piece, rest.Trailer())
		}
		if len(piece) > 0 {
			x.conn.SetWriteDeadline(time.Now().Add(x.idleTimeout))
			if _, writeErr := x.conn.Write(piece); writeErr != nil {
				return false, false
			}
		}
		if err != nil {
			return err == io.EOF, err != io.EOF
		}
	}
}

// appendHead appends a status line and the end-to-end fields of an answer.
func appendResponseHead(b []byte, code int, h http.Header, connection []string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(code), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(code)...)
	b = append(b, "\r\n"...)
	for k, values := range h {
		if http1msg.IsHopByHop(k, connection) {
			continue
		}
		for _, v := range values {
			b = append(b, k...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}
