package peers

import (
	"time"

	"github.com/hashicorp/memberlist"
)

// joinInterval is the time from one attempt to the next to join the addresses of Options.Join at which no live instance
// is known. After a start, or a long partition, gossip alone does not connect the instances.
const joinInterval = 2 * time.Second

// joinMissing joins the missing addresses every joinInterval. It runs in a goroutine of its own, which Close ends.
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

// missingAddresses returns the addresses of Options.Join at which no live instance is known.
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

// hasLiveMemberAt reports whether a live instance is known at an address. The caller holds p.mu.
func (p *Peers) hasLiveMemberAt(address string) bool {
	for _, m := range p.members {
		if m.Alive && m.Address == address {
			return true
		}
	}
	return false
}

// delegate implements memberlist.Delegate and memberlist.EventDelegate.
type delegate Peers

// NodeMeta implements memberlist.Delegate; there is no metadata.
func (d *delegate) NodeMeta(int) []byte { return nil }

// minusOne, added to an unsigned counter, subtracts one.
const minusOne = ^uint64(0)

// NotifyMsg implements memberlist.Delegate: it queues a received message, or drops it if the queue is full. It must not
// block.
func (d *delegate) NotifyMsg(encoded []byte) {
	e, ok := decode(encoded)
	if !ok {
		d.malformedCount.Add(1)
		return
	}
	if e.To != d.options.Name {
		return // for another instance that had this address earlier
	}
	d.receivedCount.Add(1) // before the handler is called, which may call Stats
	select {
	case d.receivedQueue <- e:
	default:
		d.receivedCount.Add(minusOne)
		d.droppedCount.Add(1)
	}
}

// GetBroadcasts implements memberlist.Delegate; there are none.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate; there is none.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate; there is none.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// NotifyJoin implements memberlist.EventDelegate.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.recordMember(n, true) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.recordMember(n, true) }

// NotifyLeave implements memberlist.EventDelegate: the instance has left, or is considered dead.
func (d *delegate) NotifyLeave(n *memberlist.Node) { d.recordMember(n, false) }

// recordMember records the address and state of an instance, and the time at which the state changed.
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
