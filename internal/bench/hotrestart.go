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

// Handover measures the longest gap between two answers while one process takes over from another, beside the
// longest gap in the same time without, at a steady rate.
func Handover(ctx context.Context, w io.Writer, bin string, rate float64, each time.Duration, rounds int) error {
	s, err := newSite(4, endpoint.Options{ServiceTime: map[string]time.Duration{"": 2 * time.Millisecond}, Spread: 0.5, Cores: 8})
	if err != nil {
		return err
	}
	defer s.close()
	p, err := s.daemon(ctx, bin, 2)
	if err != nil {
		return err
	}
	addr, path := p.addr, filepath.Join(s.dir, "daemon.toml")
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	fmt.Fprintf(w, "%.0f requests a second for %v each, %d rounds\n", rate, each, rounds)
	var with, without []float64
	for round := range 2 * rounds {
		taking := round%2 == 1
		var beside sync.WaitGroup
		var next *exec.Cmd
		var took time.Duration
		if taking {
			beside.Go(func() {
				time.Sleep(each / 3) // the steady part before it
				next = exec.Command(bin+"/dunlinsaild", "--config", path)
				next.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
				began := time.Now()
				if next.Start() != nil {
					next = nil
					return
				}
				<-ended // the old one's end
				took = time.Since(began)
			})
		}
		r := client.New(client.Options{Name: fmt.Sprint("c", round), Network: "tcp", Addr: addr, Tenant: "acme", Classes: classes,
			Rate: rate, Duration: each, MaxOpen: 1000, Seed: uint64(round)}).Run(ctx)
		beside.Wait()
		what := "without"
		if taking {
			if next == nil {
				return fmt.Errorf("the next process did not start")
			}
			what = fmt.Sprintf("handover, %4.0f ms in all", ms(took))
			with = append(with, ms(r.LongestGap))
			ended = make(chan error, 1)
			go func(cmd *exec.Cmd, ended chan error) { ended <- cmd.Wait() }(next, ended)
			p.cmd = next
		} else {
			without = append(without, ms(r.LongestGap))
		}
		fmt.Fprintf(w, "%-26s asked %5d, served %5d, refused %d, failed %d, lost %d; longest gap %6.2f ms, p99 %5.2f ms\n", what, r.Scheduled,
			r.ByVerdict[client.Served], r.ByVerdict[client.Rejected], r.ByVerdict[client.Failed],
			r.ByVerdict[client.ConnectionLost]+r.ByVerdict[client.TimedOut]+r.ByVerdict[client.WrongResponse], ms(r.LongestGap), ms(r.Quantile(0.99)))
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	<-ended
	fmt.Fprintf(w, "medians: longest gap %.2f ms across a handover, %.2f ms without\n", median(with), median(without))
	return nil
}
