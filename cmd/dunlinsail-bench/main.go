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
	"dunlinsail/internal/bench/secondresponses"
)

const usageHead = `usage: dunlinsail-bench MEASUREMENT [flags]

`

const usageTail = `
dunlinsail-bench MEASUREMENT -h tells a measurement's flags.
`

// exitUsage is the status of a call without a measurement.
const exitUsage = 2

// measurement is one of the program's commands.
type measurement struct {
	name string
	help string // "" for commands that other measurements start
	run  func(ctx context.Context, c *call) error
}

// call is a call of a measurement.
type call struct {
	bin   string // folder of the programs
	args  []string
	flags *flag.FlagSet
}

// measurements are all commands, in the order of the usage text.
var measurements = []measurement{
	{
		"fast", "endpoints that answer in a fraction of a millisecond: sidecar beside ReverseProxy",
		runFast,
	},
	{
		"service", "processor time a request through the sidecar: " +
			"alone, beside operators' calls, and through another build",
		runService,
	},
	{
		"cost", "throughput and processor time a request on 1 and 2 cores: daemon beside ReverseProxy",
		runCost,
	},
	{
		"neighbour", "a modest client alone, and beside one at twenty times its rate",
		runNeighbour,
	},
	{
		"handover", "the longest gap between answers while a process takes over from another",
		runHotRestart,
	},
	{
		"idle", "memory of connections at rest",
		runIdle,
	},
	{
		"differ", "where clients or applications see another thing through the daemon than through ReverseProxy",
		runDiffer,
	},
	{
		"routed", "processor time a request by routes, beside one as PROTOCOL has it",
		runRouted,
	},
	{
		"pools", "a pool's p99 beside one that fails, and arrivals there with a retry budget and without",
		runPools,
	},
	{
		"versions", "from a version's sending to its being applied, and what it costs on the request path, beside none",
		runVersions,
	},
	{
		"transport", "size, memory and processor time of two ways to get versions: xDS, and JSON over HTTP",
		runTransport,
	},
	{
		"fleet", "what a fleet did at its endpoints and at discovery, from a folder of its instances' logs (" +
			"ROUTER_EVENTS=1)",
		runFleet,
	},
	{
		"quiet", "probes, new connections and connections held at each node, " +
			"by the size of a fleet of quiet instances: subsets beside none",
		runQuiet,
	},
	{
		"stream", "throughput of large bodies and memory of each stream: daemon beside ReverseProxy",
		runStream,
	},
	{
		"second-responses", "requests served with another's response, where endpoints send some responses twice",
		runSecondResponses,
	},
	{"quiet-fleet", "", runQuietFleet},
	{"proxy", "", runProxy},
}

func main() {
	if len(os.Args) < 2 {
		printUsage()
		os.Exit(exitUsage)
	}
	if err := runUntilSignal(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "dunlinsail-bench:", err)
		os.Exit(1)
	}
}

// runUntilSignal takes one measurement of the programs beside this one, until it ends or a signal comes.
func runUntilSignal(name string, args []string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return run(ctx, filepath.Dir(self), name, args)
}

// run takes one measurement of the programs in bin.
func run(ctx context.Context, bin, name string, args []string) error {
	for _, m := range measurements {
		if m.name != name {
			continue
		}
		c := &call{bin: bin, args: args, flags: flag.NewFlagSet(name, flag.ExitOnError)}
		c.flags.StringVar(&c.bin, "bin", bin, "folder of the programs")
		return m.run(ctx, c)
	}
	printUsage()
	return fmt.Errorf("unknown measurement %q", name)
}

func printUsage() {
	fmt.Fprint(os.Stderr, usageHead)
	for _, m := range measurements {
		if m.help != "" {
			fmt.Fprintf(os.Stderr, "  %-16s  %s\n", m.name, m.help)
		}
	}
	fmt.Fprint(os.Stderr, usageTail)
}

// parse reads the flags; one that is wrong ends the program with a message.
func (c *call) parse() { c.flags.Parse(c.args) }

// options reads the flags that most measurements have; a default of 0 leaves a flag out.
func (c *call) options(rate float64, duration time.Duration, rounds int, rateHelp string) bench.Options {
	o := bench.Options{}
	if rate > 0 {
		c.flags.Float64Var(&o.Rate, "rate", rate, rateHelp)
	}
	if duration > 0 {
		c.flags.DurationVar(&o.Duration, "for", duration, "time for each part")
	}
	if rounds > 0 {
		c.flags.IntVar(&o.Rounds, "rounds", rounds, "rounds")
	}
	c.parse()
	o.Bin = c.bin
	return o
}

const requestsASecond = "requests a second"

func runFast(ctx context.Context, c *call) error {
	return bench.Fast(ctx, os.Stdout, c.options(1500, 10*time.Second, 0, requestsASecond))
}

func runCost(ctx context.Context, c *call) error {
	return bench.Cost(ctx, os.Stdout, c.options(1500, 5*time.Second, 3, requestsASecond+" in the steady part"))
}

func runService(ctx context.Context, c *call) error {
	other := c.flags.String("other", "", "another build of the sidecar, to be measured beside")
	o := c.options(1500, 4*time.Second, 7, requestsASecond)
	o.Rounds = max(1, o.Rounds)
	return bench.Service(ctx, os.Stdout, o, *other)
}

func runNeighbour(ctx context.Context, c *call) error {
	return bench.Neighbour(ctx, os.Stdout, c.options(0, 10*time.Second, 3, ""))
}

func runHotRestart(ctx context.Context, c *call) error {
	return bench.HotRestart(ctx, os.Stdout, c.options(1000, 3*time.Second, 5, requestsASecond))
}

func runIdle(ctx context.Context, c *call) error {
	conns := c.flags.Int("conns", 2000, "connections")
	return bench.IdleConnections(ctx, os.Stdout, c.options(0, 0, 0, ""), *conns)
}

func runDiffer(ctx context.Context, c *call) error {
	seed := c.flags.Uint64("seed", 1, "the first seed")
	seeds := c.flags.Int("seeds", 10, "seeds")
	exchanges := c.flags.Int("exchanges", 500, "exchanges of each seed")
	c.parse()
	return bench.Differ(ctx, os.Stdout, bench.DifferOptions{
		Bin: c.bin, FirstSeed: *seed, Seeds: *seeds, Exchanges: *exchanges,
	})
}

func runRouted(ctx context.Context, c *call) error {
	return bench.Routed(ctx, os.Stdout, c.options(1500, 5*time.Second, 5, requestsASecond))
}

func runPools(ctx context.Context, c *call) error {
	o := c.options(200, 5*time.Second, 3, requestsASecond+" to the pool that fails")
	return bench.Pools(ctx, os.Stdout, o)
}

func runFleet(_ context.Context, c *call) error {
	logs := c.flags.String("logs", "", "folder with a file for each instance, what it wrote to standard error")
	c.parse()
	return bench.Fleet(os.Stdout, *logs)
}

func runQuiet(ctx context.Context, c *call) error {
	sizes := c.flags.String("instances", "50,500,5000", "sizes of the fleet, parted by commas")
	endpoints := c.flags.Int("nodes", 12, "nodes")
	rate := c.flags.Float64("rate", 400, "requests a second of all instances together")
	warmup := c.flags.Duration("warm", 12*time.Second,
		"time before each count: connections at rest are closed after 10 s")
	duration := c.flags.Duration("for", 12*time.Second, "time of each count")
	c.parse()
	fleets, err := parseSizes(*sizes)
	if err != nil {
		return err
	}
	return bench.Quiet(ctx, os.Stdout, bench.QuietOptions{
		Sizes: fleets, Endpoints: *endpoints, Rate: *rate, Warmup: *warmup, Duration: *duration,
	})
}

// parseSizes reads numbers from 1 on, parted by commas.
func parseSizes(text string) ([]int, error) {
	var sizes []int
	for _, field := range strings.Split(text, ",") {
		n, err := strconv.Atoi(field)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("-instances: %q is no number from 1 on", field)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

// runQuietFleet runs one fleet of the measurement quiet, which starts it as a process.
func runQuietFleet(ctx context.Context, c *call) error {
	var o quietfleet.Options
	if err := json.Unmarshal([]byte(c.args[0]), &o); err != nil {
		return err
	}
	result, err := quietfleet.Run(ctx, o)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}

func runStream(ctx context.Context, c *call) error {
	size := c.flags.Int("mib", 1024, "size of a body in MiB")
	streams := c.flags.Int("streams", 100, "streams at once, for their memory")
	o := c.options(0, 0, 3, "")
	return bench.Stream(ctx, os.Stdout, bench.StreamOptions{
		Bin: o.Bin, BodyMiB: *size, Streams: *streams, Rounds: o.Rounds,
	})
}

func runSecondResponses(ctx context.Context, c *call) error {
	pools := c.flags.String("pools", "",
		"sidecar, daemon, daemon-max-conns or daemon-limit-idle, or several, parted by commas; none means all")
	lateness := c.flags.String("lateness", "1ms,2ms,5ms,8ms,15ms,25ms,60ms,100ms,150ms,200ms",
		"times from a first to a second response, parted by commas")
	requests := c.flags.Int("requests", 15000, "requests of each run")
	rate := c.flags.Float64("rate", 250, requestsASecond+" of each run")
	constant := c.flags.Bool("constant-gaps", false, "the time between requests is constant, not exponential")
	seed := c.flags.Uint64("seed", 1, "seed of the arrivals and the responses that are sent twice")
	atOnce := c.flags.Int("at-once", 20, "runs at the same time")
	c.parse()
	options := bench.SecondResponsesOptions{Requests: *requests, Rate: *rate, Seed: *seed, AtOnce: *atOnce}
	if *constant {
		options.Gaps = secondresponses.ConstantGaps
	}
	if *pools != "" {
		options.Pools = strings.Split(*pools, ",")
	}
	for _, field := range strings.Split(*lateness, ",") {
		d, err := time.ParseDuration(field)
		if err != nil || d <= 0 {
			return fmt.Errorf("-lateness: %q is no time above 0", field)
		}
		options.Lateness = append(options.Lateness, d)
	}
	return bench.SecondResponses(ctx, os.Stdout, options)
}

func runVersions(ctx context.Context, c *call) error {
	return bench.Versions(ctx, os.Stdout, c.options(1000, 5*time.Second, 3, requestsASecond))
}

func runTransport(ctx context.Context, c *call) error {
	versions := c.flags.Int("versions", 30, "versions in a run")
	resources := c.flags.Int("resources", 200, "resources in a version")
	rounds := c.flags.Int("rounds", 3, "rounds")
	c.parse()
	return bench.Transport(ctx, os.Stdout, bench.TransportOptions{
		Versions: *versions, Resources: *resources, Rounds: *rounds,
	})
}

// runProxy serves ReverseProxy, with which measurements compare; they start it as a process.
func runProxy(ctx context.Context, c *call) error { return bench.Proxy(ctx, c.args[0], c.args[1:]) }
