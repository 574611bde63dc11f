package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/freeport"
)

// operatorGap is from one call of the operators' to the next: twice as often as the figures are read in service.
const operatorGap = 500 * time.Millisecond

// Service measures the processor time of a request through the sidecar: alone, with operators who read its figures and take
// an endpoint out and back all the time, and through another build of it where one is named. Each in turn, in rounds.
func Service(ctx context.Context, w io.Writer, bin, other string, rate float64, each time.Duration, rounds int) error {
	dir, err := os.MkdirTemp("", "dunlinsail-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	addrs, stop, err := endpoints(4, endpoint.Options{})
	if err != nil {
		return err
	}
	defer stop()
	ways := []struct{ name, program, desk string }{{"alone", bin + "/dunlinsail", ""}, {"operators", bin + "/dunlinsail", "yes"}}
	if other != "" {
		ways = append(ways, struct{ name, program, desk string }{"other", other, ""})
	}
	cpu := make([][]float64, len(ways))
	fmt.Fprintf(w, "%d idle endpoints, %.0f requests a second, %d rounds of %v each\n", len(addrs), rate, rounds, each)
	for round := range rounds {
		for i, way := range ways {
			addr, err := freeport.Free()
			if err != nil {
				return err
			}
			config, err := sidecarConfig(dir, addr, addrs)
			if err != nil {
				return err
			}
			env := []string{"ROUTER_CONFIG=" + config}
			part, end := context.WithCancel(ctx)
			calls := make(chan error, 1)
			calls <- nil
			var desk string
			if way.desk != "" {
				if desk, err = freeport.Free(); err != nil {
					end()
					return err
				}
				env = append(env, "ROUTER_OPERATOR="+desk)
			}
			p, err := startProcess(part, addr, 1, env, way.program)
			if err != nil {
				end()
				return err
			}
			if desk != "" {
				<-calls
				go func() { calls <- operate(part, desk) }()
			}
			r := client.New(client.Options{Name: way.name, Network: "tcp", Addr: addr, Tenant: "acme", Classes: classes,
				Rate: rate, Duration: each, MaxOpen: 256, Seed: uint64(round + 1)}).Run(part)
			end()
			if err := <-calls; err != nil {
				p.stop()
				return err
			}
			took := p.stop()
			printReport(w, way.name, r, took)
			cpu[i] = append(cpu[i], took.Seconds()*1e6/float64(max(1, r.Scheduled)))
		}
	}
	for i, way := range ways[1:] {
		ratios := make([]float64, rounds)
		for round := range rounds {
			ratios[round] = cpu[i+1][round] / cpu[0][round]
		}
		slices.Sort(ratios)
		fmt.Fprintf(w, "processor time a request, %s against alone, round by round: median %.3f, from %.3f to %.3f\n",
			way.name, ratios[rounds/2], ratios[0], ratios[rounds-1])
	}
	return nil
}

// operate reads the figures, and takes the first endpoint out and back, until ctx ends. A call that is not answered well is
// an error.
func operate(ctx context.Context, desk string) error {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(operatorGap)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		resp, err := c.Get("http://" + desk + "/metrics")
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // only how long it takes counts
			resp.Body.Close()
			word := [...]string{"disable", "enable"}[n%2]
			resp, err = c.Post("http://"+desk+"/endpoints/"+word, "application/json", strings.NewReader(`{"target":"s-0"}`))
		}
		if err != nil {
			return fmt.Errorf("operators' call: %w", err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("operators' call: %s", resp.Status)
		}
	}
}
