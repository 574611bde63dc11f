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

// programs are what the first and third, and what the second process of a hot restart run: this build's
// program, unless .ci/mixed-restart names that of another build.
var programs = [2]string{os.Getenv("DUNLINSAILD_PREDECESSOR"), os.Getenv("DUNLINSAILD_SUCCESSOR")}

// served is a daemon's process.
type served struct {
	cmd   *exec.Cmd
	log   bytes.Buffer
	ended chan error
}

// serveBy starts a daemon by a build's program ("" is this one's) and waits until it serves.
func serveBy(t *testing.T, build, path string) *served {
	t.Helper()
	p := &served{cmd: program("--config", path, "--announce"), ended: make(chan error, 1)}
	if build != "" {
		p.cmd.Path = build
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
		p.ended <- p.cmd.Wait()
	}()
	require.NoError(t, scriptedpeer.Receive(t, announced, "a daemon that serves"))
	return p
}

// ends waits for a process that has handed over, or was stopped.
func (p *served) ends(t *testing.T) {
	t.Helper()
	if err := scriptedpeer.Receive(t, p.ended, "end"); err != nil {
		t.Errorf("ended with %v\n%s", err, p.log.String())
	}
}

// restored checks, once a process has ended, that all its predecessor learned arrived: at its start, and again
// at the handover.
func (p *served) restored(t *testing.T) {
	t.Helper()
	all := regexp.MustCompile(restoredLine).FindAllStringSubmatch(p.log.String(), -1)
	if len(all) != 2 || all[0][1]+all[0][2] != "at the start" || all[1][1]+all[1][2] != "at the handover" {
		t.Errorf("what was learned arrived %q:\n%s", all, p.log.String())
		return
	}
	t.Logf("%s: %s; %s", filepath.Base(p.cmd.Path), all[0][0], all[1][0])
}

// restoredLine matches the log line of a snapshot of one pool that was restored completely; the second form is
// that of builds before this message was renamed.
const restoredLine = `msg="(?:snapshot restored" when="(at the [a-z]+)" pools=1 skipped|` +
	`what the other process learned is taken over" when="(at the [a-z]+)" pools=1 "passed over")=\[\]`

// TestHotRestartUnderLoad restarts a daemon twice under load: each request has exactly one final answer,
// nothing takes effect twice, and what was learned arrives.
func TestHotRestartUnderLoad(t *testing.T) {
	ledger := &endpoint.Ledger{}
	var listed []discovery.Instance
	for i := range 3 {
		name := fmt.Sprint("s-", i)
		e, err := endpoint.Start(endpoint.Options{Name: name, Ledger: ledger, IdempotencyWindow: 10 * time.Second,
			ServiceTime: map[string]time.Duration{"": 2 * time.Millisecond}, Spread: 0.5})
		require.NoError(t, err)
		defer e.Close()
		listed = append(listed, scripteddiscovery.Up(name, e.Addr))
	}
	r, err := discoveryserver.Start(listed...)
	require.NoError(t, err)
	defer r.Close()
	text := file(t, r.Addr, t.TempDir()) + `
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
	text = strings.Replace(text, `ready_within = "1s"`, `ready_within = "5s"`, 1)
	addr := deskAddress(text)
	path := write(t, text)
	current := serveBy(t, programs[0], path)
	// Long times, so that no request is given up, or retried, because the machine is slow.
	classes := []client.Class{
		{Name: "book", Share: 0.5, Method: "POST", SendIdempotencyKey: true, BodySize: 300, Timeout: 9 * time.Second},
		{Name: "pay", Share: 0.5, Method: "POST", BodySize: 300, Timeout: 9 * time.Second}}
	// A daemon that knows nothing yet rejects what comes at once beyond its guesses.
	warm := client.New(client.Options{Name: "warm", Network: "tcp", Addr: addr})
	var warmed int
	scriptedpeer.Eventually(t, "requests that are served", func() bool {
		if warm.Send(classes[1], fmt.Sprint("warm-", warmed), "").Verdict == client.Served {
			warmed++
		}
		return warmed == 10
	})
	warm.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	reports := make(chan client.Report, 1)
	load := client.New(client.Options{
		Name:     "load",
		Network:  "tcp",
		Addr:     addr,
		Workers:  4,
		Duration: time.Minute,
		Seed:     3,
		Classes:  classes,
		OnDone: func(r client.Result) {
			if r.Verdict != client.Served {
				t.Errorf("%s %s: %v, %d, %v", r.Class, r.ID, r.Verdict, r.Status, r.Err)
			}
		},
	})
	go func() { reports <- load.Run(ctx) }()
	for i := 1; i < 3; i++ {
		reached := len(ledger.Runs()) + 100
		scriptedpeer.Eventually(t, "load", func() bool { return len(ledger.Runs()) > reached })
		successor := serveBy(t, programs[i%len(programs)], path)
		current.ends(t)
		if i > 1 {
			current.restored(t)
		}
		current = successor
	}
	reached := len(ledger.Runs()) + 100
	scriptedpeer.Eventually(t, "load after the last restart", func() bool { return len(ledger.Runs()) > reached })
	stop()
	report := scriptedpeer.Receive(t, reports, "report")
	if report.ByVerdict[client.Served] != report.Scheduled || report.Scheduled < 300 {
		t.Errorf("%d asked, %v", report.Scheduled, report.ByVerdict)
	}
	current.cmd.Process.Signal(syscall.SIGTERM)
	current.ends(t)
	current.restored(t)
	effects := map[string]int{}
	for _, run := range ledger.Runs() {
		if run.TookEffect {
			effects[cmp.Or(run.IdempotencyKey, run.Class+run.TraceID)]++
		}
	}
	for request, n := range effects {
		if n > 1 {
			t.Errorf("%s took effect %d times", request, n)
		}
	}
	t.Logf("%d requests, each with one final answer; longest gap between two %v", report.Scheduled, report.LongestGap)
}
