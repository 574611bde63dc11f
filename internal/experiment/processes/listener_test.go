package processes

import (
	"errors"
	"net"
	"testing"
	"time"
)

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// Who connects to a silent gate hears nothing, neither yes nor no; before and after that it is let in, and nobody but
// who connects is.
func TestSilencedListenerTimesOutConnections(t *testing.T) {
	g, err := newSilenceableListener("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan string, 10)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := g.Accept()
			if err != nil {
				return
			}
			accepted <- c.RemoteAddr().String()
			c.Close()
		}
	}()
	dial := func(within time.Duration) (string, error) {
		c, err := net.DialTimeout("tcp", g.Addr().String(), within)
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	enter := func() {
		t.Helper()
		from, err := dial(5 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if got := <-accepted; got != from {
			t.Fatalf("accepted %s, want %s", got, from)
		}
	}
	for range 3 {
		enter()
		if err := g.setSilent(true); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if _, err := dial(50 * time.Millisecond); !isTimeout(err) {
				t.Fatalf("dialled a silent gate: %v", err)
			}
		}
		if err := g.setSilent(false); err != nil {
			t.Fatal(err)
		}
		enter()
	}
	if err := g.setSilent(true); err != nil {
		t.Fatal(err)
	}
	if err := g.Close(); err != nil {
		t.Error(err)
	}
	<-ended
	if _, err := dial(time.Second); err == nil || isTimeout(err) {
		t.Errorf("a closed gate: %v", err)
	}
}
