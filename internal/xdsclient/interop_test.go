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

	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/xdsclient"
)

// A control plane that is built on go-control-plane, as many are, is understood as it comes, and understands the
// answers.
func TestWithGoControlPlane(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	all := cache.NewLinearCache(xdsclient.TypeURL, cache.WithVersionPrefix("plane/"))
	rejected := make(chan string, 16)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	onRequest := func(_ int64, r *discovery.DiscoveryRequest) error {
		if e := r.GetErrorDetail(); e != nil {
			rejected <- r.GetVersionInfo() + ": " + e.GetMessage()
		}
		return nil
	}
	xds := server.NewServer(ctx, all, server.CallbackFuncs{StreamRequestFunc: onRequest})
	g := grpc.NewServer()
	discovery.RegisterAggregatedDiscoveryServiceServer(g, xds)
	go g.Serve(ln)
	t.Cleanup(g.Stop)
	set := func(worth float64) {
		value, err := structpb.NewStruct(map[string]any{
			"name":    "look",
			"repeat":  "safe",
			"aim":     "100ms",
			"give_up": "1s",
			"worth":   worth,
		})
		if err != nil {
			t.Fatal(err)
		}
		all.SetResources(map[string]types.Resource{
			"class/look": &typed.TypedStruct{TypeUrl: xdsclient.KindPrefix + "class", Value: value},
		})
	}
	set(1)
	f := startClient(t, settings(ln.Addr().String()), nil)
	scriptedpeer.Eventually(t, "a version", func() bool { return len(f.updates()) == 1 })
	one := f.updates()[0]
	if one.DecodeError != "" || one.Version.Epoch != "plane" || one.Resources[0].ID() != "class/look" {
		t.Fatalf("%+v", one)
	}
	f.Ack(one.Version.ID, true)
	set(2)
	scriptedpeer.Eventually(t, "the next", func() bool { return len(f.updates()) == 2 })
	two := f.updates()[1]
	if two.Version.Number != one.Version.Number+1 || two.Resources[0].Fields["worth"] != 2.0 {
		t.Errorf("%+v", two)
	}
	f.Nack(two.Version.ID, "not today", &one.Version.ID)
	expected := xdsclient.FormatVersionInfo(one.Version.ID) + ": not today"
	if got := scriptedpeer.Receive(t, rejected, "the NACK"); got != expected {
		t.Errorf("NACK %q, not %q", got, expected)
	}
	set(3)
	scriptedpeer.Eventually(t, "the one after a rejected one", func() bool { return len(f.updates()) == 3 })
}
