// Package discoveryserver is a fake discovery service as PROTOCOL describes it: HTTP/1.1, the complete endpoint list at
// /api/targets and a watch of its changes beside it. It sends each change at once and can be made silent.
package discoveryserver

import (
	"net"
	"net/http"
	"slices"
	"sync"

	"dunlinsail/internal/discovery"
)

// lifecycleRemoved marks an entry that is no longer listed.
const lifecycleRemoved = "removed"

// Server is a running discovery service. Its methods are safe for concurrent use.
type Server struct {
	Addr string // host and port

	http *http.Server
	done chan struct{}

	mu         sync.Mutex
	entries    map[string]discovery.Instance
	changedIn  map[string]int64 // the generation of each entry's last change, removed entries included
	generation int64
	changes    chan struct{} // closed at each change
	silent     bool
}

// Start starts a discovery service that lists entries, on a free loopback port.
func Start(entries ...discovery.Instance) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		Addr:      ln.Addr().String(),
		entries:   map[string]discovery.Instance{},
		changedIn: map[string]int64{},
		changes:   make(chan struct{}),
		done:      make(chan struct{}),
	}
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

// Close ends the service and its watches.
func (s *Server) Close() {
	s.http.Close()
	<-s.done
}

// Set adds or changes entries in one generation. An entry with lifecycle "removed" leaves the list.
func (s *Server) Set(entries ...discovery.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	for _, e := range entries {
		s.entries[e.ID] = e
		s.changedIn[e.ID] = s.generation
	}
	s.notify()
}

// SetSilent stops, or resumes, everything that the service sends on its watches and in response to calls.
func (s *Server) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.notify()
}

// notify wakes all calls; s.mu must be held.
func (s *Server) notify() {
	close(s.changes)
	s.changes = make(chan struct{})
}

// changesSince returns the entries that changed after a generation, or the complete list for a negative one, and a
// channel that is closed at the next change.
func (s *Server) changesSince(after int64) (list discovery.List, silent bool, changes <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	complete := after < 0
	list = discovery.List{Generation: s.generation, Reset: complete, Instances: []discovery.Instance{}}
	for id, e := range s.entries {
		if complete && e.Lifecycle != lifecycleRemoved || !complete && s.changedIn[id] > after {
			list.Instances = append(list.Instances, e)
		}
	}
	slices.SortFunc(list.Instances, func(a, b discovery.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list, s.silent, s.changes
}
