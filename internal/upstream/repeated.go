package upstream

import (
	"bufio"
	"bytes"
	"hash/maphash"
	"net/http"
	"time"

	"dunlinsail/internal/http1msg"
)

// This file recognizes a second response to the request before the one in flight, if the response to that one has
// arrived behind it: it repeats the content of the connection's last response.

// responseDigest identifies the content of a complete response: its status, body and end-to-end fields. Responses of
// equal content have equal digests, others hardly ever. 0 is unknown.
type responseDigest uint64

var digestSeed = maphash.MakeSeed()

// fieldDigestFactor keeps a field's name and values apart in its digest.
const fieldDigestFactor = 31

// variesPerTransmission reports whether a field may differ between two transmissions of the same response.
func variesPerTransmission(field string) bool {
	switch field {
	case "Age", "Connection", "Date", "Keep-Alive", http1msg.FieldLoadReport:
		return true
	}
	return false
}

// digestHead returns the part of a response's digest that is of its status and fields. That of the body is added to it.
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
		digest += field // fields come in any order
	}
	return responseDigest(digest)
}

// digestBody returns the part of a response's digest that is of its body.
func digestBody(body []byte) responseDigest { return responseDigest(maphash.Bytes(digestSeed, body)) }

// streamDigest is the digest of a response whose body is written to it in pieces.
type streamDigest struct {
	head responseDigest
	body maphash.Hash
}

// newStreamDigest returns the digest of a response whose status and fields have the digest head.
func newStreamDigest(head responseDigest) *streamDigest {
	d := &streamDigest{head: head}
	d.body.SetSeed(digestSeed)
	return d
}

// sum returns the digest of the response, whose body is complete.
func (d *streamDigest) sum() responseDigest { return d.head + responseDigest(d.body.Sum64()) }

// isSecondResponse reports whether the response that has just been read completely is a second response to the request
// before the one in flight: it has the content of the connection's last response, and another response is at hand. If
// the endpoint repeats its response to the request in flight instead, and both requests have the same response, that
// next one has the same content, too.
func (c *Conn) isSecondResponse(digest responseDigest) bool {
	return digest != 0 && digest == c.lastDigest && c.isResponsePending()
}

// isResponsePending reports whether a response that may be that to the request in flight has begun to arrive behind the
// one that has been read. It does not wait.
func (c *Conn) isResponsePending() bool {
	if c.reader.Buffered() == 0 && c.inspect() == connSurplus {
		c.SetReadDeadline(time.Time{})
		_, _ = c.reader.Peek(1) // an error leaves the buffer empty
	}
	pendingBytes, _ := c.reader.Peek(c.reader.Buffered())
	return isSurplusResponse(pendingBytes) && !isClosingError(pendingBytes)
}

// isClosingError reports whether bytes start with the head of an error after which the endpoint closes the connection.
// Endpoints send such a one if they take bytes behind a request for another request.
func isClosingError(firstBytes []byte) bool {
	head, err := readHead(bufio.NewReader(bytes.NewReader(firstBytes)))
	return err == nil && head.closeAfter && head.statusCode >= http.StatusBadRequest
}
