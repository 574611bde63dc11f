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

// Timeouts of a watch. According to page PROTOCOL an open watch sends data at least every 2 s, and a change has
// to arrive within 6 s after the watch that should have carried it fell silent. Therefore the sum of
// silenceTimeout, maxReconnectDelay, the responseTimeout of a second watch that is silent after its head, and the
// time of the response to a third watch must be below 6 s.
const (
	silenceTimeout    = 2600 * time.Millisecond // default of Watcher.SilenceTimeout
	responseTimeout   = 2500 * time.Millisecond // default of Watcher.ResponseTimeout; a polled call may take 2 s
	maxReconnectDelay = 800 * time.Millisecond  // spreads the reconnects of a fleet whose watches fell silent together
	minBackoff        = 50 * time.Millisecond   // mean pause after the first failed call
	maxBackoff        = time.Second             // default of Watcher.MaxBackoff
	dialTimeout       = time.Second             // for connecting to discovery
)

// Path and query of the discovery protocol.
const (
	listPath   = "/api/targets"
	watchQuery = "?watch=1&after=" // followed by a generation: requests a watch for changes since then
)

// listMemoryDivisor bounds the size of one list to the program's memory limit divided by it.
const listMemoryDivisor = 16

// NoGeneration is the generation of a watcher that has not received a list from its discovery.
const NoGeneration = -1

// UpdateFunc is called with each received list. If ctx has ended, the update must have no effect.
type UpdateFunc func(ctx context.Context, update engine.EndpointUpdate)

// Watcher keeps a watch open at one discovery and passes on each list. It must be used by one goroutine at a
// time, and its exported fields must be set before the first watch.
type Watcher struct {
	SilenceTimeout  time.Duration // a watch on which nothing arrives for this time is opened again
	ResponseTimeout time.Duration // a watch whose response does not start within this time is opened again
	MaxBackoff      time.Duration // bounds the pause between calls that return no list

	OnRequest func(err error) // called after each call to discovery with the error of the call; may be nil

	address           string
	client            *http.Client
	generation        int64 // generation of the latest list of this discovery, or NoGeneration
	receivedOlderList bool  // a watch started with a list older than generation: the complete list is fetched next
	fullListFirst     bool  // the first watch begins with the complete list (FetchFullListFirst)
	maxListBytes      int
	onUpdate          UpdateFunc
	log               *slog.Logger
}

// NewWatcher returns a watcher of the discovery at address (host:port). It passes on lists that are later than
// generation. memoryMB is the program's memory limit in MiB; one list may take 1/listMemoryDivisor of it.
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

// FetchFullListFirst makes the first watch begin with the complete list, even if a generation is known. A complete list
// that is older than that generation is not passed on. It must be called before the first watch.
func (w *Watcher) FetchFullListFirst() { w.fullListFirst = true }

// StartAfter sets the generation after which the first watch requests lists. It must be called before the first
// watch.
func (w *Watcher) StartAfter(generation int64) { w.generation = generation }

// errSilent is the error of a watch on which nothing arrives within SilenceTimeout, or of a call without a
// response within ResponseTimeout.
var errSilent = errors.New("discovery is silent")

// watchForever keeps a watch open until ctx ends. A watch that fails is opened again after the latest generation,
// with an exponential backoff. Its jitter keeps sidecars from reconnecting at the same time.
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
		if !outageLogged { // one log line for each outage, not for each failed call
			w.log.Warn("discovery watch failed", "error", err)
		}
		outageLogged = true
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, max(minBackoff, w.MaxBackoff))
	}
}

// watchOnce opens one watch for a balancer that polls, and returns when it has ended. A watch that falls silent
// after data has arrived on it is opened again here. The balancer's backoff is meant for an overloaded discovery,
// and is longer than the time within which a silent watch has to be replaced.
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

// watch opens one watch and returns its error when it ends. received reports whether a list has arrived, or the
// watch fell silent after at least one byte had arrived.
func (w *Watcher) watch(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The connection to an unreachable machine stays open without data, so a timer in this process ends the watch.
	silenceTimer := time.AfterFunc(w.ResponseTimeout, func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	if w.generation == NoGeneration || w.receivedOlderList || w.fullListFirst {
		// Only a complete list removes the endpoints of a previous discovery, or of this discovery before its
		// restart.
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

// receive passes on the lists of a watch until the watch fails, and reports whether it passed on any list.
func (w *Watcher) receive(ctx context.Context, lists *listReader) (received bool, err error) {
	for isFirstList := true; ; isFirstList = false {
		list, err := lists.next()
		if err != nil {
			return received, cmp.Or(context.Cause(ctx), err)
		}
		if list.Generation < w.generation && isFirstList {
			// The call requested lists after w.generation, so discovery may have restarted with lower
			// generations. The generation of its complete list shows whether it has.
			w.receivedOlderList = true
			return received, fmt.Errorf("discovery sent generation %d, older than %d: fetching the complete list",
				list.Generation, w.generation)
		}
		if list.Generation < w.generation {
			// An older list could mark endpoints as ready that are known to be draining.
			w.log.Warn("stale endpoint list ignored", "generation", list.Generation, "have", w.generation)
			continue
		}
		w.generation = list.Generation
		received = true
		w.onUpdate(ctx, list.EndpointUpdate())
	}
}

// fetchFullList fetches the complete list and passes it on. If its generation is lower than w.generation,
// discovery has restarted, and its generations are followed from there on.
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
	w.fullListFirst = false
	if list.Generation < w.generation && !w.receivedOlderList {
		return nil // the first list of the watch that follows shows whether discovery has restarted
	}
	list.Reset = true
	update := list.EndpointUpdate()
	// This is the second list in succession that is older than w.generation, so discovery has restarted with
	// lower generations.
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

// callDiscovery sends a request to discovery, and passes its error, or nil, to OnRequest.
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
		return nil, fmt.Errorf("discovery responded with status %s", response.Status)
	}
	return response, nil
}
