package bench

import (
	"context"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
)

// The site of the measurements HotRestart and Versions.
const (
	shortServiceTime   = 2 * time.Millisecond
	shortServiceSpread = 0.5 // of the service time
	shortServiceCores  = 8   // of an endpoint
)

// newShortServiceSite starts a site whose requests take a short time at their endpoints.
func newShortServiceSite() (*site, error) {
	return newSite(fastEndpoints, endpoint.Options{
		ServiceTime: map[string]time.Duration{"": shortServiceTime},
		Spread:      shortServiceSpread,
		Cores:       shortServiceCores,
	})
}

// runningDaemon is the daemon that serves now. One goroutine waits for its end.
type runningDaemon struct {
	cmd   *exec.Cmd
	ended chan error // gets the result of cmd.Wait
}

func watchDaemon(cmd *exec.Cmd) runningDaemon {
	d := runningDaemon{cmd: cmd, ended: make(chan error, 1)}
	go func() { d.ended <- cmd.Wait() }()
	return d
}

// HotRestart measures the longest gap between two responses while one process takes over from another, beside the
// longest gap in the same time without, at a steady rate.
func HotRestart(ctx context.Context, w io.Writer, o Options) error {
	s, err := newShortServiceSite()
	if err != nil {
		return err
	}
	defer s.close()
	p, err := s.startDaemon(ctx, o.Bin, measuredCores)
	if err != nil {
		return err
	}
	daemon := watchDaemon(p.cmd)
	fmt.Fprintf(w, "%.0f requests a second for %v each, %d rounds\n", o.Rate, o.Duration, o.Rounds)
	var gapsWith, gapsWithout []float64
	for round := range 2 * o.Rounds {
		restart := round%2 == 1
		title := "without"
		var beside sync.WaitGroup
		var successor *exec.Cmd
		var took time.Duration
		if restart {
			beside.Go(func() {
				time.Sleep(o.Duration / 3) // the steady part before it
				successor, took = replaceDaemon(filepath.Join(o.Bin, daemonName), daemonConfigPath(s.dir), daemon)
			})
		}
		report := client.New(client.Options{
			Name: fmt.Sprint("c", round), Network: "tcp", Addr: p.addr, Tenant: tenant, Classes: classes,
			Rate: o.Rate, Duration: o.Duration, MaxOpen: manyOpen, Seed: uint64(round),
		}).Run(ctx)
		beside.Wait()
		if restart {
			if successor == nil {
				return fmt.Errorf("the next process did not start")
			}
			daemon = watchDaemon(successor)
			title = fmt.Sprintf("handover, %4.0f ms in all", ms(took))
			gapsWith = append(gapsWith, ms(report.LongestGap))
		} else {
			gapsWithout = append(gapsWithout, ms(report.LongestGap))
		}
		printCounts(w, fmt.Sprintf("%-26s", title), report)
		fmt.Fprintf(w, "longest gap %6.2f ms, p99 %5.2f ms\n", ms(report.LongestGap), ms(report.Quantile(0.99)))
	}
	daemon.cmd.Process.Signal(syscall.SIGTERM)
	<-daemon.ended
	fmt.Fprintf(w, "medians: longest gap %.2f ms across a handover, %.2f ms without\n",
		median(gapsWith), median(gapsWithout))
	return nil
}

// replaceDaemon starts a daemon that takes over from the one that serves, and waits until that one has ended. It
// returns the new process, nil if it did not start, and how long all took.
func replaceDaemon(program, config string, predecessor runningDaemon) (successor *exec.Cmd, took time.Duration) {
	successor = exec.Command(program, "--config", config)
	successor.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	start := time.Now()
	if successor.Start() != nil {
		return nil, 0
	}
	<-predecessor.ended
	return successor, time.Since(start)
}

// printCounts prints the beginning of a line: how many requests ended in which way.
func printCounts(w io.Writer, title string, r client.Report) {
	fmt.Fprintf(w, "%s asked %5d, served %5d, refused %d, failed %d, lost %d; ",
		title, r.Scheduled, r.ByVerdict[client.Served], r.ByVerdict[client.Rejected], r.ByVerdict[client.Failed],
		lostRequests(r))
}
