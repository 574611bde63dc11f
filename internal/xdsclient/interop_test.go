package xdsclient_test

import (
	"context"
	"net"
	"testing"

	typed "github.com/cncf/xds/go/xds/type/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/envoyproxy/go-control-plane/pkg/cache/types"
	"github.com/envoyproxy/go-control-plane/pkg/cache/v3"
	"github.com/envoyproxy/go-control-plane/pkg/server/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/structpb"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/xdsclient"
)

// The client works with a control plane that is built with the library go-control-plane, which many control planes
// use.
func TestWithGoControlPlane(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	resourceCache := cache.NewLinearCache(xdsclient.TypeURL, cache.WithVersionPrefix("plane/"))
	rejections := make(chan string, 16)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	onRequest := func(_ int64, request *discovery.DiscoveryRequest) error {
		if detail := request.GetErrorDetail(); detail != nil {
			rejections <- request.GetVersionInfo() + ": " + detail.GetMessage()
		}
		return nil
	}
	xdsServer := server.NewServer(ctx, resourceCache, server.CallbackFuncs{StreamRequestFunc: onRequest})
	grpcServer := grpc.NewServer()
	discovery.RegisterAggregatedDiscoveryServiceServer(grpcServer, xdsServer)
	go grpcServer.Serve(listener)
	t.Cleanup(grpcServer.Stop)
	setClassWeight := func(weight float64) {
		value, err := structpb.NewStruct(map[string]any{
			"name":    "look",
			"repeat":  "safe",
			"aim":     "100ms",
			"give_up": "1s",
			"worth":   weight,
		})
		require.NoError(t, err)
		resourceCache.SetResources(map[string]types.Resource{
			"class/look": &typed.TypedStruct{TypeUrl: xdsclient.KindPrefix + "class", Value: value},
		})
	}
	setClassWeight(1)
	client := startClient(t, controlPlaneSettings(listener.Addr().String()), nil)
	scriptedpeer.Eventually(t, "a version", func() bool { return len(client.updates()) == 1 })
	firstUpdate := client.updates()[0]
	if firstUpdate.DecodeError != "" || firstUpdate.Version.Epoch != "plane" ||
		firstUpdate.Resources[0].ID() != "class/look" {
		t.Fatalf("%+v", firstUpdate)
	}
	client.Ack(firstUpdate.Version.ID, true)
	setClassWeight(2)
	scriptedpeer.Eventually(t, "the next", func() bool { return len(client.updates()) == 2 })
	secondUpdate := client.updates()[1]
	if secondUpdate.Version.Number != firstUpdate.Version.Number+1 || secondUpdate.Resources[0].Fields["worth"] != 2.0 {
		t.Errorf("%+v", secondUpdate)
	}
	client.Nack(secondUpdate.Version.ID, "not today", &firstUpdate.Version.ID)
	expected := xdsclient.FormatVersionInfo(firstUpdate.Version.ID) + ": not today"
	if got := scriptedpeer.Receive(t, rejections, "the NACK"); got != expected {
		t.Errorf("NACK %q, not %q", got, expected)
	}
	setClassWeight(3)
	scriptedpeer.Eventually(t, "the one after a rejected one", func() bool { return len(client.updates()) == 3 })
}
