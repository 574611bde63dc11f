package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Event is one decoded record. Only the fields of its code are set. Slices are valid until the next call of Next.
type Event struct {
	Code     Code
	Offset   int                 // of the record in its frame
	Instance uint32              // EventInstance
	Seed     uint64              // EventStart
	Settings string              // EventStart
	ListKind balancer.ListKind   // EventEndpointList
	Entries  []balancer.Endpoint // EventEndpointList; nil for ListFailed
	Request  balancer.Request    // EventRequest
	Outcome  balancer.Outcome    // EventOutcome; EventHeaders and EventClientGone set parts of it
	Token    uint32              // EventTimer
	Endpoint uint32              // EventProbe
	Status   balancer.Status     // EventProbe
	Latency  monotime.Micros     // EventProbe
	Load     []float32           // EventProbe
	Peer     uint16              // EventGossip
	Message  []byte              // EventGossip
}

// maxLists is the number of numbered endpoint lists on the wire.
const maxLists = 16

// Decoder reads the records of batches. It holds the numbered endpoint lists, which outlive a batch. The zero value is
// ready to use.
type Decoder struct {
	frame       []byte
	frameOffset int // of the next record

	record       []byte // the current record, header included
	recordStart  int    // offset of the record in its frame
	recordName   string
	recordOffset int   // of the next field in the record
	err          error // the first error in the record

	lists    [maxLists][]balancer.Endpoint
	received [maxLists]bool // lists that have been received
	load     []float32      // the load report of the latest record
}

// Reset starts on a frame from ReadFrame and returns its number and clock.
func (d *Decoder) Reset(frame []byte) (batch uint32, now monotime.Micros, err error) {
	if len(frame) < batchHeader {
		return 0, 0, &FrameError{"batch header", len(frame), "shorter than a header"}
	}
	if size := int(binary.BigEndian.Uint32(frame[offsetFrameSize:])); size != len(frame) {
		return 0, 0, &FrameError{"batch header", offsetFrameSize, fmt.Sprintf("size %d but %d bytes", size, len(frame))}
	}
	d.frame = frame
	d.frameOffset = batchHeader
	return binary.BigEndian.Uint32(frame), monotime.Micros(binary.BigEndian.Uint64(frame[offsetClock:])), nil
}

// fail notes an error at the next field. Only the first error of a record counts; later reads return zero.
func (d *Decoder) fail(reason string) {
	if d.err == nil {
		d.err = &FrameError{d.recordName, d.recordStart + d.recordOffset, reason}
	}
}

// failBefore notes an error at the field of n bytes that was read last, unless there is an error already.
func (d *Decoder) failBefore(n int, reason string) {
	if d.err == nil {
		d.recordOffset -= n
		d.fail(reason)
	}
}

// next returns the next n bytes of the record, or nil after an error.
func (d *Decoder) next(n int) []byte {
	if d.err != nil {
		return nil
	}
	if n < 0 || len(d.record)-d.recordOffset < n {
		d.fail(fmt.Sprintf("needs %d more bytes, has %d", n, len(d.record)-d.recordOffset))
		return nil
	}
	p := d.record[d.recordOffset : d.recordOffset+n]
	d.recordOffset += n
	return p
}

func (d *Decoder) u8() uint8 {
	if p := d.next(1); p != nil {
		return p[0]
	}
	return 0
}

func (d *Decoder) u16() uint16 {
	if p := d.next(sizeU16); p != nil {
		return binary.BigEndian.Uint16(p)
	}
	return 0
}

func (d *Decoder) u32() uint32 {
	if p := d.next(sizeU32); p != nil {
		return binary.BigEndian.Uint32(p)
	}
	return 0
}

func (d *Decoder) u64() uint64 {
	if p := d.next(sizeU64); p != nil {
		return binary.BigEndian.Uint64(p)
	}
	return 0
}

// micros reads a duration.
func (d *Decoder) micros() monotime.Micros { return monotime.Micros(d.u32()) }

// Codes of an attempt's status on the wire.
const (
	statusOK            = 200
	statusNotSent       = 410
	statusCancelled     = 499
	statusError         = 500
	statusConnectFailed = 502
	statusRejected      = 503
	statusTimeout       = 504
	statusReset         = 598
)

func (d *Decoder) status() balancer.Status {
	code := d.u16()
	switch code {
	case statusOK:
		return balancer.OK
	case statusError:
		return balancer.Error
	case statusRejected:
		return balancer.Rejected
	case statusTimeout:
		return balancer.Timeout
	case statusConnectFailed:
		return balancer.ConnectFailed
	case statusReset:
		return balancer.Reset
	case statusCancelled:
		return balancer.Cancelled
	case statusNotSent:
		return balancer.NotSent
	}
	d.failBefore(sizeU16, fmt.Sprintf("unknown status %d", code))
	return balancer.Error
}

// loadReport reads a load report. The slice is reused for the next one.
func (d *Decoder) loadReport() []float32 {
	n := int(d.u8())
	p := d.next(sizeU32 * n)
	d.load = d.load[:0]
	for i := 0; i+sizeU32 <= len(p); i += sizeU32 {
		d.load = append(d.load, math.Float32frombits(binary.BigEndian.Uint32(p[i:])))
	}
	return d.load
}

// Next decodes one record into e. It returns io.EOF after the last one. A record of an unknown code is returned with
// its code alone.
func (d *Decoder) Next(e *Event) error {
	left := len(d.frame) - d.frameOffset
	if left == 0 {
		return io.EOF
	}
	d.recordStart = d.frameOffset
	d.recordName = "record"
	d.recordOffset = 0
	d.err = nil
	if left < recordHeader {
		d.fail(fmt.Sprintf("a record header needs %d bytes, has %d", recordHeader, left))
		return d.err
	}
	code := Code(d.frame[d.frameOffset])
	d.recordName = code.String()
	size := int(binary.BigEndian.Uint32(d.frame[d.frameOffset+1:]))
	if size > left-recordHeader {
		d.recordOffset = 1
		d.fail(fmt.Sprintf("fields of %d bytes overrun the frame, which has %d left", size, left-recordHeader))
		return d.err
	}
	d.record = d.frame[d.frameOffset : d.frameOffset+recordHeader+size]
	d.recordOffset = recordHeader
	e.Code = code
	e.Offset = d.frameOffset
	d.fields(e)
	if d.err == nil && d.recordOffset < len(d.record) {
		d.fail(fmt.Sprintf("%d bytes too many", len(d.record)-d.recordOffset))
	}
	d.frameOffset += len(d.record)
	return d.err
}

// fields decodes the fields of the current record into e. Those of an unknown code are skipped.
func (d *Decoder) fields(e *Event) {
	switch e.Code {
	case EventStart:
		e.Seed = d.u64()
		e.Settings = string(d.next(int(d.u32())))
	case EventEntries:
		d.entries()
	case EventEndpointList:
		d.u32() // not used
		d.endpointList(e)
	case EventRequest:
		d.request(&e.Request)
	case EventHeaders:
		e.Outcome.ID = d.u64()
		e.Outcome.Attempt = int(d.u16())
		e.Outcome.Endpoint = d.u32()
		e.Outcome.Latency = d.micros()
	case EventOutcome:
		d.outcome(&e.Outcome)
	case EventClientGone:
		e.Outcome.ID = d.u64()
	case EventTimer:
		e.Token = d.u32()
	case EventProbe:
		e.Endpoint = d.u32()
		e.Status = d.status()
		e.Latency = d.micros()
		e.Load = d.loadReport()
	case EventGossip:
		e.Peer = d.u16()
		e.Message = d.next(int(d.u16()))
	case EventStop:
	case EventInstance:
		e.Instance = d.u32()
	default:
		d.recordOffset = len(d.record)
	}
}

// Bits of a request's options.
const (
	optionHasHint = 1 << iota
	optionRetry
	optionWrite
)

func (d *Decoder) request(r *balancer.Request) {
	r.ID = d.u64()
	r.ObjectKey = d.u64()
	r.Deadline = monotime.Micros(d.u64())
	r.WorkHint = d.micros()
	options := d.u8()
	r.HasWorkHint = options&optionHasHint != 0
	r.Retry = options&optionRetry != 0
	r.Write = options&optionWrite != 0
	r.Tenant = d.u16()
	r.Class = d.u8()
}

func (d *Decoder) outcome(o *balancer.Outcome) {
	o.ID = d.u64()
	o.Attempt = int(d.u16())
	o.Endpoint = d.u32()
	o.Status = d.status()
	o.Latency = d.micros()
	o.Answered = d.u8() != 0
	o.Load = d.loadReport()
}

func (d *Decoder) listNumber() int {
	n := int(d.u8())
	if n >= maxLists {
		d.failBefore(1, fmt.Sprintf("list number %d is over %d", n, maxLists-1))
		return 0
	}
	return n
}

// entries reads a numbered endpoint list.
func (d *Decoder) entries() {
	id := d.listNumber()
	n := int(d.u32())
	if n*entrySize > len(d.record)-d.recordOffset {
		d.failBefore(sizeU32, fmt.Sprintf("%d entries overrun the record", n))
	}
	if d.err != nil {
		return
	}
	list := d.lists[id][:0]
	for i := 0; i < n && d.err == nil; i++ {
		list = append(list, d.endpoint())
	}
	d.lists[id] = list
	d.received[id] = true
}

// Codes of an endpoint's state on the wire.
const (
	stateReady    = 0
	stateDraining = 1
	stateGone     = 3
)

// endpoint reads an entry of an endpoint list.
func (d *Decoder) endpoint() (e balancer.Endpoint) {
	e.ID = d.u32()
	e.Zone = d.u8()
	e.Kind = d.u8()
	e.Cell = d.u16()
	switch state := d.u8(); state {
	case stateReady:
		e.State = balancer.Ready
	case stateDraining:
		e.State = balancer.Draining
	case stateGone:
		e.State = balancer.Gone
	default:
		d.failBefore(1, fmt.Sprintf("unknown endpoint status %d", state))
	}
	e.Share = math.Float32frombits(d.u32())
	e.StartTime = monotime.Micros(d.u64())
	return e
}

// Codes of the kind of an endpoint list on the wire.
const (
	listDelta  = 0
	listFailed = 2
	listCached = 3
	listFull   = 4
)

// endpointList reads the number and the kind of the list of an endpoint list event.
func (d *Decoder) endpointList(e *Event) {
	id := d.u8()
	e.Entries = nil
	switch kind := d.u8(); kind {
	case listDelta:
		e.ListKind = balancer.ListDelta
	case listFull:
		e.ListKind = balancer.ListFull
	case listCached:
		e.ListKind = balancer.ListCached
	case listFailed:
		e.ListKind = balancer.ListFailed
		return
	default:
		d.failBefore(1, fmt.Sprintf("unknown kind %d", kind))
	}
	if d.err != nil {
		return
	}
	if id >= maxLists || !d.received[id] {
		d.failBefore(2, fmt.Sprintf("list number %d has not been conveyed", id)) // number and kind
		return
	}
	e.Entries = d.lists[id]
}
