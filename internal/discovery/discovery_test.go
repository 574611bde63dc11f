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
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// startWatching starts a continuous watch after generation 7 at server, and returns the channel of its updates.
func startWatching(
	t *testing.T, server *scripteddiscovery.Server, silenceTimeout time.Duration,
) <-chan engine.EndpointUpdate {
	t.Helper()
	updates := make(chan engine.EndpointUpdate, 16)
	onUpdate := func(_ context.Context, update engine.EndpointUpdate) { updates <- update }
	watcher := discovery.NewWatcher(server.Addr, 7, 16, onUpdate, scriptedpeer.DiscardLog)
	watcher.SilenceTimeout = silenceTimeout
	watcher.ResponseTimeout = scriptedpeer.WaitTimeout // long, so that a slow machine does not cause a timeout
	source := discovery.NewContinuousSource(watcher)
	source.SetWatching(true)
	t.Cleanup(source.Close)
	return updates
}

// expectRequest waits for the next request to discovery, and verifies that its values of watch and after are
// those in want.
func expectRequest(t *testing.T, server *scripteddiscovery.Server, want string) {
	t.Helper()
	if got := scriptedpeer.Receive(t, server.Requests, "request"); got != want {
		t.Errorf("request with %q, want %q", got, want)
	}
}

// A watch that ends or sends a malformed list is opened again after the generation of the latest list. Stale
// lists are ignored.
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
	server.Lines <- scripteddiscovery.Line(5, true) // stale: older than generation 8
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

// A watch on which nothing arrives, for example because the machine is unreachable, is opened again.
func TestSilentWatchIsReopened(t *testing.T) {
	server := scripteddiscovery.New(t)
	startWatching(t, server, 50*time.Millisecond)
	scriptedpeer.Receive(t, server.Requests, "first watch")
	expectRequest(t, server, "1 7")
}

// A list may be indented, span many lines, arrive in any number of pieces, and follow blank lines. A list that
// exceeds the size limit ends the watch.
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
	// Each line is sent in a piece of its own, followed by an additional line end.
	for _, line := range strings.SplitAfter(indented.String(), "\n") {
		server.Lines <- line
	}
	got := scriptedpeer.Receive(t, updates, "indented list")
	if got.Generation != 8 || len(got.Endpoints) != 1 || got.Endpoints[0].Name != "s-1" {
		t.Errorf("update %+v", got)
	}
	server.Lines <- scripteddiscovery.Line(9, false) + scripteddiscovery.Line(10, false)
	for want := int64(9); want <= 10; want++ {
		if got := scriptedpeer.Receive(t, updates, "one of two lists on one line"); got.Generation != want {
			t.Errorf("generation %d, want %d", got.Generation, want)
		}
	}
	for range 18 { // 18 pieces of 64 KiB exceed the limit of 1 MiB, 1/16 of the memory limit
		server.Lines <- `{"generation":11,"reset":true,"instances":[` + strings.Repeat(" ", 64<<10)
	}
	expectRequest(t, server, "1 10")
}

// connHandler handles one connection on the side of discovery.
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

// A watch that falls silent is replaced, and the list that it did not deliver arrives within 6 s (page PROTOCOL).
// In the worst case the watch falls silent right after it has sent a list, the second watch sends nothing after
// its head or gets no response at all, and only the third watch sends a list. The 6 s include the grace period of
// a drain.
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
	// After the other failures of the second watch a polled source does not open a third one by itself.
	t.Run("after its head, polled", func(t *testing.T) {
		t.Parallel()
		newPolledSource := func(w *discovery.Watcher) *discovery.Source {
			return discovery.NewPolledSource(w, func() {})
		}
		testSilentWatch(t, newPolledSource, sendList)
	})
}

// testSilentWatch lets the first watch fall silent after a list, handles later connections with laterHandlers in
// order, and verifies that the list of generation 9 arrives within 6 s of the silence.
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
	if got := scriptedpeer.Receive(t, updates, "list of generation 9"); got.Generation != 9 {
		t.Errorf("generation %d", got.Generation)
	}
	if took := time.Since(silentSince); took > 6*time.Second {
		t.Errorf("updated %v after the watch fell silent", took)
	}
}

// If discovery restarts with lower generations, the watcher follows them once the complete list has a lower
// generation, too. A stale list on an open watch is ignored, because it could mark endpoints as ready that are
// known to be draining.
func TestGenerationsRestart(t *testing.T) {
	server := scripteddiscovery.New(t)
	updates := startWatching(t, server, scriptedpeer.WaitTimeout)
	expectRequest(t, server, "1 7")
	server.Lines <- scripteddiscovery.Line(41, true)
	scriptedpeer.Receive(t, updates, "list before the restart")
	server.Lines <- scripteddiscovery.Line(3, true) // stale: the watch has already sent a later list
	server.Lines <- ""
	expectRequest(t, server, "1 41")
	server.Lines <- scripteddiscovery.Line(3, true, scripteddiscovery.Up("s-1", "127.0.0.1:1"))
	expectRequest(t, server, " ") // a request for the complete list
	server.Lines <- scripteddiscovery.Line(3, true, scripteddiscovery.Up("s-1", "127.0.0.1:1"))
	got := scriptedpeer.Receive(t, updates, "complete list after the restart")
	if got.Generation != 3 || !got.NewSource || !got.GenerationsReset || got.Kind != balancer.ListFull {
		t.Errorf("update %+v", got)
	}
	expectRequest(t, server, "1 3")
	server.Lines <- scripteddiscovery.Line(4, false)
	if got := scriptedpeer.Receive(t, updates, "next list after the restart"); got.Generation != 4 || got.NewSource {
		t.Errorf("update %+v", got)
	}
}

// Guards against a list without cells being taken for one in which all endpoints are in cell 0.
func TestCellOfListEntry(t *testing.T) {
	for text, want := range map[string]engine.EndpointInfo{
		`"cell":3`:    {Name: "s-1", Cell: 3, CellKnown: true},
		`"cell":0`:    {Name: "s-1", CellKnown: true},
		`"cell":null`: {Name: "s-1"},
		`"weight":0`:  {Name: "s-1"},
	} {
		var list discovery.List
		text = `{"instances":[{"instanceId":"s-1","lifecycle":"up",` + text + `}]}`
		require.NoError(t, json.Unmarshal([]byte(text), &list))
		if got := list.EndpointUpdate().Endpoints[0]; got != want {
			t.Errorf("%s: %+v, want %+v", text, got, want)
		}
	}
}

// A watcher that is to fetch the complete list first passes it on unless it is older than what is known, and then
// watches from there.
func TestFullListFirst(t *testing.T) {
	for generation, after := range map[int64]string{6: "1 7", 7: "1 7", 8: "1 8"} {
		server := scripteddiscovery.New(t)
		updates := make(chan engine.EndpointUpdate, 16)
		onUpdate := func(_ context.Context, update engine.EndpointUpdate) { updates <- update }
		watcher := discovery.NewWatcher(server.Addr, 7, 16, onUpdate, scriptedpeer.DiscardLog)
		watcher.FetchFullListFirst()
		source := discovery.NewContinuousSource(watcher)
		source.SetWatching(true)
		expectRequest(t, server, " ")
		server.Lines <- scripteddiscovery.Line(generation, true)
		expectRequest(t, server, after)
		source.Close()
		close(updates)
		update, passedOn := <-updates
		if passedOn != (generation >= 7) || update.NewSource || passedOn && update.Kind != balancer.ListFull {
			t.Errorf("generation %d: passed on %v: %+v", generation, passedOn, update)
		}
	}
}

// A first list that is older than requested does not reset the generations if the complete list is newer.
func TestOlderFirstListDoesNotResetGenerations(t *testing.T) {
	server := scripteddiscovery.New(t)
	updates := startWatching(t, server, scriptedpeer.WaitTimeout)
	scriptedpeer.Receive(t, server.Requests, "watch")
	server.Lines <- scripteddiscovery.Line(5, true) // the watch requested lists after generation 7
	expectRequest(t, server, " ")                   // a request for the complete list
	server.Lines <- scripteddiscovery.Line(8, true)
	if got := scriptedpeer.Receive(t, updates, "list"); got.Generation != 8 || got.NewSource {
		t.Errorf("update %+v", got)
	}
}
