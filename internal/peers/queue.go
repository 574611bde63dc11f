package peers

import (
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"

	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/coordination"
)

type outgoing struct {
	to        string
	message   coordination.Message
	consensus *consensus.Message
}

// Tell sends a word to an instance by its name. It never waits; whether it comes is not known.
func (p *Peers) Send(to string, w coordination.Message) { p.enqueue(outgoing{to: to, message: w}) }

// SendConsensus sends a message of package consensus to an instance.
func (p *Peers) SendConsensus(to string, w consensus.Message) {
	p.enqueue(outgoing{to: to, consensus: &w})
}

func (p *Peers) enqueue(o outgoing) {
	select {
	case p.outgoing <- o:
	default:
		p.droppedCount.Add(1)
	}
}

// hear hands words over.
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

// send sends words.
func (p *Peers) transmitQueued() {
	for {
		select {
		case o := <-p.outgoing:
			p.transmit(o)
		case <-p.closing:
			for { // what was said before the end is still sent
				select {
				case o := <-p.outgoing:
					p.transmit(o)
				default:
					return
				}
			}
		}
	}
}

func (p *Peers) transmit(o outgoing) {
	p.mu.Lock()
	m, address := p.members[o.to], "" // one that is taken for dead, too: it may only be the way back that is cut
	if m != nil {
		address = m.Address // it may move while this is sent
	}
	p.mu.Unlock()
	if m == nil {
		p.droppedCount.Add(1)
		return
	}
	text, err := encoding.Marshal(envelope{p.options.Name, o.to, o.message, o.consensus})
	if err != nil {
		p.options.Log.Error("a word that has no form", "error", err)
		return
	}
	p.sentCount.Add(1)
	p.sentBytes.Add(uint64(len(text)))
	to := memberlist.Address{Addr: address, Name: o.to}
	if len(text) <= maxDatagramBytes {
		if err := p.list.SendToAddress(to, text); err != nil {
			p.options.Log.Debug("word not sent", "to", o.to, "error", err)
		}
		return
	}
	host, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	node := &memberlist.Node{Name: o.to, Addr: net.ParseIP(host), Port: uint16(n)}
	p.workers.Go(func() {
		if err := p.list.SendReliable(node, text); err != nil {
			p.options.Log.Debug("word not sent", "to", o.to, "error", err)
		}
	})
}
