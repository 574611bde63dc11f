package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"dunlinsail/internal/admin"
	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation"
	"dunlinsail/internal/simulation/scenario"
)

// This file is the operator who has machines taken out for work, at whichever instance answers: it asks for all of them at once, works for
// a while at each that is free, and says that it is done. What reaches a machine in between is counted there.

// labour is what the operator does, and what it comes to.
type maintenanceRun struct {
	mu               sync.Mutex
	underMaintenance map[int]bool // endpoints at work, by their places
	requestsDuring   int          // requests that reached one
	completed        int          // machines that are back
	requested        int
	duration         monotime.Micros // until all were
	phaseTimes       []monotime.Micros
}

// atWork counts a request at a machine that is at work.
func (l *maintenanceRun) countRequest(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.underMaintenance[n] {
		l.requestsDuring++
	}
}

// workTables fills in what differs between instances, of a file that has work on.
func (r *run) addMaintenanceTables(in *instance, doc map[string]any) error {
	table, _ := doc["work"].(map[string]any)
	if table == nil || !r.config.Maintenance.On {
		return nil
	}
	if in.adminAddr == "" {
		var err error
		if in.adminAddr, err = freeport.Free(); err != nil {
			return err
		}
	}
	doc["operators"] = map[string]any{"address": in.adminAddr}
	if in.index < len(simulation.QuotaCandidates(r.config.Peers.Allocators, len(r.plan.Instances))) {
		table["state"] = filepath.Join(r.workDir, fmt.Sprint("order-", in.index))
	}
	return nil
}

const (
	callTimeout  = 2 * time.Second
	pollInterval = 50 * time.Millisecond
)

// call calls operators' path at some instance that answers, beginning with one that differs from turn to turn.
func (r *run) callAnyInstance(ctx context.Context, turn int, path string, body any) ([]byte, error) {
	var err error
	for i := range r.instances {
		in := r.instances[(turn+i)%len(r.instances)]
		var text []byte
		if text, err = callOne(ctx, in.adminAddr, path, body); err == nil {
			return text, nil
		}
	}
	return nil, err
}

func callOne(ctx context.Context, addr, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return admin.Call(ctx, addr, path, body)
}

// labour has machines taken out and brought back until all are, or the event ends.
func (r *run) runMaintenance(ctx context.Context, h *scenario.PlannedEvent) {
	l := r.maintenance
	var names []string
	for _, n := range h.Endpoints {
		names = append(names, r.plan.Endpoints[n].Name)
	}
	ask := maintenance.Command{Request: &maintenance.Request{ID: "night", Machines: names, Duration: 60_000_000, Reason: "a new kernel", Requester: "lab"}}
	turn, asked := 0, false
	since := map[int]time.Time{}
	for ctx.Err() == nil && r.now() < h.Until {
		turn++
		if !asked {
			_, err := r.callAnyInstance(ctx, turn, "/work/say", ask)
			asked = err == nil
			time.Sleep(pollInterval)
			continue
		}
		text, err := r.callAnyInstance(ctx, turn, "/work", nil)
		var v consensus.View
		if err != nil || json.Unmarshal(text, &v) != nil {
			continue
		}
		l.mu.Lock()
		l.requested = len(names)
		l.completed = len(names)
		var free []int
		for _, i := range v.Machines {
			l.completed--
			n := slices.IndexFunc(r.plan.Endpoints, func(p scenario.Endpoint) bool { return p.Name == i.Name })
			if i.Phase == maintenance.UnderMaintenance && n >= 0 && !l.underMaintenance[n] {
				l.underMaintenance[n] = true
				l.phaseTimes = append(l.phaseTimes, r.now()-h.At)
				since[n] = time.Now()
			} else if i.Phase == maintenance.UnderMaintenance && time.Since(since[n]) >= time.Duration(h.Delay)*time.Microsecond {
				free = append(free, n)
			}
		}
		over := l.completed == len(names)
		if over && l.duration == 0 {
			l.duration = r.now() - h.At
		}
		l.mu.Unlock()
		if over {
			return
		}
		for _, n := range free {
			// From the word on requests may come: it is said once nothing is counted any more.
			l.mu.Lock()
			delete(l.underMaintenance, n)
			l.mu.Unlock()
			_, _ = r.callAnyInstance(ctx, turn, "/work/say", maintenance.Command{Complete: &maintenance.Completion{Request: "night", Machine: r.plan.Endpoints[n].Name}})
			delete(since, n) // should the word be lost, its phase is seen again, and it is at work anew
		}
		time.Sleep(pollInterval)
	}
}
