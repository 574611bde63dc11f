package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Event is one decoded event record. Next sets Code, Offset and the fields of this code; the comment of each
// field names its code. Slices are valid until the next call of Next.
type Event struct {
	Code     Code
	Offset   int                 // position of the record in its frame, in bytes
	Instance uint32              // EventInstance
	Seed     uint64              // EventStart
	Settings string              // EventStart
	ListKind balancer.ListKind   // EventEndpointList
	Entries  []balancer.Endpoint // EventEndpointList; nil if ListKind is ListFailed
	Request  balancer.Request    // EventRequest
	Outcome  balancer.Outcome    // EventOutcome; EventHeaders and EventClientGone set some of its fields
	Token    uint32              // EventTimer
	Endpoint uint32              // EventProbe
	Status   balancer.Status     // EventProbe
	Latency  monotime.Micros     // EventProbe
	Load     []float32           // EventProbe
	Peer     uint16              // EventGossip
	Message  []byte              // EventGossip
}

// maxEndpointLists is the number of numbered endpoint lists on the wire.
const maxEndpointLists = 16

// Decoder reads the records of batches. It stores the numbered endpoint lists, which remain valid from one
// batch to the next. The zero value is ready to use.
type Decoder struct {
	frame       []byte
	frameOffset int // position of the next record in the frame

	record       []byte // current record, including its header
	recordStart  int    // position of the current record in its frame
	recordName   string // name of the current record on the wire
	recordOffset int    // position of the next field in the current record
	err          error  // first error in the current record

	lists      [maxEndpointLists][]balancer.Endpoint
	received   [maxEndpointLists]bool // for each list number, whether a list has been received
	loadBuffer []float32              // buffer of the latest record's load report
}

// Reset makes Next start at the first record of a frame from ReadFrame, and returns the frame's batch number
// and clock.
func (d *Decoder) Reset(frame []byte) (batch uint32, now monotime.Micros, err error) {
	if len(frame) < batchHeaderSize {
		return 0, 0, &FrameError{"batch header", len(frame), "shorter than a header"}
	}
	if size := int(binary.BigEndian.Uint32(frame[offsetFrameSize:])); size != len(frame) {
		return 0, 0, &FrameError{"batch header", offsetFrameSize, fmt.Sprintf("size %d but %d bytes", size, len(frame))}
	}
	d.frame = frame
	d.frameOffset = batchHeaderSize
	return binary.BigEndian.Uint32(frame), monotime.Micros(binary.BigEndian.Uint64(frame[offsetClock:])), nil
}

// failAtNextField sets the error of the record, at the position of the next field. Only the first error of a
// record is retained; after an error, all fields are read as zero.
func (d *Decoder) failAtNextField(reason string) {
	if d.err == nil {
		d.err = &FrameError{d.recordName, d.recordStart + d.recordOffset, reason}
	}
}

// failAtPreviousField sets the error of the record, at the position of the field that was just read and has n
// bytes. It has no effect if the record already has an error.
func (d *Decoder) failAtPreviousField(n int, reason string) {
	if d.err == nil {
		d.recordOffset -= n
		d.failAtNextField(reason)
	}
}

// nextBytes returns the next n bytes of the record, or nil if fewer are left or the record has an error.
func (d *Decoder) nextBytes(n int) []byte {
	if d.err != nil {
		return nil
	}
	if n < 0 || len(d.record)-d.recordOffset < n {
		d.failAtNextField(fmt.Sprintf("needs %d more bytes, has %d", n, len(d.record)-d.recordOffset))
		return nil
	}
	p := d.record[d.recordOffset : d.recordOffset+n]
	d.recordOffset += n
	return p
}

func (d *Decoder) u8() uint8 {
	if p := d.nextBytes(1); p != nil {
		return p[0]
	}
	return 0
}

func (d *Decoder) u16() uint16 {
	if p := d.nextBytes(sizeU16); p != nil {
		return binary.BigEndian.Uint16(p)
	}
	return 0
}

func (d *Decoder) u32() uint32 {
	if p := d.nextBytes(sizeU32); p != nil {
		return binary.BigEndian.Uint32(p)
	}
	return 0
}

func (d *Decoder) u64() uint64 {
	if p := d.nextBytes(sizeU64); p != nil {
		return binary.BigEndian.Uint64(p)
	}
	return 0
}

// readDuration reads a duration of 32 bits, in microseconds.
func (d *Decoder) readDuration() monotime.Micros { return monotime.Micros(d.u32()) }

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

func (d *Decoder) readStatus() balancer.Status {
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
	d.failAtPreviousField(sizeU16, fmt.Sprintf("unknown status %d", code))
	return balancer.Error
}

// readLoadReport reads the values of a load report. The next call reuses the returned slice.
func (d *Decoder) readLoadReport() []float32 {
	metricCount := int(d.u8())
	p := d.nextBytes(sizeU32 * metricCount)
	d.loadBuffer = d.loadBuffer[:0]
	for i := 0; i+sizeU32 <= len(p); i += sizeU32 {
		d.loadBuffer = append(d.loadBuffer, math.Float32frombits(binary.BigEndian.Uint32(p[i:])))
	}
	return d.loadBuffer
}

// Next decodes the next record of the frame into e. It returns io.EOF after the last record. For a record with
// an unknown code it sets only e.Code and e.Offset.
func (d *Decoder) Next(e *Event) error {
	remaining := len(d.frame) - d.frameOffset
	if remaining == 0 {
		return io.EOF
	}
	d.recordStart = d.frameOffset
	d.recordName = "record"
	d.recordOffset = 0
	d.err = nil
	if remaining < recordHeaderSize {
		d.failAtNextField(fmt.Sprintf("a record header needs %d bytes, has %d", recordHeaderSize, remaining))
		return d.err
	}
	code := Code(d.frame[d.frameOffset])
	d.recordName = code.String()
	size := int(binary.BigEndian.Uint32(d.frame[d.frameOffset+1:]))
	if size > remaining-recordHeaderSize {
		d.recordOffset = 1
		d.failAtNextField(fmt.Sprintf("fields of %d bytes overrun the frame, which has %d left",
			size, remaining-recordHeaderSize))
		return d.err
	}
	d.record = d.frame[d.frameOffset : d.frameOffset+recordHeaderSize+size]
	d.recordOffset = recordHeaderSize
	e.Code = code
	e.Offset = d.frameOffset
	d.readFields(e)
	if d.err == nil && d.recordOffset < len(d.record) {
		d.failAtNextField(fmt.Sprintf("%d bytes too many", len(d.record)-d.recordOffset))
	}
	d.frameOffset += len(d.record)
	return d.err
}

// readFields decodes the fields of the current record into e. It skips the fields of a record with an unknown
// code.
func (d *Decoder) readFields(e *Event) {
	switch e.Code {
	case EventStart:
		e.Seed = d.u64()
		e.Settings = string(d.nextBytes(int(d.u32())))
	case EventEntries:
		d.readEntries()
	case EventEndpointList:
		d.u32() // a field that no decision uses
		d.readEndpointList(e)
	case EventRequest:
		d.readRequest(&e.Request)
	case EventHeaders:
		e.Outcome.ID = d.u64()
		e.Outcome.Attempt = int(d.u16())
		e.Outcome.Endpoint = d.u32()
		e.Outcome.Latency = d.readDuration()
	case EventOutcome:
		d.readOutcome(&e.Outcome)
	case EventClientGone:
		e.Outcome.ID = d.u64()
	case EventTimer:
		e.Token = d.u32()
	case EventProbe:
		e.Endpoint = d.u32()
		e.Status = d.readStatus()
		e.Latency = d.readDuration()
		e.Load = d.readLoadReport()
	case EventGossip:
		e.Peer = d.u16()
		e.Message = d.nextBytes(int(d.u16()))
	case EventStop:
	case EventInstance:
		e.Instance = d.u32()
	default:
		d.recordOffset = len(d.record)
	}
}

// Bits of the options field of a request.
const (
	optionHasHint = 1 << iota
	optionRetry
	optionWrite
)

func (d *Decoder) readRequest(r *balancer.Request) {
	r.ID = d.u64()
	r.ObjectKey = d.u64()
	r.Deadline = monotime.Micros(d.u64())
	r.WorkHint = d.readDuration()
	options := d.u8()
	r.HasWorkHint = options&optionHasHint != 0
	r.Retry = options&optionRetry != 0
	r.Write = options&optionWrite != 0
	r.Tenant = d.u16()
	r.Class = d.u8()
}

func (d *Decoder) readOutcome(o *balancer.Outcome) {
	o.ID = d.u64()
	o.Attempt = int(d.u16())
	o.Endpoint = d.u32()
	o.Status = d.readStatus()
	o.Latency = d.readDuration()
	o.Answered = d.u8() != 0
	o.Load = d.readLoadReport()
}

func (d *Decoder) readListNumber() int {
	number := int(d.u8())
	if number >= maxEndpointLists {
		d.failAtPreviousField(1, fmt.Sprintf("list number %d exceeds %d", number, maxEndpointLists-1))
		return 0
	}
	return number
}

// readEntries reads an endpoint list and stores it under its number.
func (d *Decoder) readEntries() {
	number := d.readListNumber()
	entryCount := int(d.u32())
	if entryCount*entrySize > len(d.record)-d.recordOffset {
		d.failAtPreviousField(sizeU32, fmt.Sprintf("%d entries overrun the record", entryCount))
	}
	if d.err != nil {
		return
	}
	entries := d.lists[number][:0]
	for i := 0; i < entryCount && d.err == nil; i++ {
		entries = append(entries, d.readEndpoint())
	}
	d.lists[number] = entries
	d.received[number] = true
}

// Codes of an endpoint's state on the wire.
const (
	stateReady    = 0
	stateDraining = 1
	stateGone     = 3
)

// firstGroup is the group of the zone and of the cell with the number 0. An endpoint's zone and cell are always known
// on the wire.
const firstGroup = balancer.UnknownGroup + 1

// readEndpoint reads one entry of an endpoint list.
func (d *Decoder) readEndpoint() (e balancer.Endpoint) {
	e.ID = d.u32()
	e.Zone = d.u8()
	e.Kind = d.u8()
	e.ZoneGroup = firstGroup + balancer.DedupGroup(e.Zone)
	e.CellGroup = firstGroup + balancer.DedupGroup(d.u16())
	switch state := d.u8(); state {
	case stateReady:
		e.State = balancer.Ready
	case stateDraining:
		e.State = balancer.Draining
	case stateGone:
		e.State = balancer.Gone
	default:
		d.failAtPreviousField(1, fmt.Sprintf("unknown endpoint status %d", state))
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

// readEndpointList reads the list number and the kind of an endpoint list event, and sets e.Entries to the
// stored list with this number.
func (d *Decoder) readEndpointList(e *Event) {
	number := d.u8()
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
		d.failAtPreviousField(1, fmt.Sprintf("unknown kind %d", kind))
	}
	if d.err != nil {
		return
	}
	if number >= maxEndpointLists || !d.received[number] {
		// The fields of number and kind have 2 bytes together.
		d.failAtPreviousField(2, fmt.Sprintf("list number %d has not been received", number))
		return
	}
	e.Entries = d.lists[number]
}
