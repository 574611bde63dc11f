package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"testing"

	"dunlinsail/internal/daemon"
	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// daemonProcess is the process of a daemon, with the addresses in its file.
type daemonProcess struct {
	cmd                                        *exec.Cmd
	gossipAddress, adminAddress, clientAddress string
}

// Two fleets on one machine whose files name each other's addresses stay separate: each allocates its own quota. A
// member that is killed is seen to be gone, and the command members prints all of it.
func TestFleets(t *testing.T) {
	e, err := endpoint.Start(endpoint.Options{Name: "s-1"})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	r, err := discoveryserver.Start(scripteddiscovery.Up("s-1", e.Addr))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	all := map[string]*daemonProcess{}
	var join []string
	names := []string{"a", "b", "c", "d"}
	for _, name := range names {
		all[name] = &daemonProcess{
			gossipAddress: scriptedpeer.ClosedAddress(t),
			adminAddress:  scriptedpeer.ClosedAddress(t),
			clientAddress: scriptedpeer.ClosedAddress(t),
		}
		join = append(join, fmt.Sprintf("%q", all[name].gossipAddress))
	}
	for i, name := range names {
		o, lender := all[name], names[i/2*2]
		text := strings.Replace(file(t, r.Addr, t.TempDir()), "[discovery]", fmt.Sprintf(`[peers]
on = true
fleet = "fleet-%d"
address = %q
join = [%s]
lenders = [%q]
lends = ["tenants", "suspects"]
[operators]
address = %q
[fleet]
instances = 2
[[tenant]]
name = "t"
limit = 40.0
[discovery]`, i/2, o.gossipAddress, strings.Join(join, ", "), lender, o.adminAddress), 1)
		at := deskAddress(text)
		o.clientAddress = at
		text = "name = \"" + name + "\"\n" + text
		o.cmd = program("--config", write(t, text), "--announce")
		out, err := o.cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := o.cmd.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() {
			o.cmd.Process.Kill()
			_ = o.cmd.Wait() // killed
		}()
		if line, err := bufio.NewReader(out).ReadString('\n'); err != nil || line != "serving\n" {
			t.Fatalf("%s: %q, %v", name, line, err)
		}
	}
	view := func(name string) (v daemon.View) {
		code, out, stderr := ends(t, "members", "--at", all[name].adminAddress, "--json")
		if code != 0 || json.Unmarshal([]byte(out), &v) != nil {
			t.Fatalf("members of %s: %d %q %q", name, code, out, stderr)
		}
		return v
	}
	alive := func(name string) (s string) {
		for _, m := range view(name).Members {
			if m.Alive {
				s += m.Name
			}
		}
		return s
	}
	for i, name := range names {
		lender := names[i/2*2]
		scriptedpeer.Eventually(t, name+" is lent nothing", func() bool {
			f := view(name).Fleet
			return f.Allocator == lender && f.LeaseRemaining > 0 && len(f.Budgets) == 1 && f.Budgets[0].Allowed > 2
		})
		if s := alive(name); s != "ab" && s != "cd" || !strings.Contains(s, name) {
			t.Errorf("%s sees %q", name, s)
		}
	}
	code, out, _ := ends(t, "members", "--at", all["a"].adminAddress)
	if code != 0 || !strings.Contains(out, "a lends") || !strings.Contains(out, "tenant/t") ||
		!strings.Contains(out, "It has lent") {
		t.Errorf("%d %q", code, out)
	}
	// Far more requests than the limits at once: each fleet admits its own quota, and rejects the others with
	// Retry-After.
	admitted := map[int]int{}
	for i, name := range names {
		for k := range 60 {
			q, _ := http.NewRequest(http.MethodGet, "http://"+all[name].clientAddress+"/look/x", nil)
			q.Header.Set("X-Trace-Id", fmt.Sprintf("%s-%d", name, k))
			q.Header.Set("X-Customer", "t")
			resp, err := http.DefaultClient.Do(q)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			switch {
			case resp.StatusCode == http.StatusOK:
				admitted[i/2]++
			case resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "":
				t.Fatalf("%d %v", resp.StatusCode, resp.Header)
			}
		}
	}
	for i := range 2 {
		if admitted[i] < 10 {
			t.Errorf("fleet %d lets in %d", i, admitted[i])
		}
	}
	if resp, err := http.Get("http://" + all["b"].adminAddress + "/metrics"); err != nil {
		t.Error(err)
	} else {
		lines := bufio.NewScanner(resp.Body)
		found := false
		for lines.Scan() {
			found = found || lines.Text() == "peers_lent=1"
		}
		resp.Body.Close()
		if !found {
			t.Error("its figures do not say that it has a loan")
		}
	}
	all["b"].cmd.Process.Kill()
	scriptedpeer.Eventually(t, "nobody sees that b is gone", func() bool { return alive("a") == "a" })
	if code, _, stderr := ends(t, "members", "--at", scriptedpeer.ClosedAddress(t)); code != 1 || stderr == "" {
		t.Errorf("nobody there: %d %q", code, stderr)
	}
}
