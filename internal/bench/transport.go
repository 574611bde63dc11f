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
	"syscall"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/fake/xdsserver"
)

// The two programs that Transport compares; each is a package below transport.
const (
	xdsTransport    = "xds"
	streamTransport = "stream"
)

const (
	lineInterval       = 200 * time.Millisecond // between two versions over HTTP: as fast as those over xDS are read
	streamPollInterval = time.Millisecond
)

// TransportOptions configure the measurement Transport.
type TransportOptions struct {
	Versions  int // in a run
	Resources int // in a version
	Rounds    int
}

// transportServers serve the same versions in two ways.
type transportServers struct {
	options   TransportOptions
	resources []config.Resource
	xds       *xdsserver.Server
	lines     *httptest.Server
}

// Transport measures what two ways of getting versions cost: xDS over gRPC, and lines of JSON over HTTP. Both programs
// do the same with what comes.
func Transport(ctx context.Context, w io.Writer, o TransportOptions) error {
	dir, err := os.MkdirTemp("", tempPattern)
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	resources := classResources(o.Resources)
	line, err := json.Marshal(resources)
	if err != nil {
		return err
	}
	service, err := xdsserver.Start(xdsserver.Options{})
	if err != nil {
		return err
	}
	defer service.Close()
	lines := httptest.NewServer(lineHandler(line, o.Versions))
	defer lines.Close()
	servers := &transportServers{options: o, resources: resources, xds: service, lines: lines}
	fmt.Fprintf(w, "%d versions of %d resources, %d bytes of JSON each, %d rounds\n",
		o.Versions, o.Resources, len(line), o.Rounds)
	for _, name := range []string{xdsTransport, streamTransport} {
		if err := servers.measure(ctx, w, name, filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}

// classResources returns n classes as resources of a version.
func classResources(n int) []config.Resource {
	var resources []config.Resource
	for i := range n {
		resources = append(resources, config.Resource{
			Kind: "class",
			Name: fmt.Sprint("class-", i),
			Fields: map[string]any{
				"repeat": "keyed", "group": "cell", "window": "400ms", "aim": "250ms", "give_up": "600ms",
				"worth": float64(i),
			},
		})
	}
	return resources
}

// lineHandler answers with so many versions of one content, a line each.
func lineHandler(line []byte, versions int) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		for range versions {
			rw.Write(append(line, '\n'))
			http.NewResponseController(rw).Flush()
			time.Sleep(lineInterval)
		}
	}
}

// measure builds one of the programs, runs it in rounds, and prints the medians.
func (s *transportServers) measure(ctx context.Context, w io.Writer, name, program string) error {
	build := exec.CommandContext(ctx, "go", "build", "-ldflags=-s -w", "-o", program,
		"dunlinsail/internal/bench/transport/"+name)
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	info, err := os.Stat(program)
	if err != nil {
		return err
	}
	var cpu, memory []float64
	for range s.options.Rounds {
		state, err := s.runOnce(ctx, name, program)
		if err != nil {
			return err
		}
		cpu = append(cpu, ms(state.UserTime()+state.SystemTime())/float64(s.options.Versions))
		if usage, ok := state.SysUsage().(*syscall.Rusage); ok {
			memory = append(memory, float64(usage.Maxrss)/kibibyte)
		}
	}
	fmt.Fprintf(w, "%-7s program %5.2f MiB, at most %6.2f MiB of memory, ", name, mib(info.Size()), median(memory))
	fmt.Fprintf(w, "%6.2f ms of processor time a version (medians)\n", median(cpu))
	return nil
}

// runOnce has a program take all versions, and returns what it used.
func (s *transportServers) runOnce(ctx context.Context, name, program string) (*os.ProcessState, error) {
	addr := s.lines.Listener.Addr().String()
	if name == xdsTransport {
		addr = s.xds.Address
	}
	cmd := exec.CommandContext(ctx, program, addr, fmt.Sprint(s.options.Versions))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	if name == xdsTransport {
		if err := s.broadcast(); err != nil {
			return nil, err
		}
	}
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		continue // until the program ends
	}
	if err := cmd.Wait(); err != nil {
		return nil, err
	}
	for s.xds.OpenStreams() > 0 {
		time.Sleep(streamPollInterval)
	}
	return cmd.ProcessState, nil
}

// broadcast sends all versions over xDS once the program has connected.
func (s *transportServers) broadcast() error {
	for s.xds.OpenStreams() == 0 {
		time.Sleep(streamPollInterval)
	}
	response, err := xdsserver.NewResponse("1", s.resources, nil)
	if err != nil {
		return err
	}
	for range s.options.Versions {
		s.xds.Broadcast(response)
	}
	return nil
}
