package peers

import (
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"

	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/coordination"
)

// maxDatagramBytes is the largest message that is sent as a datagram: with memberlist's own head it stays within an
// Ethernet frame.
const maxDatagramBytes = 1300

// outgoing is a message that waits to be sent.
type outgoing struct {
	to        string
	message   coordination.Message
	consensus *consensus.Message
}

// Send sends a message to an instance by its name. It never blocks, and does not report whether the message arrives.
func (p *Peers) Send(to string, m coordination.Message) { p.enqueue(outgoing{to: to, message: m}) }

// SendConsensus sends a message of package consensus likewise.
func (p *Peers) SendConsensus(to string, m consensus.Message) {
	p.enqueue(outgoing{to: to, consensus: &m})
}

func (p *Peers) enqueue(o outgoing) {
	select {
	case p.outgoing <- o:
	default:
		p.droppedCount.Add(1)
	}
}

// deliverReceived calls the handlers of received messages until Close.
func (p *Peers) deliverReceived() {
	for {
		select {
		case e := <-p.received:
			switch {
			case e.Consensus == nil:
				p.options.HandleMessage(e.From, e.Message)
			case p.options.HandleConsensus != nil:
				p.options.HandleConsensus(e.From, *e.Consensus)
			}
		case <-p.closing:
			return
		}
	}
}

// transmitQueued sends queued messages until Close, and then those that were queued before.
func (p *Peers) transmitQueued() {
	for {
		select {
		case o := <-p.outgoing:
			p.transmit(o)
		case <-p.closing:
			p.transmitRest()
			return
		}
	}
}

func (p *Peers) transmitRest() {
	for {
		select {
		case o := <-p.outgoing:
			p.transmit(o)
		default:
			return
		}
	}
}

// transmit sends a message as a datagram or, if it is too large, by TCP in a goroutine of its own.
func (p *Peers) transmit(o outgoing) {
	address, known := p.addressOf(o.to)
	if !known {
		p.droppedCount.Add(1)
		return
	}
	encoded, err := encoding.Marshal(envelope{p.options.Name, o.to, o.message, o.consensus})
	if err != nil {
		p.options.Log.Error("gossip message encoding failed", "error", err)
		return
	}
	p.sentCount.Add(1)
	p.sentBytes.Add(uint64(len(encoded)))
	if len(encoded) <= maxDatagramBytes {
		to := memberlist.Address{Addr: address, Name: o.to}
		p.logUnsent(o.to, p.list.SendToAddress(to, encoded))
		return
	}
	host, portText, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(portText)
	node := &memberlist.Node{Name: o.to, Addr: net.ParseIP(host), Port: uint16(port)}
	p.workers.Go(func() { p.logUnsent(o.to, p.list.SendReliable(node, encoded)) })
}

func (p *Peers) logUnsent(to string, err error) {
	if err != nil {
		p.options.Log.Debug("gossip message not sent", "to", to, "error", err)
	}
}

// addressOf returns the address of an instance by its name. One that is taken for dead has an address, too: it may be
// that only the way back is cut.
func (p *Peers) addressOf(name string) (address string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[name]
	if m == nil {
		return "", false
	}
	return m.Address, true
}
