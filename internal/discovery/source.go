package discovery

import (
	"context"
	"sync"
)

// Source owns the current watcher and the goroutine in which its watch runs: SetWatching and SwitchTo start it, and it
// ends with the watch. The methods may be called concurrently.
type Source struct {
	runWatch     func(w *Watcher, ctx context.Context)
	onWatchEnded func() // called when a watch has ended by itself; nil if it is always opened again

	mu         sync.Mutex
	watcher    *Watcher
	cancel     context.CancelFunc // of the watch that is open or being opened; nil without one
	goroutines sync.WaitGroup
}

// NewContinuousSource returns a source that opens the watch again whenever it ends, from SetWatching(true) on.
func NewContinuousSource(w *Watcher) *Source {
	return &Source{watcher: w, runWatch: (*Watcher).watchForever}
}

// NewPolledSource returns a source that holds one watch for each SetWatching(true), and calls onWatchEnded when one has
// ended by itself.
func NewPolledSource(w *Watcher, onWatchEnded func()) *Source {
	return &Source{watcher: w, runWatch: (*Watcher).watchOnce, onWatchEnded: onWatchEnded}
}

// SetWatching opens the watch, unless it is open or being opened, or ends it. It does not wait for either.
func (s *Source) SetWatching(watching bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if watching != (s.cancel != nil) {
		s.startOrEndLocked(watching)
	}
}

// SwitchTo ends the watch and opens one at another discovery at once, regardless of a backoff. Generations of the old
// discovery are not compared with those of the new one.
func (s *Source) SwitchTo(w *Watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.startOrEndLocked(false)
	}
	s.watcher = w
	s.startOrEndLocked(true)
}

// Close ends the watch and waits for its goroutine. No update is passed on after it returns.
func (s *Source) Close() {
	s.SetWatching(false)
	s.goroutines.Wait()
}

// startOrEndLocked starts or ends the watch, which must not be in that state already.
func (s *Source) startOrEndLocked(watching bool) {
	if !watching {
		s.cancel()
		s.cancel = nil
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	watcher := s.watcher
	s.goroutines.Go(func() {
		s.runWatch(watcher, ctx)
		if s.markEnded(ctx, cancel) {
			s.onWatchEnded()
		}
	})
}

// markEnded notes that a watch has ended by itself, and reports whether it has: after one that was canceled another
// may be open.
func (s *Source) markEnded(ctx context.Context, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	cancel()
	s.cancel = nil
	return true
}
