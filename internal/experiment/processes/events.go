package processes

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/simendpoint"
)

// cut says whether nothing comes through between two zones.
func (r *run) isPartitioned(a, b int) bool {
	if a == b {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cuts {
		if c[0] == a && (c[1] < 0 || c[1] == b) || c[0] == b && (c[1] < 0 || c[1] == a) {
			return true
		}
	}
	return false
}

// hush has nothing come through to the endpoints that are cut off.
func (r *run) applySilence() {
	for _, e := range r.endpoints {
		if err := e.applySilence(); err != nil {
			r.fail(err)
		}
	}
}

// conditions sets what goes wrong at an endpoint by all that happens now.
func (r *run) updateCondition(n int) {
	var c simendpoint.Condition
	now := r.now()
	for i := range r.plan.PlannedEvents {
		h := &r.plan.PlannedEvents[i]
		if now < h.At || now >= h.Until {
			continue
		}
		for j, at := range h.Endpoints {
			if at == n {
				h.AddCondition(&c, now, j, r.criteriaClass)
			}
		}
	}
	r.endpoints[n].setCondition(c)
}

// schedule has happen what happens.
func (r *run) schedule(ctx context.Context, beside *sync.WaitGroup) {
	end := r.plan.Length.Micros()
	up := func(n int) {
		if err := r.endpoints[n].start(); err != nil {
			r.fail(fmt.Errorf("endpoint %d does not start again: %w", n, err))
		}
	}
	for i := range r.plan.PlannedEvents {
		h := &r.plan.PlannedEvents[i]
		over := func(f func()) {
			if h.Until < math.MaxInt64 && h.Until < end {
				r.scheduleAt(ctx, beside, h.Until+1, f)
			}
		}
		each := func(f func(n int)) func() {
			return func() {
				for _, n := range h.Endpoints {
					f(n)
				}
			}
		}
		kill := func(silent bool) func(n int) {
			return func(n int) {
				r.endpoints[n].kill(silent)
				r.announceState(n, balancer.Gone, silent)
			}
		}
		switch h.What {
		case "slow", "errors", "mute", "full", "lies", "babble", "late-reports":
			r.scheduleAt(ctx, beside, h.At, each(r.updateCondition))
			over(each(r.updateCondition))
		case "neighbour":
			for at := h.At; at < min(h.Until, end); at += max(h.Every, 1_000_000) {
				r.scheduleAt(ctx, beside, at, each(r.updateCondition))
				if h.Every <= 0 {
					break
				}
			}
			over(each(r.updateCondition))
		case "pause":
			r.scheduleAt(ctx, beside, h.At, each(func(n int) { r.endpoints[n].pause(h.Until - h.At) }))
		case "drain":
			r.scheduleAt(ctx, beside, h.At, each(func(n int) { r.endpoints[n].drain() }))
			over(each(up))
		case "kill":
			r.scheduleAt(ctx, beside, h.At, each(kill(false)))
			over(each(up))
		case "vanish":
			r.scheduleAt(ctx, beside, h.At, each(kill(true)))
			over(each(up))
		case "rolling":
			for k, n := range h.Endpoints {
				if at := h.At + monotime.Micros(k)*h.Every; at < min(h.Until, end) {
					r.scheduleAt(ctx, beside, at, func() { r.endpoints[n].drain() })
					r.scheduleAt(ctx, beside, at+h.Every, func() { up(n) })
				}
			}
		case "cut":
			pair := [2]int{h.Zone, h.To}
			r.scheduleAt(ctx, beside, h.At, func() {
				r.updateCounts(func(*counts) { r.cuts = append(r.cuts, pair) })
				r.applySilence()
			})
			over(func() {
				r.updateCounts(func(*counts) {
					for j, c := range r.cuts {
						if c == pair {
							r.cuts = append(r.cuts[:j:j], r.cuts[j+1:]...)
							break
						}
					}
				})
				r.applySilence()
			})
		case "stale":
			r.scheduleAt(ctx, beside, h.At, func() { r.updateCounts(func(*counts) { r.discoveryDelay += h.Delay }) })
			over(func() { r.updateCounts(func(*counts) { r.discoveryDelay -= h.Delay }) })
		case "silent":
			each := func(on bool) func() {
				return func() {
					for _, in := range r.instances {
						in.discovery.SetSilent(on)
					}
				}
			}
			r.scheduleAt(ctx, beside, h.At, each(true))
			over(each(false))
		case "restart", "power":
			r.scheduleAt(ctx, beside, h.At, func() {
				if h.What == "power" {
					for n := range r.endpoints {
						kill(false)(n)
					}
				}
				for _, n := range h.Instances {
					r.instances[n].kill()
				}
			})
			back := func() {
				if h.What == "power" {
					for n := range r.endpoints {
						up(n)
					}
				}
				for _, n := range h.Instances {
					if err := r.launch(r.instances[n]); err != nil {
						r.fail(err)
					}
				}
			}
			if h.Until < math.MaxInt64 {
				over(back)
			} else {
				r.scheduleAt(ctx, beside, h.At+1_000_000, back)
			}
		case "liar":
			r.scheduleAt(ctx, beside, h.At, func() {
				stop, err := r.startMisreporter(h.Sizes[0])
				if err != nil {
					r.fail(err)
					return
				}
				r.scheduleAt(ctx, beside, min(h.Until, end), stop)
			})
		case "limits":
			r.scheduleAt(ctx, beside, h.At, func() { r.scaleTenantLimits(h.Instances, h.Sizes[0]) })
			over(func() { r.scaleTenantLimits(h.Instances, 1) })
		case "work":
			r.scheduleAt(ctx, beside, h.At, func() { r.runMaintenance(ctx, h) })
		case "upgrade":
			r.scheduleAt(ctx, beside, h.At, func() {
				for _, n := range h.Instances {
					r.upgrade(r.instances[n])
				}
			})
		case "freeze":
			for at := h.At; at < min(h.Until, end); at += 2 * h.Every {
				until, _ := h.Frozen(at)
				r.scheduleAt(ctx, beside, at, func() { r.freeze(h.Instances, until) })
				r.scheduleAt(ctx, beside, until, func() { r.thaw(h.Instances) })
				if h.Every <= 0 {
					break
				}
			}
		case "deaf":
			deafen := func(on bool) func() {
				return func() {
					for _, n := range h.Instances {
						r.instances[n].discovery.SetSilent(on)
					}
				}
			}
			r.scheduleAt(ctx, beside, h.At, deafen(true))
			over(deafen(false))
		case "sever":
			r.scheduleAt(ctx, beside, h.At, r.applySilence)
			over(r.applySilence)
		}
	}
	for n := range r.endpoints {
		if p := r.endpoints[n].plan; p.PauseEvery > 0 && p.PauseFor > 0 {
			beside.Go(func() { r.runRandomPauses(ctx, n) })
		}
	}
}

// pauses stops an endpoint for a moment now and then, at the same instants as in the model.
func (r *run) runRandomPauses(ctx context.Context, n int) {
	p := r.endpoints[n].plan
	stream := randstream.New(r.plan.Seed, "pauses")
	at := monotime.Micros(0)
	for k := uint64(1); ; k++ {
		at += 1 + monotime.Micros(stream.For(uint64(n), k).ExpFloat64()*float64(p.PauseEvery))
		if at >= r.plan.Length.Micros() {
			return
		}
		timer := time.NewTimer(time.Until(r.wallTime(at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		r.endpoints[n].pause(monotime.Micros(stream.For(uint64(n), k, 1).ExpFloat64() * float64(p.PauseFor)))
	}
}
