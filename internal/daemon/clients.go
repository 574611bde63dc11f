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

// clients identifies the client of each connection from the listener that accepted it and, on a unix socket,
// from the kernel's credentials of the process that connected (SO_PEERCRED, unix(7)). A successor identifies a
// connection that was handed over in the same way. The methods may be called from any goroutine.
type clients struct {
	frontend *http1.Server

	mu            sync.Mutex
	config        *config.Config               // the configuration in effect
	clientsByName map[string]*http1.Client     // configured clients
	defaultClient *http1.Client                // for connections without a configured client; nil to reject them
	processes     map[processKey]*processState // the known processes of clients that have limits for each process
}

// processKey identifies a process of a client that is configured with limits for each process.
type processKey struct {
	client string // name of the configured client
	pid    int32
}

// processState holds the limits and connections of one client process.
type processState struct {
	client      *http1.Client
	connections int       // open connections
	idleSince   time.Time // when the last connection closed; valid only without open connections
}

// processClientTTL is how long a client process without connections is remembered. A process that was forgotten
// would start with a new rate limit at each connection.
const processClientTTL = 10 * time.Second

// defaultClientName is the name of the default client in usage reports and logs.
const defaultClientName = "others"

// newClients returns the clients of a configuration.
func newClients(frontend *http1.Server, c *config.Config) (*clients, error) {
	cs := &clients{
		frontend:      frontend,
		clientsByName: map[string]*http1.Client{},
		processes:     map[processKey]*processState{},
	}
	_, err := cs.applyConfig(c)
	return cs, err
}

// clientSettings returns the settings of a client in the form that the frontend takes.
func clientSettings(name string, limits *config.ClientLimits) http1.ClientSettings {
	return http1.ClientSettings{
		ClientSpec:       limits.ClientSpec(name),
		MaxConnections:   limits.MaxConnections,
		MaxBufferedBytes: limits.MaxBufferedBytes.Bytes,
	}
}

// applyConfig applies the clients of a configuration, and returns how many clients are new or have other
// limits. Open connections keep their client. After an error the previous configuration stays in effect, but
// the limits of some clients may have changed.
func (cs *clients) applyConfig(c *config.Config) (changed int, err error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	previousLimitsByName := map[string]config.ClientLimits{}
	if cs.config != nil {
		for _, client := range cs.config.Clients {
			previousLimitsByName[client.Name] = client.ClientLimits
		}
	}
	byName := map[string]*http1.Client{}
	for i := range c.Clients {
		name := c.Clients[i].Name
		limits := &c.Clients[i].ClientLimits
		byName[name] = cs.clientsByName[name]
		if previousLimits, known := previousLimitsByName[name]; known && previousLimits == *limits {
			continue
		}
		changed++
		if byName[name], err = cs.setClientLocked(cs.clientsByName[name], clientSettings(name, limits)); err != nil {
			return changed, err
		}
		if err := cs.updateProcessesLocked(name, limits); err != nil {
			return changed, err
		}
	}
	defaultClient := cs.defaultClient
	switch {
	case c.OtherClients == nil:
		defaultClient = nil
	case cs.config == nil || cs.config.OtherClients == nil || *cs.config.OtherClients != *c.OtherClients:
		changed++
		settings := clientSettings(defaultClientName, c.OtherClients)
		if defaultClient, err = cs.setClientLocked(defaultClient, settings); err != nil {
			return changed, err
		}
	}
	cs.config = c
	cs.clientsByName = byName
	cs.defaultClient = defaultClient
	return changed, nil
}

// setClientLocked updates a client of the frontend, or creates the client if it is nil, and returns it.
func (cs *clients) setClientLocked(client *http1.Client, settings http1.ClientSettings) (*http1.Client, error) {
	if client == nil {
		return cs.frontend.NewClient(settings)
	}
	return client, cs.frontend.UpdateClient(client, settings)
}

// updateProcessesLocked sets the limits of all known processes of a client.
func (cs *clients) updateProcessesLocked(name string, limits *config.ClientLimits) error {
	for process, state := range cs.processes {
		if process.client != name {
			continue
		}
		if err := cs.frontend.UpdateClient(state.client, clientSettings(state.client.Name, limits)); err != nil {
			return err
		}
	}
	return nil
}

// identify returns the function that identifies the client of each connection to a listener. If that function
// returns an error, the frontend rejects the connection.
func (cs *clients) identify(listenerConfig *config.Listener) http1.IdentifyFunc {
	return func(conn net.Conn) (*http1.Client, func(), error) {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		configured, pid, err := cs.configuredClientLocked(listenerConfig, conn)
		switch {
		case err != nil:
			return nil, nil, err
		case configured == nil && cs.defaultClient == nil:
			return nil, nil, errUnknownClient
		case configured == nil:
			return cs.defaultClient, nil, nil
		case !configured.PerProcess || pid == 0:
			return cs.clientsByName[configured.Name], nil, nil
		}
		return cs.processClientLocked(configured, pid)
	}
}

// errUnknownClient rejects a connection that has no configured client if there is no default client either.
var errUnknownClient = errors.New("no configured client matches, and the configuration has no table others")

// configuredClientLocked returns the configured client of a connection, or nil if there is none, and the id of
// the process that connected, or 0 if the connection is not on a unix socket.
func (cs *clients) configuredClientLocked(listenerConfig *config.Listener, conn net.Conn) (
	*config.Client, int32, error) {
	var pid int32
	if network, _ := listenerConfig.Network(); network == "unix" {
		credentials, err := peerCredentials(conn)
		if err != nil {
			return nil, 0, fmt.Errorf("credentials of the connecting process: %w", err)
		}
		pid = credentials.Pid
		for i := range cs.config.Clients {
			if client := &cs.config.Clients[i]; slices.Contains(client.UIDs, credentials.Uid) {
				return client, pid, nil
			}
		}
		for i := range cs.config.Clients {
			if client := &cs.config.Clients[i]; slices.Contains(client.GIDs, credentials.Gid) {
				return client, pid, nil
			}
		}
	}
	for i := range cs.config.Clients {
		if client := &cs.config.Clients[i]; client.Name == listenerConfig.Client {
			return client, pid, nil
		}
	}
	return nil, pid, nil
}

// processClientLocked returns the client of one process for a new connection, and the function to call when the
// connection is closed.
func (cs *clients) processClientLocked(configured *config.Client, pid int32) (*http1.Client, func(), error) {
	for process, state := range cs.processes {
		if state.connections == 0 && time.Since(state.idleSince) > processClientTTL {
			delete(cs.processes, process)
		}
	}
	process := processKey{configured.Name, pid}
	state := cs.processes[process]
	if state == nil {
		client, err := cs.frontend.NewClient(
			clientSettings(fmt.Sprintf("%s/%d", configured.Name, pid), &configured.ClientLimits))
		if err != nil {
			return nil, nil, err
		}
		state = &processState{client: client}
		cs.processes[process] = state
	}
	state.connections++
	return state.client, func() {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		state.connections--
		state.idleSince = time.Now()
	}, nil
}

// peerCredentials returns the kernel's credentials of the process that connected.
func peerCredentials(conn net.Conn) (*syscall.Ucred, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection is not a socket")
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var credentials *syscall.Ucred
	if controlErr := rawConn.Control(func(fd uintptr) {
		credentials, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); controlErr != nil {
		return nil, controlErr
	}
	return credentials, err
}

// ClientUsage reports how much of its limits one client uses.
type ClientUsage struct {
	Client        string // name of the client; "name/pid" for a process with limits of its own
	Connections   int    // open connections
	OpenRequests  int    // open requests
	BufferedBytes int64  // buffered bytes of requests and responses
}

// usage returns the usage of each client, sorted by client name.
func (cs *clients) usage() []ClientUsage {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var usages []ClientUsage
	add := func(c *http1.Client) {
		connections, openRequests, bufferedBytes := cs.frontend.ClientUsage(c)
		usages = append(usages, ClientUsage{c.Name, connections, openRequests, bufferedBytes})
	}
	for _, c := range cs.clientsByName {
		add(c)
	}
	if cs.defaultClient != nil {
		add(cs.defaultClient)
	}
	for _, state := range cs.processes {
		add(state.client)
	}
	slices.SortFunc(usages, func(a, b ClientUsage) int {
		if a.Client < b.Client {
			return -1
		}
		return 1
	})
	return usages
}
