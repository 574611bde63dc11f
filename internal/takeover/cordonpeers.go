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
	conns []*Conn // elements are never overwritten, because send reads the slice without mu
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

// Broadcast sends a cordon to all peers.
func (p *CordonPeers) Broadcast(record cordon.Record) {
	if encoded, err := json.Marshal([]cordon.Record{record}); err == nil {
		p.send(encoded, nil)
	}
}

// Receive decodes the payload of a Cordons message, and passes it on to the peers other than its sender: in a chain of
// hot restarts, a process that is still draining is connected to its own successor only.
func (p *CordonPeers) Receive(sender *Conn, payload []byte) ([]cordon.Record, error) {
	var cordons []cordon.Record
	if err := json.Unmarshal(payload, &cordons); err != nil {
		return nil, err
	}
	p.send(payload, sender)
	return cordons, nil
}

// send sends encoded cordons to all peers except one, which may be nil. It ignores a failed write, because the
// goroutine that reads from the connection reports that the connection has ended.
func (p *CordonPeers) send(encoded []byte, except *Conn) {
	p.mu.Lock()
	conns := p.conns
	p.mu.Unlock()
	for _, conn := range conns {
		if conn != except {
			_ = conn.Write(Message{Kind: Cordons, Payload: encoded})
		}
	}
}
