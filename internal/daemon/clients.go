package daemon

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/frontend/http1"
)

// clients finds whose a connection is: by the listener that it uses and, on a unix socket, by the kernel's
// credentials of the process that connected (SO_PEERCRED, unix(7)). After a hot restart the successor finds the
// same.
type clients struct {
	front *http1.Server

	mu            sync.Mutex
	config        *config.Config
	byName        map[string]*http1.Client
	defaultClient *http1.Client // nil where clients that are not named are rejected
	processes     map[clientProcess]*processClient
}

// clientProcess is one among those that a rule counts one by one.
type clientProcess struct {
	client string
	pid    int32
}

// processClient is the account of one client process.
type processClient struct {
	client      *http1.Client
	connections int
	idleSince   time.Time // without any connection
}

// processClientTTL is how long the account of a process without connections is kept: its rate limit must not
// start anew with each connection.
const processClientTTL = 10 * time.Second

const othersName = "others"

func newClients(front *http1.Server, c *config.Config) (*clients, error) {
	k := &clients{front: front, byName: map[string]*http1.Client{}, processes: map[clientProcess]*processClient{}}
	_, err := k.applyConfig(c)
	return k, err
}

func spec(name string, b *config.ClientLimits) http1.ClientSettings {
	return http1.ClientSettings{
		ClientSpec:       b.ClientSpec(name),
		MaxConnections:   b.MaxConnections,
		MaxBufferedBytes: b.MaxBufferedBytes.Bytes,
	}
}

// change goes by another file from now on, and says how many clients are new or have other bounds. Connections keep
// the client that they have.
func (k *clients) applyConfig(c *config.Config) (changed int, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	was := map[string]config.Client{}
	if k.config != nil {
		for _, cl := range k.config.Clients {
			was[cl.Name] = cl
		}
	}
	set := func(to *http1.Client, s http1.ClientSettings) (*http1.Client, error) {
		changed++
		if to == nil {
			return k.front.NewClient(s)
		}
		return to, k.front.UpdateClient(to, s)
	}
	byName := map[string]*http1.Client{}
	for i := range c.Clients {
		cl := &c.Clients[i]
		to := k.byName[cl.Name]
		if old, ok := was[cl.Name]; !ok || old.ClientLimits != cl.ClientLimits {
			if to, err = set(to, spec(cl.Name, &cl.ClientLimits)); err != nil {
				return changed, err
			}
			for p, s := range k.processes {
				if p.client == cl.Name {
					if err := k.front.UpdateClient(s.client, spec(s.client.Name, &cl.ClientLimits)); err != nil {
						return changed, err
					}
				}
			}
		}
		byName[cl.Name] = to
	}
	others := k.defaultClient
	switch {
	case c.OtherClients == nil:
		others = nil
	case k.config == nil || k.config.OtherClients == nil || *k.config.OtherClients != *c.OtherClients:
		if others, err = set(others, spec(othersName, c.OtherClients)); err != nil {
			return changed, err
		}
	}
	k.config = c
	k.byName = byName
	k.defaultClient = others
	return changed, nil
}

// identify returns the way to tell whose the connections of a listener are.
func (k *clients) identify(l *config.Listener) http1.Identify {
	return func(nc net.Conn) (*http1.Client, func(), error) {
		k.mu.Lock()
		defer k.mu.Unlock()
		rule, pid, err := k.ruleLocked(l, nc)
		switch {
		case err != nil:
			return nil, nil, err
		case rule == nil && k.defaultClient == nil:
			return nil, nil, errUnknownClient
		case rule == nil:
			return k.defaultClient, nil, nil
		case !rule.PerProcess || pid == 0:
			return k.byName[rule.Name], nil, nil
		}
		return k.processClientLocked(rule, pid)
	}
}

var errUnknownClient = errors.New("no client of the configuration, and there is no table others")

// ruleLocked finds the client that a connection belongs to, nil for the others, and the process that connected, 0
// where that is not known.
func (k *clients) ruleLocked(l *config.Listener, nc net.Conn) (*config.Client, int32, error) {
	var pid int32
	if network, _ := l.Network(); network == "unix" {
		peer, err := peerOf(nc)
		if err != nil {
			return nil, 0, fmt.Errorf("who connects is not known: %w", err)
		}
		pid = peer.Pid
		for i := range k.config.Clients {
			if cl := &k.config.Clients[i]; slices.Contains(cl.UIDs, peer.Uid) {
				return cl, pid, nil
			}
		}
		for i := range k.config.Clients {
			if cl := &k.config.Clients[i]; slices.Contains(cl.GIDs, peer.Gid) {
				return cl, pid, nil
			}
		}
	}
	for i := range k.config.Clients {
		if cl := &k.config.Clients[i]; cl.Name == l.Client {
			return cl, pid, nil
		}
	}
	return nil, pid, nil
}

// processClientLocked returns the account of one process.
func (k *clients) processClientLocked(rule *config.Client, pid int32) (*http1.Client, func(), error) {
	for p, s := range k.processes {
		if s.connections == 0 && time.Since(s.idleSince) > processClientTTL {
			delete(k.processes, p)
		}
	}
	p := clientProcess{rule.Name, pid}
	s := k.processes[p]
	if s == nil {
		client, err := k.front.NewClient(spec(fmt.Sprintf("%s/%d", rule.Name, pid), &rule.ClientLimits))
		if err != nil {
			return nil, nil, err
		}
		s = &processClient{client: client}
		k.processes[p] = s
	}
	s.connections++
	return s.client, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		s.connections--
		s.idleSince = time.Now()
	}, nil
}

// peerOf returns what the kernel says of the process that connected.
func peerOf(nc net.Conn) (*syscall.Ucred, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errors.New("no socket")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	var peer *syscall.Ucred
	if broken := raw.Control(func(fd uintptr) {
		peer, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); broken != nil {
		return nil, broken
	}
	return peer, err
}

// ClientUsage is what is held for one client.
type ClientUsage struct {
	Client      string
	Connections int
	Open        int
	Bytes       int64
}

// held returns what is in use by each client.
func (k *clients) usage() []ClientUsage {
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []ClientUsage
	add := func(c *http1.Client) {
		conns, open, bytes := k.front.ClientUsage(c)
		all = append(all, ClientUsage{c.Name, conns, open, bytes})
	}
	for _, c := range k.byName {
		add(c)
	}
	if k.defaultClient != nil {
		add(k.defaultClient)
	}
	for _, s := range k.processes {
		add(s.client)
	}
	slices.SortFunc(all, func(a, b ClientUsage) int {
		if a.Client < b.Client {
			return -1
		}
		return 1
	})
	return all
}
