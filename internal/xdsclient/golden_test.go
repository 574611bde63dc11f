package xdsclient_test

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"dunlinsail/internal/decide/rollout"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
)

// recordingServer is an ADS server that sends the responses from one channel and puts received requests into
// another.
type recordingServer struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	requests  chan *discovery.DiscoveryRequest
	responses chan *discovery.DiscoveryResponse
}

// StreamAggregatedResources serves a stream of a client.
func (s *recordingServer) StreamAggregatedResources(
	stream discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer,
) error {
	go func() {
		for response := range s.responses {
			if stream.Send(response) != nil {
				return
			}
		}
	}()
	for {
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		s.requests <- request
	}
}

// startRecordingServer runs a recordingServer until the test ends, and returns its address.
func startRecordingServer(t *testing.T) (server *recordingServer, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server = &recordingServer{
		requests:  make(chan *discovery.DiscoveryRequest, 16),
		responses: make(chan *discovery.DiscoveryResponse, 16),
	}
	grpcServer := grpc.NewServer()
	discovery.RegisterAggregatedDiscoveryServiceServer(grpcServer, server)
	go grpcServer.Serve(listener)
	t.Cleanup(func() {
		close(server.responses)
		grpcServer.Stop()
	})
	return server, listener.Addr().String()
}

// readGolden returns the content of a file in testdata/golden.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return text
}

// decodeHex decodes a protobuf message from hexadecimal digits.
func decodeHex(t *testing.T, text string, target proto.Message) {
	t.Helper()
	raw, err := hex.DecodeString(strings.TrimSpace(text))
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(raw, target))
}

// checkJSON compares the JSON encoding of a value with the golden file called name.
func checkJSON(t *testing.T, name string, value any) {
	t.Helper()
	got, err := json.Marshal(value)
	require.NoError(t, err)
	if want := readGolden(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// The files under testdata/golden were written by build 870f4ac and must never change. The client must decode the
// response, which a control plane of that time sent, and send the same requests as that build: the first request of
// a stream, the ACK of a version on canary, the ACK of a confirmed version, the NACK after a rollback, and the NACK
// of a response with an unreadable version_info.
func TestGoldenExchange(t *testing.T) {
	server, address := startRecordingServer(t)
	client := startClient(t, controlPlaneSettings(address), &rollout.ID{Epoch: "e", Number: 6})
	var requests []*discovery.DiscoveryRequest
	receiveRequest := func(description string) {
		requests = append(requests, scriptedpeer.Receive(t, server.requests, description))
	}
	receiveRequest("the first request")

	response := &discovery.DiscoveryResponse{}
	decodeHex(t, string(readGolden(t, "response.hex")), response)
	server.responses <- response
	scriptedpeer.Eventually(t, "the update", func() bool { return len(client.updates()) == 1 })
	update := client.updates()[0]
	if update.DecodeError != "" {
		t.Fatal(update.DecodeError)
	}
	checkJSON(t, "response-version.json", update.Version)
	checkJSON(t, "response-resources.json", update.Resources)

	client.Ack(update.Version.ID, false)
	receiveRequest("the ACK on canary")
	client.Ack(update.Version.ID, true)
	receiveRequest("the final ACK")
	client.Nack(update.Version.ID, "it did harm", &rollout.ID{Epoch: "e", Number: 6})
	receiveRequest("the NACK")
	server.responses <- &discovery.DiscoveryResponse{VersionInfo: "seven", TypeUrl: response.TypeUrl, Nonce: "n-2"}
	receiveRequest("the NACK of an unreadable version_info")

	want := strings.Split(strings.TrimSpace(string(readGolden(t, "requests.hex"))), "\n")
	if len(want) != len(requests) {
		t.Fatalf("%d requests in the golden file, not %d", len(want), len(requests))
	}
	for i, line := range want {
		expected := &discovery.DiscoveryRequest{}
		decodeHex(t, line, expected)
		if buildVersion := requests[i].GetNode().GetUserAgentBuildVersion(); buildVersion != nil {
			t.Errorf("request %d: build version %v", i, buildVersion)
		}
		if requests[i].GetNode().GetUserAgentVersion() != "" { // the version of the running test binary differs
			requests[i].Node.UserAgentVersionType = expected.GetNode().GetUserAgentVersionType()
		}
		if !proto.Equal(requests[i], expected) {
			t.Errorf("request %d: got\n%s\nwant\n%s", i, prototext.Format(requests[i]), prototext.Format(expected))
		}
	}
}
