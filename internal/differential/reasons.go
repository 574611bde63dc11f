package differential

import (
	"net/http"
	"regexp"
	"strings"

	"dunlinsail/internal/fake/webapp"
)

// IgnoredHeaders maps each header field that is not compared to the reason.
var IgnoredHeaders = map[string]string{
	"Date":              "changes each second",
	"Connection":        "applies to one connection only (RFC 9110 section 7.6.1)",
	"Transfer-Encoding": "applies to one connection only",
	"Trailer":           "announces the trailers, which are compared themselves",
	"Accept-Encoding":   "ReverseProxy's client side may add its own",
	"User-Agent":        "ReverseProxy sets an empty one if the request has none",
	"X-Forwarded-For":   "ReverseProxy always adds it; for a daemon with routes the operator decides",
	"Te":                "applies to one connection only; both proxies forward that trailers are accepted",
}

// comparedHeaderText returns the header fields that are compared, as text.
func comparedHeaderText(h http.Header) string {
	var ignored []string
	for name := range IgnoredHeaders {
		ignored = append(ignored, name)
	}
	return webapp.HeaderText(h, ignored...)
}

// expectedDifference is a kind of difference that is no fault. Its function matches gets the outcome of the
// daemon and that of the proxy, which is httputil.ReverseProxy.
type expectedDifference struct {
	reason  string // why both outcomes are correct, or why the proxy's differs
	matches func(x *Exchange, part string, daemon, proxy *Outcome) bool
}

// expectedDifferences are tried in this order; the reason of the first one that matches is reported.
var expectedDifferences = []expectedDifference{
	{"both proxies respond with 502, each with its own text, if a response fails before any of it reaches the client",
		isBadGatewayText},
	{"the daemon adds Content-Length to a response that it buffers or that ends with its head",
		isAddedLength},
	{"a chunked body that is buffered is forwarded with its length; the daemon responds to Expect itself, " +
		"ReverseProxy forwards it; ReverseProxy forwards the names of a request's trailers without their values",
		isBufferedRequest},
	{"ReverseProxy's server side closes a request's body when its response starts, while its client side may still " +
		"read the body: some of these responses fail, while the daemon's are those that the application gave",
		isClosedRequestBody},
	{"how much of a response arrives before its failure is noticed is a matter of chance",
		isBrokenResponse},
}

// expectedReason returns why a difference is expected, or "" if no reason is known.
func expectedReason(x *Exchange, part string, daemon, proxy *Outcome) string {
	for _, expected := range expectedDifferences {
		if expected.matches(x, part, daemon, proxy) {
			return expected.reason
		}
	}
	return ""
}

func isBadGatewayText(_ *Exchange, part string, daemon, proxy *Outcome) bool {
	return daemon.Status == http.StatusBadGateway && proxy.Status == http.StatusBadGateway && part != partStatus
}

// contentLengthField matches the Content-Length field in the text of a header.
var contentLengthField = regexp.MustCompile(`Content-Length: \["\d+"\]; `)

func isAddedLength(_ *Exchange, part string, daemon, proxy *Outcome) bool {
	return part == partHeader && !strings.Contains(proxy.Header, "Content-Length") &&
		contentLengthField.ReplaceAllString(daemon.Header, "") == proxy.Header
}

// bufferingChanges matches the fields and trailers that a request gains or loses when a proxy buffers its body,
// in the text that the application returns.
var bufferingChanges = regexp.MustCompile(`(Content-Length: \["\d+"\]|Expect: \["100-continue"\]); | X-Sum: \[.*$`)

func isBufferedRequest(x *Exchange, part string, daemon, proxy *Outcome) bool {
	if part != partApplication || daemon.ApplicationRequest == "" || !x.Chunked && !x.Expect {
		return false
	}
	daemonRequest := bufferingChanges.ReplaceAllString(daemon.ApplicationRequest, "")
	proxyRequest := bufferingChanges.ReplaceAllString(proxy.ApplicationRequest, "")
	return daemonRequest == proxyRequest && strings.HasSuffix(daemon.ApplicationRequest, webapp.HeaderText(x.Trailer))
}

func isClosedRequestBody(x *Exchange, _ string, daemon, proxy *Outcome) bool {
	proxyFailed := proxy.FailedPart != "" || proxy.Status == http.StatusBadGateway
	return x.Body >= 0 && proxyFailed && matchesPlan(x, daemon)
}

func isBrokenResponse(x *Exchange, part string, daemon, proxy *Outcome) bool {
	if x.Plan.ResetAfter <= 0 {
		return false
	}
	if daemon.Status == http.StatusBadGateway || proxy.Status == http.StatusBadGateway {
		return true
	}
	switch part {
	case partStatus, partHeader, partBody, partFailed:
		return daemon.FailedPart+proxy.FailedPart != ""
	}
	return false
}

// matchesPlan reports whether a response is complete and has the status and the body of the exchange's plan.
func matchesPlan(x *Exchange, outcome *Outcome) bool {
	var planned webapp.Digest
	if x.Method != http.MethodHead && x.Plan.Status != http.StatusNoContent && x.Plan.Status != http.StatusNotModified {
		for _, size := range x.Plan.PieceSizes() {
			if err := webapp.WriteBody(&planned, size); err != nil {
				return false
			}
		}
	}
	return outcome.FailedPart == "" && outcome.Status == x.Plan.Status && outcome.Body == planned.String()
}
