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
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// daemonProcess is a running daemon, with the addresses in its configuration.
type daemonProcess struct {
	cmd                                        *exec.Cmd
	gossipAddress, adminAddress, clientAddress string
}

// twoFleets holds the daemons a and b of one fleet and c and d of another. All four daemons have the same list of
// addresses to join. The first daemon of each fleet is the only candidate for the quota allocator of its fleet.
type twoFleets struct {
	processes map[string]*daemonProcess
}

// daemonNames are the names of the daemons of twoFleets: the first two form one fleet, the last two the other.
var daemonNames = []string{"a", "b", "c", "d"}

// allocatorOf returns the name of the quota allocator in the fleet of daemonNames[i].
func allocatorOf(i int) string { return daemonNames[i/2*2] }

// startTwoFleets starts the four daemons and one endpoint, and waits until each daemon serves. All are stopped at
// the end of the test.
func startTwoFleets(t *testing.T) *twoFleets {
	t.Helper()
	server, err := endpoint.Start(endpoint.Options{Name: "s-1"})
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	discoveryServer, err := discoveryserver.Start(scripteddiscovery.Up("s-1", server.Addr))
	require.NoError(t, err)
	t.Cleanup(func() { discoveryServer.Close() })
	f := &twoFleets{processes: map[string]*daemonProcess{}}
	var joinAddresses []string
	for _, name := range daemonNames {
		p := &daemonProcess{
			gossipAddress: scriptedpeer.ClosedAddress(t),
			adminAddress:  scriptedpeer.ClosedAddress(t),
		}
		f.processes[name] = p
		joinAddresses = append(joinAddresses, fmt.Sprintf("%q", p.gossipAddress))
	}
	for i, name := range daemonNames {
		p := f.processes[name]
		configText := strings.Replace(daemonConfig(t, discoveryServer.Addr, t.TempDir()), "[discovery]",
			fmt.Sprintf(`[peers]
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
[discovery]`, i/2, p.gossipAddress, strings.Join(joinAddresses, ", "), allocatorOf(i), p.adminAddress), 1)
		p.clientAddress = deskAddress(configText)
		p.start(t, name, "name = \""+name+"\"\n"+configText)
	}
	return f
}

// start starts a daemon with the given configuration text and waits until it serves. The process is killed at the
// end of the test.
func (p *daemonProcess) start(t *testing.T, name, configText string) {
	t.Helper()
	p.cmd = programCommand("--config", writeConfig(t, configText), "--announce")
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		_ = p.cmd.Wait() // an error, because the process was killed
	})
	if line, err := bufio.NewReader(out).ReadString('\n'); err != nil || line != "serving\n" {
		t.Fatalf("start of %s: printed %q, %v", name, line, err)
	}
}

// view returns a daemon's view of its fleet, as the command members prints it in JSON.
func (f *twoFleets) view(t *testing.T, name string) (view daemon.View) {
	t.Helper()
	code, out, stderr := runToEnd(t, "members", "--at", f.processes[name].adminAddress, "--json")
	if code != 0 || json.Unmarshal([]byte(out), &view) != nil {
		t.Fatalf("members of %s: code %d, output %q, errors %q", name, code, out, stderr)
	}
	return view
}

// aliveMembers returns the concatenated names of the members that a daemon sees alive.
func (f *twoFleets) aliveMembers(t *testing.T, name string) (names string) {
	t.Helper()
	for _, member := range f.view(t, name).Members {
		if member.Alive {
			names += member.Name
		}
	}
	return names
}

// awaitLeases waits until each daemon has a lease from the allocator of its own fleet, and checks that it sees only
// members of that fleet.
func (f *twoFleets) awaitLeases(t *testing.T) {
	t.Helper()
	for i, name := range daemonNames {
		scriptedpeer.Eventually(t, name+" has a lease", func() bool {
			fleetView := f.view(t, name).Fleet
			leased := fleetView.Allocator == allocatorOf(i) && fleetView.LeaseRemaining > 0
			return leased && len(fleetView.Budgets) == 1 && fleetView.Budgets[0].Allowed > 2
		})
		if alive := f.aliveMembers(t, name); alive != "ab" && alive != "cd" || !strings.Contains(alive, name) {
			t.Errorf("%s sees the members %q alive", name, alive)
		}
	}
}

// overload sends a daemon many more requests of one tenant than its limit allows, and returns the number of
// admitted requests. Each other request must be rejected with a Retry-After header.
func (p *daemonProcess) overload(t *testing.T, name string) (admitted int) {
	t.Helper()
	for i := range 60 {
		req, err := http.NewRequest(http.MethodGet, "http://"+p.clientAddress+"/look/x", nil)
		require.NoError(t, err)
		req.Header.Set("X-Trace-Id", fmt.Sprintf("%s-%d", name, i))
		req.Header.Set("X-Customer", "t")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		switch {
		case resp.StatusCode == http.StatusOK:
			admitted++
		case resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "":
			t.Fatalf("status %d, headers %v", resp.StatusCode, resp.Header)
		}
	}
	return admitted
}

// hasMetric reports whether a daemon's metrics contain the given line.
func (p *daemonProcess) hasMetric(t *testing.T, line string) bool {
	t.Helper()
	resp, err := http.Get("http://" + p.adminAddress + "/metrics")
	if err != nil {
		t.Error(err)
		return false
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if lines.Text() == line {
			return true
		}
	}
	return false
}

// Two fleets on one machine whose configurations list each other's addresses stay separate: each allocates its own
// quota. A member that is killed is no longer seen alive. The command members prints the allocator and the leases.
func TestFleets(t *testing.T) {
	f := startTwoFleets(t)
	f.awaitLeases(t)
	code, out, _ := runToEnd(t, "members", "--at", f.processes["a"].adminAddress)
	if code != 0 || !strings.Contains(out, "a lends") || !strings.Contains(out, "tenant/t") ||
		!strings.Contains(out, "It has lent") {
		t.Errorf("members: code %d, output %q", code, out)
	}
	// Send far more requests at once than the limits allow: each fleet admits requests up to its own quota and
	// rejects the others with Retry-After.
	admitted := map[int]int{}
	for i, name := range daemonNames {
		admitted[i/2] += f.processes[name].overload(t, name)
	}
	for i := range 2 {
		if admitted[i] < 10 {
			t.Errorf("fleet %d admitted %d requests", i, admitted[i])
		}
	}
	if !f.processes["b"].hasMetric(t, "peers_lent=1") {
		t.Error("the metrics of b do not report its lease")
	}
	f.processes["b"].cmd.Process.Kill()
	scriptedpeer.Eventually(t, "a sees only itself alive after b was killed",
		func() bool { return f.aliveMembers(t, "a") == "a" })
	if code, _, stderr := runToEnd(t, "members", "--at", scriptedpeer.ClosedAddress(t)); code != 1 || stderr == "" {
		t.Errorf("members without a daemon: code %d, errors %q", code, stderr)
	}
}
