// Command dunlinsail-bench takes the project's own measurements. Each compares two things in one run.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"dunlinsail/internal/bench"
	"dunlinsail/internal/bench/quietfleet"
)

const usage = `usage: dunlinsail-bench MEASUREMENT [flags]

  fast       endpoints that answer in a fraction of a millisecond: sidecar beside ReverseProxy
  service    processor time a request through the sidecar: alone, beside operators' calls, and through another build
  cost       throughput and processor time a request on 1 and 2 cores: daemon beside ReverseProxy
  neighbour  a modest client alone, and beside one at twenty times its rate
  handover   the longest gap between answers while a process takes over from another
  idle       memory of connections at rest
  differ     where clients or applications see another thing through the daemon than through ReverseProxy
  routed     processor time a request by routes, beside one as PROTOCOL has it
  pools      a pool's p99 beside one that fails, and arrivals there with a retry budget and without
  versions   from a version's sending to its being applied, and what it costs on the request path, beside none
  transport  size, memory and processor time of two ways to get versions: xDS, and JSON over HTTP
  fleet      what a fleet did at its endpoints and at discovery, from a folder of its instances' logs (ROUTER_EVENTS=1)
  quiet      probes, new connections and connections held at each node, by the size of a fleet of quiet instances: subsets beside none
  stream     throughput of large bodies and memory of each stream: daemon beside ReverseProxy

dunlinsail-bench MEASUREMENT -h tells a measurement's flags.
`

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if len(os.Args) < 2 {
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	}
	self, err := os.Executable()
	if err == nil {
		err = run(ctx, filepath.Dir(self), os.Args[1], os.Args[2:])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunlinsail-bench:", err)
		os.Exit(1)
	}
}

// run takes one measurement of the programs in bin.
func run(ctx context.Context, bin, name string, args []string) error {
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	flags.StringVar(&bin, "bin", bin, "folder of the programs")
	switch name {
	case "fast":
		rate := flags.Float64("rate", 1500, "requests a second")
		each := flags.Duration("for", 10*time.Second, "time for each program")
		flags.Parse(args)
		return bench.Fast(ctx, os.Stdout, bin, *rate, *each)
	case "cost":
		rate := flags.Float64("rate", 1500, "requests a second in the steady part")
		each := flags.Duration("for", 5*time.Second, "time for each part")
		rounds := flags.Int("rounds", 3, "rounds")
		flags.Parse(args)
		return bench.Cost(ctx, os.Stdout, bin, *rate, *each, *rounds)
	case "service":
		other := flags.String("other", "", "another build of the sidecar, to be measured beside")
		rate := flags.Float64("rate", 1500, "requests a second")
		each := flags.Duration("for", 4*time.Second, "time for each part")
		rounds := flags.Int("rounds", 7, "rounds")
		flags.Parse(args)
		return bench.Service(ctx, os.Stdout, bin, *other, *rate, *each, max(1, *rounds))
	case "neighbour":
		each := flags.Duration("for", 10*time.Second, "time for each part")
		rounds := flags.Int("rounds", 3, "rounds")
		flags.Parse(args)
		return bench.Neighbour(ctx, os.Stdout, bin, *each, *rounds)
	case "handover":
		rate := flags.Float64("rate", 1000, "requests a second")
		each := flags.Duration("for", 3*time.Second, "time for each part")
		rounds := flags.Int("rounds", 5, "rounds")
		flags.Parse(args)
		return bench.Handover(ctx, os.Stdout, bin, *rate, *each, *rounds)
	case "idle":
		conns := flags.Int("conns", 2000, "connections")
		flags.Parse(args)
		return bench.Idle(ctx, os.Stdout, bin, *conns)
	case "differ":
		seed := flags.Uint64("seed", 1, "the first seed")
		seeds := flags.Int("seeds", 10, "seeds")
		n := flags.Int("exchanges", 500, "exchanges of each seed")
		flags.Parse(args)
		return bench.Differ(ctx, os.Stdout, bin, *seed, *seeds, *n)
	case "routed":
		rate := flags.Float64("rate", 1500, "requests a second")
		each := flags.Duration("for", 5*time.Second, "time for each part")
		rounds := flags.Int("rounds", 5, "rounds")
		flags.Parse(args)
		return bench.Routed(ctx, os.Stdout, bin, *rate, *each, *rounds)
	case "pools":
		rate := flags.Float64("rate", 200, "requests a second to the pool that fails")
		each := flags.Duration("for", 5*time.Second, "time for each part")
		rounds := flags.Int("rounds", 3, "rounds")
		flags.Parse(args)
		return bench.Pools(ctx, os.Stdout, bin, *rate, *each, *rounds)
	case "fleet":
		logs := flags.String("logs", "", "folder with a file for each instance, what it wrote to standard error")
		flags.Parse(args)
		return bench.Fleet(os.Stdout, *logs)
	case "quiet":
		sizes := flags.String("instances", "50,500,5000", "sizes of the fleet, parted by commas")
		nodes := flags.Int("nodes", 12, "nodes")
		rate := flags.Float64("rate", 400, "requests a second of all instances together")
		warm := flags.Duration("warm", 12*time.Second, "time before each count: connections at rest are closed after 10 s")
		each := flags.Duration("for", 12*time.Second, "time of each count")
		flags.Parse(args)
		var all []int
		for _, text := range strings.Split(*sizes, ",") {
			n, err := strconv.Atoi(text)
			if err != nil || n < 1 {
				return fmt.Errorf("-instances: %q is no number from 1 on", text)
			}
			all = append(all, n)
		}
		return bench.Quiet(ctx, os.Stdout, bench.QuietOptions{
			Sizes: all, Endpoints: *nodes, Rate: *rate, Warmup: *warm, Duration: *each,
		})
	case "quiet-fleet": // a part of the measurement before, not one itself
		var o quietfleet.Options
		if err := json.Unmarshal([]byte(args[0]), &o); err != nil {
			return err
		}
		r, err := quietfleet.Run(ctx, o)
		if err != nil {
			return err
		}
		return json.NewEncoder(os.Stdout).Encode(r)
	case "stream":
		size := flags.Int("mib", 1024, "size of a body in MiB")
		streams := flags.Int("streams", 100, "streams at once, for their memory")
		rounds := flags.Int("rounds", 3, "rounds")
		flags.Parse(args)
		return bench.Stream(ctx, os.Stdout, bin, *size, *streams, *rounds)
	case "versions":
		rate := flags.Float64("rate", 1000, "requests a second")
		each := flags.Duration("for", 5*time.Second, "time for each part")
		rounds := flags.Int("rounds", 3, "rounds")
		flags.Parse(args)
		return bench.Versions(ctx, os.Stdout, bin, *rate, *each, *rounds)
	case "transport":
		versions := flags.Int("versions", 30, "versions in a run")
		resources := flags.Int("resources", 200, "resources in a version")
		rounds := flags.Int("rounds", 3, "rounds")
		flags.Parse(args)
		return bench.Transport(ctx, os.Stdout, *versions, *resources, *rounds)
	case "proxy": // a part of the measurements, not one itself
		return bench.Proxy(ctx, args[0], args[1:])
	}
	fmt.Fprint(os.Stderr, usage)
	return fmt.Errorf("unknown measurement %q", name)
}
