package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Event is one decoded record. Only the fields of its code are set; slices are
// valid until the next call of Next.
type Event struct {
	Code     Code
	Offset   int                 // of the record in its frame
	Instance uint32              // EventInstance
	Seed     uint64              // EventStart
	Settings string              // EventStart
	ListKind balancer.ListKind   // EventEndpointList
	Entries  []balancer.Endpoint // EventEndpointList
	Request  balancer.Request
	Outcome  balancer.Outcome // EventOutcome; EventHeaders and EventClientGone set parts of it
	Token    uint32           // EventTimer
	Endpoint uint32           // EventProbe
	Status   balancer.Status  // EventProbe
	Latency  monotime.Micros  // EventProbe
	Load     []float32        // EventProbe
	Peer     uint16           // EventGossip
	Message  []byte           // EventGossip
}

// maxLists is how many numbered endpoint lists the wire has.
const maxLists = 16

// Decoder reads the records of batches. It keeps the numbered endpoint lists, which outlive a batch. The zero value
// is ready to use.
type Decoder struct {
	frame       []byte
	frameOffset int // of the next record

	record       []byte // the present one, header included
	recordStart  int    // in its frame
	recordName   string
	recordOffset int   // of the next field in the record
	err          error // the first one in the record

	lists    [maxLists][]balancer.Endpoint
	conveyed [maxLists]bool // lists that were sent
	load     []float32
}

// Reset starts on a frame from ReadFrame and returns its number and clock.
func (d *Decoder) Reset(frame []byte) (batch uint32, now monotime.Micros, err error) {
	if len(frame) < batchHeader {
		return 0, 0, &FrameError{"batch header", len(frame), "shorter than a header"}
	}
	if size := int(binary.BigEndian.Uint32(frame[4:])); size != len(frame) {
		return 0, 0, &FrameError{"batch header", 4, fmt.Sprintf("size %d but %d bytes", size, len(frame))}
	}
	d.frame = frame
	d.frameOffset = batchHeader
	return binary.BigEndian.Uint32(frame), monotime.Micros(binary.BigEndian.Uint64(frame[8:])), nil
}

// fail notes an error at the present field. Only the first of a record counts; later reads return zero.
func (d *Decoder) fail(reason string) {
	if d.err == nil {
		d.err = &FrameError{d.recordName, d.recordStart + d.recordOffset, reason}
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
	if p := d.next(2); p != nil {
		return binary.BigEndian.Uint16(p)
	}
	return 0
}

func (d *Decoder) u32() uint32 {
	if p := d.next(4); p != nil {
		return binary.BigEndian.Uint32(p)
	}
	return 0
}

func (d *Decoder) u64() uint64 {
	if p := d.next(8); p != nil {
		return binary.BigEndian.Uint64(p)
	}
	return 0
}

// micros reads a duration.
func (d *Decoder) micros() monotime.Micros { return monotime.Micros(d.u32()) }

func (d *Decoder) status() balancer.Status {
	code := d.u16()
	switch code {
	case 200:
		return balancer.OK
	case 500:
		return balancer.Error
	case 503:
		return balancer.Rejected
	case 504:
		return balancer.Timeout
	case 502:
		return balancer.ConnectFailed
	case 598:
		return balancer.Reset
	case 499:
		return balancer.Cancelled
	case 410:
		return balancer.NotSent
	}
	if d.err == nil {
		d.recordOffset -= 2
		d.fail(fmt.Sprintf("unknown status %d", code))
	}
	return balancer.Error
}

// loadReport reads a report; the slice is used again for the next.
func (d *Decoder) loadReport() []float32 {
	n := int(d.u8())
	p := d.next(4 * n)
	d.load = d.load[:0]
	for i := 0; i+4 <= len(p); i += 4 {
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

// fields decodes the fields of the present record into e.
func (d *Decoder) fields(e *Event) {
	switch e.Code {
	case EventStart:
		e.Seed = d.u64()
		e.Settings = string(d.next(int(d.u32())))
	case EventEntries:
		d.entries()
	case EventEndpointList:
		d.u32()
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
	if n >= maxLists && d.err == nil {
		d.recordOffset--
		d.fail(fmt.Sprintf("list number %d is over %d", n, maxLists-1))
		return 0
	}
	return n
}

// entries reads a numbered endpoint list.
func (d *Decoder) entries() {
	id := d.listNumber()
	n := int(d.u32())
	if d.err == nil && n*entrySize > len(d.record)-d.recordOffset {
		d.recordOffset -= 4
		d.fail(fmt.Sprintf("%d entries overrun the record", n))
	}
	if d.err != nil {
		return
	}
	list := d.lists[id][:0]
	for i := 0; i < n && d.err == nil; i++ {
		var e balancer.Endpoint
		e.ID = d.u32()
		e.Zone = d.u8()
		e.Kind = d.u8()
		e.Cell = d.u16()
		switch state := d.u8(); state {
		case 0:
			e.State = balancer.Ready
		case 1:
			e.State = balancer.Draining
		case 3:
			e.State = balancer.Gone
		default:
			d.recordOffset--
			d.fail(fmt.Sprintf("unknown endpoint status %d", state))
		}
		e.Share = math.Float32frombits(d.u32())
		e.StartTime = monotime.Micros(d.u64())
		list = append(list, e)
	}
	d.lists[id] = list
	d.conveyed[id] = true
}

// endpointList reads which numbered list an endpoint list event is about, and of which kind that is.
func (d *Decoder) endpointList(e *Event) {
	id := d.u8()
	e.Entries = nil
	switch kind := d.u8(); kind {
	case 0:
		e.ListKind = balancer.ListDelta
	case 4:
		e.ListKind = balancer.ListFull
	case 3:
		e.ListKind = balancer.ListCached
	case 2:
		e.ListKind = balancer.ListFailed
		return
	default:
		d.recordOffset--
		d.fail(fmt.Sprintf("unknown kind %d", kind))
	}
	if d.err != nil {
		return
	}
	if id >= maxLists || !d.conveyed[id] {
		d.recordOffset -= 2
		d.fail(fmt.Sprintf("list number %d has not been conveyed", id))
		return
	}
	e.Entries = d.lists[id]
}
