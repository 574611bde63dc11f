package sidecar

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"cottonpond/balancer"
)

// List is discovery's form of the list of endpoints, or of what changed in it.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the whole list
	Instances  []Instance `json:"instances"`
}

// Instance is an entry of a List.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      uint16  `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float32 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// states gives the meaning of a lifecycle. What an unlisted word means is not known: nothing new goes there.
var states = map[string]balancer.State{
	"up": balancer.Ready, "draining": balancer.Draining, "removed": balancer.Gone}

const (
	muteAfter = 7 * time.Second // an idle watch says something every 2 s
	waitLeast = 100 * time.Millisecond
	waitMost  = 2 * time.Second
	lineMost  = 16 << 20
)

// watcher holds a watch at discovery and tells the loop of each line.
type watcher struct {
	addr   string
	client *http.Client
	after  int64 // generation of the latest list
	mute   time.Duration
	tell   func(List)
	log    *slog.Logger
}

func newWatcher(addr string, after int64, tell func(List), log *slog.Logger) *watcher {
	return &watcher{addr: addr, after: after, mute: muteAfter, tell: tell, log: log,
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: waitMost}).DialContext, DisableKeepAlives: true, DisableCompression: true,
		}}}
}

// keep watches until ctx ends. A watch that breaks or falls mute is asked for again, from the latest
// generation on, later each time and never in step with other sidecars.
func (w *watcher) keep(ctx context.Context) {
	wait := waitLeast
	for ctx.Err() == nil {
		heard, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if heard {
			wait = waitLeast
		}
		if wait == waitLeast { // one line for an outage, not one for each try
			w.log.Warn("discovery watch ended, asking again", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, waitMost)
	}
}

// once holds one watch, for a balancer that asks for each.
func (w *watcher) once(ctx context.Context) {
	if _, err := w.watch(ctx); ctx.Err() == nil {
		w.log.Warn("discovery watch ended", "error", err)
	}
}

// watch holds one watch until it ends, and says whether it brought a list.
func (w *watcher) watch(ctx context.Context) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A machine that is cut off leaves the connection open and silent, so our own clock ends it.
	mute := time.AfterFunc(w.mute, func() { cancel(errors.New("mute")) })
	defer mute.Stop()
	url := "http://" + w.addr + "/api/targets?watch=1&after=" + strconv.FormatInt(w.after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return false, cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery answered %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, lineMost)
	for lines.Scan() {
		mute.Reset(w.mute)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		var l List
		if err := json.Unmarshal(line, &l); err != nil {
			// What it changed is not known: the next watch tells it again.
			return heard, fmt.Errorf("malformed line: %w", err)
		}
		if l.Generation < w.after {
			// What is older than our list would bring back endpoints that we know to be draining.
			w.log.Warn("stale list passed over", "generation", l.Generation, "have", w.after)
			continue
		}
		w.after, heard = l.Generation, true
		w.tell(l)
	}
	if err := lines.Err(); err != nil {
		return heard, cmp.Or(context.Cause(ctx), err)
	}
	return heard, io.ErrUnexpectedEOF
}
