package sidecar

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/events"
	"dunlinsail/internal/standin/board"
	"dunlinsail/internal/standin/peer"
)

// What is done at an endpoint is told, by its name and under its address, and read again by who counts a fleet's logs.
func TestEventsAreTold(t *testing.T) {
	addr := peer.Web(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "one") })
	c := configure(t, peer.Nowhere(t), []discovery.Instance{board.Up("s-1", addr)})
	var out bytes.Buffer
	c.Events = &out
	s := start(t, c)
	for range 3 {
		if resp, _ := s.ask(t, look(900)); resp.StatusCode != 200 {
			t.Fatal(resp.Status)
		}
	}
	s.stop()
	if err := <-s.ended; err != nil {
		t.Fatal(err)
	}
	got, err := events.Read(&out)
	if err != nil {
		t.Fatal(err)
	}
	n := map[events.Kind]int{}
	for _, e := range got {
		n[e.Kind]++
		named := e.Endpoint == "s-1"
		if e.Kind == events.Dialed || e.Kind == events.Closed {
			named = e.Endpoint == addr
		}
		if !named && e.Kind != events.Asked || e.At == 0 {
			t.Errorf("%+v", e)
		}
	}
	if n[events.Sent] != 3 || n[events.Ended] != 3 || n[events.Told] != 1 || n[events.Dialed] == 0 || n[events.Closed] != n[events.Dialed] || n[events.Asked] == 0 {
		t.Errorf("%v", n)
	}
}
