package processes

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/peers"
	"dunlinsail/internal/simulation"
)

// liars is how many instances that serve nobody this run has beside its own.
func (r *run) misreporterCount() (n int) {
	for i := range r.plan.PlannedEvents {
		n += map[bool]int{true: 1}[r.plan.PlannedEvents[i].What == "liar"]
	}
	return n
}

// lie has one more instance be among the others, which says that it wants so many times what nobody asks it for, until stop.
func (r *run) startMisreporter(times float64) (stop func(), err error) {
	t := r.config.Coordination(1)
	if t == nil {
		return nil, errors.New("a liar needs instances that know of one another")
	}
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	f := t.Settings
	f.Self, f.Candidates, f.Quota.MaxInstances = fmt.Sprint("instance-", len(r.plan.Instances)), simulation.QuotaCandidates(f.Candidates, len(r.plan.Instances)), len(r.plan.Instances)+r.misreporterCount()
	m, err := coordination.New(f)
	if err != nil {
		return nil, err
	}
	for _, tenant := range r.config.Tenants {
		m.SetBudget("tenant/"+tenant.Name, tenant.RateLimit, false)
	}
	var mu sync.Mutex // guards m
	p, err := peers.Start(peers.Options{Name: f.Self, Fleet: r.config.Peers.Fleet, Address: addr, Join: r.peerAddrs[:len(f.Candidates)], Log: slog.New(slog.DiscardHandler),
		HandleMessage: func(from string, w coordination.Message) {
			mu.Lock()
			defer mu.Unlock()
			m.Receive(clock.BootTime(), from, w)
		}})
	if err != nil {
		return nil, err
	}
	m.Start(clock.BootTime(), rand.Uint64())
	ended := make(chan struct{})
	turn := time.NewTicker(10 * time.Millisecond)
	var done sync.WaitGroup
	done.Go(func() {
		for {
			select {
			case <-turn.C:
			case <-ended:
				return
			}
			mu.Lock()
			m.Tick(clock.BootTime())
			out := m.TakeOutgoing()
			mu.Unlock()
			for _, o := range out {
				if o.Message.Request != nil {
					for i := range o.Message.Request.Demands {
						o.Message.Request.Demands[i].Requested, o.Message.Request.Demands[i].Contributed = times, times
					}
				}
				p.Send(o.To, o.Message)
			}
		}
	})
	return func() {
		turn.Stop()
		close(ended)
		done.Wait()
		p.Close(true)
	}, nil
}
