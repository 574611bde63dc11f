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

// Updates of the list move requests to a new address, and away from endpoints that drain or are removed. A complete
// list removes the endpoints that are not in it.
func TestLists(t *testing.T) {
	endpoint := func(name string) string {
		return scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, name) })
	}
	one := scripteddiscovery.Up("s-1", endpoint("one"))
	two := scripteddiscovery.Up("s-2", endpoint("two"))
	three := scripteddiscovery.Up("s-1", endpoint("three"))
	state := func(in discovery.Instance, lifecycle string) discovery.Instance {
		in.Lifecycle = lifecycle
		return in
	}
	b := scripteddiscovery.New(t)
	s := start(t, configure(t, b.Addr, []discovery.Instance{one}))
	scriptedpeer.Receive(t, b.Requests, "watch")
	for i, step := range []struct {
		reset     bool
		instances []discovery.Instance
		want      string
	}{
		{false, nil, "one"},
		{false, []discovery.Instance{state(one, "draining"), two}, "two"},
		{false, []discovery.Instance{state(two, "removed"), one}, "one"},
		{true, []discovery.Instance{two}, "two"},
		{true, []discovery.Instance{three}, "three"},
		{false, []discovery.Instance{one}, "one"},
		{false, []discovery.Instance{state(one, "resting"), two, {}}, "two"},
		{false, []discovery.Instance{state(discovery.Instance{ID: "s-2"}, "removed")}, ""},
	} {
		generation := int64(8 + i)
		b.Lines <- scripteddiscovery.Line(generation, step.reset, step.instances...)
		// The list has arrived once requests go where they should.
		var got string
		for end := time.Now().Add(scriptedpeer.WaitTimeout); ; {
			if _, got = s.request(t, look(900)); got == step.want || time.Now().After(end) {
				break
			}
			if step.want == "" && got != "one" && got != "two" && got != "three" {
				got = ""
				break
			}
		}
		if got != step.want {
			t.Fatalf("step %d: answered by %q, want %q", i, got, step.want)
		}
		for range 10 {
			// A new endpoint is warming up, and may get fewer requests.
			_, got = s.request(t, look(900))
			if step.want != "" && got != step.want && !strings.HasPrefix(got, "refused") {
				t.Fatalf("step %d: then answered by %q, want %q", i, got, step.want)
			}
		}
	}
}

// The sidecar serves from the list that it was started with while discovery is down.
func TestKnownListServes(t *testing.T) {
	addr := scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) {})
	s := start(t, configureStatic(t, instances(addr)))
	s.checkServed(t, "with a known list and no discovery")
}

// With polled discovery the balancer starts each watch, and a new one after one that ended.
func TestPolledDiscovery(t *testing.T) {
	b := scripteddiscovery.New(t)
	addr := scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) {})
	s := start(t, configure(t, b.Addr, instances(scriptedpeer.ClosedAddress(t)),
		`"discovery":"automatic"`, `"discovery":"subscribe"`))
	scriptedpeer.Receive(t, b.Requests, "first watch")
	b.Lines <- "" // it ends
	scriptedpeer.Receive(t, b.Requests, "watch after one that ended")
	b.Lines <- scripteddiscovery.Line(8, true, scripteddiscovery.Up("s-2", addr))
	for end := time.Now().Add(scriptedpeer.WaitTimeout); ; {
		if resp, _ := s.request(t, look(900)); resp.StatusCode == 200 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the list did not arrive")
		}
	}
}
