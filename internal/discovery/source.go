package discovery

import (
	"context"
	"sync"
)

// Source owns the present watcher and the goroutine in which its watch runs. Its methods may be called from many
// goroutines.
type Source struct {
	run          func(w *Watcher, ctx context.Context)
	onWatchEnded func() // the watch ended by itself

	mu      sync.Mutex
	watcher *Watcher
	cancel  context.CancelFunc // of the watch that is open or being opened; nil without one
	running sync.WaitGroup
}

// NewContinuousSource returns a source that, once told to watch, opens the watch again whenever it ends.
func NewContinuousSource(w *Watcher) *Source {
	return &Source{watcher: w, run: (*Watcher).watchForever}
}

// NewPolledSource returns a source that holds one watch each time it is told to, and calls onWatchEnded when one has
// ended by itself.
func NewPolledSource(w *Watcher, onWatchEnded func()) *Source {
	return &Source{watcher: w, run: (*Watcher).watchOnce, onWatchEnded: onWatchEnded}
}

// SetWatching opens the watch, unless it is open or being opened, or ends it.
func (s *Source) SetWatching(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on != (s.cancel != nil) {
		s.setLocked(on)
	}
}

// SwitchTo ends the watch and opens one at another discovery at once, however long the balancer or a backoff would have
// waited. Generations of the old discovery are not compared with those of the new one.
func (s *Source) SwitchTo(w *Watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.setLocked(false)
	}
	s.watcher = w
	s.setLocked(true)
}

// Close ends the watch and waits until no more updates come from it.
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
	watcher := s.watcher
	s.running.Go(func() {
		s.run(watcher, ctx)
		if s.clearEnded(ctx, cancel) {
			s.onWatchEnded()
		}
	})
}

// clearEnded forgets a watch that has ended by itself, and says whether it has: one that was cancelled is forgotten
// already, and another may be open.
func (s *Source) clearEnded(ctx context.Context, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	cancel()
	s.cancel = nil
	return true
}
