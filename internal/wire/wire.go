// Package wire reads and writes the simulator's binary frames and settings
// text. It takes no decisions.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Code numbers an event or an action; the two have separate code spaces.
type Code uint8

// Codes of events.
const (
	EventStart        Code = 16
	EventEndpointList Code = 17
	EventRequest      Code = 18
	EventHeaders      Code = 19
	EventOutcome      Code = 20
	EventClientGone   Code = 21
	EventTimer        Code = 22
	EventProbe        Code = 23
	EventGossip       Code = 24
	EventStop         Code = 25
	EventEntries      Code = 26
	EventInstance     Code = 27
)

// Codes of actions.
const (
	ActionSend      Code = 80
	ActionReject    Code = 81
	ActionFail      Code = 82
	ActionCancel    Code = 83
	ActionSetTimer  Code = 84
	ActionProbe     Code = 85
	ActionRelease   Code = 86
	ActionGossip    Code = 87
	ActionLog       Code = 88
	ActionException Code = 89
	ActionWatch     Code = 90
	ActionListAll   Code = 91
	ActionInstance  Code = 92
)

var eventNames = map[Code]string{
	EventStart: "begin", EventEndpointList: "membership", EventRequest: "request", EventHeaders: "headers",
	EventOutcome: "answer", EventClientGone: "cancelled_by_client", EventTimer: "timeout_fired",
	EventProbe: "health_result", EventGossip: "whisper", EventStop: "stop", EventEntries: "manifest",
	EventInstance: "instance",
}

// String returns the event's name on the wire.
func (c Code) String() string {
	if name, ok := eventNames[c]; ok {
		return name
	}
	return fmt.Sprintf("event %d", uint8(c))
}

const (
	batchHeader  = 16
	replyHeader  = 12
	recordHeader = 5
	entrySize    = 21
	maxLists     = 16
	maxFrameSize = 1 << 30
)

// FrameError says which record is malformed and at which byte of its frame.
type FrameError struct {
	Record string
	Offset int
	Reason string
}

// Error names the record, the byte offset and the reason.
func (e *FrameError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Record, e.Offset, e.Reason)
}

// ReadFrame reads one batch into buf, growing it as needed. It returns io.EOF
// only at a clean end of input.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	if cap(buf) < batchHeader {
		buf = make([]byte, 1<<16)
	}
	buf = buf[:batchHeader]
	if n, err := io.ReadFull(r, buf); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, &FrameError{"batch header", n, "input ends inside it"}
	}
	size := int(binary.BigEndian.Uint32(buf[4:]))
	if size < batchHeader || size > maxFrameSize {
		return nil, &FrameError{"batch header", 4, fmt.Sprintf("frame size %d is out of range", size)}
	}
	for have := batchHeader; have < size; {
		// Grow as bytes arrive: a size alone must not take memory.
		step := min(size-have, 1<<20)
		if cap(buf) < have+step {
			grown := make([]byte, have, max(have+step, 2*cap(buf)))
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:have+step]
		n, err := io.ReadFull(r, buf[have:])
		if err != nil {
			return nil, &FrameError{"batch", have + n, fmt.Sprintf("input ends inside a frame of %d bytes", size)}
		}
		have += step
	}
	return buf, nil
}

// Event is one decoded record. Only the fields of its code are set; slices are
// valid until the next call of Next.
type Event struct {
	Code     Code
	Offset   int    // of the record in its frame
	Instance uint32 // Instance
	Seed     uint64 // Begin
	Settings string // Begin
	ListKind balancer.ListKind
	Entries  []balancer.Endpoint // Membership
	Request  balancer.Request
	Outcome  balancer.Outcome // Answer; Headers and CancelledByClient set parts of it
	Token    uint32           // TimeoutFired
	Endpoint uint32           // HealthResult
	Status   balancer.Status
	Latency  monotime.Micros
	Load     []float32
	Peer     uint16 // Whisper
	Message  []byte
}

// Decoder reads the records of batches. It keeps the numbered lists, which
// outlive a batch.
type Decoder struct {
	frame        []byte
	frameOffset  int
	record       []byte
	recordStart  int
	recordName   string
	recordOffset int
	err          error

	lists    [maxLists][]balancer.Endpoint
	conveyed [maxLists]bool
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
	d.frame, d.frameOffset = frame, batchHeader
	return binary.BigEndian.Uint32(frame), monotime.Micros(binary.BigEndian.Uint64(frame[8:])), nil
}

func (d *Decoder) fail(reason string) {
	if d.err == nil {
		d.err = &FrameError{d.recordName, d.recordStart + d.recordOffset, reason}
	}
}

// take returns the next n bytes of the record, or nil after an error.
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

func (d *Decoder) loadReport() []float32 {
	n := int(d.u8())
	p := d.next(4 * n)
	d.load = d.load[:0]
	for i := 0; i+4 <= len(p); i += 4 {
		d.load = append(d.load, math.Float32frombits(binary.BigEndian.Uint32(p[i:])))
	}
	return d.load
}

// Next decodes one record into e. It returns io.EOF after the last one. A
// record of an unknown code is returned with its code alone.
func (d *Decoder) Next(e *Event) error {
	left := len(d.frame) - d.frameOffset
	if left == 0 {
		return io.EOF
	}
	d.recordStart, d.recordName, d.recordOffset, d.err = d.frameOffset, "record", 0, nil
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
	d.record, d.recordOffset = d.frame[d.frameOffset:d.frameOffset+recordHeader+size], recordHeader
	e.Code, e.Offset = code, d.frameOffset
	switch code {
	case EventStart:
		e.Seed = d.u64()
		e.Settings = string(d.next(int(d.u32())))
	case EventEntries:
		d.entries()
	case EventEndpointList:
		d.u32()
		d.endpointList(e)
	case EventRequest:
		r := &e.Request
		r.ID, r.IdempotencyKey, r.Deadline, r.WorkHint = d.u64(), d.u64(), monotime.Micros(d.u64()), monotime.Micros(d.u32())
		opts := d.u8()
		r.HasWorkHint, r.Retry, r.Write = opts&1 != 0, opts&2 != 0, opts&4 != 0
		r.Tenant, r.Class = d.u16(), d.u8()
	case EventHeaders:
		o := &e.Outcome
		o.ID, o.Attempt, o.Endpoint, o.Latency = d.u64(), int(d.u16()), d.u32(), monotime.Micros(d.u32())
	case EventOutcome:
		o := &e.Outcome
		o.ID, o.Attempt, o.Endpoint = d.u64(), int(d.u16()), d.u32()
		o.Status, o.Latency, o.Answered = d.status(), monotime.Micros(d.u32()), d.u8() != 0
		o.Load = d.loadReport()
	case EventClientGone:
		e.Outcome.ID = d.u64()
	case EventTimer:
		e.Token = d.u32()
	case EventProbe:
		e.Endpoint, e.Status, e.Latency = d.u32(), d.status(), monotime.Micros(d.u32())
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
	if d.err == nil && d.recordOffset < len(d.record) {
		d.fail(fmt.Sprintf("%d bytes too many", len(d.record)-d.recordOffset))
	}
	d.frameOffset += len(d.record)
	return d.err
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
		e.ID, e.Zone, e.Kind, e.Cell = d.u32(), d.u8(), d.u8(), d.u16()
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
	d.lists[id], d.conveyed[id] = list, true
}

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

// Reply builds the answer to one batch. It reuses its buffer.
type Reply struct {
	frame   []byte
	records uint32
}

// Reset starts the reply to a batch.
func (w *Reply) Reset(batch uint32) {
	w.frame = binary.BigEndian.AppendUint32(w.frame[:0], batch)
	w.frame = append(w.frame, 0, 0, 0, 0, 0, 0, 0, 0)
	w.records = 0
}

// Bytes completes the frame.
func (w *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(w.frame[4:], uint32(len(w.frame)))
	binary.BigEndian.PutUint32(w.frame[8:], w.records)
	return w.frame
}

func (w *Reply) startRecord(c Code, size int) {
	w.records++
	w.frame = append(w.frame, byte(c))
	w.u32(uint32(size))
}

func (w *Reply) u16(v uint16) { w.frame = binary.BigEndian.AppendUint16(w.frame, v) }
func (w *Reply) u32(v uint32) { w.frame = binary.BigEndian.AppendUint32(w.frame, v) }
func (w *Reply) u64(v uint64) { w.frame = binary.BigEndian.AppendUint64(w.frame, v) }

func (w *Reply) micros(v monotime.Micros) { w.u32(uint32(min(max(v, 0), math.MaxUint32))) }

// As names the instance that issues the following actions.
func (w *Reply) Instance(instance uint32) { w.startRecord(ActionInstance, 4); w.u32(instance) }

// Deliver writes a deliver record.
func (w *Reply) Send(id uint64, endpoint uint32, timeout monotime.Micros) {
	w.startRecord(ActionSend, 16)
	w.u64(id)
	w.u32(endpoint)
	w.micros(timeout)
}

// Decline writes a decline record.
func (w *Reply) Reject(id uint64, retryIn monotime.Micros) {
	w.startRecord(ActionReject, 12)
	w.u64(id)
	w.micros(retryIn)
}

// Fail writes a fail record.
func (w *Reply) Fail(id uint64) { w.startRecord(ActionFail, 8); w.u64(id) }

// Revoke writes a revoke record.
func (w *Reply) Cancel(id uint64, attempt int) {
	w.startRecord(ActionCancel, 10)
	w.u64(id)
	w.u16(uint16(attempt))
}

// Arm writes an arm record.
func (w *Reply) SetTimer(delay monotime.Micros, token uint32) {
	w.startRecord(ActionSetTimer, 8)
	w.micros(delay)
	w.u32(token)
}

// SoundOut writes a sound_out record.
func (w *Reply) Probe(endpoint uint32) { w.startRecord(ActionProbe, 4); w.u32(endpoint) }

// LetGo writes a let_go record.
func (w *Reply) Release(endpoint uint32) { w.startRecord(ActionRelease, 4); w.u32(endpoint) }

// AllPeers addresses WritePeer to every peer.
const AllPeers uint32 = math.MaxUint32

// WritePeer writes a write_peer record; data beyond 256 bytes is cut off.
func (w *Reply) Gossip(peer uint32, data []byte) {
	data = data[:min(len(data), 256)]
	w.startRecord(ActionGossip, 6+len(data))
	w.u32(peer)
	w.u16(uint16(len(data)))
	w.frame = append(w.frame, data...)
}

func (w *Reply) text(c Code, line string) {
	line = line[:min(len(line), math.MaxUint16)]
	w.startRecord(c, 2+len(line))
	w.u16(uint16(len(line)))
	w.frame = append(w.frame, line...)
}

// Trace writes a trace record.
func (w *Reply) Log(line string) { w.text(ActionLog, line) }

// Exception writes an exception record.
func (w *Reply) Exception(line string) { w.text(ActionException, line) }

// Track writes a track record.
func (w *Reply) Watch(on bool) {
	w.startRecord(ActionWatch, 1)
	if on {
		w.frame = append(w.frame, 1)
	} else {
		w.frame = append(w.frame, 0)
	}
}

// ListAll writes a list_all record.
func (w *Reply) ListAll() { w.startRecord(ActionListAll, 0) }
