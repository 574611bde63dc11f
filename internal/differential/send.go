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

// Send sends one exchange to a program, and returns how it ended.
func Send(ctx context.Context, t http.RoundTripper, addr string, x *Exchange) Outcome {
	var o Outcome
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code == http.StatusEarlyHints {
				o.Hints++
			}
			return nil
		},
	})
	var body io.Reader
	if x.Body >= 0 {
		r, w := io.Pipe()
		go func() { w.CloseWithError(webapp.WriteBody(w, x.Body)) }() // ends with the pipe
		defer r.Close()
		body = r
	}
	request, err := newRequest(ctx, addr, x, body)
	if err != nil {
		o.Failed = err.Error()
		return o
	}
	resp, err := t.RoundTrip(request)
	if err != nil {
		o.Failed = failedHead
		return o
	}
	defer resp.Body.Close()
	o.read(resp, x)
	return o
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

// read takes over a response, its body included.
func (o *Outcome) read(resp *http.Response, x *Exchange) {
	var digest webapp.Digest
	if _, err := io.Copy(&digest, resp.Body); err != nil {
		o.Failed = failedBody
	}
	o.Status = resp.StatusCode
	o.Body = digest.String()
	o.Trailer = webapp.HeaderText(resp.Trailer)
	if text := resp.Header.Get(webapp.ObservedRequestHeader); text != "" {
		o.Application = observedRequest(text)
		resp.Header.Del(webapp.ObservedRequestHeader)
	}
	o.Header = headerText(resp.Header)
	if resp.ContentLength >= 0 && x.Method == http.MethodHead {
		o.Header += fmt.Sprint("; length ", resp.ContentLength)
	}
}

// observedRequest returns the request as the application received it, in one line.
func observedRequest(text string) string {
	var got webapp.ObservedRequest
	if err := json.Unmarshal([]byte(text), &got); err != nil {
		return err.Error()
	}
	return fmt.Sprint(got.Method, " ", got.URI, " ", got.Host, " ", headerText(got.Header), " ", got.Body, " ",
		webapp.HeaderText(got.Trailer))
}
