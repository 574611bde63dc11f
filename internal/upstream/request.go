package upstream

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"dunlinsail/internal/http1msg"
)

// Request is an HTTP/1.1 request that is forwarded to an endpoint. It may be sent in several attempts, unless
// its body is streamed.
type Request struct {
	Method, URI, Host string
	Header            http.Header    // end-to-end header fields
	Body              []byte         // the complete body, or the buffered part of a streaming body
	Trailer           http.Header    // trailer fields of a complete body that arrived in chunks
	ExplicitLength    bool           // Content-Length is sent even if there is no body
	Stream            *RequestStream // the part of the body that follows Body; nil if Body is complete
	Policy            *ResponsePolicy
	ResponseTimeout   time.Duration // maximum time from the last byte of a streaming body to the response; 0: no limit
}

// encode encodes the head and the buffered part of the body, which are written in one piece. The head states
// remainingMs, the milliseconds that are left for the request.
func (r *Request) encode(remainingMs int64) []byte {
	buffered := BufferedRequest{Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body}
	b := buffered.encodeHead(r.Policy.DeadlineHeader, remainingMs)
	stream := r.Stream
	switch {
	case stream != nil && stream.Length >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(stream.Length, 10) + "\r\n\r\n")
		b.Write(r.Body)
	case stream != nil || len(r.Trailer) > 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if len(r.Body) > 0 {
			b.Write(http1msg.AppendChunkHeader(nil, len(r.Body)))
			b.Write(r.Body)
			b.WriteString("\r\n")
		}
		if stream == nil {
			b.Write(http1msg.AppendLastChunk(nil, r.Trailer))
		}
	default:
		if len(r.Body) > 0 || r.ExplicitLength {
			b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
		}
		b.WriteString("\r\n")
		b.Write(r.Body)
	}
	return b.Bytes()
}

// streamBufferSize is the size in bytes of the buffer for one direction of a stream.
const streamBufferSize = 16 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}
