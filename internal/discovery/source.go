package discovery

import (
	"context"
	"sync"
)

// Source owns the current watcher and the goroutine in which its watch runs. SetWatching and SwitchTo start the
// goroutine, which ends with the watch. The methods may be called concurrently.
type Source struct {
	runWatch     func(w *Watcher, ctx context.Context)
	onWatchEnded func() // called when a watch has ended without being canceled; nil for continuous sources

	mu         sync.Mutex
	watcher    *Watcher
	cancel     context.CancelFunc // cancels the watch that is open or being opened; nil if there is none
	goroutines sync.WaitGroup
}

// NewContinuousSource returns a source that, while watching is set, opens the watch again whenever it ends.
func NewContinuousSource(w *Watcher) *Source {
	return &Source{watcher: w, runWatch: (*Watcher).watchForever}
}

// NewPolledSource returns a source that opens one watch for each SetWatching(true), and calls onWatchEnded when a
// watch has ended without being canceled.
func NewPolledSource(w *Watcher, onWatchEnded func()) *Source {
	return &Source{watcher: w, runWatch: (*Watcher).watchOnce, onWatchEnded: onWatchEnded}
}

// SetWatching opens the watch unless it is already open or being opened, or ends it. It does not wait for the
// result.
func (s *Source) SetWatching(watching bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if watching != (s.cancel != nil) {
		s.startOrEndLocked(watching)
	}
}

// SwitchTo ends the current watch and starts the watch of w, which may be at another discovery, without waiting
// for a pending backoff. Generations of the old discovery are not compared with generations of the new one.
func (s *Source) SwitchTo(w *Watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.startOrEndLocked(false)
	}
	s.watcher = w
	s.startOrEndLocked(true)
}

// Close ends the watch and waits for its goroutine. No update is passed on after Close returns.
func (s *Source) Close() {
	s.SetWatching(false)
	s.goroutines.Wait()
}

// startOrEndLocked starts or ends the watch. The watch must not already be in the requested state.
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

// markEnded records that the watch of ctx has ended, and reports whether it ended without being canceled. After a
// canceled watch it changes nothing, because another watch may already be open.
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
