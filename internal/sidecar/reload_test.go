package sidecar

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/platform"
)

// A reload moves the watch to the discovery address of the new configuration at once. No state of the old
// discovery is kept: the new discovery has its own generations, and endpoints that it does not list are removed.
func TestReload(t *testing.T) {
	for _, discoveryMode := range []string{"automatic", "subscribe"} {
		t.Run(discoveryMode, func(t *testing.T) {
			endpoint := func(name string) string {
				return scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
					io.WriteString(w, name)
				})
			}
			list := instances(endpoint("one"), endpoint("two"), endpoint("three"))
			for i := range list {
				list[i].StartedMs = 1 // started long ago, because an endpoint that is warming up may get fewer requests
			}
			one, two, three := list[0], list[1], list[2]
			configureDiscovery := func(addr string) *platform.Config {
				return configure(t, addr, list[:1], `"discovery":"automatic"`, `"discovery":"`+discoveryMode+`"`)
			}
			oldServer, newServer := scripteddiscovery.New(t), scripteddiscovery.New(t)
			// The address is set as by ROUTER_DISCOVERY: it applies from the start until a reload finds a changed
			// address in the file.
			c := configureDiscovery(scriptedpeer.ClosedAddress(t))
			c.Discovery = oldServer.Addr
			s := start(t, c)
			expectWatch := func(server *scripteddiscovery.Server, wantQuery string) {
				t.Helper()
				if got := scriptedpeer.Receive(t, server.Requests, "call of discovery"); got != wantQuery {
					t.Errorf("query %q, want %q", got, wantQuery)
				}
			}
			expectWatch(oldServer, "1 7")

			// A failed read and a configuration with the same address do not change the watch.
			sameAddress := *c
			for _, c := range []*platform.Config{nil, &sameAddress} {
				s.reload <- syscall.SIGHUP
				s.reloadedConfig <- c
			}
			oldServer.Lines <- scripteddiscovery.Line(9, true, one, two)

			s.reload <- syscall.SIGHUP
			s.reloadedConfig <- configureDiscovery(newServer.Addr)
			expectWatch(newServer, " ")
			newServer.Lines <- scripteddiscovery.Line(3, false, two)
			newServer.Lines <- ""
			expectWatch(newServer, "1 3")
			s.waitServedOnlyBy(t, "two")
			newServer.Lines <- scripteddiscovery.Line(4, true, three)
			s.waitServedOnlyBy(t, "three")
		})
	}
}

// waitServedOnlyBy waits until five requests in a row are served by the endpoint of this name.
func (s *testSidecar) waitServedOnlyBy(t *testing.T, want string) {
	t.Helper()
	for deadline, consecutive := time.Now().Add(scriptedpeer.WaitTimeout), 0; consecutive < 5; {
		_, got := s.request(t, safeRequest(900))
		if consecutive++; got != want {
			consecutive = 0
		}
		if time.Now().After(deadline) {
			t.Fatalf("served by %q, want %q", got, want)
		}
	}
}

// A reload while the sidecar stops moves the watch, and the sidecar still ends without an error.
func TestReloadWhileStopping(t *testing.T) {
	server := scripteddiscovery.New(t)
	addr := scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) {})
	c := configureStatic(t, instances(addr))
	s := start(t, c)
	s.stop()
	s.reload <- syscall.SIGHUP
	s.reloadedConfig <- configure(t, server.Addr, nil)
	scriptedpeer.Receive(t, server.Requests, "call of discovery")
	s.checkEnded(t)
}
