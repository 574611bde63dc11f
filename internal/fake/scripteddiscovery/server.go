// Package scripteddiscovery is a fake discovery service: a test writes each line of its watches.
package scripteddiscovery

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// Server is a discovery service whose watches are written by a test.
type Server struct {
	Addr     string
	Requests chan string // the query values of each call: watch, a space, after
	Lines    chan string // sent to the latest call; an empty line ends it

	mu      sync.Mutex
	current *call
}

// call is a request in progress.
type call struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

// requestsBuffer is how many calls may arrive before a test reads Requests.
const requestsBuffer = 16

// New starts a server, which ends with the test.
func New(t testing.TB) *Server {
	t.Helper()
	s := &Server{
		Requests: make(chan string, requestsBuffer),
		Lines:    make(chan string),
	}
	s.Addr = scriptedpeer.StartHTTP(t, s.serve)
	return s
}

// serve sends the test's lines until an empty one, the caller's end or the next call.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer s.replaceCall(cancel)()
	s.Requests <- r.FormValue("watch") + " " + r.FormValue("after")
	controller := http.NewResponseController(w)
	controller.Flush()
	for {
		select {
		case line := <-s.Lines:
			if line == "" {
				return
			}
			_, _ = io.WriteString(w, line+"\n") // an error also ends the request's context
			controller.Flush()
		case <-ctx.Done():
			return
		}
	}
}

// replaceCall makes a call the current one, after ending the call before it, so that no line reaches a caller that has
// left. It returns a function that ends the new call.
func (s *Server) replaceCall(cancel context.CancelFunc) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.cancel()
		<-s.current.ended
	}
	started := &call{cancel: cancel, ended: make(chan struct{})}
	s.current = started
	return func() {
		cancel()
		close(started.ended)
	}
}

// Line returns an endpoint list as one line of a watch.
func Line(generation int64, reset bool, instances ...discovery.Instance) string {
	text, err := json.Marshal(discovery.List{Generation: generation, Reset: reset, Instances: instances})
	if err != nil {
		panic(err) // numbers and strings always marshal
	}
	return string(text)
}

// Up returns the list entry of an endpoint that is up.
func Up(id, addr string) discovery.Instance {
	cell := uint16(1)
	return discovery.Instance{ID: id, Address: addr, Zone: "a", Kind: "m1", Cell: &cell, Lifecycle: "up", Weight: 1}
}
