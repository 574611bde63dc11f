// Package peers carries words between the instances of a fleet: it finds the others and hears of their end by
// hashicorp/memberlist (SWIM: Das, Gupta, Motivala 2002, with Lifeguard: Dadgar, Phillips, Currey 2017), and sends words as that
// library's user messages, in CBOR (RFC 8949). A word may be lost, late, doubled or out of order: who says it counts on nothing.
// It decides nothing, and may not know engines or what words mean. What a list of endpoints comes from is package endpointsource's.
package peers

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/coordination"
)

// Options are what an instance needs to be among others.
type Options struct {
	Name          string
	Fleet         string            // of another name is another fleet: nothing passes between them
	Address       string            // host:port, UDP and TCP
	Join          []string          // addresses of some others
	DialVia       map[string]string // where an address is reached from here, if not there
	Log           *slog.Logger
	HandleMessage func(from string, w coordination.Message) // is called with one word at a time; may wait
	// HandleConsensus is the same for messages of package consensus; nil is that this instance takes no part in it.
	HandleConsensus func(from string, w consensus.Message)
}

// Member is an instance, as far as is known here.
type Member struct {
	Name    string    `json:"Name"`
	Address string    `json:"Address"`
	Alive   bool      `json:"Alive"`
	Since   time.Time `json:"Since"` // it is so
}

// Peers is an instance's place among the others. Its methods may be called from many goroutines.
type Peers struct {
	options  Options
	list     *memberlist.Memberlist
	received chan envelope
	outgoing chan outgoing
	closing  chan struct{}
	workers  sync.WaitGroup

	mu      sync.Mutex
	members map[string]*Member

	sentCount, receivedCount, sentBytes, droppedCount, malformedCount atomic.Uint64
}

// envelope is a word as it is carried.
type envelope struct {
	From    string               `cbor:"1,keyasint"`
	To      string               `cbor:"2,keyasint"`
	Message coordination.Message `cbor:"3,keyasint"`

	Consensus *consensus.Message `cbor:"4,keyasint,omitempty"`
}

type outgoing struct {
	to        string
	message   coordination.Message
	consensus *consensus.Message
}

const (
	// waiting is how many words wait for their turn, in and out; beyond that they are lost, as on any way.
	queueCapacity = 4096
	// packetMost is the largest word that goes as a datagram: with the library's own head it stays within an Ethernet frame.
	maxDatagramBytes = 1300
	// wordMost bounds a word that comes, and what is in it.
	maxMessageBytes = 64 << 10
	maxItems        = 4096
	// again is how often those of Join that are not known are asked to let this instance in: after a split nobody else would.
	joinInterval = 2 * time.Second
	// leaveFor is how long telling the others of the end may take.
	leaveTimeout = 500 * time.Millisecond
)

var (
	encoding, _ = cbor.EncOptions{Sort: cbor.SortNone, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	decoding, _ = cbor.DecOptions{MaxArrayElements: maxItems, MaxMapPairs: maxItems, MaxNestedLevels: 16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
)

// Encode returns the form of a word.
func Encode(from, to string, w coordination.Message) ([]byte, error) {
	return encoding.Marshal(envelope{From: from, To: to, Message: w})
}

// Start has an instance be among the others, or returns the error of an address that cannot be had. That nobody else is there
// is none.
func Start(o Options) (*Peers, error) {
	host, port, err := net.SplitHostPort(o.Address)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	p := &Peers{options: o, received: make(chan envelope, queueCapacity), outgoing: make(chan outgoing, queueCapacity), closing: make(chan struct{}), members: map[string]*Member{}}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = o.Name, o.Fleet
	c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = host, n, host, n
	c.Logger = slog.NewLogLogger(o.Log.Handler(), slog.LevelDebug)
	c.Delegate, c.Events = (*delegate)(p), (*delegate)(p)
	c.DeadNodeReclaimTime = time.Second // a process that starts anew in another's place may come at another address
	c.TCPTimeout = 2 * time.Second
	net, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: n, Logger: c.Logger})
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	c.Transport = &transport{net, o.DialVia}
	if p.list, err = memberlist.Create(c); err != nil {
		net.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.workers.Go(p.deliverReceived)
	p.workers.Go(p.transmitQueued)
	p.workers.Go(p.joinMissing)
	return p, nil
}

// Close ends the instance's part. With leave the others are told; without, another process takes its place at once.
func (p *Peers) Close(leave bool) {
	close(p.closing)
	if leave {
		if err := p.list.Leave(leaveTimeout); err != nil {
			p.options.Log.Info("not all others have heard that this instance leaves", "error", err)
		}
	}
	if err := p.list.Shutdown(); err != nil {
		p.options.Log.Warn("peers", "error", err)
	}
	p.workers.Wait()
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

// Members returns the instances that are known, by name.
func (p *Peers) Members() (all []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Figures are what the words come to.
type Stats struct {
	Sent      uint64 `json:"Sent"`
	Received  uint64 `json:"Heard"`
	Bytes     uint64 `json:"Bytes"`
	Dropped   uint64 `json:"Dropped"`
	Malformed uint64 `json:"Spoilt"`
}

// Figures returns them.
func (p *Peers) Stats() Stats {
	return Stats{p.sentCount.Load(), p.receivedCount.Load(), p.sentBytes.Load(), p.droppedCount.Load(), p.malformedCount.Load()}
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

// ---- Ways ------------------------------------------------------------------

// transport is the library's, with addresses that are reached elsewhere.
type transport struct {
	*memberlist.NetTransport
	via map[string]string
}

func (t *transport) dialAddress(addr string) string {
	if via, ok := t.via[addr]; ok {
		return via
	}
	return addr
}

// WriteTo sends a datagram.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.dialAddress(addr))
}

// WriteToAddress sends a datagram.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = t.dialAddress(a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

// DialTimeout connects.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.dialAddress(addr), timeout)
}

// DialAddressTimeout connects.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	a.Addr = t.dialAddress(a.Addr)
	return t.NetTransport.DialAddressTimeout(a, timeout)
}
