// Package discoveryserver is a stand-in for discovery as PROTOCOL describes it: HTTP/1.1, the whole list at /api/targets and a
// watch of its changes beside it. It tells what it is told, at once, and can be made silent.
package discoveryserver

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"dunlinsail/internal/discovery"
)

// heartbeat is how often a watch says something while nothing changes.
const heartbeat = 2 * time.Second

// Server is a running roster.
type Server struct {
	Addr string

	http *http.Server
	done chan struct{}

	mu         sync.Mutex
	entries    map[string]discovery.Instance
	changedIn  map[string]int64 // the generation in which each last changed, those removed too
	generation int64
	changes    chan struct{} // closed at each change
	silent     bool
}

// Start starts a roster of these entries on a free port of loopback.
func Start(entries ...discovery.Instance) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: ln.Addr().String(), entries: map[string]discovery.Instance{}, changedIn: map[string]int64{},
		changes: make(chan struct{}), done: make(chan struct{})}
	s.Set(entries...)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", s.serveTargets)
	s.http = &http.Server{Handler: mux}
	go func() {
		defer close(s.done)
		s.http.Serve(ln)
	}()
	return s, nil
}

// Close ends the roster and its watches.
func (s *Server) Close() {
	s.http.Close()
	<-s.done
}

// Set adds entries or changes them, in one generation. One whose lifecycle is "removed" leaves the list.
func (s *Server) Set(entries ...discovery.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	for _, e := range entries {
		s.entries[e.ID] = e
		s.changedIn[e.ID] = s.generation
	}
	close(s.changes)
	s.changes = make(chan struct{})
}

// SetSilent has the roster say nothing more on its watches, and answer no call, or ends that.
func (s *Server) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	close(s.changes)
	s.changes = make(chan struct{})
}

// since returns what has changed after a generation, or all for a negative one, and the channel that tells of more.
func (s *Server) changesSince(after int64) (l discovery.List, silent bool, news <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l = discovery.List{Generation: s.generation, Reset: after < 0, Instances: []discovery.Instance{}}
	for id, e := range s.entries {
		if after < 0 && e.Lifecycle != "removed" || after >= 0 && s.changedIn[id] > after {
			l.Instances = append(l.Instances, e)
		}
	}
	slices.SortFunc(l.Instances, func(a, b discovery.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return l, s.silent, s.changes
}

func (s *Server) serveTargets(w http.ResponseWriter, r *http.Request) {
	after := int64(-1)
	if text := r.FormValue("after"); text != "" {
		v, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(w, "after is no number", http.StatusBadRequest)
			return
		}
		after = v
	}
	watch := r.FormValue("watch") == "1"
	controller := http.NewResponseController(w)
	first := true
	for {
		l, silent, news := s.changesSince(after)
		if !silent && (first || len(l.Instances) > 0) {
			text, err := json.Marshal(l)
			if err != nil {
				return
			}
			if _, err := w.Write(append(text, '\n')); err != nil || !watch {
				return
			}
			controller.Flush()
			after, first = l.Generation, false
		}
		beat := time.NewTimer(heartbeat)
		select {
		case <-news:
			beat.Stop()
		case <-beat.C:
			if !silent && watch {
				_, _ = io.WriteString(w, "\n") // a client that has gone ends the request's context
				controller.Flush()
			}
		case <-r.Context().Done():
			beat.Stop()
			return
		}
	}
}
