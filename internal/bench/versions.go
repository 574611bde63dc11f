package bench

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/xdsserver"
)

const (
	versionInterval     = 250 * time.Millisecond // from one version's sending to the next one's
	versionTimeout      = 5 * time.Second        // within which a version has to be applied
	versionPollInterval = 50 * time.Microsecond
	baseOpenRequests    = 1000 // a client's limit, which the versions raise by their number
)

// versionKind is a kind of configuration versions and what was measured while they came.
type versionKind struct {
	name      string
	resources func(number int) []config.Resource // nil: no versions
	applied   []float64                          // milliseconds from sending to applied
	gap       []float64                          // figures of the rounds, in milliseconds
	p50       []float64
	p99       []float64
	p999      []float64
}

// Versions measures how long a version takes from the service to being applied, what it costs on the request path
// beside the same time without versions, and what the client of the service holds in memory.
func Versions(ctx context.Context, w io.Writer, o Options) error {
	s, err := newShortServiceSite()
	if err != nil {
		return err
	}
	defer s.close()
	without, err := s.memoryWithoutControl(ctx, o.Bin)
	if err != nil {
		return err
	}
	service, err := xdsserver.Start(xdsserver.Options{})
	if err != nil {
		return err
	}
	defer service.Close()
	control := fmt.Sprintf(
		"[control]\naddress = %q\nplaintext = true\nstate = %q\ntrial = \"0s\"\ngap = \"10ms\"\n[connections]",
		service.Address, filepath.Join(s.dir, "versions"))
	daemon, err := s.startDaemon(ctx, o.Bin, measuredCores, "[connections]", control)
	if err != nil {
		return err
	}
	defer daemon.stop()
	with, err := daemon.stableMemory(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "memory at rest: %.2f MiB, %.2f MiB with a control service: %.2f MiB for its client\n",
		mib(without), mib(with), mib(with-without))
	fmt.Fprintf(w, "%.0f requests a second for %v each, %d rounds, a version every 250 ms\n",
		o.Rate, o.Duration, o.Rounds)
	kinds := []*versionKind{
		{name: "without"},
		{name: "while serving", resources: resourcesWhileServing},
		{name: "a new generation", resources: resourcesOfNewGeneration},
	}
	publisher := &versionPublisher{service: service}
	for round := range o.Rounds {
		for i, kind := range kinds {
			if err := kind.measure(ctx, w, o, daemon.addr, publisher, round, i); err != nil {
				return err
			}
		}
	}
	for _, kind := range kinds {
		kind.printMedians(w)
	}
	return nil
}

// memoryWithoutControl returns the memory in bytes of a daemon that follows no control service.
func (s *site) memoryWithoutControl(ctx context.Context, bin string) (int64, error) {
	p, err := s.startDaemon(ctx, bin, measuredCores)
	if err != nil {
		return 0, err
	}
	defer p.stop()
	return p.stableMemory(ctx)
}

// resourcesWhileServing is a version that can be applied while serving: it changes a client's limit.
func resourcesWhileServing(number int) []config.Resource {
	return []config.Resource{
		{Kind: "client", Name: "desk", Fields: map[string]any{"open_requests": float64(baseOpenRequests + number)}},
		{Kind: "client", Name: "hog", Fields: map[string]any{}},
		{Kind: "attempts", Fields: map[string]any{"most": 3.0}},
	}
}

// resourcesOfNewGeneration is a version that needs a generation of its own: it changes the attempts of a request.
func resourcesOfNewGeneration(number int) []config.Resource {
	return []config.Resource{
		{Kind: "client", Name: "desk", Fields: map[string]any{}},
		{Kind: "client", Name: "hog", Fields: map[string]any{}},
		{Kind: "attempts", Fields: map[string]any{"most": float64(2 + number%2)}},
	}
}

// measure sends requests while versions of the kind come, and prints a line.
func (k *versionKind) measure(
	ctx context.Context, w io.Writer, o Options, addr string, publisher *versionPublisher, round, index int,
) error {
	publishing, stopPublishing := context.WithCancel(ctx)
	defer stopPublishing()
	published := make(chan error, 1)
	go func() { published <- publisher.run(publishing, k) }()
	report := client.New(client.Options{
		Name: fmt.Sprintf("c%d%d", round, index), Network: "tcp", Addr: addr, Tenant: tenant, Classes: classes,
		Rate: o.Rate, Duration: o.Duration, MaxOpen: manyOpen, Seed: uint64(round),
	}).Run(ctx)
	stopPublishing()
	if err := <-published; err != nil {
		return err
	}
	k.gap = append(k.gap, ms(report.LongestGap))
	k.p50 = append(k.p50, ms(report.Quantile(0.5)))
	k.p99 = append(k.p99, ms(report.Quantile(0.99)))
	k.p999 = append(k.p999, ms(report.Quantile(0.999)))
	printCounts(w, fmt.Sprintf("%-17s", k.name), report)
	fmt.Fprintf(w, "p50 %5.2f ms, p99 %5.2f, p99.9 %5.2f, longest gap %5.2f\n",
		ms(report.Quantile(0.5)), ms(report.Quantile(0.99)), ms(report.Quantile(0.999)), ms(report.LongestGap))
	return nil
}

// printMedians prints the medians of the rounds.
func (k *versionKind) printMedians(w io.Writer) {
	fmt.Fprintf(w, "medians, %-17s p50 %.2f ms, p99 %.2f, p99.9 %.2f, longest gap %.2f",
		k.name, median(k.p50), median(k.p99), median(k.p999), median(k.gap))
	if n := len(k.applied); n > 0 {
		slices.Sort(k.applied)
		fmt.Fprintf(w, "; from sent to applied p50 %.1f ms, p99 %.1f, of %d", k.applied[n/2], k.applied[n*99/100], n)
	}
	fmt.Fprintln(w)
}

// versionPublisher sends versions by a control service. Their numbers go on over all kinds.
type versionPublisher struct {
	service *xdsserver.Server
	number  int
}

// run sends versions of a kind until ctx ends, and adds the times until they were applied to the kind's.
func (p *versionPublisher) run(ctx context.Context, kind *versionKind) error {
	if kind.resources == nil {
		return nil
	}
	for {
		p.number++
		sentAt := time.Now()
		if err := p.publish(kind.resources(p.number)); err != nil {
			return err
		}
		kind.applied = append(kind.applied, ms(time.Since(sentAt)))
		select {
		case <-time.After(versionInterval - time.Since(sentAt)):
		case <-ctx.Done():
			return nil
		}
	}
}

// publish sends a version and waits until the daemon has acknowledged it as good.
func (p *versionPublisher) publish(resources []config.Resource) error {
	name := fmt.Sprint(p.number)
	deadline := time.Now().Add(versionTimeout)
	if err := p.service.SetResources(name, resources, nil); err != nil {
		return err
	}
	for !p.service.HasAnswer("", name, "good") {
		if time.Now().After(deadline) {
			return fmt.Errorf("version %s: %q", name, p.service.Answers("", name))
		}
		time.Sleep(versionPollInterval)
	}
	return nil
}
