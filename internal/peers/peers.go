// Package peers carries words between the instances of a fleet: it finds the others and hears of their end by
// hashicorp/memberlist (SWIM: Das, Gupta, Motivala 2002, with Lifeguard: Dadgar, Phillips, Currey 2017), and sends words as that
// library's user messages, in CBOR (RFC 8949). A word may be lost, late, doubled or out of order: who says it counts on nothing.
// It decides nothing, and may not know engines or what words mean. What a list of endpoints comes from is package endpointsource's.
package peers

import (
	"cmp"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

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
