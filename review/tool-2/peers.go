package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// reply is what an endpoint answers to a request, after a time.
type reply struct {
	after  time.Duration
	status int
	header map[string]string
	body   string
}

// arrival is a request that an endpoint has begun.
type arrival struct {
	id string
	at time.Time
}

// idField is the start of the field that carries the id of a request.
const idField = "X-Trace-Id: "

// endpoint is a stand-in for an endpoint, as PROTOCOL describes it: it begins a request when its last byte has come.
type endpoint struct {
	name, address string
	run           *run
	answer        func(id string) reply
	server        *http.Server

	mu       sync.Mutex
	arrivals []arrival
}

func (r *run) newEndpoint(name string, answer func(id string) reply) *endpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	e := &endpoint{name: name, address: listener.Addr().String(), run: r, answer: answer}
	e.server = &http.Server{Handler: e}
	go e.server.Serve(listener)
	return e
}

// ServeHTTP answers a request.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if strings.HasPrefix(req.URL.Path, "/-/") {
		w.WriteHeader(http.StatusOK)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	id := req.Header.Get(strings.TrimSuffix(idField, ": "))
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{id, time.Now()})
	e.mu.Unlock()
	e.run.note("%s begins %s %s %s", e.name, id, req.Method, req.URL.Path)
	a := e.answer(id)
	time.Sleep(a.after)
	for name, value := range a.header {
		w.Header().Set(name, value)
	}
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, a.body)
	e.run.note("%s answers %s with %d", e.name, id, a.status)
}

// begunAfter returns the requests that the endpoint has begun later than an instant.
func (e *endpoint) begunAfter(t time.Time) (late []arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}

// answered is what a client got for a request.
type answered struct {
	id     string
	status int // 0 if the connection ended, or the time was over, with no whole answer
	body   string
	err    error
	sentAt time.Time
	took   time.Duration
}

// ask sends a request on a connection of its own, and waits for the answer for at most wait.
func (r *run) ask(address, id, method, path, header, body string, wait time.Duration) answered {
	result := answered{id: id, sentAt: time.Now()}
	defer func() { result.took = time.Since(result.sentAt) }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		result.err = err
		return result
	}
	defer conn.Close()
	text := method + " " + path + " HTTP/1.1\r\nHost: origin.svc\r\n" + header
	if method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	result.sentAt = time.Now()
	_ = conn.SetDeadline(result.sentAt.Add(wait))
	if _, err := io.WriteString(conn, text+"\r\n"+body); err != nil {
		result.err = err
		return result
	}
	r.note("client sends %s %s %s", id, method, path)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err == nil {
		var content []byte
		content, err = io.ReadAll(response.Body)
		result.body = string(content)
	}
	if result.err = err; err == nil {
		result.status = response.StatusCode
	}
	r.note("client has for %s after %.3f s: status %d, error %v, body %q", id, time.Since(result.sentAt).Seconds(),
		result.status, result.err, result.body)
	return result
}

// awaitReady waits until GET /-/ready answers 200.
func (r *run) awaitReady(address string, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s/-/ready", address))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %v", address, timeout)
}

// disable makes the operator's call that takes an endpoint out, and returns its status.
func (r *run) disable(address, target string) (int, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(fmt.Sprintf("http://%s/endpoints/disable", address), "application/json",
		strings.NewReader(`{"target":"`+target+`"}`))
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	r.note("the operator takes %s out: %d", target, response.StatusCode)
	return response.StatusCode, nil
}

// instance is an entry of discovery's list.
type instance struct {
	ID        string
	Address   string
	Lifecycle string
}

// entryFormat is the form of an entry on page PROTOCOL.
const entryFormat = `{"instanceId":%q,"hostPort":%q,"zone":"heredia","machineType":"std-2c","cell":0,"lifecycle":%q,` +
	`"weight":1.0,"startedAtMs":0}`

// listMessage returns a list in the form of page PROTOCOL, in one line.
func listMessage(generation int, reset bool, instances []instance) string {
	var entries []string
	for _, i := range instances {
		entries = append(entries, fmt.Sprintf(entryFormat, i.ID, i.Address, i.Lifecycle))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`+"\n", generation, reset, strings.Join(entries, ","))
}

// discovery is a stand-in for discovery, as PROTOCOL describes it.
type discovery struct {
	address string
	run     *run

	mu         sync.Mutex
	generation int
	list       map[string]instance
	changed    map[string]int // generation of the last change, by ID
	watches    map[chan struct{}]bool
}

func (r *run) newDiscovery(instances ...instance) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d := &discovery{address: listener.Addr().String(), run: r, generation: 40, list: map[string]instance{},
		changed: map[string]int{}, watches: map[chan struct{}]bool{}}
	for _, i := range instances {
		d.generation++
		d.list[i.ID], d.changed[i.ID] = i, d.generation
	}
	go (&http.Server{Handler: d}).Serve(listener)
	return d
}

// set adds or changes an entry, and tells it to all watches.
func (d *discovery) set(i instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.list[i.ID], d.changed[i.ID] = i, d.generation
	d.run.note("discovery: generation %d, %s is %s", d.generation, i.ID, i.Lifecycle)
	for watch := range d.watches {
		select {
		case watch <- struct{}{}:
		default:
		}
	}
}

// whole returns all entries.
func (d *discovery) whole() []instance {
	_, instances := d.since(-1)
	return instances
}

// since returns the generation and the entries that changed after a generation; after a negative one the whole list.
func (d *discovery) since(after int) (generation int, instances []instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, i := range d.list {
		if d.changed[id] > after {
			instances = append(instances, i)
		}
	}
	return d.generation, instances
}

// ServeHTTP answers a call for the list, or keeps a watch open.
func (d *discovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Query().Get("watch") == "" {
		generation, instances := d.since(-1)
		_, _ = io.WriteString(w, listMessage(generation, true, instances))
		return
	}
	after := -1
	_, _ = fmt.Sscan(req.URL.Query().Get("after"), &after)
	changes := make(chan struct{}, 1)
	d.mu.Lock()
	d.watches[changes] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, changes)
		d.mu.Unlock()
	}()
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	for {
		if generation, instances := d.since(after); len(instances) > 0 {
			if _, err := io.WriteString(w, listMessage(generation, after < 0, instances)); err != nil {
				return
			}
			after = generation
			flusher.Flush()
		}
		select {
		case <-changes:
		case <-time.After(2 * time.Second):
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
			flusher.Flush()
		case <-req.Context().Done():
			return
		}
	}
}
