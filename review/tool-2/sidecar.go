package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings returns the settings of a small deployment in the form of page WIRE, with changes by path.
func settings(changes map[string]any) map[string]any {
	tree := map[string]any{
		"areas": []string{"heredia"}, "skus": []string{"std-2c"}, "stages": []string{"agenda-api"},
		"classes": []map[string]any{
			{"name": "open-slots", "repeat": "pure", "group": "all", "window": 5000000, "target": 250000, "give-up": 500000,
				"credit": 2.0, "late-value": 0.0, "stream": false},
			{"name": "book", "repeat": "token", "group": "cell", "window": 400000, "target": 300000, "give-up": 600000,
				"credit": 5.0, "late-value": 0.0, "stream": false},
		},
		"contract": map[string]any{"answer-slack": 16000, "ask-within": 10000000, "cold-from": 0.14, "drain-grace": 250000,
			"fall-multiple": 2.5, "overload-for": 2000000, "ramp-time": 23000000},
		"discovery": "automatic", "kind-of-service": "mesh",
		"goal": map[string]any{"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.1},
		"limits": map[string]any{"cancel": true, "dial-timeout": 100000, "keepalive": 15000000, "max-retry-after": 400000,
			"may-tell": false, "most-held": 20000, "most-tries": 3, "multiplex": 1, "probes": false, "retry-after": true,
			"second-copies": true},
		"over-share-worth": 0.05, "peers-total": 3, "position": 0, "tick": 4000, "tier": 0, "value-by": "request",
		"weight-kind": "nominal", "zone": 0,
		"prices":    map[string]any{"cross-zone": 0.01, "late-fail": 0.03, "probe": 0.002, "waste": 0.1},
		"reporting": map[string]any{"how": "none"},
	}
	for path, value := range changes {
		node := tree
		keys := strings.Split(path, ".")
		for _, key := range keys[:len(keys)-1] {
			node = node[key].(map[string]any)
		}
		node[keys[len(keys)-1]] = value
	}
	return tree
}

// writeConfig writes the configuration of a sidecar in the form of page DEPLOY, and returns its path.
func (r *run) writeConfig(name, listen string, d *discovery, known []instance, settings map[string]any) string {
	config := map[string]any{
		"name": "n1", "listen": listen, "discovery": d.address, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings,
	}
	if known != nil {
		config["known"] = listMessage{Generation: 41, Reset: true, Instances: known}
	}
	var text bytes.Buffer
	if err := json.NewEncoder(&text).Encode(config); err != nil {
		panic(err)
	}
	return r.write(name, text.String())
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

// askUpgrade has an endpoint drain during each of several upgrades, at a site whose discovery is asked.
func askUpgrade(r *run) error {
	const upgrades = 5
	serve := func(string) reply { return reply{after: 5 * time.Millisecond, status: 200, body: "slots"} }
	var endpoints []*endpoint
	var nodes []instance
	for n := range upgrades + 2 {
		name := fmt.Sprintf("node-%d", n)
		e := r.newEndpoint(name, serve)
		endpoints = append(endpoints, e)
		nodes = append(nodes, instance{ID: name, Address: e.address, Zone: "heredia", Kind: "std-2c", Lifecycle: "up",
			Weight: 1})
	}
	d := r.newDiscovery(nodes...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	defer file.Close()
	address := listener.Addr().String()
	shared := r.path("tmp")
	if err := os.Mkdir(shared, 0o700); err != nil {
		return err
	}
	// A fleet of 300 sidecars is that of page STANDING.
	site := settings(map[string]any{"discovery": "subscribe", "peers-total": 300})
	start := func(n int) (*process, error) {
		name := fmt.Sprintf("process-%d", n)
		operator := freeAddress()
		p := r.launch(name, "exec bin/dunlinsail", []string{
			"ROUTER_CONFIG=" + r.writeConfig(name+".json", address, d, d.whole(), site),
			"ROUTER_INHERITED_FD=5", "TMPDIR=" + shared, "ROUTER_OPERATOR=" + operator,
		}, nil, nil, file)
		return p, r.awaitOperatorReady(operator, 6*time.Second)
	}
	serving, err := start(0)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for w := range 4 {
		clients.Go(func() { r.askSlots(address, w, stop) })
	}
	broken := 0
	for n := range upgrades {
		time.Sleep(7 * time.Second) // the serving process has asked discovery by then
		told := time.Now()
		if r.trouble {
			next, err := start(n + 1)
			if err != nil {
				return err
			}
			r.note("process-%d says yes", n+1)
			told = time.Now().Add(2 * time.Second) // what discovery has to tell counts as told by then
			old := serving
			serving = next
			old.signal(syscall.SIGTERM)
			time.AfterFunc(1300*time.Millisecond, func() { old.signal(syscall.SIGKILL) })
		}
		time.Sleep(100 * time.Millisecond)
		nodes[n].Lifecycle = "draining"
		d.set(nodes[n])
		if !r.trouble {
			told = time.Now()
		}
		time.Sleep(6 * time.Second)
		if r.checkDrained(endpoints[n], told) != nil {
			broken++
		}
	}
	close(stop)
	clients.Wait()
	r.note("%d of %d upgrades broke the rule", broken, upgrades)
	if broken > 0 {
		return fmt.Errorf("%w: in %d of %d upgrades requests were begun at a draining endpoint", errBroken, broken, upgrades)
	}
	return nil
}

// askSlots sends a request each 100 ms until stop is closed.
func (r *run) askSlots(address string, client int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		id := fmt.Sprintf("slots-%d-%d", client, n)
		r.ask(address, id, http.MethodGet, "/open-slots",
			"X-Trace-Id: "+id+"\r\nX-Qos: open-slots\r\nX-Expires-In-Ms: 500\r\n", "", time.Second)
	}
}
