package sidecar

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// Updates of the endpoint list move requests to the new address of an endpoint, and away from endpoints that drain
// or are removed. A complete list removes the endpoints that are not in it.
func TestEndpointListUpdates(t *testing.T) {
	endpoint := func(name string) string {
		return scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, name) })
	}
	one := scripteddiscovery.Up("s-1", endpoint("one"))
	two := scripteddiscovery.Up("s-2", endpoint("two"))
	three := scripteddiscovery.Up("s-1", endpoint("three"))
	withLifecycle := func(instance discovery.Instance, lifecycle string) discovery.Instance {
		instance.Lifecycle = lifecycle
		return instance
	}
	server := scripteddiscovery.New(t)
	s := start(t, configure(t, server.Addr, []discovery.Instance{one}))
	scriptedpeer.Receive(t, server.Requests, "watch")
	for i, step := range []struct {
		reset     bool
		instances []discovery.Instance
		want      string
	}{
		{false, nil, "one"},
		{false, []discovery.Instance{withLifecycle(one, "draining"), two}, "two"},
		{false, []discovery.Instance{withLifecycle(two, "removed"), one}, "one"},
		{true, []discovery.Instance{two}, "two"},
		{true, []discovery.Instance{three}, "three"},
		{false, []discovery.Instance{one}, "one"},
		{false, []discovery.Instance{withLifecycle(one, "resting"), two, {}}, "two"},
		{false, []discovery.Instance{withLifecycle(discovery.Instance{ID: "s-2"}, "removed")}, ""},
	} {
		generation := int64(8 + i)
		server.Lines <- scripteddiscovery.Line(generation, step.reset, step.instances...)
		// The update has been applied once requests are served by the expected endpoint.
		var servedBy string
		for deadline := time.Now().Add(scriptedpeer.WaitTimeout); ; {
			if _, servedBy = s.request(t, safeRequest(900)); servedBy == step.want || time.Now().After(deadline) {
				break
			}
			if step.want == "" && servedBy != "one" && servedBy != "two" && servedBy != "three" {
				servedBy = ""
				break
			}
		}
		if servedBy != step.want {
			t.Fatalf("step %d: served by %q, want %q", i, servedBy, step.want)
		}
		for range 10 {
			// Requests may be rejected, because a new endpoint is warming up and may get fewer requests.
			_, servedBy = s.request(t, safeRequest(900))
			if step.want != "" && servedBy != step.want && !strings.HasPrefix(servedBy, "refused") {
				t.Fatalf("step %d, later request: served by %q, want %q", i, servedBy, step.want)
			}
		}
	}
}

// While discovery is down, the sidecar uses the endpoint list of its configuration.
func TestKnownListServes(t *testing.T) {
	addr := scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) {})
	s := start(t, configureStatic(t, instances(addr)))
	s.checkServed(t, "with a known list and no discovery")
}

// With polled discovery, the balancer starts a watch, and starts a new watch after the previous one has ended.
func TestPolledDiscovery(t *testing.T) {
	server := scripteddiscovery.New(t)
	addr := scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) {})
	s := start(t, configure(t, server.Addr, instances(scriptedpeer.ClosedAddress(t)),
		`"discovery":"automatic"`, `"discovery":"subscribe"`))
	scriptedpeer.Receive(t, server.Requests, "first watch")
	server.Lines <- "" // an empty line ends the watch
	scriptedpeer.Receive(t, server.Requests, "watch after the first has ended")
	server.Lines <- scripteddiscovery.Line(8, true, scripteddiscovery.Up("s-2", addr))
	for deadline := time.Now().Add(scriptedpeer.WaitTimeout); ; {
		if resp, _ := s.request(t, safeRequest(900)); resp.StatusCode == 200 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("no request was served by the endpoint of the new list")
		}
	}
}
