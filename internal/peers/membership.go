package peers

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"
)

// join asks to be let in by those who are not known, now and then: nobody else does after a start, or after a split that lasted.
func (p *Peers) joinMissing() {
	if len(p.options.Join) == 0 {
		return
	}
	turn := time.NewTimer(0)
	defer turn.Stop()
	for {
		select {
		case <-turn.C:
		case <-p.closing:
			return
		}
		if missing := p.missingAddresses(); len(missing) > 0 {
			if _, err := p.list.Join(missing); err != nil {
				p.options.Log.Debug("not let in", "error", err)
			}
		}
		turn.Reset(joinInterval)
	}
}

// missing returns the addresses of Join at which nobody is known to be alive.
func (p *Peers) missingAddresses() (all []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range p.options.Join {
		if addr != p.options.Address && !slices.ContainsFunc(slices.Collect(maps.Values(p.members)), func(m *Member) bool { return m.Alive && m.Address == addr }) {
			all = append(all, addr)
		}
	}
	return all
}

// ---- What the library tells --------------------------------------------------

type delegate Peers

// NodeMeta is nothing.
func (d *delegate) NodeMeta(int) []byte { return nil }

// NotifyMsg takes a word in. It must not wait.
func (d *delegate) NotifyMsg(text []byte) {
	var e envelope
	if len(text) > maxMessageBytes || decoding.Unmarshal(text, &e) != nil {
		d.malformedCount.Add(1)
		return
	}
	if e.To != d.options.Name {
		return // it was for another, whose address this was
	}
	d.receivedCount.Add(1) // first: who hears it may look at the figures
	select {
	case d.received <- e:
	default:
		d.receivedCount.Add(^uint64(0))
		d.droppedCount.Add(1)
	}
}

// GetBroadcasts has nothing.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState is nothing.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState takes nothing.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// NotifyJoin notes an instance.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.recordMember(n, true) }

// NotifyUpdate notes where it is.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.recordMember(n, true) }

// NotifyLeave notes that it is gone, or taken for that.
func (d *delegate) NotifyLeave(n *memberlist.Node) { d.recordMember(n, false) }

func (d *delegate) recordMember(n *memberlist.Node, alive bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[n.Name]
	if m == nil {
		m = &Member{Name: n.Name}
		d.members[n.Name] = m
	}
	m.Address = n.Address()
	if m.Alive != alive || m.Since.IsZero() {
		m.Alive, m.Since = alive, time.Now()
		if n.Name != d.options.Name {
			d.options.Log.Info("instance of the fleet", "name", n.Name, "address", m.Address, "alive", alive)
		}
	}
}
