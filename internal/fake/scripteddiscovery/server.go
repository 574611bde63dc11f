// Package scripteddiscovery is a stand-in for discovery whose every line a test writes by hand.
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

// Server is a discovery whose watches are written by hand.
type Server struct {
	Addr     string
	Requests chan string // what each call asked for: its values of watch and after
	Lines    chan string // to write to the call that came last; an empty text ends it

	mu      sync.Mutex
	current *call
}

// call is one that the board answers.
type call struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

// New starts a board.
func New(t testing.TB) *Server {
	b := &Server{Requests: make(chan string, 16), Lines: make(chan string)}
	b.Addr = scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer b.replaceCall(cancel)()
		b.Requests <- r.FormValue("watch") + " " + r.FormValue("after")
		http.NewResponseController(w).Flush()
		for {
			select {
			case line := <-b.Lines:
				if line == "" {
					return
				}
				_, _ = io.WriteString(w, line+"\n") // a client that has gone ends the request's context
				http.NewResponseController(w).Flush()
			case <-ctx.Done():
				return
			}
		}
	})
	return b
}

// take has a call be the last one: the call before it is over when this returns, so that no line for this one goes to a caller who has
// left. It returns what ends the call.
func (b *Server) replaceCall(left context.CancelFunc) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil {
		b.current.cancel()
		<-b.current.ended
	}
	now := &call{cancel: left, ended: make(chan struct{})}
	b.current = now
	return func() { left(); close(now.ended) }
}

// Line returns a list as a line of a watch.
func Line(generation int64, reset bool, instances ...discovery.Instance) string {
	text, err := json.Marshal(discovery.List{Generation: generation, Reset: reset, Instances: instances})
	if err != nil {
		panic(err) // of figures and texts only
	}
	return string(text)
}

// Up returns the entry of an endpoint that serves.
func Up(id, addr string) discovery.Instance {
	return discovery.Instance{ID: id, Address: addr, Zone: "a", Kind: "m1", Cell: 1, Lifecycle: "up", Weight: 1}
}
