package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/freeport"
)

const (
	// adminCallInterval is the time from one round of operators' calls to the next: half of the interval at which
	// metrics are read in service.
	adminCallInterval = 500 * time.Millisecond
	adminCallTimeout  = time.Second
)

// sidecarVariant is a way in which the sidecar is run.
type sidecarVariant struct {
	name       string
	program    string
	adminCalls bool // operators call all the time
}

// Service measures the processor time of a request through the sidecar: alone, with operators who read its metrics and
// cordon and uncordon an endpoint all the time, and through another build of it where one is named. Each in turn, in
// rounds.
func Service(ctx context.Context, w io.Writer, o Options, otherBuild string) error {
	s, err := newSite(fastEndpoints, endpoint.Options{})
	if err != nil {
		return err
	}
	defer s.close()
	program := filepath.Join(o.Bin, sidecarName)
	variants := []sidecarVariant{
		{name: "alone", program: program},
		{name: "operators", program: program, adminCalls: true},
	}
	if otherBuild != "" {
		variants = append(variants, sidecarVariant{name: "other", program: otherBuild})
	}
	fmt.Fprintf(w, "%d idle endpoints, %.0f requests a second, %d rounds of %v each\n",
		len(s.endpoints), o.Rate, o.Rounds, o.Duration)
	cpu := make([][]float64, len(variants))
	for round := range o.Rounds {
		for i, v := range variants {
			report, used, err := s.measureService(ctx, o, v, uint64(round+1))
			if err != nil {
				return err
			}
			printReport(w, v.name, report, used)
			cpu[i] = append(cpu[i], microsPerRequest(used, report))
		}
	}
	for i, v := range variants[1:] {
		printRatios(w, v.name, cpu[i+1], cpu[0])
	}
	return nil
}

// printRatios prints how the figures of a variant compare with those of the first, round by round.
func printRatios(w io.Writer, name string, figures, base []float64) {
	ratios := make([]float64, len(base))
	for round := range base {
		ratios[round] = figures[round] / base[round]
	}
	slices.Sort(ratios)
	fmt.Fprintf(w, "processor time a request, %s against alone, round by round: median %.3f, from %.3f to %.3f\n",
		name, ratios[len(ratios)/2], ratios[0], ratios[len(ratios)-1])
}

// measureService runs one variant for one part, and returns the processor time that the sidecar took in all.
func (s *site) measureService(
	ctx context.Context, o Options, v sidecarVariant, seed uint64,
) (report client.Report, cpu time.Duration, err error) {
	var env []string
	var adminAddr string
	if v.adminCalls {
		if adminAddr, err = freeport.Free(); err != nil {
			return client.Report{}, 0, err
		}
		env = append(env, "ROUTER_OPERATOR="+adminAddr)
	}
	p, err := s.startSidecar(ctx, v.program, env)
	if err != nil {
		return client.Report{}, 0, err
	}
	calls, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	callsEnded := make(chan error, 1)
	go func() {
		if !v.adminCalls {
			callsEnded <- nil
			return
		}
		callsEnded <- callAdmin(calls, adminAddr)
	}()
	report = client.New(client.Options{
		Name: v.name, Network: "tcp", Addr: p.addr, Tenant: tenant, Classes: classes,
		Rate: o.Rate, Duration: o.Duration, MaxOpen: maxOpenRequests, Seed: seed,
	}).Run(ctx)
	stopCalls()
	err = <-callsEnded
	return report, p.stop(), err
}

// callAdmin reads the metrics, and cordons and uncordons the first endpoint, until ctx ends. A call that does not
// succeed is an error.
func callAdmin(ctx context.Context, addr string) error {
	c := &http.Client{Timeout: adminCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(adminCallInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if err := readMetrics(c, addr); err != nil {
			return err
		}
		action := [...]string{"disable", "enable"}[n%2]
		target := strings.NewReader(`{"target":"s-0"}`)
		resp, err := c.Post("http://"+addr+"/endpoints/"+action, "application/json", target)
		if err := checkAdminCall(resp, err); err != nil {
			return err
		}
	}
}

// readMetrics reads the metrics, whatever they are: only the time that they take counts.
func readMetrics(c *http.Client, addr string) error {
	resp, err := c.Get("http://" + addr + "/metrics")
	if err != nil {
		return fmt.Errorf("operators' call: %w", err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // a response that breaks off took its time, too
	return nil
}

// checkAdminCall returns an error unless a call succeeded.
func checkAdminCall(resp *http.Response, err error) error {
	if err != nil {
		return fmt.Errorf("operators' call: %w", err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("operators' call: %s", resp.Status)
	}
	return nil
}
