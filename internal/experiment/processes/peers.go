package processes

import (
	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/simulation"
)

// together makes the addresses of instances that know of one another, and the relays between them.
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
	partitioned := false
	for i := range r.plan.PlannedEvents {
		what := r.plan.PlannedEvents[i].What
		partitioned = partitioned || what == "part" || what == "cut" || what == "late-words"
	}
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

// peersTable is an instance's, of its file.
func (r *run) fillPeersTable(in *instance, of map[string]any) map[string]any {
	lenders := simulation.QuotaCandidates(r.config.Peers.Allocators, len(r.plan.Instances))
	var join, ways []any
	for i, addr := range r.peerAddrs {
		if i != in.index && i < len(lenders) {
			join = append(join, addr)
		}
	}
	for _, y := range r.relays {
		if y.from == in.index {
			ways = append(ways, r.peerAddrs[y.to]+"="+y.addr)
		}
	}
	of["lenders"] = lenders
	of["address"], of["join"], of["ways"] = r.peerAddrs[in.index], join, ways
	return of
}
