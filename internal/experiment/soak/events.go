package soak

import (
	"context"
	"errors"
	"math"
	"net"
	"syscall"
	"time"
)

// pause is the period during which a process was stopped by SIGSTOP.
type pause struct{ start, end time.Time }

const (
	minPause  = 100 * time.Millisecond
	maxPause  = 5 * time.Second
	minEvents = 2
	maxEvents = 4
)

var errNoNewConnections = errors.New("clients no longer open connections")

// dial opens a client connection, unless the last process is already stopping.
func (r *run) dial(deadline time.Time) (net.Conn, error) {
	r.mu.Lock()
	closing := !r.lastDialTime.IsZero() && time.Now().After(r.lastDialTime)
	r.mu.Unlock()
	if closing {
		return nil, errNoNewConnections
	}
	return (&net.Dialer{Deadline: deadline}).Dial("tcp", r.processes.clientAddr)
}

// runEvents triggers randomly drawn events one after another, and returns the process that serves at the end.
func (r *run) runEvents(ctx context.Context, serving *process) *process {
	time.Sleep(delayBeforeEvents)
	for range minEvents + r.rng.IntN(maxEvents-minEvents+1) {
		time.Sleep(time.Duration(r.rng.Int64N(int64(maxEventGap))))
		switch r.rng.IntN(6) {
		case 0, 1:
			serving = r.restart(ctx, serving, false)
		case 2:
			serving = r.restart(ctx, serving, true)
		case 3:
			r.recordEvent("SIGHUP")
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

// restart starts a process that takes over, and stops the other processes once the new one serves. If twice
// is set, a third process is started while the second one takes over; either of them may be the last to
// serve. restart returns the process that serves.
func (r *run) restart(ctx context.Context, serving *process, twice bool) *process {
	r.recordEvent("restart, twice %v", twice)
	startCount := 1
	if twice {
		startCount = 2
	}
	processes := []*process{serving}
	for range startCount {
		candidate, err := r.processes.start()
		if err != nil {
			r.recordViolation("start: %v", err)
			return serving
		}
		processes = append(processes, candidate)
	}
	if r.rng.IntN(4) == 0 {
		r.pauseProcess(processes[r.rng.IntN(2)])
	}
	for _, candidate := range processes[1:] {
		if candidate.awaitReady(ctx) {
			continue
		}
		candidate.kill()
		if !twice && !r.pausedSince(candidate.startedAt) {
			r.recordViolation("a new process was not ready in time")
		}
	}
	for _, candidate := range processes[1:] {
		if candidate.servedAt().After(serving.servedAt()) {
			serving = candidate
		}
	}
	sendSIGINT := r.rng.IntN(3) == 0
	for _, p := range processes {
		if p != serving {
			r.stop(p, sendSIGINT)
		}
	}
	return serving
}

// stop sends SIGTERM to a process, optionally followed at once by SIGINT. The process is killed if it has not
// ended when the platform is allowed to kill it.
func (r *run) stop(p *process, sendSIGINT bool) {
	r.recordEvent("SIGTERM, then SIGINT %v", sendSIGINT)
	p.terminate()
	if sendSIGINT {
		p.signal(syscall.SIGINT)
	}
}

// pauseProcess stops a process with SIGSTOP, and continues it with SIGCONT after a randomly drawn time.
func (r *run) pauseProcess(p *process) {
	duration := time.Duration(float64(minPause) * math.Pow(float64(maxPause)/float64(minPause), r.rng.Float64()))
	r.recordEvent("SIGSTOP for %v", duration.Round(time.Millisecond))
	p.signal(syscall.SIGSTOP)
	r.mu.Lock()
	r.pauses = append(r.pauses, pause{time.Now(), time.Now().Add(duration)})
	r.mu.Unlock()
	r.processes.background.Go(func() {
		time.Sleep(duration)
		p.signal(syscall.SIGCONT)
	})
}

// pausedSince reports whether a process was stopped by SIGSTOP at a given instant or later.
func (r *run) pausedSince(instant time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pauses {
		if p.end.After(instant) {
			return true
		}
	}
	return false
}

// drainEndpoint makes discovery list a randomly drawn endpoint as draining.
func (r *run) drainEndpoint() {
	name := r.fleet.startDraining(r.rng.IntN(len(r.fleet.endpoints)))
	r.recordEvent("%s drains", name)
	if err := r.processes.writeSidecarConfig(r.fleet); err != nil {
		r.recordViolation("configuration: %v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.drainingSince[name]; !known {
		r.drainingSince[name] = time.Now()
	}
}
