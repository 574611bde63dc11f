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
	"dunlinsail/internal/simulation/scenario"
)

// misreporterCount returns the number of misreporters that the plan starts.
func (r *run) misreporterCount() (count int) {
	for eventIndex := range r.plan.PlannedEvents {
		if r.plan.PlannedEvents[eventIndex].What == scenario.EventDemandOverstated {
			count++
		}
	}
	return count
}

// misreporter is an additional member of the instances' coordination that serves no client and requests quota for
// demand that it does not have.
type misreporter struct {
	reportedDemand float64 // demand that it reports for each budget, in units per second

	mu     sync.Mutex // guards member
	member *coordination.Member
	peers  *peers.Peers
	stop   chan struct{}
	done   sync.WaitGroup
}

// misreporterTickInterval is how often a misreporter calls its coordination member's Tick.
const misreporterTickInterval = 10 * time.Millisecond

// startMisreporter starts a misreporter with the given demand. The caller must call stop.
func (r *run) startMisreporter(demand float64) (stop func(), err error) {
	coordinationConfig := r.config.Coordination(1)
	if coordinationConfig == nil {
		return nil, errors.New(`event "liar": the instances do not coordinate: set peers.on in the settings`)
	}
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	settings := coordinationConfig.Settings
	settings.Self = fmt.Sprint("instance-", len(r.plan.Instances))
	settings.Candidates = simulation.QuotaCandidates(settings.Candidates, len(r.plan.Instances))
	settings.Quota.MaxInstances = len(r.plan.Instances) + r.misreporterCount()
	member, err := coordination.New(settings)
	if err != nil {
		return nil, err
	}
	for _, tenant := range r.config.Tenants {
		member.SetBudget("tenant/"+tenant.Name, tenant.RateLimit, false)
	}
	m := &misreporter{reportedDemand: demand, member: member, stop: make(chan struct{})}
	m.peers, err = peers.Start(peers.Options{
		Name:          settings.Self,
		Fleet:         r.config.Peers.Fleet,
		Address:       addr,
		Join:          r.peerAddrs[:len(settings.Candidates)],
		Log:           slog.New(slog.DiscardHandler),
		HandleMessage: m.handleMessage,
	})
	if err != nil {
		return nil, err
	}
	m.mu.Lock() // peers may already deliver messages
	member.Start(clock.BootTime(), rand.Uint64())
	m.mu.Unlock()
	m.done.Go(m.run)
	return m.close, nil
}

func (m *misreporter) handleMessage(from string, message coordination.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.member.Receive(clock.BootTime(), from, message)
}

func (m *misreporter) run() {
	ticker := time.NewTicker(misreporterTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-m.stop:
			return
		}
		m.mu.Lock()
		m.member.Tick(clock.BootTime())
		outgoing := m.member.TakeOutgoing()
		m.mu.Unlock()
		for _, outgoingMessage := range outgoing {
			if request := outgoingMessage.Message.Request; request != nil {
				for demandIndex := range request.Demands {
					request.Demands[demandIndex].Requested = m.reportedDemand
					request.Demands[demandIndex].Contributed = m.reportedDemand
				}
			}
			m.peers.Send(outgoingMessage.To, outgoingMessage.Message)
		}
	}
}

func (m *misreporter) close() {
	close(m.stop)
	m.done.Wait()
	m.peers.Close(true)
}
