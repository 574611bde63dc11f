package differential

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"dunlinsail/internal/fake/webapp"
)

// Send sends an exchange to the proxy at addr, and returns the outcome.
func Send(ctx context.Context, transport http.RoundTripper, addr string, x *Exchange) Outcome {
	var outcome Outcome
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code == http.StatusEarlyHints {
				outcome.EarlyHints++
			}
			return nil
		},
	})
	var body io.Reader
	if x.Body >= 0 {
		bodyReader, bodyWriter := io.Pipe()
		go func() { bodyWriter.CloseWithError(webapp.WriteBody(bodyWriter, x.Body)) }() // ends when the pipe is closed
		defer bodyReader.Close()
		body = bodyReader
	}
	request, err := newRequest(ctx, addr, x, body)
	if err != nil {
		outcome.FailedPart = err.Error()
		return outcome
	}
	resp, err := transport.RoundTrip(request)
	if err != nil {
		outcome.FailedPart = failedHead
		return outcome
	}
	defer resp.Body.Close()
	outcome.readResponse(resp, x)
	return outcome
}

func newRequest(ctx context.Context, addr string, x *Exchange, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, x.Method, "http://"+addr+x.Path, body)
	if err != nil {
		return nil, err
	}
	request.Header = x.Header.Clone()
	request.Host = "app.example"
	request.Header.Set(webapp.PlanHeader, x.Plan.JSON())
	request.Header.Set("User-Agent", "differential")
	if x.Expect {
		request.Header.Set("Expect", "100-continue")
	}
	if x.Body == 0 && !x.Chunked {
		request.Body = http.NoBody
	}
	request.ContentLength = int64(max(0, x.Body))
	if x.Chunked {
		request.ContentLength = -1
		request.Trailer = x.Trailer.Clone()
	}
	return request, nil
}

// readResponse reads a response, including its body, into the outcome.
func (o *Outcome) readResponse(resp *http.Response, x *Exchange) {
	var digest webapp.Digest
	if _, err := io.Copy(&digest, resp.Body); err != nil {
		o.FailedPart = failedBody
	}
	o.Status = resp.StatusCode
	o.Body = digest.String()
	o.Trailer = webapp.HeaderText(resp.Trailer)
	if text := resp.Header.Get(webapp.ObservedRequestHeader); text != "" {
		o.ApplicationRequest = observedRequestText(text)
		resp.Header.Del(webapp.ObservedRequestHeader)
	}
	o.Header = comparedHeaderText(resp.Header)
	if resp.ContentLength >= 0 && x.Method == http.MethodHead {
		o.Header += fmt.Sprint("; length ", resp.ContentLength)
	}
}

// observedRequestText returns one line that describes the request as the application received it.
func observedRequestText(text string) string {
	var observed webapp.ObservedRequest
	if err := json.Unmarshal([]byte(text), &observed); err != nil {
		return err.Error()
	}
	return fmt.Sprint(observed.Method, " ", observed.URI, " ", observed.Host, " ", comparedHeaderText(observed.Header),
		" ", observed.Body, " ", webapp.HeaderText(observed.Trailer))
}
