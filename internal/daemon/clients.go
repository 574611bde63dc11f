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

// clients identifies the client of each connection: by the listener that it uses and, on a unix socket, by the
// kernel's credentials of the process that connected (SO_PEERCRED, unix(7)). A successor identifies a connection that
// is handed over in the same way. Its methods may be called from any goroutine.
type clients struct {
	front *http1.Server

	mu            sync.Mutex
	config        *config.Config
	byName        map[string]*http1.Client
	defaultClient *http1.Client // of connections without a configured client; nil if these are rejected
	processes     map[clientProcess]*processClient
}

// clientProcess identifies a process of a client that is configured with limits for each process.
type clientProcess struct {
	client string
	pid    int32
}

// processClient is the state of one client process.
type processClient struct {
	client      *http1.Client
	connections int
	idleSince   time.Time // the end of its last connection; only valid without connections
}

// processClientTTL is how long a client process without connections is remembered, so that its rate limit does not
// start anew with each connection.
const processClientTTL = 10 * time.Second

// defaultClientName is the name of the default client in usage and logs.
const defaultClientName = "others"

// newClients returns the clients of a configuration.
func newClients(front *http1.Server, c *config.Config) (*clients, error) {
	k := &clients{front: front, byName: map[string]*http1.Client{}, processes: map[clientProcess]*processClient{}}
	_, err := k.applyConfig(c)
	return k, err
}

// clientSettings returns the settings of a client as the frontend takes them.
func clientSettings(name string, limits *config.ClientLimits) http1.ClientSettings {
	return http1.ClientSettings{
		ClientSpec:       limits.ClientSpec(name),
		MaxConnections:   limits.MaxConnections,
		MaxBufferedBytes: limits.MaxBufferedBytes.Bytes,
	}
}

// applyConfig applies the clients of a configuration, and returns how many are new or have other limits. Connections
// keep the client that they have. After an error the configuration before stays in effect, but the limits of some
// clients may have changed.
func (k *clients) applyConfig(c *config.Config) (changed int, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	limitsBefore := map[string]config.ClientLimits{}
	if k.config != nil {
		for _, client := range k.config.Clients {
			limitsBefore[client.Name] = client.ClientLimits
		}
	}
	byName := map[string]*http1.Client{}
	for i := range c.Clients {
		name := c.Clients[i].Name
		limits := &c.Clients[i].ClientLimits
		byName[name] = k.byName[name]
		if before, known := limitsBefore[name]; known && before == *limits {
			continue
		}
		changed++
		if byName[name], err = k.setClientLocked(k.byName[name], clientSettings(name, limits)); err != nil {
			return changed, err
		}
		if err := k.updateProcessesLocked(name, limits); err != nil {
			return changed, err
		}
	}
	defaultClient := k.defaultClient
	switch {
	case c.OtherClients == nil:
		defaultClient = nil
	case k.config == nil || k.config.OtherClients == nil || *k.config.OtherClients != *c.OtherClients:
		changed++
		settings := clientSettings(defaultClientName, c.OtherClients)
		if defaultClient, err = k.setClientLocked(defaultClient, settings); err != nil {
			return changed, err
		}
	}
	k.config = c
	k.byName = byName
	k.defaultClient = defaultClient
	return changed, nil
}

// setClientLocked updates a client of the frontend, or makes one if client is nil, and returns it.
func (k *clients) setClientLocked(client *http1.Client, settings http1.ClientSettings) (*http1.Client, error) {
	if client == nil {
		return k.front.NewClient(settings)
	}
	return client, k.front.UpdateClient(client, settings)
}

// updateProcessesLocked sets the limits of the known processes of a client.
func (k *clients) updateProcessesLocked(name string, limits *config.ClientLimits) error {
	for process, state := range k.processes {
		if process.client != name {
			continue
		}
		if err := k.front.UpdateClient(state.client, clientSettings(state.client.Name, limits)); err != nil {
			return err
		}
	}
	return nil
}

// identify returns the function that identifies the client of a listener's connections. An error rejects the
// connection.
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

// ruleLocked returns the configured client of a connection, nil if there is none, and the id of the process that
// connected, 0 if the connection is not on a unix socket.
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

// processClientLocked returns the client of one process for a new connection, and the function to call at the
// connection's end.
func (k *clients) processClientLocked(rule *config.Client, pid int32) (*http1.Client, func(), error) {
	for process, state := range k.processes {
		if state.connections == 0 && time.Since(state.idleSince) > processClientTTL {
			delete(k.processes, process)
		}
	}
	process := clientProcess{rule.Name, pid}
	state := k.processes[process]
	if state == nil {
		client, err := k.front.NewClient(clientSettings(fmt.Sprintf("%s/%d", rule.Name, pid), &rule.ClientLimits))
		if err != nil {
			return nil, nil, err
		}
		state = &processClient{client: client}
		k.processes[process] = state
	}
	state.connections++
	return state.client, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		state.connections--
		state.idleSince = time.Now()
	}, nil
}

// peerOf returns the kernel's credentials of the process that connected.
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

// ClientUsage is what one client uses of its limits.
type ClientUsage struct {
	Client      string // its name; "name/pid" for a process with limits of its own
	Connections int    // open connections
	Open        int    // open requests
	Bytes       int64  // buffered bytes of requests and responses
}

// usage returns what each client uses of its limits, sorted by name.
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
	for _, state := range k.processes {
		add(state.client)
	}
	slices.SortFunc(all, func(a, b ClientUsage) int {
		if a.Client < b.Client {
			return -1
		}
		return 1
	})
	return all
}
