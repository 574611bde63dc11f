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
	"Connection":        "of one connection only (RFC 9110 section 7.6.1)",
	"Transfer-Encoding": "of one connection only",
	"Trailer":           "an announcement; the trailers themselves are compared",
	"Accept-Encoding":   "ReverseProxy's client side may add its own",
	"User-Agent":        "ReverseProxy sets an empty one where there is none",
	"X-Forwarded-For":   "ReverseProxy adds it by itself; with routes it is the operator's choice",
	"Te":                "of one connection only; both forward that trailers are accepted",
}

// comparedHeaderText returns the header fields that are compared, as text.
func comparedHeaderText(h http.Header) string {
	var ignored []string
	for name := range IgnoredHeaders {
		ignored = append(ignored, name)
	}
	return webapp.HeaderText(h, ignored...)
}

// expectedDifference is a kind of difference that is no fault. In its function matches, a is the outcome of the
// daemon, and b is the outcome of httputil.ReverseProxy.
type expectedDifference struct {
	reason  string
	matches func(x *Exchange, part string, a, b *Outcome) bool
}

// expectedDifferences are tried in this order; the reason of the first one that matches is reported.
var expectedDifferences = []expectedDifference{
	{"an answer that breaks before it has begun for the client is 502 here and there, each in its own words",
		isBadGatewayText},
	{"an answer that is held whole, or ends with its head, tells its length",
		isAddedLength},
	{"a body in chunks that is held whole goes on with its length; the daemon answers an Expect itself, " +
		"ReverseProxy passes it on; ReverseProxy passes on the names of a request's trailers without their values",
		isBufferedRequest},
	{"ReverseProxy's server side closes a request's body as its answer begins, while its client side may still read " +
		"there: the answer then breaks now and then, where the daemon's is as the application was asked for",
		isClosedRequestBody},
	{"of an answer that breaks, how much has come before it shows is chance",
		isBrokenResponse},
}

// expectedReason returns why a difference is expected, or "" if no reason is known.
func expectedReason(x *Exchange, part string, a, b *Outcome) string {
	for _, expected := range expectedDifferences {
		if expected.matches(x, part, a, b) {
			return expected.reason
		}
	}
	return ""
}

func isBadGatewayText(_ *Exchange, part string, a, b *Outcome) bool {
	return a.Status == http.StatusBadGateway && b.Status == http.StatusBadGateway && part != partStatus
}

// contentLengthField matches the Content-Length field in the text of a header.
var contentLengthField = regexp.MustCompile(`Content-Length: \["\d+"\]; `)

func isAddedLength(_ *Exchange, part string, a, b *Outcome) bool {
	return part == partHeader && !strings.Contains(b.Header, "Content-Length") &&
		contentLengthField.ReplaceAllString(a.Header, "") == b.Header
}

// bufferingChanges matches the fields and trailers that a request gains or loses when a proxy buffers its body,
// in the text that the application returns.
var bufferingChanges = regexp.MustCompile(`(Content-Length: \["\d+"\]|Expect: \["100-continue"\]); | X-Sum: \[.*$`)

func isBufferedRequest(x *Exchange, part string, a, b *Outcome) bool {
	if part != partApplication || a.ApplicationRequest == "" || !x.Chunked && !x.Expect {
		return false
	}
	withoutA := bufferingChanges.ReplaceAllString(a.ApplicationRequest, "")
	withoutB := bufferingChanges.ReplaceAllString(b.ApplicationRequest, "")
	return withoutA == withoutB && strings.HasSuffix(a.ApplicationRequest, webapp.HeaderText(x.Trailer))
}

func isClosedRequestBody(x *Exchange, _ string, a, b *Outcome) bool {
	brokenB := b.FailedPart != "" || b.Status == http.StatusBadGateway
	return x.Body >= 0 && brokenB && matchesPlan(x, a)
}

func isBrokenResponse(x *Exchange, part string, a, b *Outcome) bool {
	if x.Plan.ResetAfter <= 0 {
		return false
	}
	if a.Status == http.StatusBadGateway || b.Status == http.StatusBadGateway {
		return true
	}
	switch part {
	case partStatus, partHeader, partBody, partFailed:
		return a.FailedPart+b.FailedPart != ""
	}
	return false
}

// matchesPlan reports whether a response is complete and has the status and the body of the exchange's plan.
func matchesPlan(x *Exchange, o *Outcome) bool {
	var planned webapp.Digest
	if x.Method != http.MethodHead && x.Plan.Status != http.StatusNoContent && x.Plan.Status != http.StatusNotModified {
		for _, size := range x.Plan.PieceSizes() {
			if err := webapp.WriteBody(&planned, size); err != nil {
				return false
			}
		}
	}
	return o.FailedPart == "" && o.Status == x.Plan.Status && o.Body == planned.String()
}
