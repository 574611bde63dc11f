package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"dunlinsail/internal/http1msg"
)

// readRequest reads the head of a request with strict checks. singletons are header fields that, like
// http1msg.SingletonHeaders, may occur at most once and must be end-to-end fields. The error is an
// *http1msg.HeadError if the head is malformed.
func (c *conn) readRequest(singletons map[string]bool) (*http.Request, error) {
	head, err := c.readHead()
	if err != nil {
		return nil, err
	}
	if err := http1msg.CheckHead(head, singletons); err != nil {
		return nil, err
	}
	req, err := http.ReadRequest(c.buffer)
	if err == nil && len(req.TransferEncoding) > 0 {
		req.Header["Transfer-Encoding"] = req.TransferEncoding // package http1msg looks for it in the header
	}
	return req, err
}

// readHead waits for the complete head of a request and returns it, including its final empty line. The head is not
// consumed from the connection's buffer.
func (c *conn) readHead() ([]byte, error) {
	reader := c.ensureBuffer()
	scanned := 0
	for {
		received, _ := reader.Peek(reader.Buffered())
		headLength, nextScanned, err := http1msg.FindHeadEnd(received, scanned)
		if headLength > 0 || err != nil {
			return received[:headLength], err
		}
		if scanned = nextScanned; len(received) == reader.Size() {
			reader = c.enlargeBuffer()
		}
		if _, err := reader.Peek(len(received) + 1); err != nil && reader.Buffered() <= len(received) {
			if errors.Is(err, io.EOF) && len(received) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// enlargeBuffer replaces the connection's buffer with a buffer large enough for the largest head. It is kept
// until the connection is idle.
func (c *conn) enlargeBuffer() *bufio.Reader {
	buffered, _ := c.buffer.Peek(c.buffer.Buffered())
	received := bytes.NewReader(bytes.Clone(buffered))
	if c.buffer.Size() == readBufferSize {
		c.buffer.Reset(nil)
		readerPool.Put(c.buffer)
	}
	c.buffer = bufio.NewReaderSize(io.MultiReader(received, &c.readLimit), MaxHeaderBytes)
	_, _ = c.buffer.Peek(received.Len()) // fills the new buffer with the bytes already received
	return c.buffer
}
