package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// response is a final answer as it goes to the client.
type localResponse struct {
	status int
	header http.Header
	body   []byte
}

func newLocalResponse(status int, text string) *localResponse {
	return &localResponse{status: status, header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, body: []byte(text + "\n")}
}

// retryAfter advises the client to come back after a time, if there is any advice.
func (r *localResponse) setRetryAfter(d time.Duration) *localResponse {
	if d > 0 {
		r.header.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	}
	return r
}

// write writes a whole answer in one piece, and says whether that went well.
func (c *conn) writeResponse(response *localResponse, closeAfter bool) bool {
	var buf bytes.Buffer
	buf.Grow(256 + len(response.body))
	buf.WriteString("HTTP/1.1 " + strconv.Itoa(response.status) + " " + http.StatusText(response.status) + "\r\n")
	_ = response.header.Write(&buf) // writing to memory does not fail
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

// writeHead writes an answer without its body, as HEAD asks for.
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
