// Package discovery is a source of membership: it holds a watch at a discovery service as PROTOCOL describes it
// and tells the lists that come. It knows nothing of what is done with them.
package discovery

import (
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
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      uint16  `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float32 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// Told returns the list as the core takes it.
func (l *List) EndpointUpdate() engine.EndpointUpdate {
	t := engine.EndpointUpdate{Kind: balancer.ListDelta, Generation: l.Generation, Endpoints: l.endpoints()}
	if l.Reset {
		t.Kind = balancer.ListFull
	}
	return t
}

// members returns the list's entries as the core takes them.
func (l *List) endpoints() []engine.EndpointInfo {
	all := make([]engine.EndpointInfo, 0, len(l.Instances))
	for _, in := range l.Instances {
		state, known := lifecycleStates[in.Lifecycle]
		if !known {
			state = balancer.Draining
		}
		all = append(all, engine.EndpointInfo{Name: in.ID, Addr: in.Address, Zone: in.Zone, Kind: in.Kind, Cell: in.Cell,
			State: state, Weight: in.Weight, StartedAt: in.StartedMs * 1000})
	}
	return all
}

// states gives the meaning of a lifecycle. What an unlisted word means is not known: nothing new goes there.
var lifecycleStates = map[string]balancer.EndpointState{
	"up": balancer.Ready, "draining": balancer.Draining, "removed": balancer.Gone}

const (
	// muteAfter is how long an open watch may say nothing: an idle one says something every 2 s. What a silent watch misses
	// counts as told 6 s after it fell silent, so that this, a second watch that is silent after its head, and a third that
	// is answered have to fit into those.
	silenceTimeout = 2600 * time.Millisecond
	// answerAfter is how long a call may take to be answered: where discovery is asked, a call waits 2 s for its turn.
	responseTimeout = 2500 * time.Millisecond
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = time.Second
	dialTimeout     = time.Second
	// spreadOver is the time over which the calls of a fleet are spread whose watches all fell silent at once. With muteAfter and
	// answerAfter it fits into the 6 s, too.
	reconnectJitter   = 800 * time.Millisecond
	listMemoryDivisor = 16 // of the memory, a list of discovery's may take one part in so many
)

// Unlisted is the generation of a watcher that holds no list of its discovery yet.
const NoGeneration = -1

// Teller is told of each list. What it is told when the context has ended comes too late.
type UpdateFunc func(ctx context.Context, t engine.EndpointUpdate)

// Watcher holds a watch at one discovery and tells of each list.
type Watcher struct {
	SilenceTimeout  time.Duration // a watch that says nothing for so long is asked for again
	ResponseTimeout time.Duration // and so is one whose answer does not begin within this
	MaxBackoff      time.Duration // at most, between calls that come to nothing
	// Asked is told of each call and what came of it; nil is nobody.
	OnRequest func(err error)

	addr                string
	client              *http.Client
	generation          int64 // generation of the latest list of this discovery, or Unlisted
	generationsWentBack bool  // its latest list was older than that: the whole list is asked for
	maxListBytes        int
	onUpdate            UpdateFunc
	log                 *slog.Logger
}

// NewWatcher returns a watcher of the discovery at addr, whose list after that generation it is to tell, from a
// program of so much memory.
func NewWatcher(addr string, generation int64, memoryMB int, onUpdate UpdateFunc, log *slog.Logger) *Watcher {
	return &Watcher{addr: addr, generation: generation, maxListBytes: memoryMB << 20 / listMemoryDivisor,
		SilenceTimeout: silenceTimeout, ResponseTimeout: responseTimeout, MaxBackoff: maxBackoff, onUpdate: onUpdate, log: log,
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true, DisableCompression: true,
		}}}
}

// StartAfter has the watch begin after a generation that is known otherwise. It must come before the first watch.
func (w *Watcher) StartAfter(generation int64) { w.generation = generation }

// errMute is of a watch that has fallen silent, or of a call that is not answered.
var errSilent = errors.New("mute")

// keep watches until ctx ends. A watch that breaks or falls mute is asked for again, from the latest
// generation on, later each time and never in step with other sidecars.
func (w *Watcher) watchForever(ctx context.Context) {
	backoff, logged := minBackoff, false
	for ctx.Err() == nil {
		received, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if received {
			backoff, logged = minBackoff, false
		}
		if !logged { // one line for an outage, not one for each try
			w.log.Warn("discovery watch ended, asking again", "error", err)
		}
		logged = true
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, max(minBackoff, w.MaxBackoff))
	}
}

// once holds one watch, for a balancer that asks for each. One that was open and fell mute is asked for anew here, once for
// each time that it was heard: the balancer's pauses are for a discovery that is short of time, and would not fit into the time
// in which a silent watch has to be replaced.
func (w *Watcher) watchOnce(ctx context.Context) {
	for {
		received, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		w.log.Warn("discovery watch ended", "error", err)
		if !received || !errors.Is(err, errSilent) {
			return
		}
		sleep(ctx, rand.N(reconnectJitter))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watch holds one watch until it ends, and says whether it brought a list, or was open when it fell mute.
func (w *Watcher) watch(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A machine that is cut off leaves the connection open and silent, so our own clock ends it.
	silence := time.AfterFunc(w.ResponseTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	if w.generation == NoGeneration || w.generationsWentBack {
		// Only a whole list tells what the discovery before this one knew and this one does not.
		if err := w.fetchFullList(ctx, silence); err != nil {
			return false, cmp.Or(context.Cause(ctx), err)
		}
		received = true
		silence.Reset(w.ResponseTimeout)
	}
	resp, err := w.get(ctx, "?watch=1&after="+strconv.FormatInt(w.generation, 10))
	if err != nil {
		return received, cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	silence.Reset(w.SilenceTimeout)
	lists := w.newListReader(resp.Body, silence)
	for first := true; ; first = false {
		list, err := lists.next()
		if err != nil {
			err = cmp.Or(context.Cause(ctx), err)
			return received || errors.Is(err, errSilent) && lists.bytesRead > 0, err
		}
		if list.Generation < w.generation && first {
			// We have just asked for what is newer than our list, so that this is no late message: discovery may have begun
			// anew, with generations of its own. Whether it has, its whole list tells.
			w.generationsWentBack = true
			return received, fmt.Errorf("discovery answered with generation %d after %d: asking for the whole list", list.Generation, w.generation)
		}
		if list.Generation < w.generation {
			// What is older than our list would bring back endpoints that we know to be draining.
			w.log.Warn("stale list passed over", "generation", list.Generation, "have", w.generation)
			continue
		}
		w.generation, received = list.Generation, true
		w.onUpdate(ctx, list.EndpointUpdate())
	}
}

// lists reads lists from an answer as they come, each over as many lines as it likes.
type listReader struct {
	body           io.Reader
	silence        *time.Timer
	silenceTimeout time.Duration
	maxListBytes   int64
	bytesRead      int64 // bytes read
	listStart      int64 // of these, before the end of the list before
	decoder        *json.Decoder
}

// read returns the lists of an answer. Each byte that comes puts off the end by mute.
func (w *Watcher) newListReader(body io.Reader, silence *time.Timer) *listReader {
	l := &listReader{body: body, silence: silence, silenceTimeout: w.SilenceTimeout, maxListBytes: int64(w.maxListBytes)}
	l.decoder = json.NewDecoder(l)
	return l
}

// Read reads for the decoder. What lies between two lists counts towards the bound: months of blank lines reach it, and then
// the watch is asked for again.
func (l *listReader) Read(b []byte) (int, error) {
	if l.bytesRead-l.listStart > l.maxListBytes {
		return 0, fmt.Errorf("a list of over %d bytes", l.maxListBytes)
	}
	n, err := l.body.Read(b)
	if n > 0 {
		l.silence.Reset(l.silenceTimeout)
		l.bytesRead += int64(n)
	}
	return n, err
}

// next returns the next list.
func (l *listReader) next() (*List, error) {
	l.listStart = l.decoder.InputOffset()
	list := &List{}
	err := l.decoder.Decode(list)
	switch {
	case err == io.EOF:
		return nil, io.ErrUnexpectedEOF // a watch does not end by itself
	case errors.As(err, new(*json.SyntaxError)), errors.As(err, new(*json.UnmarshalTypeError)):
		// What it changed is not known: the next watch tells it again.
		return nil, fmt.Errorf("malformed list: %w", err)
	}
	return list, err
}

// whole asks for the whole list.
func (w *Watcher) fetchFullList(ctx context.Context, silence *time.Timer) error {
	resp, err := w.get(ctx, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	silence.Reset(w.SilenceTimeout)
	list, err := w.newListReader(resp.Body, silence).next()
	if err != nil {
		return err
	}
	list.Reset = true
	update := list.EndpointUpdate()
	// Twice in succession it has answered with what is older than our list: its generations have begun anew.
	update.GenerationsReset = w.generation != NoGeneration && list.Generation < w.generation
	update.NewSource = w.generation == NoGeneration || update.GenerationsReset
	if update.GenerationsReset {
		w.log.Warn("discovery has begun anew", "generation", list.Generation, "had", w.generation)
	}
	w.generation, w.generationsWentBack = list.Generation, false
	w.onUpdate(ctx, update)
	return nil
}

// get asks discovery for its list.
func (w *Watcher) get(ctx context.Context, query string) (*http.Response, error) {
	resp, err := w.request(ctx, query)
	if w.OnRequest != nil {
		w.OnRequest(err)
	}
	return resp, err
}

func (w *Watcher) request(ctx context.Context, query string) (*http.Response, error) {
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
	watch        func(w *Watcher, ctx context.Context)
	onWatchEnded func() // the watch ended by itself

	mu      sync.Mutex
	watcher *Watcher
	cancel  context.CancelFunc // of the watch that is on or being asked for
	running sync.WaitGroup
}

// Keep returns a source whose watch, once asked for, is held for good.
func NewContinuousSource(w *Watcher) *Source {
	return &Source{watcher: w, watch: (*Watcher).watchForever}
}

// Once returns a source that holds one watch each time it is asked to, and calls ended when one has ended by
// itself.
func NewPolledSource(w *Watcher, onWatchEnded func()) *Source {
	return &Source{watcher: w, watch: (*Watcher).watchOnce, onWatchEnded: onWatchEnded}
}

// Watch asks for the watch, unless it is on or being asked for, or ends it.
func (s *Source) SetWatching(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on != (s.cancel != nil) {
		s.setLocked(on)
	}
}

// Move ends the watch and asks another discovery at once, however long the balancer or a watch that broke
// would have waited. Nothing that the old one told is held against the new one: its generations are its own.
func (s *Source) SwitchTo(w *Watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.setLocked(false)
	}
	s.watcher = w
	s.setLocked(true)
}

// Close ends the watch and waits until it tells nothing more.
func (s *Source) Close() {
	s.SetWatching(false)
	s.running.Wait()
}

func (s *Source) setLocked(on bool) {
	if !on {
		s.cancel()
		s.cancel = nil
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	w := s.watcher
	s.running.Go(func() {
		s.watch(w, ctx)
		s.mu.Lock()
		off := ctx.Err() != nil
		if !off {
			cancel()
			s.cancel = nil
		}
		s.mu.Unlock()
		if !off {
			s.onWatchEnded()
		}
	})
}
