package peers

import (
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"

	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/coordination"
)

// maxDatagramBytes is the size of the largest message that is sent as a datagram. Together with memberlist's header it
// fits into an Ethernet frame.
const maxDatagramBytes = 1300

// outgoing is a message that waits to be sent.
type outgoingMessage struct {
	recipient           string
	coordinationMessage coordination.Message
	consensusMessage    *consensus.Message
}

// Send queues a message to an instance by its name. It never blocks: the message is dropped if the queue is full. The
// message may be lost.
func (p *Peers) Send(to string, m coordination.Message) {
	p.enqueue(outgoingMessage{recipient: to, coordinationMessage: m})
}

// SendConsensus queues a message of package consensus in the same way.
func (p *Peers) SendConsensus(to string, m consensus.Message) {
	p.enqueue(outgoingMessage{recipient: to, consensusMessage: &m})
}

// enqueue queues a message, or drops it if the queue is full.
func (p *Peers) enqueue(m outgoingMessage) {
	select {
	case p.outgoingQueue <- m:
	default:
		p.droppedCount.Add(1)
	}
}

// deliverReceived calls the handlers of received messages. It runs in a goroutine of its own, which Close ends.
func (p *Peers) deliverReceived() {
	for {
		select {
		case e := <-p.receivedQueue:
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

// transmitQueued sends queued messages. It runs in a goroutine of its own, which Close ends after the messages that are
// queued by then.
func (p *Peers) transmitQueued() {
	for {
		select {
		case o := <-p.outgoingQueue:
			p.transmit(o)
		case <-p.closing:
			p.transmitRemaining()
			return
		}
	}
}

// transmitRemaining sends the messages that are queued now.
func (p *Peers) transmitRemaining() {
	for {
		select {
		case o := <-p.outgoingQueue:
			p.transmit(o)
		default:
			return
		}
	}
}

// transmit sends a message as a datagram or, if it is too large, by TCP. That takes a goroutine of its own, which ends
// within memberlist's TCP timeout and which Close waits for.
func (p *Peers) transmit(m outgoingMessage) {
	address, known := p.addressOf(m.recipient)
	if !known {
		p.droppedCount.Add(1)
		return
	}
	encoded, err := encMode.Marshal(envelope{p.options.Name, m.recipient, m.coordinationMessage, m.consensusMessage})
	if err != nil {
		p.options.Log.Error("gossip message encoding failed", "error", err)
		return
	}
	p.sentCount.Add(1)
	p.sentBytes.Add(uint64(len(encoded)))
	if len(encoded) <= maxDatagramBytes {
		to := memberlist.Address{Addr: address, Name: m.recipient}
		p.logSendError(m.recipient, p.memberlist.SendToAddress(to, encoded))
		return
	}
	host, portText, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(portText)
	node := &memberlist.Node{Name: m.recipient, Addr: net.ParseIP(host), Port: uint16(port)}
	p.goroutines.Go(func() { p.logSendError(m.recipient, p.memberlist.SendReliable(node, encoded)) })
}

// logSendError logs the error of a message that could not be sent, if there is one.
func (p *Peers) logSendError(to string, err error) {
	if err != nil {
		p.options.Log.Debug("gossip message not sent", "to", to, "error", err)
	}
}

// addressOf returns the address of an instance by its name. A dead one has an address, too: it may be that only the
// messages from it are lost.
func (p *Peers) addressOf(name string) (address string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[name]
	if m == nil {
		return "", false
	}
	return m.Address, true
}
