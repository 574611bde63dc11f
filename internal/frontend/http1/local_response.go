package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// localResponse is a final response that this process generates instead of forwarding an endpoint's response.
type localResponse struct {
	status int
	header http.Header
	body   []byte
}

// newLocalResponse returns a plain-text response whose body is text and a line end.
func newLocalResponse(status int, text string) *localResponse {
	return &localResponse{
		status: status,
		header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		body:   []byte(text + "\n"),
	}
}

// setRetryAfter sets the Retry-After header, in seconds with three decimals, if d is positive. It returns r.
func (r *localResponse) setRetryAfter(delay time.Duration) *localResponse {
	if delay > 0 {
		r.header.Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
	}
	return r
}

// localHeadCapacity is the number of bytes that are allocated for the head of a localResponse. Every such head is
// smaller.
const localHeadCapacity = 256

// writeResponse writes a response with a single write. It reports whether the write succeeded within writeTimeout.
func (c *conn) writeResponse(response *localResponse, closeAfter bool) bool {
	var buf bytes.Buffer
	buf.Grow(localHeadCapacity + len(response.body))
	buf.WriteString("HTTP/1.1 " + strconv.Itoa(response.status) + " " + http.StatusText(response.status) + "\r\n")
	_ = response.header.Write(&buf) // writing to a bytes.Buffer does not fail
	buf.WriteString("Content-Length: " + strconv.Itoa(len(response.body)) + "\r\n")
	if closeAfter {
		buf.WriteString("Connection: close\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(response.body)
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(buf.Bytes())
	return err == nil
}

// writeHeadOnly writes the response to a HEAD request: the head without the body. It reports whether the write
// succeeded within writeTimeout.
func (c *conn) writeHeadOnly(response *localResponse, closeAfter bool) bool {
	buf := appendResponseHead(nil, response.status, response.header, nil)
	buf = append(buf, "Content-Length: "+strconv.Itoa(len(response.body))+"\r\n"...)
	if closeAfter {
		buf = append(buf, "Connection: close\r\n"...)
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(append(buf, "\r\n"...))
	return err == nil
}
