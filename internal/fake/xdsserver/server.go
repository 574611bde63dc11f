// Package xdsserver is a fake control plane server for tests and benchmarks: it serves the xDS transport protocol,
// state of the world, as its public description has it. It sends the responses that a test prepares, also invalid
// ones, and records the requests that answer them.
package xdsserver

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"dunlinsail/internal/config"
)

// Options configure a Server.
type Options struct {
	Address     string                           // host:port to listen on; "" is any port on loopback
	Credentials credentials.TransportCredentials // nil is plaintext
}

// Server is a control plane server. Its methods may be called from any goroutine.
type Server struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer

	Address string // that it listens on

	listener   *resettingListener
	grpcServer *grpc.Server

	mu            sync.Mutex
	current       *discovery.DiscoveryResponse            // without nonce; nil is nothing
	perNode       map[string]*discovery.DiscoveryResponse // in place of current, by node ID
	streams       map[*stream]bool
	requests      []Request
	streamsOpened int
	lastNonce     atomic.Int64
}

const (
	maxSendBytes     = 1 << 30
	maxQueuedPerNode = 1 << 12 // responses that a node has not read
)

// Start starts a server that has no resources yet.
func Start(options Options) (*Server, error) {
	if options.Credentials == nil {
		options.Credentials = insecure.NewCredentials()
	}
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	tcpListener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Address:    tcpListener.Addr().String(),
		listener:   &resettingListener{Listener: tcpListener},
		streams:    map[*stream]bool{},
		grpcServer: grpc.NewServer(grpc.Creds(options.Credentials), grpc.MaxSendMsgSize(maxSendBytes)),
	}
	s.listener.remainingBytes.Store(unlimited)
	discovery.RegisterAggregatedDiscoveryServiceServer(s.grpcServer, s)
	go s.grpcServer.Serve(s.listener)
	return s, nil
}

// Close stops the server, and closes all its connections at once.
func (s *Server) Close() { s.grpcServer.Stop() }

// DropStreams ends all streams with an error.
func (s *Server) DropStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for open := range s.streams {
		select {
		case open.closed <- errors.New("dropped"):
		default:
		}
	}
}

// ResetConnectionsAfter resets connections once so many more bytes have been written to them all together; a negative
// number lifts the limit.
func (s *Server) ResetConnectionsAfter(bytes int64) { s.listener.remainingBytes.Store(bytes) }

// StreamsOpened returns how many streams were opened so far.
func (s *Server) StreamsOpened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streamsOpened
}

// OpenStreams returns how many streams are open.
func (s *Server) OpenStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// SetResources makes a version the present one of all nodes: it is sent at once, and at the beginning of each stream
// whose node does not run it. versionInfo, resources and release are those of NewResponse.
func (s *Server) SetResources(versionInfo string, resources []config.Resource, release map[string]any) error {
	response, err := NewResponse(versionInfo, resources, release)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.current = response
	s.perNode = nil
	s.mu.Unlock()
	s.Broadcast(response)
	return nil
}

// SetResourcesForNodes makes a version the present one of some nodes, as SetResources does for all.
func (s *Server) SetResourcesForNodes(versionInfo string, resources []config.Resource, nodes ...string) error {
	response, err := NewResponse(versionInfo, resources, nil)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.perNode == nil {
		s.perNode = map[string]*discovery.DiscoveryResponse{}
	}
	for _, node := range nodes {
		s.perNode[node] = response
	}
	for open := range s.streams {
		if s.perNode[open.node] == response {
			s.sendLocked(open, response)
		}
	}
	return nil
}

// SetInitialResponse sets the response that is sent at the beginning of each stream, nil for none, and sends nothing
// now.
func (s *Server) SetInitialResponse(response *discovery.DiscoveryResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = response
}

// Broadcast sends a response on all open streams.
func (s *Server) Broadcast(response *discovery.DiscoveryResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for open := range s.streams {
		s.sendLocked(open, response)
	}
}

// sendLocked queues a copy of a response with a nonce of its own. The caller holds mu.
func (s *Server) sendLocked(to *stream, response *discovery.DiscoveryResponse) {
	withNonce := &discovery.DiscoveryResponse{
		VersionInfo: response.VersionInfo,
		Resources:   response.Resources,
		TypeUrl:     response.TypeUrl,
		Nonce:       fmt.Sprint(s.lastNonce.Add(1)),
	}
	to.versionByNonce[withNonce.Nonce] = withNonce.VersionInfo
	select {
	case to.responses <- withNonce:
	default: // the node does not read
	}
}
