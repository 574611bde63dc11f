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

// A new configuration moves the watch to the discovery of its file at once, with nothing kept of the old one: the new
// discovery has generations of its own, and endpoints that it does not list are removed.
func TestReload(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		t.Run(mode, func(t *testing.T) {
			endpoint := func(name string) string {
				return scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
					io.WriteString(w, name)
				})
			}
			list := instances(endpoint("one"), endpoint("two"), endpoint("three"))
			for i := range list {
				list[i].StartedMs = 1 // long ago: an endpoint that is warming up may get fewer requests
			}
			one, two, three := list[0], list[1], list[2]
			configured := func(addr string) *platform.Config {
				return configure(t, addr, list[:1], `"discovery":"automatic"`, `"discovery":"`+mode+`"`)
			}
			old, next := scripteddiscovery.New(t), scripteddiscovery.New(t)
			// As with ROUTER_DISCOVERY, which sets the address at the start and is overridden by a file that changes.
			c := configured(scriptedpeer.ClosedAddress(t))
			c.Discovery = old.Addr
			s := start(t, c)
			expect := func(b *scripteddiscovery.Server, want string) {
				t.Helper()
				if got := scriptedpeer.Receive(t, b.Requests, "call of discovery"); got != want {
					t.Errorf("asked with %q, want %q", got, want)
				}
			}
			expect(old, "1 7")

			// A file that cannot be read and one with the same address leave the watch as it is.
			same := *c
			for _, c := range []*platform.Config{nil, &same} {
				s.reload <- syscall.SIGHUP
				s.config <- c
			}
			old.Lines <- scripteddiscovery.Line(9, true, one, two)

			s.reload <- syscall.SIGHUP
			s.config <- configured(next.Addr)
			expect(next, " ")
			next.Lines <- scripteddiscovery.Line(3, false, two)
			next.Lines <- ""
			expect(next, "1 3")
			s.serves(t, "two")
			next.Lines <- scripteddiscovery.Line(4, true, three)
			s.serves(t, "three")
		})
	}
}

// serves waits until only the endpoint of this name answers.
func (s *running) serves(t *testing.T, want string) {
	t.Helper()
	for end, times := time.Now().Add(scriptedpeer.WaitTimeout), 0; times < 5; {
		_, got := s.request(t, look(900))
		if times++; got != want {
			times = 0
		}
		if time.Now().After(end) {
			t.Fatalf("answered by %q, want %q", got, want)
		}
	}
}

// Configurations may come while the sidecar stops.
func TestReloadWhileStopping(t *testing.T) {
	b := scripteddiscovery.New(t)
	addr := scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) {})
	c := configureStatic(t, instances(addr))
	s := start(t, c)
	s.stop()
	s.reload <- syscall.SIGHUP
	s.config <- configure(t, b.Addr, nil)
	scriptedpeer.Receive(t, b.Requests, "call of discovery")
	s.checkEnded(t)
}
