// Package bench holds the project's own measurements: each starts the program under test and what it is
// compared with as processes of their own, asks both the same in turn, and prints one line for each. It knows
// the programs by their command lines only.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/freeport"
)

// process is a program under test.
type process struct {
	cmd  *exec.Cmd
	addr string
}

// startProcess starts a program that serves on addr and waits until it is ready.
func startProcess(ctx context.Context, addr string, cores int, env []string, name string, args ...string) (*process, error) {
	cmd := exec.Command(name, args...)
	cmd.Env = append(os.Environ(), env...)
	if cores > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprint("GOMAXPROCS=", cores))
	}
	if os.Getenv("DUNLINBENCH_LOG") != "" {
		cmd.Stderr = os.Stderr
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, addr: addr}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return p, nil
		}
	}
	p.stop()
	return nil, fmt.Errorf("%s does not become ready", name)
}

// stop ends the program and returns the processor time that it took.
func (p *process) stop() time.Duration {
	p.cmd.Process.Signal(syscall.SIGTERM)
	_ = p.cmd.Wait() // what it took counts however it ended
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

// endpoints starts n stand-in endpoints.
func endpoints(n int, o endpoint.Options) (addrs []string, stop func(), err error) {
	var all []*endpoint.Server
	stop = func() {
		for _, s := range all {
			s.Close()
		}
	}
	for i := range n {
		o.Name = fmt.Sprint("s-", i)
		s, err := endpoint.Start(o)
		if err != nil {
			stop()
			return nil, nil, err
		}
		all = append(all, s)
		addrs = append(addrs, s.Addr)
	}
	return addrs, stop, nil
}

// sidecarConfig writes a configuration of the platform's sidecar: two classes, one tenant, no probes.
func sidecarConfig(dir, listen string, addrs []string) (string, error) {
	instances := []map[string]any{}
	for i, a := range addrs {
		instances = append(instances, map[string]any{"instanceId": fmt.Sprint("s-", i), "hostPort": a, "zone": "a",
			"machineType": "m1", "cell": 1, "lifecycle": "up", "weight": 1})
	}
	const ms = 1000
	class := func(name, repeat string) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "group": "cell", "window": 400 * ms, "target": 250 * ms,
			"give-up": 500 * ms, "credit": 1}
	}
	nowhere, err := freeport.Free() // discovery is down: the list is the one known
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": nowhere, "seed": "1f",
		"limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"generation": 1, "reset": true, "instances": instances},
		"settings": map[string]any{"peers-total": 1, "areas": []string{"a"}, "skus": []string{"m1"},
			"discovery": "automatic", "classes": []any{class("look", "pure"), class("book", "token")},
			"tenants": []any{map[string]any{"name": "acme", "allowance-per-s": 1e5, "share": 1}},
			"contract": map[string]any{"drain-grace": 250 * ms, "cold-from": 0.2, "ramp-time": 10000 * ms,
				"fall-multiple": 2.5, "overload-for": 2000 * ms, "ask-within": 10000 * ms},
			"limits": map[string]any{"cancel": true, "second-copies": true, "retry-after": true, "most-tries": 3,
				"most-held": 1000, "max-retry-after": 400 * ms, "dial-timeout": 1000 * ms, "keepalive": 15000 * ms}}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}

// daemonConfig writes a daemon's file for the same site, with edits as pairs of old and new text.
func daemonConfig(dir, listen, discovery string, cores int, edits ...string) (string, error) {
	text := fmt.Sprintf(`[process]
cores = %d
descriptors = 8192
[discovery]
address = %q
[takeover]
socket = %q
[connections]
[requests]
open = 5000
[[listener]]
name = "desk"
address = %q
client = "desk"
[[listener]]
name = "local"
address = "unix:%s/clients.sock"
client = "hog"
[[client]]
name = "desk"
[[client]]
name = "hog"
[[class]]
name = "look"
repeat = "safe"
aim = "250ms"
give_up = "500ms"
[[class]]
name = "book"
repeat = "keyed"
group = "cell"
window = "400ms"
aim = "250ms"
give_up = "500ms"
[[tenant]]
name = "acme"
allowance = 100000.0
share = 1.0
`, cores, discovery, filepath.Join(dir, "takeover.sock"), listen, dir)
	path := filepath.Join(dir, "daemon.toml")
	return path, os.WriteFile(path, []byte(strings.NewReplacer(edits...).Replace(text)), 0o600)
}

// site is endpoints, a roster of them, and a folder for files.
type site struct {
	dir   string
	addrs []string
	disco string
	stops []func()
}

func newSite(n int, o endpoint.Options) (*site, error) {
	s := &site{}
	dir, err := os.MkdirTemp("", "dunlinsail-bench")
	if err != nil {
		return nil, err
	}
	s.dir = dir
	s.stops = append(s.stops, func() { os.RemoveAll(dir) })
	addrs, stop, err := endpoints(n, o)
	if err != nil {
		s.close()
		return nil, err
	}
	s.addrs = addrs
	s.stops = append(s.stops, stop)
	var entries []discovery.Instance
	for i, a := range addrs {
		entries = append(entries, discovery.Instance{ID: fmt.Sprint("s-", i), Address: a, Zone: "a", Kind: "m1", Cell: 1,
			Lifecycle: "up", Weight: 1})
	}
	r, err := discoveryserver.Start(entries...)
	if err != nil {
		s.close()
		return nil, err
	}
	s.disco = r.Addr
	s.stops = append(s.stops, r.Close)
	return s, nil
}

func (s *site) close() {
	for i := len(s.stops) - 1; i >= 0; i-- {
		s.stops[i]()
	}
}

// daemon starts the daemon over the site.
func (s *site) daemon(ctx context.Context, bin string, cores int, edits ...string) (*process, error) {
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	path, err := daemonConfig(s.dir, addr, s.disco, cores, edits...)
	if err != nil {
		return nil, err
	}
	return startProcess(ctx, addr, 0, nil, bin+"/dunlinsaild", "--config", path)
}

// proxy starts ReverseProxy over the site.
func (s *site) proxy(ctx context.Context, cores int) (*process, error) {
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return startProcess(ctx, addr, cores, nil, self, append([]string{"proxy", addr}, s.addrs...)...)
}

// median returns the middle of some figures.
func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

// classes are those of sidecarConfig, as a client asks for them.
var classes = []client.Class{
	{Name: "look", Share: 0.9, Method: http.MethodGet, Timeout: 500 * time.Millisecond},
	{Name: "book", Share: 0.1, Method: http.MethodPost, SendIdempotencyKey: true, BodySize: 200, Timeout: 500 * time.Millisecond},
}

// printReport prints one line of figures.
func printReport(w io.Writer, name string, r client.Report, cpu time.Duration) {
	n := float64(max(1, r.Scheduled))
	fmt.Fprintf(w, "%-14s asked %6d  served %6.2f%%  refused %6.2f%%  other %6.2f%%  p50 %7.2f ms  p99 %7.2f ms  cpu %6.1f us/request\n",
		name, r.Scheduled, 100*float64(r.ByVerdict[client.Served])/n, 100*float64(r.ByVerdict[client.Rejected])/n,
		100*(n-float64(r.ByVerdict[client.Served]+r.ByVerdict[client.Rejected]))/n, r.Quantile(0.5).Seconds()*1000,
		r.Quantile(0.99).Seconds()*1000, cpu.Seconds()*1e6/n)
}
