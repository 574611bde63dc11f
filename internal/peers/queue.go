package peers

import (
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"

	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/coordination"
)

// maxDatagramBytes is the size of the largest encoded message that is sent as a datagram. With memberlist's header,
// such a datagram fits into one Ethernet frame.
const maxDatagramBytes = 1300

// outgoingMessage is a message that waits to be sent. If consensusMessage is set, coordinationMessage is ignored.
type outgoingMessage struct {
	recipient           string // name of the receiving instance
	coordinationMessage coordination.Message
	consensusMessage    *consensus.Message
}

// Send queues a message of package coordination to the instance with the given name. It never blocks: if the queue
// is full, the message is dropped. A queued message may still be lost.
func (p *Peers) Send(to string, m coordination.Message) {
	p.enqueue(outgoingMessage{recipient: to, coordinationMessage: m})
}

// SendConsensus queues a message of package consensus to the instance with the given name. It drops messages under
// the same conditions as Send.
func (p *Peers) SendConsensus(to string, m consensus.Message) {
	p.enqueue(outgoingMessage{recipient: to, consensusMessage: &m})
}

// enqueue queues a message to be sent, or drops it if the queue is full.
func (p *Peers) enqueue(m outgoingMessage) {
	select {
	case p.outgoingQueue <- m:
	default:
		p.droppedCount.Add(1)
	}
}

// deliverReceived passes received messages to their handlers. It runs in its own goroutine until Close.
func (p *Peers) deliverReceived() {
	for {
		select {
		case received := <-p.receivedQueue:
			switch {
			case received.Consensus == nil:
				p.options.HandleMessage(received.From, received.Message)
			case p.options.HandleConsensus != nil:
				p.options.HandleConsensus(received.From, *received.Consensus)
			}
		case <-p.closing:
			return
		}
	}
}

// transmitQueued sends queued messages. It runs in its own goroutine until Close, and sends the messages that are
// still queued before it ends.
func (p *Peers) transmitQueued() {
	for {
		select {
		case m := <-p.outgoingQueue:
			p.transmit(m)
		case <-p.closing:
			p.transmitRemaining()
			return
		}
	}
}

// transmitRemaining sends queued messages until the queue is empty.
func (p *Peers) transmitRemaining() {
	for {
		select {
		case m := <-p.outgoingQueue:
			p.transmit(m)
		default:
			return
		}
	}
}

// transmit sends a message as a datagram, or over TCP if it is larger than maxDatagramBytes. A message over TCP is
// sent by a new goroutine, which ends within memberlist's TCP timeout and for which Close waits.
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

// logSendError logs the error of a message that could not be sent. It logs nothing if err is nil.
func (p *Peers) logSendError(to string, err error) {
	if err != nil {
		p.options.Log.Debug("gossip message not sent", "to", to, "error", err)
	}
}

// addressOf returns the address of an instance. Instances that are considered dead have an address, too: it may be
// that only the messages from such an instance are lost, and that it still receives messages.
func (p *Peers) addressOf(name string) (address string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[name]
	if m == nil {
		return "", false
	}
	return m.Address, true
}
