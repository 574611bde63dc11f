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

// surplusBytesReason is the text of the response to a request that is followed by bytes that cannot start another
// request.
const surplusBytesReason = "more was sent than the request's length tells"

// Error types of the Proxy-Status header (RFC 9209 section 2.3).
const (
	proxyErrRequest         = "http_request_error"
	proxyErrDenied          = "http_request_denied"
	proxyErrNotFound        = "destination_not_found"
	proxyErrUnavailable     = "destination_unavailable"
	proxyErrConnectionLimit = "connection_limit_reached"
	proxyErrTimeout         = "http_response_timeout"
	proxyErrIncomplete      = "http_response_incomplete"
)

// unreadableRequestResponse returns the response to a request whose head could not be read because of err. It
// returns nil if the client sent nothing or has closed the connection.
func (s *Server) unreadableRequestResponse(c *conn, err error) *localResponse {
	var netErr net.Error
	status := http.StatusBadRequest
	switch {
	case errors.As(err, new(*http1msg.HeadError)):
		return rejectionResponse(err)
	case errors.As(err, &netErr) && netErr.Timeout():
		if c.readLimit.N == MaxHeaderBytes && (c.buffer == nil || c.buffer.Buffered() == 0) {
			return nil
		}
		status = http.StatusRequestTimeout
	case c.readLimit.N <= 0:
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.Is(err, syscall.ECONNRESET):
		return nil
	}
	return newLocalResponse(status, http.StatusText(status))
}

// rejectionResponse returns the response to a request that is rejected with err. The status is that of a
// *requestError or *http1msg.HeadError, otherwise 400.
func rejectionResponse(err error) *localResponse {
	response := newLocalResponse(http.StatusBadRequest, err.Error())
	if reqErr := (*requestError)(nil); errors.As(err, &reqErr) {
		response.status = reqErr.status
		response.setRetryAfter(reqErr.retryAfter)
	}
	if headErr := (*http1msg.HeadError)(nil); errors.As(err, &headErr) {
		response.status = headErr.Status
	}
	return response
}

// requestError is the reason for rejecting a request, and how the rejection is reported to the client.
type requestError struct {
	status     int           // HTTP status
	reason     string        // text of the response
	retryAfter time.Duration // value of Retry-After; 0 for no such header
	proxyError string        // error type of Proxy-Status; "" means proxyErrRequest
}

func (e *requestError) Error() string { return e.reason }

func requestErrorf(status int, format string, args ...any) error {
	return &requestError{status: status, reason: fmt.Sprintf(format, args...)}
}

// bodyReadError returns the error with which a request is rejected if reading its body failed with err.
func bodyReadError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return requestErrorf(http.StatusRequestTimeout, "the body does not come")
	case errors.Is(err, http1msg.ErrMalformedChunk), errors.Is(err, http1msg.ErrMalformedTrailer):
		return requestErrorf(http.StatusBadRequest, "%v", err)
	case errors.Is(err, upstream.ErrRequestBodyTooLong):
		return requestErrorf(http.StatusRequestEntityTooLarge, "the body is larger than it may be")
	}
	return requestErrorf(http.StatusBadRequest, "the body is not whole")
}
