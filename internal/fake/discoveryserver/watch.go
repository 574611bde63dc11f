package discoveryserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"dunlinsail/internal/discovery"
)

// heartbeatInterval is how often a watch sends an empty line while nothing changes.
const heartbeatInterval = 2 * time.Second

// noGeneration is the generation of a caller that has no list yet.
const noGeneration = int64(-1)

// serveTargets serves the list, or with watch=1 the list and then its changes until the caller leaves.
func (s *Server) serveTargets(w http.ResponseWriter, r *http.Request) {
	after := noGeneration
	if text := r.FormValue("after"); text != "" {
		generation, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(w, "after is not a number", http.StatusBadRequest)
			return
		}
		after = generation
	}
	watch := r.FormValue("watch") == "1"
	controller := http.NewResponseController(w)
	first := true
	for {
		list, silent, changes := s.changesSince(after)
		if !silent && (first || len(list.Instances) > 0) {
			if err := writeLine(w, list); err != nil || !watch {
				return
			}
			controller.Flush()
			after = list.Generation
			first = false
		}
		heartbeat := time.NewTimer(heartbeatInterval)
		select {
		case <-changes:
			heartbeat.Stop()
		case <-heartbeat.C:
			if !silent && watch {
				_, _ = io.WriteString(w, "\n") // an error also ends the request's context
				controller.Flush()
			}
		case <-r.Context().Done():
			heartbeat.Stop()
			return
		}
	}
}

// writeLine writes a list as one line of JSON.
func writeLine(w io.Writer, list discovery.List) error {
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	_, err = w.Write(append(text, '\n'))
	return err
}
