package takeover

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/monotime"
)

// stubHost is a Host that never becomes ready, and records the calls of some of its methods.
type stubHost struct{ recordedCalls []string }

func (h *stubHost) record(call string) { h.recordedCalls = append(h.recordedCalls, call) }

func (h *stubHost) ReceiveOffer(Message) { h.record("ReceiveOffer") }

func (h *stubHost) StartWithOffer() error {
	h.record("StartWithOffer")
	return nil
}

func (h *stubHost) WaitReady(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (h *stubHost) RestoreHandover([]byte) { h.record("RestoreHandover") }

func (h *stubHost) StartServing() { h.record("StartServing") }

func (h *stubHost) StartAlone() error {
	h.record("StartAlone")
	return nil
}

func (h *stubHost) StartError(reason string) error { return errors.New(reason) }

func (h *stubHost) AdoptConnection(conn net.Conn) { conn.Close() }

func (h *stubHost) PredecessorLeaving(conn *Conn) {
	if conn == nil {
		h.record("PredecessorLeaving without a connection")
		return
	}
	h.record("PredecessorLeaving")
}

func (h *stubHost) Offer(*Conn) Message { return Message{Kind: decide.Offer} }

func (h *stubHost) StopAccepting() []byte { return nil }

func (h *stubHost) Activating() {}

func (h *stubHost) HandOverConnections(*Conn) {}

func (h *stubHost) ResumeServing() {}

func (h *stubHost) Drain() {}

func (h *stubHost) CloseRemaining() {}

func (h *stubHost) SendFailed(error) {}

func (h *stubHost) SuccessorLeaving(*Conn) {}

func (h *stubHost) HandingOver(bool) {}

func (h *stubHost) ReceiveCordons(*Conn, []byte) {}

// runEvent runs the next event of a lifecycle.
func runEvent(t *testing.T, l *Lifecycle) {
	t.Helper()
	select {
	case event := <-l.Loop.Events:
		event()
	case <-time.After(10 * time.Second):
		t.Fatalf("no event while the successor is %v", &l.Successor)
	}
}

// newStartingLifecycle returns the lifecycle of a successor whose predecessor was lost after it sent its offer,
// while the host was starting. The deadline for the host to become ready has passed.
func newStartingLifecycle(t *testing.T, host *stubHost, ownsSockets bool) *Lifecycle {
	t.Helper()
	times := decide.Times{Ready: 1, Reply: 1, Drain: 1}
	l := NewLifecycle(host, nil, times, slog.New(slog.DiscardHandler))
	l.Successor.OwnsSockets = ownsSockets
	t.Cleanup(func() {
		l.CloseLoop()
		l.CloseConns()
		l.Loop.Goroutines.Wait()
	})
	predecessor, successor := newConnPair(t)
	l.Connect(successor)
	// Closing a connection with an unread message would end it before the offer is received.
	if m, err := predecessor.Read(); err != nil || m.Kind != decide.Hello {
		t.Fatalf("first message %v, %v", m.Kind, err)
	}
	if err := predecessor.Write(Message{Kind: decide.Offer}); err != nil {
		t.Fatal(err)
	}
	predecessor.Close()
	for l.PredecessorConn != nil {
		runEvent(t, l)
	}
	return l
}

// If a predecessor is lost while its successor starts, the successor disconnects from it exactly once. Later
// events of the start find no connection.
func TestPredecessorLostWhileStarting(t *testing.T) {
	callsUntilLost := []string{"ReceiveOffer", "StartWithOffer", "PredecessorLeaving"}
	for _, tc := range []struct {
		name        string
		ownsSockets bool
		event       decide.Event
		result      string // expected error text; empty if the lifecycle continues
	}{
		{"stop", false, decide.Stop, "told to stop"},
		{"stop, own sockets", true, decide.Stop, "told to stop"},
		{"deadline", false, decide.DeadlineReached, "no progress in time while starting"},
		{"deadline, own sockets", true, decide.DeadlineReached, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			host := &stubHost{}
			l := newStartingLifecycle(t, host, tc.ownsSockets)
			l.StepSuccessor(tc.event, "")
			if !slices.Equal(host.recordedCalls, callsUntilLost) {
				t.Errorf("calls %q, want %q", host.recordedCalls, callsUntilLost)
			}
			if tc.result != "" {
				if err := l.Result(); !l.Ended() || err == nil || err.Error() != tc.result {
					t.Errorf("ended %v with %v, want %q", l.Ended(), err, tc.result)
				}
				return
			}
			l.StepSuccessor(decide.Started, "")
			if want := append(slices.Clip(callsUntilLost), "StartServing"); l.Ended() ||
				!slices.Equal(host.recordedCalls, want) {
				t.Errorf("ended %v, calls once it could serve %q, want %q", l.Ended(), host.recordedCalls, want)
			}
		})
	}
}

// Guards against a process that blames its predecessor for its own stall: while this process did not run, both
// the predecessor's offer arrived and the deadline for it passed. The offer is handled first, and once. If a
// message stays incomplete, the wait for it ends at the postponed deadline.
func TestOfferAtHandAtItsDeadline(t *testing.T) {
	for name, offer := range map[string][]byte{"offer": {byte(decide.Offer)}, "part of an offer": {byte(chunk), 1}} {
		t.Run(name, func(t *testing.T) {
			host := &stubHost{}
			times := decide.Times{Ready: monotime.Second, Reply: 200 * monotime.Millisecond}
			l := NewLifecycle(host, nil, times, slog.New(slog.DiscardHandler))
			l.Successor.OwnsSockets = true
			t.Cleanup(func() {
				l.CloseLoop()
				l.CloseConns()
				l.Loop.Goroutines.Wait()
			})
			predecessor, successor := newConnPair(t)
			require.NoError(t, predecessor.writePacket(decide.Event(offer[0]), offer[1:], nil))
			l.Connect(successor)
			scriptedpeer.Eventually(t, "deadline", func() bool { return now() >= l.Successor.Deadline() })
			l.onDeadline()
			if len(host.recordedCalls) != 0 {
				t.Fatalf("the deadline was handled before the message: %q", host.recordedCalls)
			}
			want := []string{"ReceiveOffer", "StartWithOffer"}
			if name != "offer" {
				want = []string{"PredecessorLeaving", "StartAlone"}
			}
			for len(host.recordedCalls) < len(want) {
				l.Arm()
				runEvent(t, l)
			}
			if !slices.Equal(host.recordedCalls, want) {
				t.Errorf("calls %q, want %q", host.recordedCalls, want)
			}
		})
	}
}

// Guards against a process that blames its successor for its own stall: the Ready message of the successor
// arrived while this process did not run.
func TestReadyAtHandAtItsDeadline(t *testing.T) {
	l := NewLifecycle(&stubHost{}, nil, decide.Times{Ready: 1, Reply: monotime.Second}, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		l.CloseLoop()
		l.CloseConns()
		l.Loop.Goroutines.Wait()
	})
	predecessor, successor := newConnPair(t)
	l.onHello(predecessor, HelloMessage())
	require.NoError(t, successor.Write(Message{Kind: decide.Ready}))
	scriptedpeer.Eventually(t, "deadline", func() bool { return now() >= l.Predecessor.Deadline() })
	l.onDeadline()
	for l.Predecessor.String() != "paused" {
		if !l.Predecessor.RejectsSuccessors() {
			t.Fatal("the successor was rejected although its Ready message had arrived")
		}
		l.Arm()
		runEvent(t, l)
	}
}
