// Package peers carries messages between the instances of a fleet. It finds the other instances and detects their
// failure by gossip with hashicorp/memberlist (SWIM: Das, Gupta, Motivala, 2002, with Lifeguard: Dadgar, Phillips,
// Currey, 2017), and sends messages as that library's user messages, in CBOR (RFC 8949): datagrams where they fit,
// else a TCP stream.
//
// A message may be lost, delayed, duplicated or reordered; senders must not rely on its arrival. Instances of different
// fleets (Options.Fleet) do not hear of each other.
//
// The package decides nothing. It must not know about engines or what messages mean: package coordination and package
// consensus handle them. Where an instance's own endpoint lists come from is up to package endpointsource.
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
	// queueCapacity is how many messages wait to be delivered, and how many to be sent. Beyond that they are dropped.
	queueCapacity = 4096
	// leaveTimeout bounds how long Close waits for the others to learn that this instance leaves.
	leaveTimeout = 500 * time.Millisecond
	// reclaimTime is after how long the name of a dead instance may come back at another address.
	reclaimTime = time.Second
	// tcpTimeout bounds connecting, reading and writing of memberlist's streams.
	tcpTimeout = 2 * time.Second
)

// Options configure an instance's part in the gossip.
type Options struct {
	Name    string            // of this instance, unique in the fleet
	Fleet   string            // only instances of the same fleet hear of each other
	Address string            // host:port to listen at, by UDP and TCP
	Join    []string          // addresses of some other instances
	DialVia map[string]string // addresses that are reached at another one from here
	Log     *slog.Logger

	// HandleMessage handles received messages, one at a time. It may block.
	HandleMessage func(from string, m coordination.Message)
	// HandleConsensus handles those of package consensus likewise. If nil, they are discarded.
	HandleConsensus func(from string, m consensus.Message)
}

// Member is an instance of the fleet, as far as is known here. Its tags are the names in the JSON that operators' tools
// read.
type Member struct {
	Name    string    `json:"Name"`
	Address string    `json:"Address"`
	Alive   bool      `json:"Alive"`
	Since   time.Time `json:"Since"` // when Alive changed
}

// Stats are counters of messages since Start. Its tags are the names in the JSON that operators' tools read.
type Stats struct {
	Sent      uint64 `json:"Sent"`
	Received  uint64 `json:"Heard"`
	Bytes     uint64 `json:"Bytes"`   // of the messages sent
	Dropped   uint64 `json:"Dropped"` // a queue was full, or the recipient was not known
	Malformed uint64 `json:"Spoilt"`  // received ones that could not be decoded
}

// Peers is a running instance's part in the gossip. Create one with Start; Close ends its goroutines. It is safe for
// concurrent use.
type Peers struct {
	options  Options
	list     *memberlist.Memberlist
	received chan envelope
	outgoing chan outgoing
	closing  chan struct{} // closed by Close
	workers  sync.WaitGroup

	mu      sync.Mutex
	members map[string]*Member // by name, this instance included

	sentCount      atomic.Uint64
	receivedCount  atomic.Uint64
	sentBytes      atomic.Uint64
	droppedCount   atomic.Uint64
	malformedCount atomic.Uint64
}

// Start has an instance take part in the gossip. It returns an error if the address is malformed or cannot be listened
// at; that no other instance can be reached is none.
func Start(o Options) (*Peers, error) {
	p := &Peers{
		options:  o,
		received: make(chan envelope, queueCapacity),
		outgoing: make(chan outgoing, queueCapacity),
		closing:  make(chan struct{}),
		members:  map[string]*Member{},
	}
	if err := p.listen(); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.workers.Go(p.deliverReceived)
	p.workers.Go(p.transmitQueued)
	p.workers.Go(p.joinMissing)
	return p, nil
}

// listen creates the memberlist.
func (p *Peers) listen() error {
	host, portText, err := net.SplitHostPort(p.options.Address)
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return err
	}
	c := memberlist.DefaultLANConfig()
	c.Name = p.options.Name
	c.Label = p.options.Fleet
	c.BindAddr = host
	c.BindPort = port
	c.AdvertiseAddr = host
	c.AdvertisePort = port
	c.Logger = slog.NewLogLogger(p.options.Log.Handler(), slog.LevelDebug)
	c.Delegate = (*delegate)(p)
	c.Events = (*delegate)(p)
	c.DeadNodeReclaimTime = reclaimTime
	c.TCPTimeout = tcpTimeout
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host},
		BindPort:  port,
		Logger:    c.Logger,
	})
	if err != nil {
		return err
	}
	c.Transport = &transport{netTransport, p.options.DialVia}
	if p.list, err = memberlist.Create(c); err != nil {
		if shutdownErr := netTransport.Shutdown(); shutdownErr != nil {
			p.options.Log.Warn("gossip shutdown failed", "error", shutdownErr)
		}
		return err
	}
	return nil
}

// Close ends the instance's part and waits for its goroutines. With announce the others learn that it leaves;
// without, a successor takes its place at once.
func (p *Peers) Close(announce bool) {
	close(p.closing)
	if announce {
		if err := p.list.Leave(leaveTimeout); err != nil {
			p.options.Log.Info("leave not acknowledged by all members", "error", err)
		}
	}
	if err := p.list.Shutdown(); err != nil {
		p.options.Log.Warn("gossip shutdown failed", "error", err)
	}
	p.workers.Wait()
}

// Members returns the instances that are known, dead ones included, sorted by name.
func (p *Peers) Members() (all []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
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
