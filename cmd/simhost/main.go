// Command simhost runs balancers for the simulator: it reads batches of events from standard input and writes one
// reply for each batch to standard output. Package wire maps the names of wire records to the names that package
// balancer uses.
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
	// gcPercent makes garbage collections rare, which saves CPU time: the steady state allocates nothing.
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

// host runs the instances of one process, which share only its decoder and reply buffers.
type host struct {
	decoder         wire.Decoder
	reply           wire.Reply
	instances       map[uint32]*instance
	reportedUnknown [256]bool // by event code: an unknown code that has been reported
	stderr          io.Writer
}

// instance is one balancer, together with the implementation of balancer.Actions that the balancer calls.
type instance struct {
	*host
	number   uint32
	balancer *balancer.Balancer // nil before a valid start, after a stop and after a panic
}

// run replies to each batch that it reads from in. It returns nil at the end of the input.
func run(in io.Reader, out, stderr io.Writer) error {
	h := &host{instances: map[uint32]*instance{}, stderr: stderr}
	var frame []byte
	for {
		newFrame, err := wire.ReadFrame(in, frame)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		frame = newFrame
		if err := h.handleBatch(frame); err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("standard output: %w", err)
		}
	}
}

// handleBatch handles the events of a frame and builds the reply to it.
func (h *host) handleBatch(frame []byte) error {
	batchNumber, now, err := h.decoder.Reset(frame)
	if err != nil {
		return err
	}
	h.reply.Reset(batchNumber)
	var event wire.Event
	target := eventTarget{}
	for {
		err := h.decoder.Next(&event)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleEvent(now, &event, &target); err != nil {
			return err
		}
	}
}

// eventTarget is the instance that receives the events of a batch.
type eventTarget struct {
	number   uint32
	selected bool // an EventInstance has set number
}

// handleEvent handles one event. An EventInstance sets the target of the events after it; other events go to the
// target. Events with an unknown code are skipped.
func (h *host) handleEvent(now monotime.Micros, event *wire.Event, target *eventTarget) error {
	switch {
	case event.Code == wire.EventEntries:
		return nil // the decoder keeps the list
	case event.Code == wire.EventInstance:
		target.number = event.Instance
		target.selected = true
		h.reply.Instance(event.Instance)
		return nil
	case event.Code < wire.EventStart || event.Code > wire.EventInstance:
		h.reportUnknown(event)
		return nil
	}
	inst, err := h.targetInstance(event, target)
	if err != nil {
		return err
	}
	inst.handle(now, event)
	return nil
}

// reportUnknown writes a line about an unknown event code to standard error, once for each code.
func (h *host) reportUnknown(event *wire.Event) {
	if h.reportedUnknown[event.Code] {
		return
	}
	h.reportedUnknown[event.Code] = true
	fmt.Fprintf(h.stderr, "simhost: %v at byte %d: unknown code, skipped\n", event.Code, event.Offset)
}

// targetInstance returns the instance that an event is for. An EventStart creates the instance if it does not
// exist.
func (h *host) targetInstance(event *wire.Event, target *eventTarget) (*instance, error) {
	if !target.selected {
		return nil, &wire.FrameError{
			Record: event.Code.String(), Offset: event.Offset, Reason: "no instance was selected before it"}
	}
	if inst := h.instances[target.number]; inst != nil {
		return inst, nil
	}
	if event.Code != wire.EventStart {
		reason := fmt.Sprintf("instance %d has not started", target.number)
		return nil, &wire.FrameError{Record: event.Code.String(), Offset: event.Offset, Reason: reason}
	}
	inst := &instance{host: h, number: target.number}
	h.instances[target.number] = inst
	return inst, nil
}

// handle passes an event to the balancer. A panic of the balancer stops it and is reported as an exception on the
// wire.
func (i *instance) handle(now monotime.Micros, event *wire.Event) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			i.balancer = nil
			i.reply.Exception(fmt.Sprintf("panic in %v: %v", event.Code, panicValue))
		}
	}()
	switch event.Code {
	case wire.EventStart:
		i.start(now, event)
		return
	case wire.EventStop:
		i.balancer = nil
	}
	b := i.balancer
	if b == nil {
		return
	}
	switch event.Code {
	case wire.EventEndpointList:
		b.UpdateEndpoints(now, event.ListKind, event.Entries)
	case wire.EventRequest:
		b.HandleRequest(now, event.Request)
	case wire.EventHeaders:
		b.HandleHeaders(now, event.Outcome.ID, event.Outcome.Attempt, event.Outcome.Latency)
	case wire.EventOutcome:
		b.HandleOutcome(now, event.Outcome)
	case wire.EventClientGone:
		b.HandleClientGone(now, event.Outcome.ID)
	case wire.EventTimer:
		b.HandleTimer(now, event.Token)
	case wire.EventProbe:
		b.HandleProbe(now, event.Endpoint, event.Status, event.Latency, event.Load)
	}
}

// start replaces the balancer with a new one. Invalid settings are reported as an exception on the wire.
func (i *instance) start(now monotime.Micros, event *wire.Event) {
	i.balancer = nil
	settings, err := wire.ParseSettings(event.Settings)
	if err == nil {
		i.balancer, err = balancer.New(settings, event.Seed, i)
	}
	if err != nil {
		i.reply.Exception(err.Error())
		return
	}
	i.balancer.Start(now)
}

// Send adds a wire record "deliver" to the reply.
func (i *instance) Send(id uint64, endpoint uint32, timeout monotime.Micros) {
	i.reply.Send(id, endpoint, timeout)
}

// Reject adds a wire record "decline" to the reply.
func (i *instance) Reject(id uint64, retryAfter monotime.Micros) { i.reply.Reject(id, retryAfter) }

// Fail adds a wire record "fail" to the reply.
func (i *instance) Fail(id uint64) { i.reply.Fail(id) }

// Cancel adds a wire record "revoke" to the reply.
func (i *instance) Cancel(id uint64, attempt int) { i.reply.Cancel(id, attempt) }

// SetTimer adds a wire record "arm" to the reply.
func (i *instance) SetTimer(delay monotime.Micros, token uint32) { i.reply.SetTimer(delay, token) }

// Probe adds a wire record "sound_out" to the reply.
func (i *instance) Probe(endpoint uint32) { i.reply.Probe(endpoint) }

// Watch adds a wire record "track" to the reply.
func (i *instance) Watch(on bool) { i.reply.Watch(on) }

// Log adds a wire record "trace" to the reply: the message, followed by keys and values.
func (i *instance) Log(message string, args ...any) {
	i.reply.Log(strings.TrimSuffix(fmt.Sprintln(append([]any{message}, args...)...), "\n"))
}
