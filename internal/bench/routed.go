package bench

import (
	"context"
	"fmt"
	"io"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
)

// protocolRoutes are routes that do for a request all that the platform's protocol does without routes.
const protocolRoutes = `class = "look"
tenant = "header:X-Customer"
id = "header:X-Trace-Id"
deadline = "header:X-Expires-In-Ms"
key = "header:Idempotency-Key"
object = "header:X-Object"
path = "/look/*"
[[route]]
pool = "app"
class = "book"
tenant = "header:X-Customer"
id = "header:X-Trace-Id"
deadline = "header:X-Expires-In-Ms"
key = "header:Idempotency-Key"
object = "header:X-Object"
path = "/book/*"
`

// Names of the two ways of a request.
const (
	byProtocol = "PROTOCOL"
	byRoutes   = "routed"
)

// Routed measures the processor time of a request by routes that do all that the platform's protocol does, beside a
// request by that protocol.
func Routed(ctx context.Context, w io.Writer, o Options) error {
	s, err := newSite(fastEndpoints, endpoint.Options{})
	if err != nil {
		return err
	}
	defer s.close()
	fmt.Fprintf(w, "%d endpoints that answer at once; %.0f requests a second on one core, %v each, %d rounds\n",
		len(s.endpoints), o.Rate, o.Duration, o.Rounds)
	routes := protocolRoutes + lookClass + fmt.Sprintf(bookingClass, "all") + daemonTenant
	startProtocol := func() (*process, error) { return s.startDaemon(ctx, o.Bin, 1) }
	startRouted := func() (*process, error) { return s.startRoutedDaemon(ctx, o.Bin, 1, "", routes) }
	var protocol, routed []float64
	for range o.Rounds {
		cpu, err := measureRouted(ctx, w, o, byProtocol, startProtocol)
		if err != nil {
			return err
		}
		protocol = append(protocol, cpu)
		if cpu, err = measureRouted(ctx, w, o, byRoutes, startRouted); err != nil {
			return err
		}
		routed = append(routed, cpu)
	}
	fmt.Fprintf(w, "medians: %.1f us routed, %.1f as PROTOCOL has it: %+.1f%%\n",
		median(routed), median(protocol), 100*(median(routed)/median(protocol)-1))
	return nil
}

// measureRouted measures one part, prints its line, and returns the processor time of a request in microseconds.
func measureRouted(
	ctx context.Context, w io.Writer, o Options, name string, start func() (*process, error),
) (cpuMicros float64, err error) {
	report, cpu, err := runClient(ctx, start, client.Options{
		Rate: o.Rate, Duration: o.Duration, MaxOpen: maxOpenRequests,
	})
	if err != nil {
		return 0, err
	}
	cpuMicros = microsPerRequest(cpu, report)
	fmt.Fprintf(w, "%-9s served %6.2f%%, p50 %5.2f ms, p99 %5.2f ms, cpu %6.1f us/request\n",
		name, servedPercent(report), ms(report.Quantile(0.5)), ms(report.Quantile(0.99)), cpuMicros)
	return cpuMicros, nil
}
