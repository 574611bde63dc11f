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
type Word struct {
	Node    string
	Running string // version_info: what it says to run
	Nonce   string // of the response that it answers; "" is none
	Version string // that was sent with that nonce
	State   string // "good", "trial" or "refused", where it says so
	Refused string // why
	At      time.Time
}

// Options are what a service is started with.
type Options struct {
	Addr        string // "" is any
	Credentials credentials.TransportCredentials
}

// Service is a control service.
type Service struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer

	Addr string

	ln     *cutter
	server *grpc.Server

	mu      sync.Mutex
	current *discovery.DiscoveryResponse            // without nonce; nil is nothing
	wave    map[string]*discovery.DiscoveryResponse // of single instances, in place of current
	streams map[*stream]bool
	words   []Word
	opened  int // streams so far
	nonce   atomic.Int64
}

// stream is one instance's.
type stream struct {
	node   string
	out    chan *discovery.DiscoveryResponse
	end    chan error
	nonces map[string]string // version_info of what was sent
}

// Start starts a service that sends nothing yet.
func Start(o Options) (*Service, error) {
	if o.Credentials == nil {
		o.Credentials = insecure.NewCredentials()
	}
	if o.Addr == "" {
		o.Addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return nil, err
	}
	s := &Service{Addr: ln.Addr().String(), ln: &cutter{Listener: ln}, streams: map[*stream]bool{}, server: grpc.NewServer(grpc.Creds(o.Credentials), grpc.MaxSendMsgSize(1<<30))}
	s.ln.left.Store(-1)
	discovery.RegisterAggregatedDiscoveryServiceServer(s.server, s)
	go s.server.Serve(s.ln)
	return s, nil
}

// Close ends the service and all its connections at once.
func (s *Service) Close() { s.server.Stop() }

// Drop ends all streams.
func (s *Service) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.streams {
		select {
		case x.end <- fmt.Errorf("dropped"):
		default:
		}
	}
}

// CutAfter cuts connections off, without a word, once so many more bytes have been written to them; a negative number ends
// that.
func (s *Service) CutAfter(bytes int64) { s.ln.left.Store(bytes) }

// Words returns what was said so far.
func (s *Service) Words() []Word {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Word(nil), s.words...)
}

// Opened returns how many streams were opened so far.
func (s *Service) Opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Streams returns how many streams there are.
func (s *Service) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// Response returns what is sent for a version.
func Response(info string, all []config.Resource, release map[string]any) (*discovery.DiscoveryResponse, error) {
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
func (s *Service) Set(info string, all []config.Resource, release map[string]any) error {
	r, err := Response(info, all, release)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.current, s.wave = r, nil
	s.mu.Unlock()
	s.Send(r)
	return nil
}

// SetFor has single instances sent a version, as Set has all.
func (s *Service) SetFor(info string, all []config.Resource, nodes ...string) error {
	r, err := Response(info, all, nil)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wave == nil {
		s.wave = map[string]*discovery.DiscoveryResponse{}
	}
	for _, node := range nodes {
		s.wave[node] = r
	}
	for x := range s.streams {
		if s.wave[x.node] == r {
			s.sendLocked(x, r)
		}
	}
	return nil
}

// Keep has a response sent at the beginning of each stream, and nothing now; nil is nothing then either.
func (s *Service) Keep(r *discovery.DiscoveryResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = r
}

// Send sends a response to all instances.
func (s *Service) Send(r *discovery.DiscoveryResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.streams {
		s.sendLocked(x, r)
	}
}

func (s *Service) sendLocked(x *stream, r *discovery.DiscoveryResponse) {
	own := &discovery.DiscoveryResponse{VersionInfo: r.VersionInfo, Resources: r.Resources, TypeUrl: r.TypeUrl, Nonce: fmt.Sprint(s.nonce.Add(1))}
	x.nonces[own.Nonce] = own.VersionInfo
	select {
	case x.out <- own:
	default: // it does not read
	}
}

// StreamAggregatedResources serves one instance.
func (s *Service) StreamAggregatedResources(g discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	x := &stream{out: make(chan *discovery.DiscoveryResponse, 1<<12), end: make(chan error, 1), nonces: map[string]string{}}
	first, err := g.Recv()
	if err != nil {
		return err
	}
	x.node = first.GetNode().GetId()
	s.mu.Lock()
	s.opened++
	s.streams[x] = true
	s.note(x, first)
	current := s.current
	if own := s.wave[x.node]; own != nil {
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
				case x.end <- err:
				default:
				}
				return
			}
			s.mu.Lock()
			s.note(x, r)
			s.mu.Unlock()
		}
	}()
	for {
		select {
		case r := <-x.out:
			if err := g.Send(r); err != nil {
				return err
			}
		case err := <-x.end:
			return err
		}
	}
}

// note writes a request down. The caller holds mu.
func (s *Service) note(x *stream, r *discovery.DiscoveryRequest) {
	w := Word{Node: x.node, Running: r.GetVersionInfo(), Nonce: r.GetResponseNonce(), Version: x.nonces[r.GetResponseNonce()],
		Refused: r.GetErrorDetail().GetMessage(), At: time.Now()}
	if fields := r.GetNode().GetMetadata().GetFields(); fields != nil {
		w.State = fields["state"].GetStringValue()
	}
	s.words = append(s.words, w)
}

// About returns what was said of a version by an instance, "" for any, in words: "trial", "good", "refused: REASON".
func (s *Service) About(node, version string) (all []string) {
	for _, w := range s.Words() {
		if w.Version != version || node != "" && w.Node != node {
			continue
		}
		text := w.State
		if w.Refused != "" {
			text = "refused: " + w.Refused
		}
		all = append(all, text)
	}
	return all
}

// Told says whether an instance, "" for any, said something of a version that begins with a text.
func (s *Service) Told(node, version, text string) bool {
	for _, x := range s.About(node, version) {
		if strings.HasPrefix(x, text) {
			return true
		}
	}
	return false
}

// cutter is a listener whose connections may be cut off.
type cutter struct {
	net.Listener
	left atomic.Int64
}

// Accept takes a connection.
func (c *cutter) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{nc, c}, nil
}

type cutConn struct {
	net.Conn
	c *cutter
}

// Write writes as much as may be.
func (x *cutConn) Write(b []byte) (int, error) {
	left := x.c.left.Load()
	if left < 0 {
		return x.Conn.Write(b)
	}
	n := min(int64(len(b)), left)
	x.c.left.Add(-n)
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
