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

// Timeouts of a watch. By PROTOCOL an open watch sends something every 2 s, and a change counts as notified at the
// latest 6 s after the watch that should have carried it fell silent. So the sum of silenceTimeout, maxReconnectDelay,
// the responseTimeout of a second watch that is silent after its head, and the response to a third is below 6 s.
const (
	silenceTimeout    = 2600 * time.Millisecond // Watcher.SilenceTimeout
	responseTimeout   = 2500 * time.Millisecond // Watcher.ResponseTimeout; discovery may delay a polled call by 2 s
	maxReconnectDelay = 800 * time.Millisecond  // over which a fleet whose watches fell silent together reconnects
	minBackoff        = 50 * time.Millisecond   // after the first failed call
	maxBackoff        = time.Second             // Watcher.MaxBackoff
	dialTimeout       = time.Second             // of the connection to discovery
)

// The names of the protocol.
const (
	listPath   = "/api/targets"
	watchQuery = "?watch=1&after=" // and a generation: changes since that list, on a response that stays open
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
	SilenceTimeout  time.Duration // a watch on which nothing arrives for so long is opened again
	ResponseTimeout time.Duration // a watch whose response does not start within this is opened again
	MaxBackoff      time.Duration // the longest pause between calls that return no list

	OnRequest func(err error) // called after each call with its error; may be nil

	address           string
	client            *http.Client
	generation        int64 // of the latest list of this discovery, or NoGeneration
	receivedOlderList bool  // its latest list was older than generation: the complete list is fetched next
	maxListBytes      int
	onUpdate          UpdateFunc
	log               *slog.Logger
}

// NewWatcher returns a watcher of the discovery at address (host:port) that passes on lists after a generation.
// memoryMB is the program's memory limit in MiB, of which a list may take 1/listMemoryDivisor.
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

// StartAfter sets the generation after which the first watch starts. It must be called before that watch.
func (w *Watcher) StartAfter(generation int64) { w.generation = generation }

// errSilent is the cause of the end of a watch that has fallen silent, or of a call without a response in time.
var errSilent = errors.New("discovery is silent")

// watchForever watches until ctx ends. A watch that fails is opened again from the latest generation on, with an
// exponential backoff whose jitter keeps sidecars out of step.
func (w *Watcher) watchForever(ctx context.Context) {
	backoff := minBackoff
	outageLogged := false
	for ctx.Err() == nil {
		received, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if received {
			backoff = minBackoff
			outageLogged = false
		}
		if !outageLogged { // one line for an outage, not one for each attempt
			w.log.Warn("discovery watch failed", "error", err)
		}
		outageLogged = true
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, max(minBackoff, w.MaxBackoff))
	}
}

// watchOnce holds one watch, for a balancer that polls. One that fell silent after something had arrived on it is
// opened again here: the balancer's backoff is made for an overloaded discovery, and is longer than the time within
// which a silent watch has to be replaced.
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
		sleep(ctx, rand.N(maxReconnectDelay))
	}
}

func sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// watch holds one watch until it ends, and returns why. received reports whether a list arrived, or the watch was open
// when it fell silent.
func (w *Watcher) watch(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A machine that is cut off leaves the connection open and silent, so a timer of this process ends it.
	silenceTimer := time.AfterFunc(w.ResponseTimeout, func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	if w.generation == NoGeneration || w.receivedOlderList {
		// Only a complete list removes the endpoints of another discovery, or of the one before its restart.
		if err := w.fetchFullList(ctx, silenceTimer); err != nil {
			return false, cmp.Or(context.Cause(ctx), err)
		}
		received = true
		silenceTimer.Reset(w.ResponseTimeout)
	}
	response, err := w.callDiscovery(ctx, watchQuery+strconv.FormatInt(w.generation, 10))
	if err != nil {
		return received, cmp.Or(context.Cause(ctx), err)
	}
	defer response.Body.Close()
	silenceTimer.Reset(w.SilenceTimeout)
	lists := w.newListReader(response.Body, silenceTimer)
	listReceived, err := w.receive(ctx, lists)
	received = received || listReceived
	if errors.Is(err, errSilent) && lists.bytesRead > 0 {
		received = true
	}
	return received, err
}

// receive passes on the lists of a watch until it fails, and reports whether there was one.
func (w *Watcher) receive(ctx context.Context, lists *listReader) (received bool, err error) {
	for isFirstList := true; ; isFirstList = false {
		list, err := lists.next()
		if err != nil {
			return received, cmp.Or(context.Cause(ctx), err)
		}
		if list.Generation < w.generation && isFirstList {
			// The call was for lists after w.generation, so this one is not late: discovery may have restarted with
			// lower generations. Its complete list shows whether it has.
			w.receivedOlderList = true
			return received, fmt.Errorf("discovery answered with generation %d after %d: fetching the complete list",
				list.Generation, w.generation)
		}
		if list.Generation < w.generation {
			// An older list would make endpoints ready again that are known to be draining.
			w.log.Warn("stale endpoint list ignored", "generation", list.Generation, "have", w.generation)
			continue
		}
		w.generation = list.Generation
		received = true
		w.onUpdate(ctx, list.EndpointUpdate())
	}
}

// fetchFullList fetches the complete list and passes it on.
func (w *Watcher) fetchFullList(ctx context.Context, silenceTimer *time.Timer) error {
	response, err := w.callDiscovery(ctx, "")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	silenceTimer.Reset(w.SilenceTimeout)
	list, err := w.newListReader(response.Body, silenceTimer).next()
	if err != nil {
		return err
	}
	list.Reset = true
	update := list.EndpointUpdate()
	// The second list in succession that is older than w.generation: discovery has restarted with lower generations.
	update.GenerationsReset = w.generation != NoGeneration && list.Generation < w.generation
	update.NewSource = w.generation == NoGeneration || update.GenerationsReset
	if update.GenerationsReset {
		w.log.Warn("discovery generations restarted", "generation", list.Generation, "had", w.generation)
	}
	w.generation = list.Generation
	w.receivedOlderList = false
	w.onUpdate(ctx, update)
	return nil
}

// get makes a call to discovery, and reports its error or success to OnRequest.
func (w *Watcher) callDiscovery(ctx context.Context, query string) (*http.Response, error) {
	response, err := w.sendRequest(ctx, query)
	if w.OnRequest != nil {
		w.OnRequest(err)
	}
	return response, err
}

func (w *Watcher) sendRequest(ctx context.Context, query string) (*http.Response, error) {
	url := "http://" + w.address + listPath + query
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
