// Package peers sends messages between the instances of a fleet. It discovers the other instances and detects their
// failures by gossip, using hashicorp/memberlist, which implements SWIM (Das, Gupta, Motivala 2002) with Lifeguard
// (Dadgar, Phillips, Currey 2017). Messages are sent as memberlist's user messages, encoded in CBOR (RFC 8949):
// small messages as datagrams, larger ones over TCP.
//
// A message may be lost, delayed, duplicated or reordered, so senders must not rely on its arrival. Instances of
// different fleets (Options.Fleet) ignore each other.
//
// The package makes no decisions. It must not know about engines or the meaning of messages, which packages
// coordination and consensus handle. Endpoint lists are not gossiped; package endpointsource provides them.
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
	// queueCapacity is the capacity in messages of each of two queues: received messages that wait for a handler,
	// and messages that wait to be sent. A message that finds its queue full is dropped.
	queueCapacity = 4096
	// leaveTimeout is the longest time that Close waits until the other instances are notified that this instance
	// leaves.
	leaveTimeout = 500 * time.Millisecond
	// reclaimTime is the time after which an instance at another address may take over the name of a dead instance.
	reclaimTime = time.Second
	// tcpTimeout limits the time of connecting, reading and writing on memberlist's TCP streams.
	tcpTimeout = 2 * time.Second
)

// Options configure the participation of an instance in the gossip.
type Options struct {
	Name    string            // name of this instance, unique in the fleet
	Fleet   string            // memberlist label of the fleet; instances with another label are ignored
	Address string            // host:port to listen on, with UDP and TCP
	Join    []string          // addresses (host:port) of other instances to join; need not be all
	DialVia map[string]string // addresses to dial in place of instances' addresses, by the address replaced
	Log     *slog.Logger

	// HandleMessage handles a received message of package coordination. It is called for one message at a time and
	// may block; further messages wait in the queue meanwhile.
	HandleMessage func(from string, m coordination.Message)
	// HandleConsensus handles a received message of package consensus, under the same conditions as HandleMessage.
	// If it is nil, these messages are discarded.
	HandleConsensus func(from string, m consensus.Message)
}

// Member is an instance of the fleet and its state according to the gossip that this instance has received. The
// tags are names in JSON that operators' tools read.
type Member struct {
	Name    string    `json:"Name"`
	Address string    `json:"Address"`
	Alive   bool      `json:"Alive"`
	Since   time.Time `json:"Since"` // when Alive last changed
}

// Stats are message counters since Start. The tags are names in JSON that operators' tools read.
type Stats struct {
	Sent      uint64 `json:"Sent"`    // messages handed to memberlist
	Received  uint64 `json:"Heard"`   // messages queued for a handler
	Bytes     uint64 `json:"Bytes"`   // encoded bytes of the sent messages
	Dropped   uint64 `json:"Dropped"` // messages dropped because a queue was full or the recipient was unknown
	Malformed uint64 `json:"Spoilt"`  // received messages that could not be decoded
}

// Peers is the participation of an instance in the gossip. Start creates it and starts three goroutines; each large
// message that is sent adds one for the time of sending. Close ends them all. Peers is safe for concurrent use.
type Peers struct {
	options       Options
	memberlist    *memberlist.Memberlist
	receivedQueue chan envelope        // messages that wait for a handler
	outgoingQueue chan outgoingMessage // messages that wait to be sent
	closing       chan struct{}        // closed at the start of Close
	goroutines    sync.WaitGroup       // waits for all goroutines of this Peers

	mu      sync.Mutex
	members map[string]*Member // known instances by name, including this instance and dead ones

	sentCount      atomic.Uint64
	receivedCount  atomic.Uint64
	sentBytes      atomic.Uint64
	droppedCount   atomic.Uint64
	malformedCount atomic.Uint64
}

// Start starts the participation of an instance in the gossip. It returns an error if the address is malformed or
// in use. It returns no error if no other instance can be reached: the instance joins the others as soon as they
// are reachable.
func Start(options Options) (*Peers, error) {
	p := &Peers{
		options:       options,
		receivedQueue: make(chan envelope, queueCapacity),
		outgoingQueue: make(chan outgoingMessage, queueCapacity),
		closing:       make(chan struct{}),
		members:       map[string]*Member{},
	}
	if err := p.createMemberlist(); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.goroutines.Go(p.deliverReceived)
	p.goroutines.Go(p.transmitQueued)
	p.goroutines.Go(p.joinMissing)
	return p, nil
}

// createMemberlist creates the memberlist, which listens on Options.Address.
func (p *Peers) createMemberlist() error {
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

// Close ends the participation in the gossip and waits for all goroutines to end. If announce is true, the other
// instances are notified that this instance leaves. Otherwise it appears alive to them, as is required if a
// successor with the same name starts at once. Close must be called exactly once.
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

// Members returns all known instances, including this instance and dead ones, sorted by name.
func (p *Peers) Members() (members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		members = append(members, *m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Stats returns the present values of the message counters.
func (p *Peers) Stats() Stats {
	return Stats{
		Sent:      p.sentCount.Load(),
		Received:  p.receivedCount.Load(),
		Bytes:     p.sentBytes.Load(),
		Dropped:   p.droppedCount.Load(),
		Malformed: p.malformedCount.Load(),
	}
}
