package soak

import (
	"context"
	"errors"
	"math"
	"net"
	"syscall"
	"time"
)

// pause is a time for which a process was stopped by SIGSTOP.
type pause struct{ from, to time.Time }

const (
	minPause  = 100 * time.Millisecond
	maxPause  = 5 * time.Second
	minEvents = 2
	maxEvents = 4
)

var errClosing = errors.New("clients open no connections any more")

// dial opens a client's connection, unless the last process is stopping.
func (r *run) dial(deadline time.Time) (net.Conn, error) {
	r.mu.Lock()
	closing := !r.closingTime.IsZero() && time.Now().After(r.closingTime)
	r.mu.Unlock()
	if closing {
		return nil, errClosing
	}
	return (&net.Dialer{Deadline: deadline}).Dial("tcp", r.programs.addr)
}

// playEvents makes drawn events happen one after another, and returns the process that serves at the end.
func (r *run) playEvents(ctx context.Context, serving *process) *process {
	time.Sleep(quietStart)
	for range minEvents + r.rng.IntN(maxEvents-minEvents+1) {
		time.Sleep(time.Duration(r.rng.Int64N(int64(maxEventGap))))
		switch r.rng.IntN(6) {
		case 0, 1:
			serving = r.restart(ctx, serving, false)
		case 2:
			serving = r.restart(ctx, serving, true)
		case 3:
			r.note("SIGHUP")
			serving.signal(syscall.SIGHUP)
		case 4:
			r.pauseProcess(serving)
		case 5:
			r.drainEndpoint()
		}
		if ctx.Err() != nil {
			break
		}
	}
	return serving
}

// restart has another process take over, and stops the ones before it once it serves. With twice, a third one is
// started while the second one takes over; either may be the last to serve. It returns the process that serves.
func (r *run) restart(ctx context.Context, serving *process, twice bool) *process {
	r.note("restart, twice %v", twice)
	starts := 1
	if twice {
		starts = 2
	}
	all := []*process{serving}
	for range starts {
		next, err := r.programs.start()
		if err != nil {
			r.violate("start: %v", err)
			return serving
		}
		all = append(all, next)
	}
	if r.rng.IntN(4) == 0 {
		r.pauseProcess(all[r.rng.IntN(2)])
	}
	for _, next := range all[1:] {
		if next.awaitReady(ctx) {
			continue
		}
		next.kill()
		if !twice && !r.pausedSince(next.startedAt) {
			r.violate("a new process was not ready in time")
		}
	}
	for _, next := range all[1:] {
		if next.servedAt().After(serving.servedAt()) {
			serving = next
		}
	}
	interrupt := r.rng.IntN(3) == 0
	for _, p := range all {
		if p != serving {
			r.stop(p, interrupt)
		}
	}
	return serving
}

// stop sends SIGTERM to a process, perhaps SIGINT right behind it, and has it killed when the platform may do so.
func (r *run) stop(p *process, interrupt bool) {
	r.note("SIGTERM, then SIGINT %v", interrupt)
	p.terminate()
	if interrupt {
		p.signal(syscall.SIGINT)
	}
}

// pauseProcess stops a process by SIGSTOP, and has it continue later.
func (r *run) pauseProcess(p *process) {
	length := time.Duration(float64(minPause) * math.Pow(float64(maxPause)/float64(minPause), r.rng.Float64()))
	r.note("SIGSTOP for %v", length.Round(time.Millisecond))
	p.signal(syscall.SIGSTOP)
	r.mu.Lock()
	r.pauses = append(r.pauses, pause{time.Now(), time.Now().Add(length)})
	r.mu.Unlock()
	r.programs.background.Go(func() {
		time.Sleep(length)
		p.signal(syscall.SIGCONT)
	})
}

// pausedSince reports whether a process has been stopped by SIGSTOP since an instant, or was so at it.
func (r *run) pausedSince(instant time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pauses {
		if p.to.After(instant) {
			return true
		}
	}
	return false
}

// drainEndpoint has discovery list an endpoint as draining.
func (r *run) drainEndpoint() {
	name := r.fleet.drain(r.rng.IntN(len(r.fleet.endpoints)))
	r.note("%s drains", name)
	if err := r.programs.writeKnown(r.fleet); err != nil {
		r.violate("configuration: %v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.drained[name]; !known {
		r.drained[name] = time.Now()
	}
}
