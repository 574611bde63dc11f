package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/upstream"
)

const surplusBytes = "more was sent than the request's length tells"

// unreadable returns the answer to what is no request, nil if the client has sent nothing or has gone.
func (s *Server) unreadableResponse(c *conn, err error) *localResponse {
	var timeout net.Error
	code := http.StatusBadRequest
	switch {
	case errors.As(err, new(*http1msg.HeadError)):
		return rejectionResponse(err)
	case errors.As(err, &timeout) && timeout.Timeout():
		if c.readLimit.N == MaxHeaderBytes && (c.buffer == nil || c.buffer.Buffered() == 0) {
			return nil
		}
		code = http.StatusRequestTimeout
	case c.readLimit.N <= 0:
		code = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.Is(err, syscall.ECONNRESET):
		return nil
	}
	return newLocalResponse(code, http.StatusText(code))
}

// turnedAway returns the answer to a request that is not taken.
func rejectionResponse(err error) *localResponse {
	response := newLocalResponse(http.StatusBadRequest, err.Error())
	if reqErr := (*requestError)(nil); errors.As(err, &reqErr) {
		response.status = reqErr.status
		response.setRetryAfter(reqErr.retryAfter)
	}
	if reqErr := (*http1msg.HeadError)(nil); errors.As(err, &reqErr) {
		response.status = reqErr.Status
	}
	return response
}

// badRequest says why a request is not taken.
type requestError struct {
	status     int
	reason     string
	retryAfter time.Duration
	proxyError string // the type of error in Proxy-Status; "" is http_request_error
}

func (e *requestError) Error() string { return e.reason }

func requestErrorf(status int, format string, args ...any) error {
	return &requestError{status: status, reason: fmt.Sprintf(format, args...)}
}

// bodyError returns the answer to a request whose body does not come as it should.
func bodyReadError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return requestErrorf(http.StatusRequestTimeout, "the body does not come")
	case errors.Is(err, http1msg.ErrMalformedChunk), errors.Is(err, http1msg.ErrMalformedTrailer):
		return requestErrorf(http.StatusBadRequest, "%v", err)
	case errors.Is(err, upstream.ErrBodyTooLong):
		return requestErrorf(http.StatusRequestEntityTooLarge, "the body is larger than it may be")
	}
	return requestErrorf(http.StatusBadRequest, "the body is not whole")
}
