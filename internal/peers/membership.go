package peers

import (
	"time"

	"github.com/hashicorp/memberlist"
)

// joinInterval is the time between two attempts to join those addresses of Options.Join at which no live instance
// is known. Repeated attempts are necessary because gossip alone does not connect instances after a start or a long
// network partition.
const joinInterval = 2 * time.Second

// joinMissing tries every joinInterval to join the addresses that missingAddresses returns. It runs in its own
// goroutine until Close.
func (p *Peers) joinMissing() {
	if len(p.options.Join) == 0 {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-p.closing:
			return
		}
		if missing := p.missingAddresses(); len(missing) > 0 {
			if _, err := p.memberlist.Join(missing); err != nil {
				p.options.Log.Debug("gossip join failed", "error", err)
			}
		}
		timer.Reset(joinInterval)
	}
}

// missingAddresses returns the addresses of Options.Join at which no live instance is known, without this
// instance's address.
func (p *Peers) missingAddresses() (missing []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range p.options.Join {
		if address != p.options.Address && !p.hasLiveMemberAt(address) {
			missing = append(missing, address)
		}
	}
	return missing
}

// hasLiveMemberAt reports whether a live instance is known at an address. The caller must hold p.mu.
func (p *Peers) hasLiveMemberAt(address string) bool {
	for _, m := range p.members {
		if m.Alive && m.Address == address {
			return true
		}
	}
	return false
}

// delegate is a Peers with the callbacks of memberlist.Delegate and memberlist.EventDelegate.
type delegate Peers

// NodeMeta implements memberlist.Delegate. Peers uses no node metadata.
func (d *delegate) NodeMeta(int) []byte { return nil }

// minusOne decrements an unsigned atomic counter when added to it.
const minusOne = ^uint64(0)

// NotifyMsg implements memberlist.Delegate. It queues a received message for its handler, or drops it if the queue
// is full. It must not block.
func (d *delegate) NotifyMsg(encoded []byte) {
	e, ok := decode(encoded)
	if !ok {
		d.malformedCount.Add(1)
		return
	}
	if e.To != d.options.Name {
		return // the message is for an instance that had this address earlier
	}
	d.receivedCount.Add(1) // counted before the handler can run, since the handler may call Stats
	select {
	case d.receivedQueue <- e:
	default:
		d.receivedCount.Add(minusOne)
		d.droppedCount.Add(1)
	}
}

// GetBroadcasts implements memberlist.Delegate. Peers uses no broadcasts.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate. Peers exchanges no state.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate. Peers exchanges no state.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// NotifyJoin implements memberlist.EventDelegate. It records that an instance is alive.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.recordMember(n, true) }

// NotifyUpdate implements memberlist.EventDelegate. It records that an instance is alive, at an address that may be
// new.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.recordMember(n, true) }

// NotifyLeave implements memberlist.EventDelegate. It records that an instance has left or was declared dead.
func (d *delegate) NotifyLeave(n *memberlist.Node) { d.recordMember(n, false) }

// recordMember records the address of an instance and whether it is alive. If that state is new, it also records
// the present time and logs the change.
func (d *delegate) recordMember(n *memberlist.Node, alive bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[n.Name]
	if m == nil {
		m = &Member{Name: n.Name}
		d.members[n.Name] = m
	}
	m.Address = n.Address()
	if m.Alive == alive && !m.Since.IsZero() {
		return
	}
	m.Alive = alive
	m.Since = time.Now()
	if n.Name != d.options.Name {
		d.options.Log.Info("fleet member changed", "name", n.Name, "address", m.Address, "alive", alive)
	}
}
