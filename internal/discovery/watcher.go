package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"dunlinsail/internal/engine"
)

// Timeouts of a watch. PROTOCOL has an open watch say something every 2 s, and counts what a silent one misses as
// notified 6 s after it fell silent. So silenceTimeout, the reconnect jitter and the response timeout of a second
// watch that is silent after its head, and a third that is answered, have to fit into 6 s together.
const (
	silenceTimeout  = 2600 * time.Millisecond
	responseTimeout = 2500 * time.Millisecond // a polled call may wait 2 s for its turn
	reconnectJitter = 800 * time.Millisecond  // over which a fleet whose watches fell silent at once calls again
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = time.Second
	dialTimeout     = time.Second
)

// listMemoryDivisor is the part of the program's memory limit that one list may take: a sixteenth.
const listMemoryDivisor = 16

// NoGeneration is the generation of a watcher that has no list of its discovery yet.
const NoGeneration = -1

// UpdateFunc receives each list. An update for which ctx has ended must have no effect.
type UpdateFunc func(ctx context.Context, update engine.EndpointUpdate)

// Watcher holds a watch at one discovery and passes on each list. It is used by one goroutine at a time; its exported
// fields are set before the first watch.
type Watcher struct {
	SilenceTimeout  time.Duration // a watch that is silent for so long is opened again
	ResponseTimeout time.Duration // and so is one whose answer does not begin within this
	MaxBackoff      time.Duration // between calls that bring no list

	OnRequest func(err error) // called after each call with its error; may be nil

	address             string
	client              *http.Client
	generation          int64 // of the latest list of this discovery, or NoGeneration
	generationsWentBack bool  // its latest list was older: the complete list is fetched next
	maxListBytes        int
	onUpdate            UpdateFunc
	log                 *slog.Logger
}

// NewWatcher returns a watcher of the discovery at address that passes on lists after a generation. memoryMB is the
// program's memory limit, of which a list may take a part.
func NewWatcher(address string, generation int64, memoryMB int, onUpdate UpdateFunc, log *slog.Logger) *Watcher {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &Watcher{
		SilenceTimeout:  silenceTimeout,
		ResponseTimeout: responseTimeout,
		MaxBackoff:      maxBackoff,
		address:         address,
		client:          &http.Client{Transport: transport},
		generation:      generation,
		maxListBytes:    memoryMB << 20 / listMemoryDivisor,
		onUpdate:        onUpdate,
		log:             log,
	}
}

// StartAfter has the watch start after a generation that is known otherwise. It must come before the first watch.
func (w *Watcher) StartAfter(generation int64) { w.generation = generation }

// errSilent is the cause of a watch that has fallen silent, or of a call that is not answered in time.
var errSilent = errors.New("discovery is silent")

// watchForever watches until ctx ends. A watch that fails is opened again from the latest generation on, with an
// exponential backoff whose jitter keeps sidecars out of step.
func (w *Watcher) watchForever(ctx context.Context) {
	backoff := minBackoff
	logged := false
	for ctx.Err() == nil {
		received, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if received {
			backoff = minBackoff
			logged = false
		}
		if !logged { // one line for an outage, not one for each attempt
			w.log.Warn("discovery watch failed", "error", err)
		}
		logged = true
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, max(minBackoff, w.MaxBackoff))
	}
}

// watchOnce holds one watch, for a balancer that polls. One that was open and fell silent is opened again here, once
// for each time that it brought something: the balancer's backoff is for a discovery that is overloaded, and would not
// fit into the time within which a silent watch has to be replaced.
func (w *Watcher) watchOnce(ctx context.Context) {
	for {
		received, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		w.log.Warn("discovery watch failed", "error", err)
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

// watch holds one watch until it ends, and says whether it brought a list, or was open when it fell silent.
func (w *Watcher) watch(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A machine that is cut off leaves the connection open and silent, so our own clock ends it.
	silence := time.AfterFunc(w.ResponseTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	if w.generation == NoGeneration || w.generationsWentBack {
		// Only a complete list names what the discovery before this one knew and this one does not.
		if err := w.fetchFullList(ctx, silence); err != nil {
			return false, cmp.Or(context.Cause(ctx), err)
		}
		received = true
		silence.Reset(w.ResponseTimeout)
	}
	response, err := w.get(ctx, "?watch=1&after="+strconv.FormatInt(w.generation, 10))
	if err != nil {
		return received, cmp.Or(context.Cause(ctx), err)
	}
	defer response.Body.Close()
	silence.Reset(w.SilenceTimeout)
	lists := w.newListReader(response.Body, silence)
	anyReceived, err := w.receive(ctx, lists)
	received = received || anyReceived
	if errors.Is(err, errSilent) && lists.bytesRead > 0 {
		received = true
	}
	return received, err
}

// receive passes on the lists of a watch until it fails, and says whether there was one.
func (w *Watcher) receive(ctx context.Context, lists *listReader) (received bool, err error) {
	for first := true; ; first = false {
		list, err := lists.next()
		if err != nil {
			return received, cmp.Or(context.Cause(ctx), err)
		}
		if list.Generation < w.generation && first {
			// The call was for what is newer than our list, so this is no late message: discovery may have
			// started anew, with generations of its own. Its complete list shows whether it has.
			w.generationsWentBack = true
			return received, fmt.Errorf("discovery answered with generation %d after %d: fetching the complete list",
				list.Generation, w.generation)
		}
		if list.Generation < w.generation {
			// An older list would bring back endpoints that are known to be draining.
			w.log.Warn("stale endpoint list ignored", "generation", list.Generation, "have", w.generation)
			continue
		}
		w.generation = list.Generation
		received = true
		w.onUpdate(ctx, list.EndpointUpdate())
	}
}

// fetchFullList gets the complete list and passes it on.
func (w *Watcher) fetchFullList(ctx context.Context, silence *time.Timer) error {
	response, err := w.get(ctx, "")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	silence.Reset(w.SilenceTimeout)
	list, err := w.newListReader(response.Body, silence).next()
	if err != nil {
		return err
	}
	list.Reset = true
	update := list.EndpointUpdate()
	// Twice in succession it has answered with an older list than ours: its generations have started anew.
	update.GenerationsReset = w.generation != NoGeneration && list.Generation < w.generation
	update.NewSource = w.generation == NoGeneration || update.GenerationsReset
	if update.GenerationsReset {
		w.log.Warn("discovery generations restarted", "generation", list.Generation, "had", w.generation)
	}
	w.generation = list.Generation
	w.generationsWentBack = false
	w.onUpdate(ctx, update)
	return nil
}

// get calls discovery, and reports what came of it to OnRequest.
func (w *Watcher) get(ctx context.Context, query string) (*http.Response, error) {
	response, err := w.request(ctx, query)
	if w.OnRequest != nil {
		w.OnRequest(err)
	}
	return response, err
}

func (w *Watcher) request(ctx context.Context, query string) (*http.Response, error) {
	url := "http://" + w.address + "/api/targets" + query
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", response.Status)
	}
	return response, nil
}
