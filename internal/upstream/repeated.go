package upstream

import (
	"bufio"
	"bytes"
	"hash/maphash"
	"net/http"
	"time"

	"dunlinsail/internal/http1msg"
)

// This file recognizes a second response to the previous request, in front of the response to the request in
// flight. A second response has the same content as the last response on the connection.

// responseDigest identifies the content of a complete response: its status, end-to-end header fields and body.
// Responses with equal content have equal digests, and other responses almost never do. 0 means unknown.
type responseDigest uint64

// digestSeed is the hash seed of all digests in this process.
var digestSeed = maphash.MakeSeed()

// fieldDigestFactor multiplies the digest of a field before the digest of its next value is added, so that the
// order of name and values matters.
const fieldDigestFactor = 31

// variesPerTransmission reports whether a header field may differ between two transmissions of the same
// response.
func variesPerTransmission(field string) bool {
	switch field {
	case "Age", "Connection", "Date", "Keep-Alive", http1msg.FieldLoadReport:
		return true
	}
	return false
}

// digestHead returns the contribution of the status and the header fields to the digest of a response. The
// digest is the sum of it and digestBody.
func digestHead(statusCode int, header http.Header) responseDigest {
	digest := uint64(statusCode)
	for name, values := range header {
		if variesPerTransmission(name) {
			continue
		}
		field := maphash.String(digestSeed, name)
		for _, v := range values {
			field = field*fieldDigestFactor + maphash.String(digestSeed, v)
		}
		digest += field // a sum, since the order of different fields is not significant
	}
	return responseDigest(digest)
}

// digestBody returns the contribution of the body to the digest of a response.
func digestBody(body []byte) responseDigest { return responseDigest(maphash.Bytes(digestSeed, body)) }

// streamDigest computes the digest of a response whose body is written to it in pieces.
type streamDigest struct {
	head responseDigest
	body maphash.Hash
}

// newStreamDigest returns the streamDigest of a response for which digestHead returned head.
func newStreamDigest(head responseDigest) *streamDigest {
	d := &streamDigest{head: head}
	d.body.SetSeed(digestSeed)
	return d
}

// sum returns the digest of the response. The body must be complete.
func (d *streamDigest) sum() responseDigest { return d.head + responseDigest(d.body.Sum64()) }

// isSecondResponse reports whether the response that has just been read completely is a second response to the
// previous request. This is so if it has the content of the connection's last response and another response is
// pending behind it. If the endpoint sends two responses to the request in flight instead, and the responses to
// both requests are equal, the result is also true; it does no harm, since the pending response has the same
// content.
func (c *Conn) isSecondResponse(digest responseDigest) bool {
	return digest != 0 && digest == c.lastDigest && c.isResponsePending()
}

// isResponsePending reports whether the first bytes of another response have arrived behind the response that
// has just been read. It ignores responses that cannot be the response to the request in flight. It does not
// wait.
func (c *Conn) isResponsePending() bool {
	if c.reader.Buffered() == 0 && c.inspect() == connSurplus {
		c.SetReadDeadline(time.Time{})
		_, _ = c.reader.Peek(1) // after an error, the buffer stays empty
	}
	pendingBytes, _ := c.reader.Peek(c.reader.Buffered())
	return isSurplusResponse(pendingBytes) && !isClosingError(pendingBytes)
}

// isClosingError reports whether firstBytes start with the complete head of an error response after which the
// endpoint closes the connection. Endpoints send such a response if they take bytes behind a request for
// another request.
func isClosingError(firstBytes []byte) bool {
	head, err := readHead(bufio.NewReader(bytes.NewReader(firstBytes)))
	return err == nil && head.closeAfter && head.statusCode >= http.StatusBadRequest
}
