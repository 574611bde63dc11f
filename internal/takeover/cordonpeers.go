package takeover

import (
	"encoding/json"
	"sync"

	"dunlinsail/internal/decide/cordon"
)

// CordonPeers is the set of connections to the other processes of a hot restart, to which cordons are sent. The zero
// CordonPeers is empty. Its methods may be called from any goroutine.
type CordonPeers struct {
	mu    sync.Mutex
	conns []*Conn // elements are never overwritten, because Broadcast reads the slice without mu
}

// Add adds a connection.
func (p *CordonPeers) Add(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conn)
}

// Remove removes a connection, if it is in the set.
func (p *CordonPeers) Remove(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.conns {
		if other == conn {
			p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
			return
		}
	}
}

// Broadcast sends a cordon to all peers. It ignores a failed write, because the goroutine that reads from the
// connection reports that the connection has ended.
func (p *CordonPeers) Broadcast(record cordon.Record) {
	p.mu.Lock()
	conns := p.conns
	p.mu.Unlock()
	encoded, err := json.Marshal([]cordon.Record{record})
	if err != nil {
		return
	}
	for _, conn := range conns {
		_ = conn.Write(Message{Kind: Cordons, Payload: encoded})
	}
}
