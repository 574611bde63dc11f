package takeover

// RunLoop runs the events of Loop one after another on the calling goroutine until the lifecycle ends, and
// returns its result. Before each event it arms the timer of Loop with the deadlines of both state machines.
// When stop is closed, it calls onStop once. The caller must connect to a predecessor or start alone before the
// call, and close Loop after it.
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
