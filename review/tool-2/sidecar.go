package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// settingsFormat has the settings of a small deployment in the form of page WIRE.
const settingsFormat = `{"areas":["heredia"],"skus":["std-2c"],"stages":["agenda-api"],"classes":[
{"name":"open-slots","repeat":"pure","group":"all","window":5000000,"target":250000,"give-up":500000,"credit":2.0,
"late-value":0.0,"stream":false},
{"name":"book","repeat":"token","group":"cell","window":400000,"target":300000,"give-up":600000,"credit":5.0,
"late-value":0.0,"stream":false}],
"contract":{"answer-slack":16000,"ask-within":10000000,"cold-from":0.14,"drain-grace":250000,"fall-multiple":2.5,
"overload-for":2000000,"ramp-time":23000000},
"discovery":%q,"kind-of-service":"mesh",
"goal":{"whole":0.6,"worst-class":0.2,"worst-tenant":0.1,"worst-window":0.1},
"limits":{"cancel":true,"dial-timeout":100000,"keepalive":15000000,"max-retry-after":400000,"may-tell":false,
"most-held":20000,"most-tries":3,"multiplex":1,"probes":false,"retry-after":true,"second-copies":true},
"over-share-worth":0.05,"peers-total":%d,"position":%d,"tick":4000,"tier":0,"value-by":"request",
"weight-kind":"nominal","zone":0,
"prices":{"cross-zone":0.01,"late-fail":0.03,"probe":0.002,"waste":0.1},"reporting":{"how":"none"}}`

// settings returns the settings of a small deployment, but for discovery and the size of the fleet.
func settings(discovery string, sidecars, position int) string {
	return fmt.Sprintf(settingsFormat, discovery, sidecars, position)
}

// writeConfig writes the configuration of a sidecar in the form of page DEPLOY, and returns its path.
func (r *run) writeConfig(name, listen string, d *discovery, known []instance, settings string) string {
	return r.write(name, fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"%016x",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		listen, d.address, time.Now().UnixNano(), listMessage(41, true, known), settings))
}

// awaitOperatorReady waits until GET /ready at an operator's address answers 2xx.
func (r *run) awaitOperatorReady(address string, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + address + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode/100 == 2 {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %v", address, timeout)
}

func init() { cases["ask-upgrade"] = askUpgrade }

// askUpgrade upgrades sixteen sidecars of a fleet at a site whose discovery is asked, and has an endpoint drain then.
func askUpgrade(r *run) error {
	const sidecars = 16
	serve := func(string) reply { return reply{after: 5 * time.Millisecond, status: 200, body: "slots"} }
	var endpoints []*endpoint
	var nodes []instance
	for n := range 3 {
		name := fmt.Sprintf("node-%d", n)
		e := r.newEndpoint(name, serve)
		endpoints = append(endpoints, e)
		nodes = append(nodes, instance{ID: name, Address: e.address, Lifecycle: "up"})
	}
	d := r.newDiscovery(nodes...)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var fleet []*upgradable
	for n := range sidecars {
		u, err := r.newUpgradable(n, d)
		if err != nil {
			return err
		}
		defer u.listener.Close()
		fleet = append(fleet, u)
		clients.Go(func() { r.askSlots(u.listener.Addr().String(), n, stop) })
	}
	time.Sleep(7 * time.Second) // all have asked discovery by then
	told := time.Now()
	if r.trouble {
		for _, u := range fleet {
			old := u.serving
			if err := r.startNext(u); err != nil {
				return err
			}
			old.signal(syscall.SIGTERM)
			time.AfterFunc(1300*time.Millisecond, func() { old.signal(syscall.SIGKILL) })
		}
		told = time.Now().Add(2 * time.Second) // what discovery has to tell counts as told by then
	}
	time.Sleep(100 * time.Millisecond)
	drained := nodes[1]
	drained.Lifecycle = "draining"
	d.set(drained)
	if !r.trouble {
		told = time.Now()
	}
	time.Sleep(7 * time.Second)
	close(stop)
	clients.Wait()
	return r.checkDrained(endpoints[1], told)
}

// upgradable is a sidecar whose listening socket the platform holds.
type upgradable struct {
	name     string
	position int
	starts   int
	listener net.Listener
	socket   *os.File
	shared   string // TMPDIR
	source   *discovery
	serving  *process
}

// newUpgradable starts a sidecar that can be upgraded.
func (r *run) newUpgradable(position int, d *discovery) (*upgradable, error) {
	u := &upgradable{name: fmt.Sprintf("n%d", position), position: position, source: d}
	u.shared = r.path("tmp-" + u.name)
	if err := os.Mkdir(u.shared, 0o700); err != nil {
		return nil, err
	}
	var err error
	if u.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if u.socket, err = u.listener.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	return u, r.startNext(u)
}

// startNext starts the first or the next process of a sidecar, and waits until it says yes to the operator.
func (r *run) startNext(u *upgradable) error {
	u.starts++
	name := fmt.Sprintf("%s-%d", u.name, u.starts)
	operator := freeAddress()
	// A fleet of 300 sidecars is that of page STANDING.
	site := settings("subscribe", 300, u.position)
	config := r.writeConfig(name+".json", u.listener.Addr().String(), u.source, u.source.whole(), site)
	u.serving = r.launch(name, "exec bin/dunlinsail", []string{"ROUTER_CONFIG=" + config, "ROUTER_INHERITED_FD=5",
		"TMPDIR=" + u.shared, "ROUTER_OPERATOR=" + operator}, nil, nil, u.socket)
	if err := r.awaitOperatorReady(operator, 6*time.Second); err != nil {
		return err
	}
	r.note("%s says yes", name)
	return nil
}

// askSlots sends a request each 200 ms until stop is closed.
func (r *run) askSlots(address string, client int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		id := fmt.Sprintf("slots-%d-%d", client, n)
		r.ask(address, id, http.MethodGet, "/open-slots",
			idField+id+"\r\nX-Qos: open-slots\r\nX-Expires-In-Ms: 500\r\n", "", time.Second)
	}
}
