package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/xdsserver"
)

// Versions measures how long a version takes from the service to being applied, what it costs on the request path beside the
// same time without versions, and what the client of the service holds in memory.
func Versions(ctx context.Context, w io.Writer, bin string, rate float64, each time.Duration, rounds int) error {
	s, err := newSite(4, endpoint.Options{ServiceTime: map[string]time.Duration{"": 2 * time.Millisecond}, Spread: 0.5, Cores: 8})
	if err != nil {
		return err
	}
	defer s.close()
	plain, err := s.daemon(ctx, bin, 2)
	if err != nil {
		return err
	}
	without, err := plain.settled(ctx)
	if err != nil {
		return err
	}
	plain.stop()
	service, err := xdsserver.Start(xdsserver.Options{})
	if err != nil {
		return err
	}
	defer service.Close()
	p, err := s.daemon(ctx, bin, 2, "[connections]", fmt.Sprintf("[control]\naddress = %q\nplaintext = true\nstate = %q\ntrial = \"0s\"\ngap = \"10ms\"\n[connections]",
		service.Address, filepath.Join(s.dir, "versions")))
	if err != nil {
		return err
	}
	defer p.stop()
	with, err := p.settled(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "memory at rest: %.2f MiB, %.2f MiB with a control service: %.2f MiB for its client\n", mib(without), mib(with), mib(with-without))
	// A live version changes a client's bounds; the other kind needs a generation of its own.
	number := 0
	kinds := map[string]func() []config.Resource{
		"while serving": func() []config.Resource {
			return []config.Resource{{Kind: "client", Name: "desk", Fields: map[string]any{"open_requests": float64(1000 + number)}},
				{Kind: "client", Name: "hog", Fields: map[string]any{}}, {Kind: "attempts", Fields: map[string]any{"most": 3.0}}}
		},
		"a new generation": func() []config.Resource {
			return []config.Resource{{Kind: "client", Name: "desk", Fields: map[string]any{}}, {Kind: "client", Name: "hog", Fields: map[string]any{}},
				{Kind: "attempts", Fields: map[string]any{"most": float64(2 + number%2)}}}
		},
	}
	fmt.Fprintf(w, "%.0f requests a second for %v each, %d rounds, a version every 250 ms\n", rate, each, rounds)
	type part struct{ gap, p50, p99, p999 []float64 }
	took, parts := map[string][]float64{}, map[string]*part{}
	names := []string{"without", "while serving", "a new generation"}
	for round := range rounds {
		for i, name := range names {
			done := make(chan error, 1)
			stop := make(chan struct{})
			go func() {
				defer close(done)
				if kinds[name] == nil {
					return
				}
				for {
					number++
					info := fmt.Sprint(number)
					began := time.Now()
					if err := service.SetResources(info, kinds[name](), nil); err != nil {
						done <- err
						return
					}
					for !service.HasAnswer("", info, "good") {
						if time.Since(began) > 5*time.Second {
							done <- fmt.Errorf("version %s: %q", info, service.Answers("", info))
							return
						}
						time.Sleep(50 * time.Microsecond)
					}
					took[name] = append(took[name], ms(time.Since(began)))
					select {
					case <-time.After(250*time.Millisecond - time.Since(began)):
					case <-stop:
						return
					}
				}
			}()
			r := client.New(client.Options{Name: fmt.Sprintf("c%d%d", round, i), Network: "tcp", Addr: p.addr, Tenant: "acme", Classes: classes, Rate: rate, Duration: each, MaxOpen: 1000, Seed: uint64(round)}).Run(ctx)
			close(stop)
			if err := <-done; err != nil {
				return err
			}
			x := parts[name]
			if x == nil {
				x = &part{}
				parts[name] = x
			}
			x.gap = append(x.gap, ms(r.LongestGap))
			x.p50, x.p99, x.p999 = append(x.p50, ms(r.Quantile(0.5))), append(x.p99, ms(r.Quantile(0.99))), append(x.p999, ms(r.Quantile(0.999)))
			fmt.Fprintf(w, "%-17s asked %5d, served %5d, refused %d, failed %d, lost %d; p50 %5.2f ms, p99 %5.2f, p99.9 %5.2f, longest gap %5.2f\n", name, r.Scheduled, r.ByVerdict[client.Served],
				r.ByVerdict[client.Rejected], r.ByVerdict[client.Failed], r.ByVerdict[client.ConnectionLost]+r.ByVerdict[client.TimedOut]+r.ByVerdict[client.WrongResponse], ms(r.Quantile(0.5)), ms(r.Quantile(0.99)), ms(r.Quantile(0.999)), ms(r.LongestGap))
		}
	}
	for _, name := range names {
		x := parts[name]
		fmt.Fprintf(w, "medians, %-17s p50 %.2f ms, p99 %.2f, p99.9 %.2f, longest gap %.2f", name, median(x.p50), median(x.p99), median(x.p999), median(x.gap))
		if v := took[name]; len(v) > 0 {
			slices.Sort(v)
			fmt.Fprintf(w, "; from sent to applied p50 %.1f ms, p99 %.1f, of %d", v[len(v)/2], v[len(v)*99/100], len(v))
		}
		fmt.Fprintln(w)
	}
	return nil
}

func mib(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// Transport measures what two ways of getting versions cost: xDS over gRPC, and lines of JSON over HTTP. Both programs do the
// same with what comes.
func Transport(ctx context.Context, w io.Writer, versions, resources, rounds int) error {
	dir, err := os.MkdirTemp("", "dunlinsail-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var all []config.Resource
	for i := range resources {
		all = append(all, config.Resource{Kind: "class", Name: fmt.Sprint("class-", i), Fields: map[string]any{"repeat": "keyed", "group": "cell", "window": "400ms", "aim": "250ms", "give_up": "600ms", "worth": float64(i)}})
	}
	service, err := xdsserver.Start(xdsserver.Options{})
	if err != nil {
		return err
	}
	defer service.Close()
	line, err := json.Marshal(all)
	if err != nil {
		return err
	}
	web := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		for range versions {
			rw.Write(append(line, '\n'))
			http.NewResponseController(rw).Flush()
			time.Sleep(200 * time.Millisecond) // as fast as the other is read
		}
	}))
	defer web.Close()
	fmt.Fprintf(w, "%d versions of %d resources, %d bytes of JSON each, %d rounds\n", versions, resources, len(line), rounds)
	for _, name := range []string{"xds", "stream"} {
		program := filepath.Join(dir, name)
		build := exec.CommandContext(ctx, "go", "build", "-ldflags=-s -w", "-o", program, "dunlinsail/internal/bench/transport/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		info, err := os.Stat(program)
		if err != nil {
			return err
		}
		var cpu, memory []float64
		for range rounds {
			addr := web.Listener.Addr().String()
			if name == "xds" {
				addr = service.Address
			}
			cmd := exec.CommandContext(ctx, program, addr, fmt.Sprint(versions))
			out, err := cmd.StdoutPipe()
			if err != nil {
				return err
			}
			if err := cmd.Start(); err != nil {
				return err
			}
			if name == "xds" {
				for service.OpenStreams() == 0 {
					time.Sleep(time.Millisecond)
				}
				r, err := xdsserver.NewResponse("1", all, nil)
				if err != nil {
					return err
				}
				for range versions {
					service.Broadcast(r)
				}
			}
			for lines := bufio.NewScanner(out); lines.Scan(); {
			}
			if err := cmd.Wait(); err != nil {
				return err
			}
			for service.OpenStreams() > 0 {
				time.Sleep(time.Millisecond)
			}
			state := cmd.ProcessState
			cpu = append(cpu, ms(state.UserTime()+state.SystemTime())/float64(versions))
			if usage, ok := state.SysUsage().(*syscall.Rusage); ok {
				memory = append(memory, float64(usage.Maxrss)/1024)
			}
		}
		fmt.Fprintf(w, "%-7s program %5.2f MiB, at most %6.2f MiB of memory, %6.2f ms of processor time a version (medians)\n", name, mib(info.Size()), median(memory), median(cpu))
	}
	return nil
}
