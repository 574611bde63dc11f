package daemon

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunlinsail/internal/decide/rollout"
	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// What cannot be changed while serving is changed all the same, under load: nothing is lost, connections go on,
// a request that is open ends where it is, and what was learned is there.
func TestChangesUnderLoad(t *testing.T) {
	w := newWorld(t, 3, endpoint.Options{ServiceTime: map[string]time.Duration{"": 2 * time.Millisecond}, Spread: 0.5})
	was := w.config(t, "127.0.0.1:0", freeAddr(t))
	addr := was.Listeners[0].Address
	d := start(t, was)
	atRest, unix, inUse := dial(t, "tcp", addr), dial(t, "unix", d.addrs["local"]), dial(t, "tcp", addr)
	for _, k := range []*clientConn{atRest, unix} {
		if resp, _ := k.request(t, request("look", 900, "")); resp.StatusCode != 200 {
			t.Fatal(resp.Status)
		}
	}
	hold := make(chan struct{})
	var held atomic.Int32
	for _, e := range w.endpoints {
		e.SetFaults(func(r *http.Request) endpoint.Fault {
			if r.URL.Path == "/pay/1" {
				held.Add(1)
				<-hold
			}
			return endpoint.NoFault
		})
	}
	load := steadyClient(addr, 400, 2*time.Second, func(r client.Result) {
		if r.Verdict != client.Served {
			t.Errorf("%s %s: %v, %d, %v", r.Class, r.ID, r.Verdict, r.Status, r.Err)
		}
	})
	report := make(chan client.Report, 1)
	go func() { report <- load.Run(context.Background()) }()
	scriptedpeer.Eventually(t, "load", func() bool { return len(w.ledger.Runs()) > 100 })
	if _, err := io.WriteString(inUse, request("pay", 900, "x")); err != nil {
		t.Fatal(err)
	}
	scriptedpeer.Eventually(t, "an open request", func() bool { return held.Load() == 1 })
	more := "[[listener]]\nname = \"more\"\naddress = \"" + freeAddr(t) + "\"\nclient = \"desk\"\n[[client]]\nname = \"desk\"\n"
	var last *generation
	for i, edits := range [][]string{
		{"worth = 5.0", "worth = 4.0"},
		{"in_flight = 64", "in_flight = 48", "[[client]]\nname = \"desk\"\n", more},
		{"most = 3", "most = 2"},
		{`/takeover.sock"`, `/another.sock"`},
	} {
		g := d.changed(t, w.config(t, append(edits, "127.0.0.1:0", addr)...))
		if g == last || g == d.generation {
			t.Errorf("change %d: no generation of its own", i)
		}
		last = g
		if i == 1 {
			if resp, _ := dial(t, "tcp", g.addresses()["more"]).request(t, request("look", 900, "")); resp.StatusCode != 200 {
				t.Errorf("the new listener: %s", resp.Status)
			}
		}
	}
	close(hold)
	if resp, _ := inUse.answer(t); resp.StatusCode != 200 || resp.Close {
		t.Errorf("the request open at the changes: %s, close %v", resp.Status, resp.Close)
	}
	r := scriptedpeer.Receive(t, report, "report")
	if r.ByVerdict[client.Served] != r.Scheduled || r.Scheduled < 500 {
		t.Errorf("%d asked, %v", r.Scheduled, r.ByVerdict)
	}
	t.Logf("longest gap between answers %v, p99 %v", r.LongestGap, r.Quantile(0.99))
	checkRuns(t, w.ledger.Runs())
	for name, k := range map[string]*clientConn{"at rest": atRest, "unix": unix, "in use": inUse} {
		if resp, _ := k.request(t, request("look", 900, "")); resp.StatusCode != 200 {
			t.Errorf("the connection %s, four changes later: %s", name, resp.Status)
		}
	}
	if s := last.core.Snapshot().Pools[0]; len(s.Learned.Endpoints) != 3 || s.Learned.Endpoints[0].RTT.Samples < 2 {
		t.Errorf("what the last knows: %+v", s.Learned)
	}
	scriptedpeer.Eventually(t, "the ends of those before", func() bool {
		lives := make(chan int, 1)
		d.process.post(func() { lives <- d.process.running })
		return scriptedpeer.Receive(t, lives, "lives") == 1
	})
}

// A configuration that cannot be applied is refused with its reason, and what serves goes on as if nothing had been.
func TestGenerationThatFails(t *testing.T) {
	w := newWorld(t, 1, endpoint.Options{})
	addr := freeAddr(t)
	d := start(t, w.config(t, "127.0.0.1:0", addr))
	k := dial(t, "tcp", addr)
	silent := scripteddiscovery.New(t)
	for want, edits := range map[string][]string{
		"address already in use":     {"[[client]]\nname = \"desk\"", "[[listener]]\nname = \"more\"\naddress = \"" + w.discovery.Addr + "\"\nclient = \"desk\"\n[[client]]\nname = \"desk\""},
		"in time":                    {w.discovery.Addr, silent.Addr, "worth = 5.0", "worth = 4.0", `ready_within = "5s"`, `ready_within = "50ms"`},
		"access record: open /nowhe": {"[connections]", "[connections]\n[record]\ndir = \"" + w.dir + "/record\"\nsecret = \"/nowhere\"\n"},
	} {
		if want == "in time" { // it is the one that serves whose time counts
			d.changed(t, w.config(t, "127.0.0.1:0", addr, `ready_within = "5s"`, `ready_within = "50ms"`))
		}
		if s := d.change(t, w.config(t, append(edits, "127.0.0.1:0", addr)...)); s.Action != rollout.ActionNack || !strings.Contains(s.Reason, want) {
			t.Errorf("%s: %v, %q", want, s.Action, s.Reason)
		}
		d.stillServes(t, k)
	}
}

// The process is told to stop while a generation takes over that is not ready yet, and another process asks to:
// the one is answered, the other turned away, and the end is in order.
func TestStopWhileChanging(t *testing.T) {
	w := newWorld(t, 1, endpoint.Options{})
	addr := freeAddr(t)
	d := start(t, w.config(t, "127.0.0.1:0", addr))
	hold, taken := make(chan struct{}), make(chan struct{}, 1)
	w.endpoints[0].SetFaults(func(*http.Request) endpoint.Fault { taken <- struct{}{}; <-hold; return endpoint.NoFault })
	k := dial(t, "tcp", addr)
	if _, err := io.WriteString(k, request("pay", 5000, "")); err != nil {
		t.Fatal(err)
	}
	scriptedpeer.Receive(t, taken, "attempt")
	silent := scripteddiscovery.New(t)
	d.reload <- nil
	d.next <- w.config(t, "127.0.0.1:0", addr, w.discovery.Addr, silent.Addr, "worth = 5.0", "worth = 4.0")
	scriptedpeer.Receive(t, silent.Requests, "the new generation")
	ctx, cancel := context.WithTimeout(context.Background(), scriptedpeer.WaitTimeout)
	defer cancel()
	if err := Run(ctx, Options{Config: w.config(t, "127.0.0.1:0", addr), Log: testLog(), Seed: 2}); err == nil || !strings.Contains(err.Error(), "another takeover is under way") {
		t.Errorf("another process: %v", err)
	}
	d.stop()
	close(hold)
	if resp, _ := k.answer(t); resp.StatusCode != 200 {
		t.Errorf("the request that was open: %s", resp.Status)
	}
	k.SetReadDeadline(time.Now().Add(scriptedpeer.WaitTimeout))
	if _, err := k.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("its connection: %v, want it closed", err)
	}
	if err := scriptedpeer.Receive(t, d.ended, "end"); err != nil {
		t.Error(err)
	}
}
