// Package bench holds the project's own measurements. Each starts the program under test and what it is compared with
// as processes of their own, sends both the same requests in turn, and prints one line for each. It knows the programs
// by their command lines only.
package bench

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"dunlinsail/internal/fake/client"
)

// Names under which figures are printed.
const (
	daemonName  = "dunlinsaild"
	sidecarName = "dunlinsail"
	proxyName   = "ReverseProxy"
)

// Options are common to the measurements. A measurement uses those that it needs.
type Options struct {
	Bin      string        // folder of the programs
	Rate     float64       // requests a second
	Duration time.Duration // of each part
	Rounds   int           // how often each part is measured
}

// Sizes of clients in the measurements.
const (
	maxOpenRequests = 256    // of a client at a steady rate
	manyOpen        = 1000   // of a client whose requests may wait for a process that starts
	tenant          = "acme" // the one tenant of the configurations
	clientTimeout   = 500 * time.Millisecond
	bookingBodySize = 200 // bytes
)

// classes are those of sidecarConfig and daemonConfig, as a client sends them.
var classes = []client.Class{
	{Name: "look", Share: 0.9, Method: http.MethodGet, Timeout: clientTimeout},
	{
		Name: "book", Share: 0.1, Method: http.MethodPost, SendIdempotencyKey: true, BodySize: bookingBodySize,
		Timeout: clientTimeout,
	},
}

// median returns the middle of some figures.
func median(figures []float64) float64 {
	sorted := slices.Sorted(slices.Values(figures))
	return sorted[len(sorted)/2]
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return d.Seconds() * 1000 }

// microsPerRequest returns a processor time divided by the requests of a report, in microseconds.
func microsPerRequest(cpu time.Duration, r client.Report) float64 {
	return cpu.Seconds() * 1e6 / float64(max(1, r.Scheduled))
}

// percentOf returns the requests that ended with a verdict, in percent of all.
func percentOf(r client.Report, verdict client.Verdict) float64 {
	return 100 * float64(r.ByVerdict[verdict]) / float64(max(1, r.Scheduled))
}

// servedPercent returns the requests that were served, in percent of all.
func servedPercent(r client.Report) float64 { return percentOf(r, client.Served) }

// lostRequests returns how many requests got no response, a late one or a wrong one.
func lostRequests(r client.Report) int {
	return r.ByVerdict[client.ConnectionLost] + r.ByVerdict[client.TimedOut] + r.ByVerdict[client.WrongResponse]
}

// printReport prints one line of figures.
func printReport(w io.Writer, name string, r client.Report, cpu time.Duration) {
	served := r.ByVerdict[client.Served]
	rejected := r.ByVerdict[client.Rejected]
	scheduled := float64(max(1, r.Scheduled))
	other := 100 * (scheduled - float64(served+rejected)) / scheduled
	fmt.Fprintf(w, "%-14s asked %6d  served %6.2f%%  refused %6.2f%%  other %6.2f%%  ",
		name, r.Scheduled, servedPercent(r), percentOf(r, client.Rejected), other)
	fmt.Fprintf(w, "p50 %7.2f ms  p99 %7.2f ms  cpu %6.1f us/request\n",
		ms(r.Quantile(0.5)), ms(r.Quantile(0.99)), microsPerRequest(cpu, r))
}
