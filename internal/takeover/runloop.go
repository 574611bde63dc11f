package takeover

// RunLoop runs the events of Loop one after another on the calling goroutine until the lifecycle has ended, and returns
// what it ended with. Before each event it arms the timer of Loop with the next deadline of both state machines. When
// stop is closed, it calls onStop once. The caller starts or connects before, and closes Loop afterwards.
func (l *Lifecycle) RunLoop(stop <-chan struct{}, onStop func()) error {
	for !l.Ended() {
		l.Arm()
		select {
		case event := <-l.Loop.Events:
			event()
		case <-stop:
			stop = nil
			onStop()
		}
	}
	return l.Result()
}
