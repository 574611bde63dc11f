package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// programs are the paths of the programs that the processes of a hot restart run: the first path for the first and
// third process, the second path for the second process. An empty path stands for the program of this build. The
// script .ci/mixed-restart sets the paths of other builds.
var programs = [2]string{os.Getenv("DUNLINSAILD_PREDECESSOR"), os.Getenv("DUNLINSAILD_SUCCESSOR")}

// runningDaemon is the process of a daemon, with its log.
type runningDaemon struct {
	cmd    *exec.Cmd
	log    bytes.Buffer
	exited chan error
}

// startProgram starts a daemon with the configuration file path and waits until it serves. An empty programPath
// stands for the program of this build.
func startProgram(t *testing.T, programPath, path string) *runningDaemon {
	t.Helper()
	p := &runningDaemon{cmd: programCommand("--config", path, "--announce"), exited: make(chan error, 1)}
	if programPath != "" {
		p.cmd.Path = programPath
	}
	p.cmd.Stderr = &p.log
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() { p.cmd.Process.Kill() })
	announced := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(out, make([]byte, len("serving\n")))
		announced <- err
		io.Copy(io.Discard, out)
		p.exited <- p.cmd.Wait()
	}()
	require.NoError(t, scriptedpeer.Receive(t, announced, "a daemon that serves"))
	return p
}

// awaitExit waits for the exit of a process that was stopped or has handed over. The exit code must be 0.
func (p *runningDaemon) awaitExit(t *testing.T) {
	t.Helper()
	if err := scriptedpeer.Receive(t, p.exited, "exit of the daemon"); err != nil {
		t.Errorf("ended with %v\n%s", err, p.log.String())
	}
}

// checkRestored checks, after a process has exited, that it received its predecessor's complete learned state
// twice: at its start, and again at the handover.
func (p *runningDaemon) checkRestored(t *testing.T) {
	t.Helper()
	matches := regexp.MustCompile(restoredLine).FindAllStringSubmatch(p.log.String(), -1)
	if len(matches) != 2 || matches[0][1]+matches[0][2] != "at the start" ||
		matches[1][1]+matches[1][2] != "at the handover" {
		t.Errorf("learned state not restored twice and completely; log lines %q in\n%s", matches, p.log.String())
		return
	}
	t.Logf("%s: %s; %s", filepath.Base(p.cmd.Path), matches[0][0], matches[1][0])
}

// restoredLine matches the log line for a snapshot of one pool that was restored completely. Its second alternative
// is the wording of builds from before this message was renamed.
const restoredLine = `msg="(?:snapshot restored" when="(at the [a-z]+)" pools=1 skipped|` +
	`what the other process learned is taken over" when="(at the [a-z]+)" pools=1 "passed over")=\[\]`

// TestHotRestartUnderLoad restarts a daemon twice under load: each request gets exactly one final response, no
// request takes effect twice, and the learned state reaches each successor.
func TestHotRestartUnderLoad(t *testing.T) {
	ledger := &endpoint.Ledger{}
	var instances []discovery.Instance
	for i := range 3 {
		name := fmt.Sprint("s-", i)
		server, err := endpoint.Start(endpoint.Options{Name: name, Ledger: ledger, IdempotencyWindow: 10 * time.Second,
			ServiceTime: map[string]time.Duration{"": 2 * time.Millisecond}, Spread: 0.5})
		require.NoError(t, err)
		defer server.Close()
		instances = append(instances, scripteddiscovery.Up(name, server.Addr))
	}
	discoveryServer, err := discoveryserver.Start(instances...)
	require.NoError(t, err)
	defer discoveryServer.Close()
	configText := daemonConfig(t, discoveryServer.Addr, t.TempDir()) + `
[[class]]
name = "book"
repeat = "keyed"
group = "cell"
window = "10s"
aim = "5s"
give_up = "9s"
[[class]]
name = "pay"
repeat = "unsafe"
aim = "5s"
give_up = "9s"
`
	configText = strings.Replace(configText, `ready_within = "1s"`, `ready_within = "5s"`, 1)
	addr := deskAddress(configText)
	path := writeConfig(t, configText)
	currentDaemon := startProgram(t, programs[0], path)
	// Long deadlines, so that no request is abandoned or retried because the machine is slow.
	classes := []client.Class{
		{Name: "book", Share: 0.5, Method: "POST", SendIdempotencyKey: true, BodySize: 300, Timeout: 9 * time.Second},
		{Name: "pay", Share: 0.5, Method: "POST", BodySize: 300, Timeout: 9 * time.Second}}
	// Before it has learned response times, a daemon rejects simultaneous requests that exceed its initial
	// estimates.
	warmupClient := client.New(client.Options{Name: "warm", Network: "tcp", Addr: addr})
	var servedRequests int
	scriptedpeer.Eventually(t, "requests that are served", func() bool {
		if warmupClient.Send(classes[1], fmt.Sprint("warm-", servedRequests), "").Verdict == client.Served {
			servedRequests++
		}
		return servedRequests == 10
	})
	warmupClient.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	reports := make(chan client.Report, 1)
	loadClient := client.New(client.Options{
		Name:     "load",
		Network:  "tcp",
		Addr:     addr,
		Workers:  4,
		Duration: time.Minute,
		Seed:     3,
		Classes:  classes,
		OnDone: func(result client.Result) {
			if result.Verdict != client.Served {
				t.Errorf("%s %s: %v, %d, %v", result.Class, result.ID, result.Verdict, result.Status, result.Err)
			}
		},
	})
	go func() { reports <- loadClient.Run(ctx) }()
	for i := 1; i < 3; i++ {
		targetRuns := len(ledger.Runs()) + 100
		scriptedpeer.Eventually(t, "load", func() bool { return len(ledger.Runs()) > targetRuns })
		successor := startProgram(t, programs[i%len(programs)], path)
		currentDaemon.awaitExit(t)
		if i > 1 {
			currentDaemon.checkRestored(t)
		}
		currentDaemon = successor
	}
	targetRuns := len(ledger.Runs()) + 100
	scriptedpeer.Eventually(t, "load after the last restart", func() bool { return len(ledger.Runs()) > targetRuns })
	stop()
	report := scriptedpeer.Receive(t, reports, "report")
	if report.ByVerdict[client.Served] != report.Scheduled || report.Scheduled < 300 {
		t.Errorf("%d requests scheduled, by verdict %v", report.Scheduled, report.ByVerdict)
	}
	currentDaemon.cmd.Process.Signal(syscall.SIGTERM)
	currentDaemon.awaitExit(t)
	currentDaemon.checkRestored(t)
	effectCounts := map[string]int{}
	for _, run := range ledger.Runs() {
		if run.TookEffect {
			effectCounts[cmp.Or(run.IdempotencyKey, run.Class+run.TraceID)]++
		}
	}
	for request, count := range effectCounts {
		if count > 1 {
			t.Errorf("%s took effect %d times", request, count)
		}
	}
	t.Logf("%d requests, each with one final response; longest gap between responses %v",
		report.Scheduled, report.LongestGap)
}
