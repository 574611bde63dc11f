package takeover

import (
	"errors"
	"io"
	"log/slog"
	"testing"

	decide "dunlinsail/internal/decide/takeover"
)

// RunLoop runs posted events until one of them ends the lifecycle, and returns the result of the lifecycle.
func TestRunLoopReturnsResult(t *testing.T) {
	l := NewLifecycle(nil, nil, decide.Times{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer l.CloseLoop()
	wantErr := errors.New("ended")
	events := 0
	go func() {
		l.Loop.Post(func() { events++ })
		l.Loop.Post(func() { l.End(wantErr) })
	}()
	if err := l.RunLoop(nil, func() { t.Error("onStop called without a stop") }); !errors.Is(err, wantErr) ||
		events != 1 {
		t.Errorf("ended with %v after %d events, want %v after 1", err, events, wantErr)
	}
}

// RunLoop calls onStop only once, although stop stays closed.
func TestRunLoopStopsOnce(t *testing.T) {
	l := NewLifecycle(nil, nil, decide.Times{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer l.CloseLoop()
	stop := make(chan struct{})
	close(stop)
	stops := 0
	onStop := func() {
		stops++
		go func() {
			for range 10 { // stop is still closed when each of these events is received
				l.Loop.Post(func() {})
			}
			l.Loop.Post(func() { l.End(nil) })
		}()
	}
	if err := l.RunLoop(stop, onStop); err != nil || stops != 1 {
		t.Errorf("ended with %v after %d calls of onStop, want nil after 1", err, stops)
	}
}
