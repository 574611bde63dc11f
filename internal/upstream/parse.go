package upstream

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/siteconfig"
)

// This file parses responses of endpoints, and load reports.

const (
	maxInterimResponses = 8                      // maximum number of interim (1xx) responses before the final response
	maxResponseStall    = 100 * time.Millisecond // maximum time from the first byte of a response to its last
)

var (
	errAmbiguousLength   = errors.New("the end of the response is ambiguous")
	errResponseTooLarge  = errors.New("the response is too large")
	errMalformedResponse = errors.New("the response is not valid HTTP/1")
)

// parsedResponse is a response with a complete head. Its body is either complete or has not been read yet.
type parsedResponse struct {
	BufferedResponse
	statusCode int
	closeAfter bool // the endpoint closes the connection after this response
}

// readResponse reads a complete response. It returns an error if the response ends early, if its length is
// given in two ways, or if only the end of the connection marks its end: such a response might not be the
// response to the request. readResponse does not use http.ReadResponse, which does not report that a response
// had both a Content-Length and chunks.
func (c *Conn) readResponse() (*parsedResponse, error) {
	for range maxInterimResponses {
		c.SetReadDeadline(time.Time{})
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		c.SetReadDeadline(time.Now().Add(maxResponseStall))
		response, err := readHead(c.reader)
		if err != nil {
			return nil, err
		}
		if isInterim(response.statusCode) {
			continue
		}
		response.Body, err = c.readBody(response)
		c.SetReadDeadline(time.Time{})
		return response, err
	}
	return nil, errResponseTooLarge
}

// readHead reads the status line and the header of a response.
func readHead(r *bufio.Reader) (*parsedResponse, error) {
	reader := textproto.NewReader(r)
	line, err := reader.ReadLine()
	if err != nil {
		return nil, err
	}
	version, afterVersion, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(afterVersion, " ")
	response := &parsedResponse{}
	if response.statusCode, err = strconv.Atoi(code); err != nil || len(code) != 3 || response.statusCode < 100 ||
		version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, errMalformedResponse
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	response.Header = http.Header(header)
	response.closeAfter = version == "HTTP/1.0"
	for _, v := range response.Header["Connection"] {
		response.closeAfter = response.closeAfter || strings.Contains(strings.ToLower(v), "close")
	}
	return response, nil
}

// readBody reads the complete body of a response, framed as its header declares.
func (c *Conn) readBody(response *parsedResponse) ([]byte, error) {
	lengths := response.Header["Content-Length"]
	encodings := response.Header["Transfer-Encoding"]
	switch {
	case len(lengths) == 1 && len(encodings) == 0:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return nil, err
		}
		if n > siteconfig.MaxBodyBytes {
			return nil, errResponseTooLarge
		}
		body := make([]byte, n)
		_, err = io.ReadFull(c.reader, body)
		return body, err
	case len(lengths) == 0 && len(encodings) == 1 && strings.EqualFold(encodings[0], "chunked"):
		body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.reader), siteconfig.MaxBodyBytes+1))
		if err == nil && len(body) > siteconfig.MaxBodyBytes {
			err = errResponseTooLarge
		}
		if err == nil {
			_, err = textproto.NewReader(c.reader).ReadMIMEHeader() // reads the trailer fields
		}
		return body, err
	case len(lengths) == 0 && len(encodings) == 0 &&
		(response.statusCode == http.StatusNoContent || response.statusCode == http.StatusNotModified):
		return nil, nil
	}
	return nil, errAmbiguousLength
}

// isInterim reports whether a status code is that of an interim (1xx) response, which the final response
// follows.
func isInterim(statusCode int) bool { return statusCode < http.StatusOK }

// isValidHeader reports whether all field names and values are valid in a message head (RFC 9110, section 5).
func isValidHeader(h http.Header) bool {
	for name, values := range h {
		if !http1msg.IsToken(name) {
			return false
		}
		for _, v := range values {
			if !http1msg.IsFieldValue(v) {
				return false
			}
		}
	}
	return true
}

// parseLoad parses a load report, which is the word TEXT followed by comma-separated pairs name=value. It
// returns the values in the order of fields. A missing or invalid value is NaN, never zero, which would mean an
// idle endpoint. If the report has no valid value, parseLoad returns nil.
func parseLoad(fields []string, text string) []float32 {
	text = strings.TrimPrefix(strings.TrimSpace(text), loadReportPrefix)
	load := make([]float32, len(fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	anyValid := false
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 32)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		for i, f := range fields {
			if f == strings.TrimSpace(name) {
				load[i] = float32(v)
				anyValid = true
			}
		}
	}
	if !anyValid {
		return nil
	}
	return load
}
