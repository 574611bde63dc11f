// Command simhost hosts balancers behind the simulator's wire: it reads batches of events from standard input and
// writes a reply to each to standard output. Package wire maps the names of records to those of package balancer.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/wire"
)

const (
	// gcPercent makes garbage collection rare, since nothing is allocated in the steady state.
	gcPercent = 400
	// inputBufferSize is the size in bytes of the buffer of standard input.
	inputBufferSize = 1 << 18
)

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(bufio.NewReaderSize(os.Stdin, inputBufferSize), os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// host runs the instances of one process, which share its buffers only.
type host struct {
	decoder         wire.Decoder
	reply           wire.Reply
	instances       map[uint32]*instance
	reportedUnknown [256]bool // by code: an unknown one that has been reported
	stderr          io.Writer
}

// instance is one balancer, and the balancer.Actions that it calls.
type instance struct {
	*host
	number   uint32
	balancer *balancer.Balancer // nil before a valid start, once stopped, and after a panic
}

// run replies to all batches of in. It returns nil at the end of input.
func run(in io.Reader, out, stderr io.Writer) error {
	h := &host{instances: map[uint32]*instance{}, stderr: stderr}
	var frame []byte
	for {
		next, err := wire.ReadFrame(in, frame)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		frame = next
		if err := h.batch(frame); err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("standard output: %w", err)
		}
	}
}

// batch handles the events of a frame, and builds the reply to it.
func (h *host) batch(frame []byte) error {
	number, now, err := h.decoder.Reset(frame)
	if err != nil {
		return err
	}
	h.reply.Reset(number)
	var e wire.Event
	target := eventTarget{}
	for {
		err := h.decoder.Next(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.event(now, &e, &target); err != nil {
			return err
		}
	}
}

// eventTarget is the instance that the events of a batch are for.
type eventTarget struct {
	number uint32
	known  bool // an EventInstance has named it
}

// event handles one event: it sets the target of later ones, or is for an instance. Unknown codes are skipped.
func (h *host) event(now monotime.Micros, e *wire.Event, target *eventTarget) error {
	switch {
	case e.Code == wire.EventEntries:
		return nil // the decoder holds the list
	case e.Code == wire.EventInstance:
		target.number = e.Instance
		target.known = true
		h.reply.Instance(e.Instance)
		return nil
	case e.Code < wire.EventStart || e.Code > wire.EventInstance:
		h.reportUnknown(e)
		return nil
	}
	i, err := h.instance(e, target)
	if err != nil {
		return err
	}
	i.handle(now, e)
	return nil
}

// reportUnknown writes a line on an unknown code to standard error, once for each code.
func (h *host) reportUnknown(e *wire.Event) {
	if h.reportedUnknown[e.Code] {
		return
	}
	h.reportedUnknown[e.Code] = true
	fmt.Fprintf(h.stderr, "simhost: %v at byte %d: unknown code, skipped\n", e.Code, e.Offset)
}

// instance returns the instance that an event is for. An EventStart creates it.
func (h *host) instance(e *wire.Event, target *eventTarget) (*instance, error) {
	if !target.known {
		return nil, &wire.FrameError{Record: e.Code.String(), Offset: e.Offset, Reason: "comes before any instance"}
	}
	if i := h.instances[target.number]; i != nil {
		return i, nil
	}
	if e.Code != wire.EventStart {
		reason := fmt.Sprintf("instance %d has not begun", target.number)
		return nil, &wire.FrameError{Record: e.Code.String(), Offset: e.Offset, Reason: reason}
	}
	i := &instance{host: h, number: target.number}
	h.instances[target.number] = i
	return i, nil
}

// handle passes an event to the balancer. A panic ends the balancer, and becomes an exception on the wire.
func (i *instance) handle(now monotime.Micros, e *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			i.balancer = nil
			i.reply.Exception(fmt.Sprintf("panic in %v: %v", e.Code, p))
		}
	}()
	switch e.Code {
	case wire.EventStart:
		i.start(now, e)
		return
	case wire.EventStop:
		i.balancer = nil
	}
	b := i.balancer
	if b == nil {
		return
	}
	switch e.Code {
	case wire.EventEndpointList:
		b.UpdateEndpoints(now, e.ListKind, e.Entries)
	case wire.EventRequest:
		b.HandleRequest(now, e.Request)
	case wire.EventHeaders:
		b.HandleHeaders(now, e.Outcome.ID, e.Outcome.Attempt, e.Outcome.Latency)
	case wire.EventOutcome:
		b.HandleOutcome(now, e.Outcome)
	case wire.EventClientGone:
		b.HandleClientGone(now, e.Outcome.ID)
	case wire.EventTimer:
		b.HandleTimer(now, e.Token)
	case wire.EventProbe:
		b.HandleProbe(now, e.Endpoint, e.Status, e.Latency, e.Load)
	}
}

// start replaces the balancer by a new one. Invalid settings become an exception on the wire.
func (i *instance) start(now monotime.Micros, e *wire.Event) {
	i.balancer = nil
	s, err := wire.ParseSettings(e.Settings)
	if err == nil {
		i.balancer, err = balancer.New(s, e.Seed, i)
	}
	if err != nil {
		i.reply.Exception(err.Error())
		return
	}
	i.balancer.Start(now)
}

// Send writes a record "deliver".
func (i *instance) Send(id uint64, endpoint uint32, timeout monotime.Micros) {
	i.reply.Send(id, endpoint, timeout)
}

// Reject writes a record "decline".
func (i *instance) Reject(id uint64, retryAfter monotime.Micros) { i.reply.Reject(id, retryAfter) }

// Fail writes a record "fail".
func (i *instance) Fail(id uint64) { i.reply.Fail(id) }

// Cancel writes a record "revoke".
func (i *instance) Cancel(id uint64, attempt int) { i.reply.Cancel(id, attempt) }

// SetTimer writes a record "arm".
func (i *instance) SetTimer(delay monotime.Micros, token uint32) { i.reply.SetTimer(delay, token) }

// Probe writes a record "sound_out".
func (i *instance) Probe(endpoint uint32) { i.reply.Probe(endpoint) }

// Watch writes a record "track".
func (i *instance) Watch(on bool) { i.reply.Watch(on) }

// Log writes a record "trace": the message, then keys and values.
func (i *instance) Log(message string, args ...any) {
	i.reply.Log(strings.TrimSuffix(fmt.Sprintln(append([]any{message}, args...)...), "\n"))
}
