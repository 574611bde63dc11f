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

// startWatching starts a watcher that has generation 7, and returns its updates.
func startWatching(
	t *testing.T, server *scripteddiscovery.Server, silenceTimeout time.Duration,
) <-chan engine.EndpointUpdate {
	t.Helper()
	updates := make(chan engine.EndpointUpdate, 16)
	onUpdate := func(_ context.Context, update engine.EndpointUpdate) { updates <- update }
	watcher := discovery.NewWatcher(server.Addr, 7, 16, onUpdate, scriptedpeer.DiscardLog)
	watcher.SilenceTimeout = silenceTimeout
	watcher.ResponseTimeout = scriptedpeer.WaitTimeout // so that a busy machine does not count as silence
	source := discovery.NewContinuousSource(watcher)
	source.SetWatching(true)
	t.Cleanup(source.Close)
	return updates
}

// expectRequest waits for the next call of discovery, which is to have the values of watch and after in want.
func expectRequest(t *testing.T, server *scripteddiscovery.Server, want string) {
	t.Helper()
	if got := scriptedpeer.Receive(t, server.Requests, "call"); got != want {
		t.Errorf("call with %q, want %q", got, want)
	}
}

// A watch that ends or is malformed is opened again, after the latest list. Stale lists are ignored.
func TestWatch(t *testing.T) {
	server := scripteddiscovery.New(t)
	updates := startWatching(t, server, scriptedpeer.WaitTimeout)
	expectUpdate := func(want int64) {
		t.Helper()
		if got := scriptedpeer.Receive(t, updates, "list").Generation; got != want {
			t.Errorf("generation %d, want %d", got, want)
		}
	}
	expectRequest(t, server, "1 7")
	server.Lines <- scripteddiscovery.Line(8, true, scripteddiscovery.Up("s-1", "127.0.0.1:1"))
	expectUpdate(8)
	server.Lines <- " "
	server.Lines <- scripteddiscovery.Line(5, true) // stale
	server.Lines <- scripteddiscovery.Line(9, false)
	expectUpdate(9)
	server.Lines <- ""
	expectRequest(t, server, "1 9")
	server.Lines <- scripteddiscovery.Line(10, false)
	expectUpdate(10)
	server.Lines <- `{"generation":11,"instances":[{]}`
	expectRequest(t, server, "1 10")
	server.Lines <- scripteddiscovery.Line(11, false)
	expectUpdate(11)
}

// A watch on which nothing arrives, as from a machine that is cut off, is opened again.
func TestSilentWatchIsReopened(t *testing.T) {
	server := scripteddiscovery.New(t)
	startWatching(t, server, 50*time.Millisecond)
	scriptedpeer.Receive(t, server.Requests, "first watch")
	expectRequest(t, server, "1 7")
}

// A list may be indented, over many lines and in any pieces, also behind blank lines. One that exceeds the limit of its
// size ends the watch.
func TestIndentedLists(t *testing.T) {
	server := scripteddiscovery.New(t)
	updates := startWatching(t, server, scriptedpeer.WaitTimeout)
	scriptedpeer.Receive(t, server.Requests, "watch")
	compact := scripteddiscovery.Line(8, true, scripteddiscovery.Up("s-1", "127.0.0.1:1"))
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(compact), "", "  "); err != nil {
		t.Fatal(err)
	}
	server.Lines <- " "
	// Each line is sent as a piece of its own, with another line end.
	for _, line := range strings.SplitAfter(indented.String(), "\n") {
		server.Lines <- line
	}
	got := scriptedpeer.Receive(t, updates, "indented list")
	if got.Generation != 8 || len(got.Endpoints) != 1 || got.Endpoints[0].Name != "s-1" {
		t.Errorf("update %+v", got)
	}
	server.Lines <- scripteddiscovery.Line(9, false) + scripteddiscovery.Line(10, false)
	for want := int64(9); want <= 10; want++ {
		if got := scriptedpeer.Receive(t, updates, "list of two on a line"); got.Generation != want {
			t.Errorf("generation %d, want %d", got.Generation, want)
		}
	}
	for range 18 { // 64 KiB each: a list may take 1 MiB of the 16 MiB of the program
		server.Lines <- `{"generation":11,"reset":true,"instances":[` + strings.Repeat(" ", 64<<10)
	}
	expectRequest(t, server, "1 10")
}

// handler is discovery's side of one connection.
type connHandler func(c *net.TCPConn, r *bufio.Reader)

// startScriptedDiscovery starts a fake discovery and returns its address. The n-th connection is handled by the n-th
// handler, and every connection stays open until the test ends.
func startScriptedDiscovery(t *testing.T, handlers ...connHandler) string {
	t.Helper()
	var connections atomic.Int32
	testEnded := make(chan struct{})
	t.Cleanup(func() { close(testEnded) })
	return scriptedpeer.StartTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		if i := int(connections.Add(1)) - 1; i < len(handlers) {
			handlers[i](c, r)
		}
		<-testEnded
	})
}

const watchResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// A watch that falls silent is replaced, and the list that it missed arrives, within 6 s (PROTOCOL). In the worst
// case it falls silent right after it has sent a list, the next watch is open and sends nothing after its head, or
// gets no response, and only the third sends a list. The 6 s include the grace that a drain has.
func TestSilentWatchesInARow(t *testing.T) {
	listLine := scripteddiscovery.Line(9, true, scripteddiscovery.Up("s-1", "127.0.0.1:1"))
	silentHandlers := map[string]connHandler{
		"after its head": func(c *net.TCPConn, r *bufio.Reader) {
			scriptedpeer.ReadRequest(r)
			io.WriteString(c, watchResponseHead)
		},
		"in a list": func(c *net.TCPConn, r *bufio.Reader) {
			scriptedpeer.ReadRequest(r)
			io.WriteString(c, watchResponseHead+chunk(listLine[:20]))
		},
		"never answered": func(c *net.TCPConn, r *bufio.Reader) { scriptedpeer.ReadRequest(r) },
	}
	sendList := func(c *net.TCPConn, r *bufio.Reader) {
		scriptedpeer.ReadRequest(r)
		io.WriteString(c, watchResponseHead+chunk(listLine))
	}
	for name, silentHandler := range silentHandlers {
		t.Run(name+", continuous", func(t *testing.T) {
			t.Parallel()
			testSilentWatch(t, discovery.NewContinuousSource, silentHandler, sendList)
		})
	}
	// Of the failures of the second watch this is the only one after which a polled source calls again by itself.
	t.Run("after its head, polled", func(t *testing.T) {
		t.Parallel()
		newPolledSource := func(w *discovery.Watcher) *discovery.Source {
			return discovery.NewPolledSource(w, func() {})
		}
		testSilentWatch(t, newPolledSource, sendList)
	})
}

// testSilentWatch makes the first watch fall silent after a list, has later ones handled in order, and expects the list
// of generation 9 within 6 s.
func testSilentWatch(t *testing.T, newSource func(*discovery.Watcher) *discovery.Source, laterHandlers ...connHandler) {
	t.Helper()
	updates := make(chan engine.EndpointUpdate, 4)
	fellSilentAt := make(chan time.Time, 1)
	sendListThenNothing := func(c *net.TCPConn, r *bufio.Reader) {
		scriptedpeer.ReadRequest(r)
		io.WriteString(c, watchResponseHead+chunk(scripteddiscovery.Line(8, true)))
		fellSilentAt <- time.Now()
	}
	onUpdate := func(_ context.Context, update engine.EndpointUpdate) { updates <- update }
	address := startScriptedDiscovery(t, append([]connHandler{sendListThenNothing}, laterHandlers...)...)
	source := newSource(discovery.NewWatcher(address, 7, 16, onUpdate, scriptedpeer.DiscardLog))
	source.SetWatching(true)
	t.Cleanup(source.Close)
	scriptedpeer.Receive(t, updates, "first list")
	silentSince := <-fellSilentAt
	if got := scriptedpeer.Receive(t, updates, "list of the watch that answers"); got.Generation != 9 {
		t.Errorf("generation %d", got.Generation)
	}
	if took := time.Since(silentSince); took > 6*time.Second {
		t.Errorf("updated %v after the watch fell silent", took)
	}
}

// A discovery that restarts with lower generations is followed once its complete list has a lower generation, too. A
// stale list on an open watch is ignored: it would make endpoints ready again that are known to be draining.
func TestGenerationsRestart(t *testing.T) {
	server := scripteddiscovery.New(t)
	updates := startWatching(t, server, scriptedpeer.WaitTimeout)
	expectRequest(t, server, "1 7")
	server.Lines <- scripteddiscovery.Line(41, true)
	scriptedpeer.Receive(t, updates, "list before")
	server.Lines <- scripteddiscovery.Line(3, true) // stale: the watch has sent a later one
	server.Lines <- ""
	expectRequest(t, server, "1 41")
	server.Lines <- scripteddiscovery.Line(3, true, scripteddiscovery.Up("s-1", "127.0.0.1:1"))
	expectRequest(t, server, " ") // the complete list
	server.Lines <- scripteddiscovery.Line(3, true, scripteddiscovery.Up("s-1", "127.0.0.1:1"))
	got := scriptedpeer.Receive(t, updates, "list of the new history")
	if got.Generation != 3 || !got.NewSource || !got.GenerationsReset || got.Kind != balancer.ListFull {
		t.Errorf("update %+v", got)
	}
	expectRequest(t, server, "1 3")
	server.Lines <- scripteddiscovery.Line(4, false)
	if got := scriptedpeer.Receive(t, updates, "what follows"); got.Generation != 4 || got.NewSource {
		t.Errorf("update %+v", got)
	}
}

// A first list that is older than the call requested does not reset the generations if the complete list is newer.
func TestOlderFirstListDoesNotResetGenerations(t *testing.T) {
	b := scripteddiscovery.New(t)
	updates := startWatching(t, b, scriptedpeer.WaitTimeout)
	scriptedpeer.Receive(t, b.Requests, "watch")
	b.Lines <- scripteddiscovery.Line(5, true) // the call was for lists after 7
	expectRequest(t, b, " ")                   // the complete list
	b.Lines <- scripteddiscovery.Line(8, true)
	if got := scriptedpeer.Receive(t, updates, "list"); got.Generation != 8 || got.NewSource {
		t.Errorf("update %+v", got)
	}
}
