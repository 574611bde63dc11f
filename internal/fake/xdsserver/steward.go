// Package xdsserver is a stand-in control service: it speaks the xDS transport protocol, state of the world, as its public
// description has it, sends what it is told to send, also what no sound service would, and notes what is answered.
package xdsserver

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	typed "github.com/cncf/xds/go/xds/type/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	"dunlinsail/internal/config"
	"dunlinsail/internal/xdsclient"
)

// Word is one request of an instance.
type Request struct {
	Node            string
	VersionInfo     string // version_info: what it says to run
	ResponseNonce   string // of the response that it answers; "" is none
	AnsweredVersion string // that was sent with that nonce
	State           string // "good", "trial" or "refused", where it says so
	ErrorDetail     string // why
	ReceivedAt      time.Time
}

// Options are what a service is started with.
type Options struct {
	Address     string // "" is any
	Credentials credentials.TransportCredentials
}

// Service is a control service.
type Server struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer

	Address string

	listener   *resettingListener
	grpcServer *grpc.Server

	mu            sync.Mutex
	current       *discovery.DiscoveryResponse            // without nonce; nil is nothing
	perNode       map[string]*discovery.DiscoveryResponse // of single instances, in place of current
	streams       map[*stream]bool
	requests      []Request
	streamsOpened int // streams so far
	lastNonce     atomic.Int64
}

// stream is one instance's.
type stream struct {
	node           string
	responses      chan *discovery.DiscoveryResponse
	closed         chan error
	versionByNonce map[string]string // version_info of what was sent
}

// Start starts a service that sends nothing yet.
func Start(o Options) (*Server, error) {
	if o.Credentials == nil {
		o.Credentials = insecure.NewCredentials()
	}
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{Address: ln.Addr().String(), listener: &resettingListener{Listener: ln}, streams: map[*stream]bool{}, grpcServer: grpc.NewServer(grpc.Creds(o.Credentials), grpc.MaxSendMsgSize(1<<30))}
	s.listener.remainingBytes.Store(-1)
	discovery.RegisterAggregatedDiscoveryServiceServer(s.grpcServer, s)
	go s.grpcServer.Serve(s.listener)
	return s, nil
}

// Close ends the service and all its connections at once.
func (s *Server) Close() { s.grpcServer.Stop() }

// Drop ends all streams.
func (s *Server) DropStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.streams {
		select {
		case x.closed <- fmt.Errorf("dropped"):
		default:
		}
	}
}

// CutAfter cuts connections off, without a word, once so many more bytes have been written to them; a negative number ends
// that.
func (s *Server) ResetConnectionsAfter(bytes int64) { s.listener.remainingBytes.Store(bytes) }

// Words returns what was said so far.
func (s *Server) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request(nil), s.requests...)
}

// Opened returns how many streams were opened so far.
func (s *Server) StreamsOpened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streamsOpened
}

// Streams returns how many streams there are.
func (s *Server) OpenStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// Response returns what is sent for a version.
func NewResponse(info string, all []config.Resource, release map[string]any) (*discovery.DiscoveryResponse, error) {
	r := &discovery.DiscoveryResponse{VersionInfo: info, TypeUrl: xdsclient.TypeURL}
	add := func(kind string, fields map[string]any) error {
		value, err := structpb.NewStruct(fields)
		if err != nil {
			return err
		}
		x, err := anypb.New(&typed.TypedStruct{TypeUrl: xdsclient.KindPrefix + kind, Value: value})
		if err != nil {
			return err
		}
		r.Resources = append(r.Resources, x)
		return nil
	}
	for _, res := range all {
		fields := map[string]any{}
		for k, v := range res.Fields {
			fields[k] = v
		}
		if res.Name != "" {
			fields["name"] = res.Name
		}
		if err := add(res.Kind, fields); err != nil {
			return nil, fmt.Errorf("%s: %w", res.ID(), err)
		}
	}
	if release != nil {
		if err := add("release", release); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Set has all instances sent a version, at once and at the beginning of each stream, unless they say that they run it.
func (s *Server) SetResources(info string, all []config.Resource, release map[string]any) error {
	r, err := NewResponse(info, all, release)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.current, s.perNode = r, nil
	s.mu.Unlock()
	s.Broadcast(r)
	return nil
}

// SetFor has single instances sent a version, as Set has all.
func (s *Server) SetResourcesForNodes(info string, all []config.Resource, nodes ...string) error {
	r, err := NewResponse(info, all, nil)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.perNode == nil {
		s.perNode = map[string]*discovery.DiscoveryResponse{}
	}
	for _, node := range nodes {
		s.perNode[node] = r
	}
	for x := range s.streams {
		if s.perNode[x.node] == r {
			s.sendLocked(x, r)
		}
	}
	return nil
}

// Keep has a response sent at the beginning of each stream, and nothing now; nil is nothing then either.
func (s *Server) SetInitialResponse(r *discovery.DiscoveryResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = r
}

// Send sends a response to all instances.
func (s *Server) Broadcast(r *discovery.DiscoveryResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.streams {
		s.sendLocked(x, r)
	}
}

func (s *Server) sendLocked(x *stream, r *discovery.DiscoveryResponse) {
	own := &discovery.DiscoveryResponse{VersionInfo: r.VersionInfo, Resources: r.Resources, TypeUrl: r.TypeUrl, Nonce: fmt.Sprint(s.lastNonce.Add(1))}
	x.versionByNonce[own.Nonce] = own.VersionInfo
	select {
	case x.responses <- own:
	default: // it does not read
	}
}

// StreamAggregatedResources serves one instance.
func (s *Server) StreamAggregatedResources(g discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	x := &stream{responses: make(chan *discovery.DiscoveryResponse, 1<<12), closed: make(chan error, 1), versionByNonce: map[string]string{}}
	first, err := g.Recv()
	if err != nil {
		return err
	}
	x.node = first.GetNode().GetId()
	s.mu.Lock()
	s.streamsOpened++
	s.streams[x] = true
	s.recordRequest(x, first)
	current := s.current
	if own := s.perNode[x.node]; own != nil {
		current = own
	}
	if current != nil && current.VersionInfo != first.VersionInfo {
		s.sendLocked(x, current)
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.streams, x)
		s.mu.Unlock()
	}()
	go func() {
		for {
			r, err := g.Recv()
			if err != nil {
				select {
				case x.closed <- err:
				default:
				}
				return
			}
			s.mu.Lock()
			s.recordRequest(x, r)
			s.mu.Unlock()
		}
	}()
	for {
		select {
		case r := <-x.responses:
			if err := g.Send(r); err != nil {
				return err
			}
		case err := <-x.closed:
			return err
		}
	}
}

// note writes a request down. The caller holds mu.
func (s *Server) recordRequest(x *stream, r *discovery.DiscoveryRequest) {
	w := Request{Node: x.node, VersionInfo: r.GetVersionInfo(), ResponseNonce: r.GetResponseNonce(), AnsweredVersion: x.versionByNonce[r.GetResponseNonce()],
		ErrorDetail: r.GetErrorDetail().GetMessage(), ReceivedAt: time.Now()}
	if fields := r.GetNode().GetMetadata().GetFields(); fields != nil {
		w.State = fields["state"].GetStringValue()
	}
	s.requests = append(s.requests, w)
}

// About returns what was said of a version by an instance, "" for any, in words: "trial", "good", "refused: REASON".
func (s *Server) Answers(node, version string) (all []string) {
	for _, w := range s.Requests() {
		if w.AnsweredVersion != version || node != "" && w.Node != node {
			continue
		}
		text := w.State
		if w.ErrorDetail != "" {
			text = "refused: " + w.ErrorDetail
		}
		all = append(all, text)
	}
	return all
}

// Told says whether an instance, "" for any, said something of a version that begins with a text.
func (s *Server) HasAnswer(node, version, text string) bool {
	for _, x := range s.Answers(node, version) {
		if strings.HasPrefix(x, text) {
			return true
		}
	}
	return false
}

// cutter is a listener whose connections may be cut off.
type resettingListener struct {
	net.Listener
	remainingBytes atomic.Int64
}

// Accept takes a connection.
func (c *resettingListener) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &resettingConn{nc, c}, nil
}

type resettingConn struct {
	net.Conn
	listener *resettingListener
}

// Write writes as much as may be.
func (x *resettingConn) Write(b []byte) (int, error) {
	left := x.listener.remainingBytes.Load()
	if left < 0 {
		return x.Conn.Write(b)
	}
	n := min(int64(len(b)), left)
	x.listener.remainingBytes.Add(-n)
	if n > 0 {
		x.Conn.Write(b[:n])
	}
	if n < int64(len(b)) {
		if tcp, ok := x.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		x.Conn.Close()
		return int(n), net.ErrClosed
	}
	return int(n), nil
}
