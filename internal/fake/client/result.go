package client

import (
	"errors"
	"net"
	"slices"
	"time"
)

// Verdict classifies how a request ended.
type Verdict uint8

// The verdicts.
const (
	Served         Verdict = iota // 200
	Rejected                      // 429 or 503
	Failed                        // any other complete response
	ConnectionLost                // no complete response: the connection broke or could not be established
	TimedOut                      // the client's timeout passed
	WrongResponse                 // a response to another request, or more than one
	ClientError                   // 4xx, written by the endpoint itself
	VerdictCount                  // the number of verdicts
)

var verdictNames = [VerdictCount]string{"served", "refused", "failed", "lost", "timed out", "wrong", "answered"}

// String returns the verdict's name as reports print it.
func (v Verdict) String() string { return verdictNames[v] }

// Result describes one finished request.
type Result struct {
	ID        string
	Key       string // its Idempotency-Key; "" without one
	Class     string
	Verdict   Verdict
	Status    int    // the response's status code; 0 without a response
	Reason    string // the body of a response that says Rejected
	NamedID   string // the ID of the request that a WrongResponse names in its body: the one that it belongs to
	StartedAt time.Time
	Latency   time.Duration
	Err       error  `json:"-"` // set for ConnectionLost and TimedOut
	ErrorText string // the text of Err, for a Result that is sent to another process
}

// fail records that a request ended without a complete response.
func (r *Result) fail(err error) {
	r.Err = err
	r.ErrorText = err.Error()
	r.Verdict = ConnectionLost
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		r.Verdict = TimedOut
	}
}

// Report summarizes a client's requests.
type Report struct {
	Scheduled  int // requests due, those skipped included
	Skipped    int // requests that were not sent, since MaxOpen were open
	ByVerdict  [VerdictCount]int
	Latencies  []time.Duration // of the served requests, sorted once the client has ended
	LongestGap time.Duration   // the longest time between two served responses

	lastServedAt time.Time
}

// Quantile returns the latency at quantile q (0 to 1) of the served requests, or 0 when none was served.
func (r *Report) Quantile(q float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(len(r.Latencies)-1, int(q*float64(len(r.Latencies))))]
}

// add counts a finished request.
func (r *Report) add(result Result) {
	r.ByVerdict[result.Verdict]++
	if result.Verdict != Served {
		return
	}
	r.Latencies = append(r.Latencies, result.Latency)
	finishedAt := result.StartedAt.Add(result.Latency)
	if !r.lastServedAt.IsZero() {
		r.LongestGap = max(r.LongestGap, finishedAt.Sub(r.lastServedAt))
	}
	r.lastServedAt = finishedAt
}

func (r *Report) sort() { slices.Sort(r.Latencies) }
