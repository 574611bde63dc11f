// Package peers sends messages between the instances of a fleet. It finds the other instances and detects their failure
// by gossip with hashicorp/memberlist (SWIM: Das, Gupta, Motivala, 2002, with Lifeguard: Dadgar, Phillips, Currey,
// 2017). Messages are that library's user messages, in CBOR (RFC 8949): a datagram, or a TCP stream for larger ones.
//
// A message may be lost, delayed, duplicated or reordered; senders must not rely on its arrival. Instances of different
// fleets (Options.Fleet) ignore each other.
//
// The package decides nothing. It must not know about engines or the meaning of messages, which packages coordination
// and consensus handle. Endpoint lists are not gossiped; package endpointsource provides them.
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

const (
	// queueCapacity is the number of messages that may wait to be delivered, and that may wait to be sent. Further ones
	// are dropped.
	queueCapacity = 4096
	// leaveTimeout is the time for which Close waits until the other instances are notified that this one leaves.
	leaveTimeout = 500 * time.Millisecond
	// reclaimTime is the time after which another address may use the name of a dead instance.
	reclaimTime = time.Second
	// tcpTimeout is the time limit of connecting, reading and writing of memberlist's TCP streams.
	tcpTimeout = 2 * time.Second
)

// Options configure an instance's part in the gossip.
type Options struct {
	Name    string            // of this instance, unique in the fleet
	Fleet   string            // label of the fleet; instances with another one are ignored
	Address string            // host:port to listen at, by UDP and TCP
	Join    []string          // addresses of some other instances, host:port
	DialVia map[string]string // by address: the address to dial in its place
	Log     *slog.Logger

	// HandleMessage handles received messages of package coordination, one at a time. It may block: further messages
	// wait in the queue.
	HandleMessage func(from string, m coordination.Message)
	// HandleConsensus handles received messages of package consensus in the same way. If nil, they are discarded.
	HandleConsensus func(from string, m consensus.Message)
}

// Member is an instance of the fleet, by the gossip that was received here. Its tags are the names in the JSON that
// operators' tools read.
type Member struct {
	Name    string    `json:"Name"`
	Address string    `json:"Address"`
	Alive   bool      `json:"Alive"`
	Since   time.Time `json:"Since"` // when Alive changed last
}

// Stats are counters of messages since Start. Its tags are the names in the JSON that operators' tools read.
type Stats struct {
	Sent      uint64 `json:"Sent"`    // messages handed to memberlist
	Received  uint64 `json:"Heard"`   // messages queued for a handler
	Bytes     uint64 `json:"Bytes"`   // encoded bytes of the sent messages
	Dropped   uint64 `json:"Dropped"` // messages dropped because a queue was full or the recipient unknown
	Malformed uint64 `json:"Spoilt"`  // received messages that could not be decoded
}

// Peers is an instance's part in the gossip. Create one with Start, which starts three goroutines; Close ends them, and
// those of large messages. It is safe for concurrent use.
type Peers struct {
	options       Options
	memberlist    *memberlist.Memberlist
	receivedQueue chan envelope        // wait for a handler
	outgoingQueue chan outgoingMessage // wait to be sent
	closing       chan struct{}        // closed by Close
	goroutines    sync.WaitGroup       // all goroutines of this Peers

	mu      sync.Mutex
	members map[string]*Member // by name, this instance included

	sentCount      atomic.Uint64
	receivedCount  atomic.Uint64
	sentBytes      atomic.Uint64
	droppedCount   atomic.Uint64
	malformedCount atomic.Uint64
}

// Start starts an instance's part in the gossip. It fails if the address is malformed or in use. It does not fail if no
// other instance can be reached: they are joined as soon as they can.
func Start(options Options) (*Peers, error) {
	p := &Peers{
		options:       options,
		receivedQueue: make(chan envelope, queueCapacity),
		outgoingQueue: make(chan outgoingMessage, queueCapacity),
		closing:       make(chan struct{}),
		members:       map[string]*Member{},
	}
	if err := p.listen(); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.goroutines.Go(p.deliverReceived)
	p.goroutines.Go(p.transmitQueued)
	p.goroutines.Go(p.joinMissing)
	return p, nil
}

// listen creates the memberlist, which listens at Options.Address.
func (p *Peers) listen() error {
	host, portText, err := net.SplitHostPort(p.options.Address)
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return err
	}
	config := memberlist.DefaultLANConfig()
	config.Name = p.options.Name
	config.Label = p.options.Fleet
	config.BindAddr = host
	config.BindPort = port
	config.AdvertiseAddr = host
	config.AdvertisePort = port
	config.Logger = slog.NewLogLogger(p.options.Log.Handler(), slog.LevelDebug)
	config.Delegate = (*delegate)(p)
	config.Events = (*delegate)(p)
	config.DeadNodeReclaimTime = reclaimTime
	config.TCPTimeout = tcpTimeout
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host},
		BindPort:  port,
		Logger:    config.Logger,
	})
	if err != nil {
		return err
	}
	config.Transport = &transport{netTransport, p.options.DialVia}
	if p.memberlist, err = memberlist.Create(config); err != nil {
		if shutdownErr := netTransport.Shutdown(); shutdownErr != nil {
			p.options.Log.Warn("gossip shutdown failed", "error", shutdownErr)
		}
		return err
	}
	return nil
}

// Close ends the instance's part and waits for all its goroutines. With announce the other instances are notified that
// it leaves. Without, it looks alive to them, because a successor of its name starts at once. It must be called once.
func (p *Peers) Close(announce bool) {
	close(p.closing)
	if announce {
		if err := p.memberlist.Leave(leaveTimeout); err != nil {
			p.options.Log.Info("leave not acknowledged by all members", "error", err)
		}
	}
	if err := p.memberlist.Shutdown(); err != nil {
		p.options.Log.Warn("gossip shutdown failed", "error", err)
	}
	p.goroutines.Wait()
}

// Members returns all known instances, dead ones and this one included, sorted by name.
func (p *Peers) Members() (members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		members = append(members, *m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Stats returns the counters.
func (p *Peers) Stats() Stats {
	return Stats{
		Sent:      p.sentCount.Load(),
		Received:  p.receivedCount.Load(),
		Bytes:     p.sentBytes.Load(),
		Dropped:   p.droppedCount.Load(),
		Malformed: p.malformedCount.Load(),
	}
}
