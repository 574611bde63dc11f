// Package discovery is a source of membership: it holds a watch at a discovery service as PROTOCOL describes it
// and tells the lists that come. It knows nothing of what is done with them.
package discovery

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
	"sync"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
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

// Told returns the list as the core takes it.
func (l *List) Told() engine.Told {
	t := engine.Told{Kind: balancer.ListDelta, Generation: l.Generation, Members: l.members()}
	if l.Reset {
		t.Kind = balancer.ListFull
	}
	return t
}

// members returns the list's entries as the core takes them.
func (l *List) members() []engine.Member {
	all := make([]engine.Member, 0, len(l.Instances))
	for _, in := range l.Instances {
		state, known := states[in.Lifecycle]
		if !known {
			state = balancer.Draining
		}
		all = append(all, engine.Member{Name: in.ID, Addr: in.Addr, Zone: in.Zone, Kind: in.Kind, Cell: in.Cell,
			State: state, Weight: in.Weight, Started: in.StartedMs * 1000})
	}
	return all
}

// states gives the meaning of a lifecycle. What an unlisted word means is not known: nothing new goes there.
var states = map[string]balancer.State{
	"up": balancer.Ready, "draining": balancer.Draining, "removed": balancer.Gone}

const (
	muteAfter = 4 * time.Second // an idle watch says something every 2 s
	waitLeast = 100 * time.Millisecond
	waitMost  = time.Second
	lineShare = 16 // of the memory, a line of discovery's may take one part in so many
)

// Unlisted is the generation of a watcher that holds no list of its discovery yet.
const Unlisted = -1

// Teller is told of each list. What it is told when the context has ended comes too late.
type Teller func(ctx context.Context, t engine.Told)

// Watcher holds a watch at one discovery and tells of each line.
type Watcher struct {
	Mute time.Duration // a watch that says nothing for so long is asked for again
	// Asked is told of each call and what came of it; nil is nobody.
	Asked func(err error)

	addr     string
	client   *http.Client
	after    int64 // generation of the latest list of this discovery, or Unlisted
	lineMost int
	tell     Teller
	log      *slog.Logger
}

// NewWatcher returns a watcher of the discovery at addr, whose list after that generation it is to tell, from a
// program of so much memory.
func NewWatcher(addr string, after int64, memoryMB int, tell Teller, log *slog.Logger) *Watcher {
	return &Watcher{addr: addr, after: after, lineMost: memoryMB << 20 / lineShare, Mute: muteAfter, tell: tell, log: log,
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: waitMost}).DialContext, DisableKeepAlives: true, DisableCompression: true,
		}}}
}

// StartAfter has the watch begin after a generation that is known otherwise. It must come before the first watch.
func (w *Watcher) StartAfter(generation int64) { w.after = generation }

// keep watches until ctx ends. A watch that breaks or falls mute is asked for again, from the latest
// generation on, later each time and never in step with other sidecars.
func (w *Watcher) keep(ctx context.Context) {
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
func (w *Watcher) once(ctx context.Context) {
	if _, err := w.watch(ctx); ctx.Err() == nil {
		w.log.Warn("discovery watch ended", "error", err)
	}
}

// watch holds one watch until it ends, and says whether it brought a list.
func (w *Watcher) watch(ctx context.Context) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A machine that is cut off leaves the connection open and silent, so our own clock ends it.
	mute := time.AfterFunc(w.Mute, func() { cancel(errors.New("mute")) })
	defer mute.Stop()
	if w.after == Unlisted {
		// Only a whole list tells what the discovery before this one knew and this one does not.
		if err := w.whole(ctx); err != nil {
			return false, cmp.Or(context.Cause(ctx), err)
		}
		mute.Reset(w.Mute)
		heard = true
	}
	resp, err := w.get(ctx, "?watch=1&after="+strconv.FormatInt(w.after, 10))
	if err != nil {
		return heard, cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, w.lineMost)
	for lines.Scan() {
		mute.Reset(w.Mute)
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
		w.tell(ctx, l.Told())
	}
	if err := lines.Err(); err != nil {
		return heard, cmp.Or(context.Cause(ctx), err)
	}
	return heard, io.ErrUnexpectedEOF
}

// whole asks for the whole list.
func (w *Watcher) whole(ctx context.Context) error {
	resp, err := w.get(ctx, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var l List
	if err := json.NewDecoder(io.LimitReader(resp.Body, int64(w.lineMost))).Decode(&l); err != nil {
		return fmt.Errorf("malformed list: %w", err)
	}
	l.Reset = true
	w.after = l.Generation
	told := l.Told()
	told.Anew = true
	w.tell(ctx, told)
	return nil
}

// get asks discovery for its list.
func (w *Watcher) get(ctx context.Context, query string) (*http.Response, error) {
	resp, err := w.call(ctx, query)
	if w.Asked != nil {
		w.Asked(err)
	}
	return resp, err
}

func (w *Watcher) call(ctx context.Context, query string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.addr+"/api/targets"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp, nil
}

// Source is the present watcher and its watch: kept for good, or one each time it is asked for.
type Source struct {
	watch func(w *Watcher, ctx context.Context)
	ended func() // the watch ended by itself

	mu      sync.Mutex
	w       *Watcher
	cancel  context.CancelFunc // of the watch that is on or being asked for
	watches sync.WaitGroup
}

// Keep returns a source whose watch, once asked for, is held for good.
func Keep(w *Watcher) *Source { return &Source{w: w, watch: (*Watcher).keep} }

// Once returns a source that holds one watch each time it is asked to, and calls ended when one has ended by
// itself.
func Once(w *Watcher, ended func()) *Source {
	return &Source{w: w, watch: (*Watcher).once, ended: ended}
}

// Watch asks for the watch, unless it is on or being asked for, or ends it.
func (s *Source) Watch(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on != (s.cancel != nil) {
		s.setLocked(on)
	}
}

// Move ends the watch and asks another discovery at once, however long the balancer or a watch that broke
// would have waited. Nothing that the old one told is held against the new one: its generations are its own.
func (s *Source) Move(w *Watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.setLocked(false)
	}
	s.w = w
	s.setLocked(true)
}

// Close ends the watch and waits until it tells nothing more.
func (s *Source) Close() {
	s.Watch(false)
	s.watches.Wait()
}

func (s *Source) setLocked(on bool) {
	if !on {
		s.cancel()
		s.cancel = nil
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	w := s.w
	s.watches.Go(func() {
		s.watch(w, ctx)
		s.mu.Lock()
		off := ctx.Err() != nil
		if !off {
			cancel()
			s.cancel = nil
		}
		s.mu.Unlock()
		if !off {
			s.ended()
		}
	})
}
