package discovery_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/discovery"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// watching starts a watcher and returns its updates.
func watching(t *testing.T, b *scripteddiscovery.Server, silenceTimeout time.Duration) <-chan engine.EndpointUpdate {
	t.Helper()
	updates := make(chan engine.EndpointUpdate, 16)
	onUpdate := func(_ context.Context, update engine.EndpointUpdate) { updates <- update }
	w := discovery.NewWatcher(b.Addr, 7, 16, onUpdate, scriptedpeer.DiscardLog)
	w.SilenceTimeout = silenceTimeout
	w.ResponseTimeout = scriptedpeer.WaitTimeout // a busy machine is no silence
	s := discovery.NewContinuousSource(w)
	s.SetWatching(true)
	t.Cleanup(s.Close)
	return updates
}

// A watch that ends, is malformed or is mute is asked for again, from the latest list on. What is stale is
// passed over.
func TestWatch(t *testing.T) {
	b := scripteddiscovery.New(t)
	told := watching(t, b, scriptedpeer.WaitTimeout)
	expect := func(want string) {
		t.Helper()
		if got := scriptedpeer.Receive(t, b.Requests, "watch"); got != want {
			t.Errorf("watch asked with %q, want %q", got, want)
		}
	}
	hear := func(want int64) {
		t.Helper()
		if got := scriptedpeer.Receive(t, told, "list").Generation; got != want {
			t.Errorf("told of %d, want %d", got, want)
		}
	}
	expect("1 7")
	b.Lines <- scripteddiscovery.Line(8, true, scripteddiscovery.Up("s-1", "127.0.0.1:1"))
	hear(8)
	b.Lines <- " "
	b.Lines <- scripteddiscovery.Line(5, true) // stale
	b.Lines <- scripteddiscovery.Line(9, false)
	hear(9)
	b.Lines <- ""
	expect("1 9")
	b.Lines <- scripteddiscovery.Line(10, false)
	hear(10)
	b.Lines <- `{"generation":11,"instances":[{]}`
	expect("1 10")
	b.Lines <- scripteddiscovery.Line(11, false)
	hear(11)
}

// A machine that is cut off leaves the watch open and silent.
func TestMuteWatch(t *testing.T) {
	b := scripteddiscovery.New(t)
	watching(t, b, 50*time.Millisecond)
	scriptedpeer.Receive(t, b.Requests, "first watch")
	if got := scriptedpeer.Receive(t, b.Requests, "watch after a mute one"); got != "1 7" {
		t.Errorf("asked with %q, want %q", got, "1 7")
	}
}

// A list may come indented, over many lines and in any pieces, also behind blank lines. What does not end is cut off.
func TestIndentedLists(t *testing.T) {
	b := scripteddiscovery.New(t)
	told := watching(t, b, scriptedpeer.WaitTimeout)
	scriptedpeer.Receive(t, b.Requests, "watch")
	whole := scripteddiscovery.Line(8, true, scripteddiscovery.Up("s-1", "127.0.0.1:1"))
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(whole), "", "  "); err != nil {
		t.Fatal(err)
	}
	b.Lines <- " "
	// Each line is a piece of its own, with a line's end more.
	for _, line := range strings.SplitAfter(indented.String(), "\n") {
		b.Lines <- line
	}
	got := scriptedpeer.Receive(t, told, "indented list")
	if got.Generation != 8 || len(got.Endpoints) != 1 || got.Endpoints[0].Name != "s-1" {
		t.Errorf("told %+v", got)
	}
	b.Lines <- scripteddiscovery.Line(9, false) + scripteddiscovery.Line(10, false)
	for want := int64(9); want <= 10; want++ {
		if got := scriptedpeer.Receive(t, told, "list of two on a line"); got.Generation != want {
			t.Errorf("told of %d, want %d", got.Generation, want)
		}
	}
	for range 18 { // of a program of 16 MB a list may take one
		b.Lines <- `{"generation":11,"reset":true,"instances":[` + strings.Repeat(" ", 64<<10)
	}
	if got := scriptedpeer.Receive(t, b.Requests, "watch after a list without end"); got != "1 10" {
		t.Errorf("asked with %q, want %q", got, "1 10")
	}
}

// script is a discovery of which a test writes each connection by hand, in the order in which they come.
func script(t *testing.T, handle ...func(c *net.TCPConn, r *bufio.Reader)) string {
	var calls atomic.Int32
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		if i := int(calls.Add(1)) - 1; i < len(handle) {
			handle[i](c, r)
		}
		<-ended
	})
}

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// What a silent watch misses counts as notified 6 s after it fell silent. In the worst order it falls silent right
// after it has sent something, the next one is open and sends nothing after its head, or is never answered, and only the
// third sends a list. The bound includes the grace that a drain has.
func TestSilentWatchesInARow(t *testing.T) {
	list := scripteddiscovery.Line(9, true, scripteddiscovery.Up("s-1", "127.0.0.1:1"))
	silences := map[string]func(c *net.TCPConn, r *bufio.Reader){
		"after its head": func(c *net.TCPConn, r *bufio.Reader) { scriptedpeer.ReadRequest(r); io.WriteString(c, watchHead) },
		"in a list": func(c *net.TCPConn, r *bufio.Reader) {
			scriptedpeer.ReadRequest(r)
			io.WriteString(c, watchHead+chunk(list[:20]))
		},
		"never answered": func(c *net.TCPConn, r *bufio.Reader) { scriptedpeer.ReadRequest(r) },
	}
	for name, silence := range silences {
		for mode, source := range map[string]func(w *discovery.Watcher) *discovery.Source{
			"kept":  discovery.NewContinuousSource,
			"asked": func(w *discovery.Watcher) *discovery.Source { return discovery.NewPolledSource(w, func() {}) },
		} {
			if mode == "asked" && name != "after its head" {
				continue // a call that fails is the balancer's to make again
			}
			t.Run(name+", "+mode, func(t *testing.T) {
				t.Parallel()
				updates := make(chan engine.EndpointUpdate, 4)
				silent := make(chan time.Time, 1)
				open := func(c *net.TCPConn, r *bufio.Reader) {
					scriptedpeer.ReadRequest(r)
					io.WriteString(c, watchHead+chunk(scripteddiscovery.Line(8, true)))
					silent <- time.Now()
				}
				good := func(c *net.TCPConn, r *bufio.Reader) {
					scriptedpeer.ReadRequest(r)
					io.WriteString(c, watchHead+chunk(list))
				}
				calls := []func(*net.TCPConn, *bufio.Reader){open, silence, good}
				if mode == "asked" {
					calls = []func(*net.TCPConn, *bufio.Reader){open, good}
				}
				onUpdate := func(_ context.Context, update engine.EndpointUpdate) { updates <- update }
				w := discovery.NewWatcher(script(t, calls...), 7, 16, onUpdate, scriptedpeer.DiscardLog)
				s := source(w)
				s.SetWatching(true)
				t.Cleanup(s.Close)
				scriptedpeer.Receive(t, updates, "first list")
				from := <-silent
				if got := scriptedpeer.Receive(t, updates, "list of the watch that answers"); got.Generation != 9 {
					t.Errorf("generation %d", got.Generation)
				}
				if took := time.Since(from); took > 6*time.Second {
					t.Errorf("updated %v after the watch fell silent", took)
				}
			})
		}
	}
}

// A discovery that restarts with lower generations is believed once its complete list says so too. What comes late on an
// open watch is ignored as before, and an endpoint known to drain is not brought back by it.
func TestGenerationsRestart(t *testing.T) {
	b := scripteddiscovery.New(t)
	told := watching(t, b, scriptedpeer.WaitTimeout)
	expect := func(want string) {
		t.Helper()
		if got := scriptedpeer.Receive(t, b.Requests, "call"); got != want {
			t.Errorf("asked with %q, want %q", got, want)
		}
	}
	expect("1 7")
	b.Lines <- scripteddiscovery.Line(41, true)
	scriptedpeer.Receive(t, told, "list before")
	b.Lines <- scripteddiscovery.Line(3, true) // late, on the watch that has told more
	b.Lines <- ""
	expect("1 41")
	b.Lines <- scripteddiscovery.Line(3, true, scripteddiscovery.Up("s-1", "127.0.0.1:1"))
	expect(" ") // the whole list
	b.Lines <- scripteddiscovery.Line(3, true, scripteddiscovery.Up("s-1", "127.0.0.1:1"))
	got := scriptedpeer.Receive(t, told, "list of the new history")
	if got.Generation != 3 || !got.NewSource || !got.GenerationsReset || got.Kind != balancer.ListFull {
		t.Errorf("told %+v", got)
	}
	expect("1 3")
	b.Lines <- scripteddiscovery.Line(4, false)
	if got := scriptedpeer.Receive(t, told, "what follows"); got.Generation != 4 || got.NewSource {
		t.Errorf("told %+v", got)
	}
}

// An answer that was late by itself does not begin anything: the whole list shows it.
func TestLateFirstAnswer(t *testing.T) {
	b := scripteddiscovery.New(t)
	told := watching(t, b, scriptedpeer.WaitTimeout)
	scriptedpeer.Receive(t, b.Requests, "watch")
	b.Lines <- scripteddiscovery.Line(5, true) // asked for what is newer than 7
	if got := scriptedpeer.Receive(t, b.Requests, "call"); got != " " {
		t.Errorf("asked with %q, want the whole list", got)
	}
	b.Lines <- scripteddiscovery.Line(8, true)
	if got := scriptedpeer.Receive(t, told, "list"); got.Generation != 8 || got.NewSource {
		t.Errorf("told %+v", got)
	}
}
