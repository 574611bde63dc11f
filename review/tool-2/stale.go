package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["cordon-upgrade"] = cordonUpgrade
	cases["pool-replaced"] = poolReplaced
}

// drainSlack is the time after word of a drain within which new work may still reach an endpoint: the grace, and the
// 50 ms by which each limit is longer on sockets.
const drainSlack = 300 * time.Millisecond

// askMany sends requests at the same time, and returns a function that waits for their answers.
func (r *run) askMany(address string, requests int, method, path, header string, wait time.Duration) func() []answered {
	results := make([]answered, requests)
	var clients sync.WaitGroup
	for i := range results {
		clients.Go(func() {
			id := fmt.Sprintf("request-%d", i)
			results[i] = r.ask(address, id, method, path, idField+id+"\r\n"+header, "", wait)
		})
		time.Sleep(5 * time.Millisecond)
	}
	return func() []answered {
		clients.Wait()
		return results
	}
}

// checkDrained returns errBroken if an endpoint has begun a request later than drainSlack after told.
func (r *run) checkDrained(e *endpoint, told time.Time) error {
	late := e.begunAfter(told.Add(drainSlack))
	for _, a := range late {
		r.note("%s was begun at %s %.3f s after the word", a.id, e.name, a.at.Sub(told).Seconds())
	}
	if len(late) > 0 {
		return fmt.Errorf("%w: %d requests were begun at %s more than %v after the word", errBroken, len(late), e.name,
			drainSlack)
	}
	return nil
}

// cordonUpgrade has an operator take out an endpoint at a new process, while the old one still has requests queued.
func cordonUpgrade(r *run) error {
	serve := func(string) reply { return reply{after: 1500 * time.Millisecond, status: 200, body: "slots"} }
	a, b := r.newEndpoint("a", serve), r.newEndpoint("b", serve)
	d := r.newDiscovery(
		instance{ID: "node-a", Address: a.address, Lifecycle: "up"},
		instance{ID: "node-b", Address: b.address, Lifecycle: "up"})
	address, operators := freeAddress(), freeAddress()
	config := r.write("dunlinsaild.toml", fmt.Sprintf(`[discovery]
address = %q
[takeover]
socket = %q
drain_within = "10s"
[operators]
address = %q
[requests]
in_flight = 4
[[listener]]
name = "desk"
address = %q
client = "desk"
[[client]]
name = "desk"
[fleet]
zone = "heredia"
zones = ["heredia"]
machines = ["std-2c"]
[[class]]
name = "report"
repeat = "safe"
aim = "8s"
give_up = "8s"
`, d.address, r.path("takeover.sock"), operators, address))
	old := r.daemon("old", config)
	if err := r.awaitReady(address, 10*time.Second); err != nil {
		return err
	}
	wait := r.askMany(address, 12, http.MethodGet, "/report", "X-Qos: report\r\nX-Expires-In-Ms: 8000\r\n", 9*time.Second)
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		next := r.daemon("new", config)
		if err := next.awaitLog("msg=serving", 5*time.Second); err != nil {
			return err
		}
		old.signal(syscall.SIGTERM)
		time.AfterFunc(3700*time.Millisecond, func() { old.signal(syscall.SIGKILL) })
	}
	time.Sleep(200 * time.Millisecond)
	status, err := r.disable(operators, "node-b")
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("the operator's call: %d, %v", status, err)
	}
	told := time.Now()
	wait()
	return r.checkDrained(b, told)
}

// poolReplaced has an endpoint drain soon after a new configuration, while requests are queued.
func poolReplaced(r *run) error {
	serve := func(string) reply { return reply{after: 1500 * time.Millisecond, status: 200, body: "slots"} }
	a, b := r.newEndpoint("a", serve), r.newEndpoint("b", serve)
	nodeB := instance{ID: "node-b", Address: b.address, Lifecycle: "up"}
	d := r.newDiscovery(
		instance{ID: "node-a", Address: a.address, Lifecycle: "up"}, nodeB)
	address := freeAddress()
	text := func(retryBudget string) string {
		return fmt.Sprintf(`[requests]
in_flight = 4
[[listener]]
address = %q
[[class]]
name = "read"
repeat = "safe"
aim = "8s"
give_up = "8s"
[[class]]
name = "write"
repeat = "unsafe"
aim = "8s"
give_up = "8s"
[[pool]]
name = "agenda"
discovery = %q
retry_budget = %s
[[route]]
pool = "agenda"
id = "header:X-Trace-Id"
[fleet]
zone = "heredia"
zones = ["heredia"]
machines = ["std-2c"]
`, address, d.address, retryBudget)
	}
	config := r.write("dunlinsaild.toml", text("0.1"))
	daemon := r.daemon("daemon", config)
	if err := r.awaitReady(address, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(time.Second) // no SIGHUP comes in the first second
	wait := r.askMany(address, 12, http.MethodGet, "/report", "", 9*time.Second)
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		r.write("dunlinsaild.toml", text("0.2"))
		daemon.signal(hangup)
	}
	time.Sleep(700 * time.Millisecond)
	nodeB.Lifecycle = "draining"
	d.set(nodeB)
	told := time.Now()
	wait()
	return r.checkDrained(b, told)
}

// hangup has a program read its configuration again.
const hangup = syscall.SIGHUP
