package processes

import (
	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/simulation"
	"dunlinsail/internal/simulation/scenario"
)

// assignPeerAddresses assigns a gossip address to each instance if the instances coordinate. If the plan has
// network faults between instances, it also starts a relay for each ordered pair of instances.
func (r *run) assignPeerAddresses() error {
	if !r.config.Peers.On || isSidecar(r.options.Daemon) {
		return nil
	}
	for range r.plan.Instances {
		addr, err := freeport.Free()
		if err != nil {
			return err
		}
		r.peerAddrs = append(r.peerAddrs, addr)
	}
	hasNetworkFaults := r.plan.HasEvent(
		scenario.EventInstancePartition, scenario.EventZonePartition, scenario.EventLateMessages)
	for from := range r.plan.Instances {
		for to := range r.plan.Instances {
			if hasNetworkFaults && from != to {
				rl, err := r.newRelay(from, to)
				if err != nil {
					return err
				}
				r.relays = append(r.relays, rl)
			}
		}
	}
	return nil
}

// fillPeersTable adds the gossip addresses, the relay addresses and the allocator candidates to the peers table of
// an instance's configuration.
func (r *run) fillPeersTable(inst *instance, table map[string]any) map[string]any {
	candidates := simulation.QuotaCandidates(r.config.Peers.Allocators, len(r.plan.Instances))
	var joinAddrs, relayAddrs []any
	for instanceIndex, addr := range r.peerAddrs {
		if instanceIndex != inst.index && instanceIndex < len(candidates) {
			joinAddrs = append(joinAddrs, addr)
		}
	}
	for _, rl := range r.relays {
		if rl.from == inst.index {
			relayAddrs = append(relayAddrs, r.peerAddrs[rl.to]+"="+rl.listenAddr)
		}
	}
	table["lenders"] = candidates
	table["address"] = r.peerAddrs[inst.index]
	table["join"] = joinAddrs
	table["ways"] = relayAddrs
	return table
}
