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

// maintenanceRun is the state of an operator's maintenance of machines, and the requests that reach a machine
// meanwhile.
type maintenanceRun struct {
	mu               sync.Mutex
	underMaintenance map[int]bool      // by the endpoint's index
	requestsDuring   int               // requests that reached a machine under maintenance
	completed        int               // machines that are back in service
	requested        int               // machines
	duration         monotime.Micros   // until all were back; 0 before
	phaseTimes       []monotime.Micros // from the request until each machine was drained
}

// countRequest counts a request at an endpoint if its machine is under maintenance.
func (l *maintenanceRun) countRequest(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.underMaintenance[n] {
		l.requestsDuring++
	}
}

// addMaintenanceTables adds an instance's admin address and state path to a file that has maintenance on.
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

// callAnyInstance calls an admin path at the first instance that answers, beginning with another one each turn.
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

// maintenanceID is the ID of the run's maintenance request.
const maintenanceID = "night"

// runMaintenance requests maintenance of an event's machines, works for the event's delay at each one that is drained,
// and completes it, until all are back or the event ends.
func (r *run) runMaintenance(ctx context.Context, event *scenario.PlannedEvent) {
	var names []string
	for _, n := range event.Endpoints {
		names = append(names, r.plan.Endpoints[n].Name)
	}
	request := maintenance.Command{Request: &maintenance.Request{
		ID:        maintenanceID,
		Machines:  names,
		Duration:  60_000_000,
		Reason:    "a new kernel",
		Requester: "lab",
	}}
	turn := 0
	requested := false
	workSince := map[int]time.Time{}
	for ctx.Err() == nil && r.now() < event.Until {
		turn++
		if !requested {
			_, err := r.callAnyInstance(ctx, turn, "/work/say", request)
			requested = err == nil
			time.Sleep(pollInterval)
			continue
		}
		text, err := r.callAnyInstance(ctx, turn, "/work", nil)
		var view consensus.View
		if err != nil || json.Unmarshal(text, &view) != nil {
			continue
		}
		finished, allBack := r.updateMaintenance(event, &view, workSince)
		if allBack {
			return
		}
		for _, n := range finished {
			r.completeMaintenance(ctx, turn, n)
			delete(workSince, n) // should the call be lost, its phase is seen again, and work begins anew
		}
		time.Sleep(pollInterval)
	}
}

// updateMaintenance takes in the instances' view of the machines. It returns the machines at which work has been done,
// and whether all are back.
func (r *run) updateMaintenance(
	event *scenario.PlannedEvent, view *consensus.View, workSince map[int]time.Time,
) (finished []int, allBack bool) {
	m := r.maintenance
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requested = len(event.Endpoints)
	m.completed = len(event.Endpoints)
	for _, machine := range view.Machines {
		m.completed--
		n := slices.IndexFunc(r.plan.Endpoints, func(p scenario.Endpoint) bool { return p.Name == machine.Name })
		if machine.Phase != maintenance.UnderMaintenance {
			continue
		}
		if n >= 0 && !m.underMaintenance[n] {
			m.underMaintenance[n] = true
			m.phaseTimes = append(m.phaseTimes, r.now()-event.At)
			workSince[n] = time.Now()
		} else if time.Since(workSince[n]) >= time.Duration(event.Delay)*time.Microsecond {
			finished = append(finished, n)
		}
	}
	allBack = m.completed == len(event.Endpoints)
	if allBack && m.duration == 0 {
		m.duration = r.now() - event.At
	}
	return finished, allBack
}

// completeMaintenance reports a machine as back. Requests may come from then on: they are not counted any more.
func (r *run) completeMaintenance(ctx context.Context, turn, n int) {
	m := r.maintenance
	m.mu.Lock()
	delete(m.underMaintenance, n)
	m.mu.Unlock()
	completion := &maintenance.Completion{Request: maintenanceID, Machine: r.plan.Endpoints[n].Name}
	_, _ = r.callAnyInstance(ctx, turn, "/work/say", maintenance.Command{Complete: completion})
}
