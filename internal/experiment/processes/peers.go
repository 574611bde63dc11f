package processes

import (
	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/simulation"
	"dunlinsail/internal/simulation/scenario"
)

// setUpPeers assigns gossip addresses to instances that coordinate, and starts relays between them where the plan has
// network faults.
func (r *run) setUpPeers() error {
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
	partitioned := r.plan.HasEvent(
		scenario.EventInstancePartition, scenario.EventZonePartition, scenario.EventLateMessages)
	for i := range r.plan.Instances {
		for j := range r.plan.Instances {
			if partitioned && i != j {
				y, err := r.newRelay(i, j)
				if err != nil {
					return err
				}
				r.relays = append(r.relays, y)
			}
		}
	}
	return nil
}

// fillPeersTable fills in an instance's gossip addresses in the peers table of its file.
func (r *run) fillPeersTable(in *instance, table map[string]any) map[string]any {
	candidates := simulation.QuotaCandidates(r.config.Peers.Allocators, len(r.plan.Instances))
	var join, ways []any
	for i, addr := range r.peerAddrs {
		if i != in.index && i < len(candidates) {
			join = append(join, addr)
		}
	}
	for _, y := range r.relays {
		if y.from == in.index {
			ways = append(ways, r.peerAddrs[y.to]+"="+y.addr)
		}
	}
	table["lenders"] = candidates
	table["address"] = r.peerAddrs[in.index]
	table["join"] = join
	table["ways"] = ways
	return table
}
