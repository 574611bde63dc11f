package xdsserver

import (
	"fmt"

	typed "github.com/cncf/xds/go/xds/type/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	"dunlinsail/internal/config"
	"dunlinsail/internal/xdsclient"
)

// stream is the stream of one node.
type stream struct {
	node           string
	responses      chan *discovery.DiscoveryResponse // to send
	closed         chan error                        // why the stream ends
	versionByNonce map[string]string                 // version_info of each response
}

// StreamAggregatedResources serves one node until its stream ends. It implements the gRPC service.
func (s *Server) StreamAggregatedResources(
	grpcStream discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer,
) error {
	own := &stream{
		responses:      make(chan *discovery.DiscoveryResponse, maxQueuedPerNode),
		closed:         make(chan error, 1),
		versionByNonce: map[string]string{},
	}
	first, err := grpcStream.Recv()
	if err != nil {
		return err
	}
	s.open(own, first)
	defer s.remove(own)
	go func() {
		for {
			request, err := grpcStream.Recv()
			if err != nil {
				select {
				case own.closed <- err:
				default:
				}
				return
			}
			s.mu.Lock()
			s.recordRequest(own, request)
			s.mu.Unlock()
		}
	}()
	for {
		select {
		case response := <-own.responses:
			if err := grpcStream.Send(response); err != nil {
				return err
			}
		case err := <-own.closed:
			return err
		}
	}
}

// open registers a stream by its first request, and sends the node its present version unless it runs that.
func (s *Server) open(own *stream, first *discovery.DiscoveryRequest) {
	own.node = first.GetNode().GetId()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamsOpened++
	s.streams[own] = true
	s.recordRequest(own, first)
	current := s.current
	if forNode := s.perNode[own.node]; forNode != nil {
		current = forNode
	}
	if current != nil && current.VersionInfo != first.VersionInfo {
		s.sendLocked(own, current)
	}
}

func (s *Server) remove(own *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, own)
}

// NewResponse returns the response with a version: its version_info, its resources, and the fields of its release
// resource, nil for none.
func NewResponse(
	versionInfo string, resources []config.Resource, release map[string]any,
) (*discovery.DiscoveryResponse, error) {
	response := &discovery.DiscoveryResponse{VersionInfo: versionInfo, TypeUrl: xdsclient.TypeURL}
	for _, resource := range resources {
		fields := map[string]any{}
		for key, value := range resource.Fields {
			fields[key] = value
		}
		if resource.Name != "" {
			fields["name"] = resource.Name
		}
		if err := appendResource(response, resource.Kind, fields); err != nil {
			return nil, fmt.Errorf("%s: %w", resource.ID(), err)
		}
	}
	if release != nil {
		if err := appendResource(response, "release", release); err != nil {
			return nil, err
		}
	}
	return response, nil
}

func appendResource(response *discovery.DiscoveryResponse, kind string, fields map[string]any) error {
	value, err := structpb.NewStruct(fields)
	if err != nil {
		return err
	}
	packed, err := anypb.New(&typed.TypedStruct{TypeUrl: xdsclient.KindPrefix + kind, Value: value})
	if err != nil {
		return err
	}
	response.Resources = append(response.Resources, packed)
	return nil
}
