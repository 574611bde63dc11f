package wire

import (
	"encoding/binary"
	"math"

	"dunlinsail/internal/monotime"
)

// Reply builds the reply to one batch, which is a frame of action records. It reuses its buffer. A duration on
// the wire has 32 bits, in microseconds; negative and longer durations are clamped.
type Reply struct {
	frame   []byte
	records uint32 // number of records in the frame
}

// Reset starts the reply to the batch with the given number.
func (r *Reply) Reset(batch uint32) {
	r.frame = binary.BigEndian.AppendUint32(r.frame[:0], batch)
	r.frame = append(r.frame, 0, 0, 0, 0, 0, 0, 0, 0) // frame size and number of records: set by Bytes
	r.records = 0
}

// Bytes sets the frame size and the number of records, and returns the frame. The frame is valid until the next
// call of Reset.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.frame[offsetFrameSize:], uint32(len(r.frame)))
	binary.BigEndian.PutUint32(r.frame[offsetRecords:], r.records)
	return r.frame
}

// startRecord appends the header of a record whose fields have size bytes.
func (r *Reply) startRecord(c Code, size int) {
	r.records++
	r.frame = append(r.frame, byte(c))
	r.u32(uint32(size))
}

func (r *Reply) u16(v uint16) { r.frame = binary.BigEndian.AppendUint16(r.frame, v) }
func (r *Reply) u32(v uint32) { r.frame = binary.BigEndian.AppendUint32(r.frame, v) }
func (r *Reply) u64(v uint64) { r.frame = binary.BigEndian.AppendUint64(r.frame, v) }

func (r *Reply) appendDuration(v monotime.Micros) { r.u32(uint32(min(max(v, 0), math.MaxUint32))) }

// Instance writes a record "as", which states the instance that the following actions belong to.
func (r *Reply) Instance(instance uint32) {
	r.startRecord(ActionInstance, sizeU32)
	r.u32(instance)
}

// Send writes a record "deliver", which sends an attempt of a request to an endpoint.
func (r *Reply) Send(id uint64, endpoint uint32, timeout monotime.Micros) {
	r.startRecord(ActionSend, sizeU64+2*sizeU32)
	r.u64(id)
	r.u32(endpoint)
	r.appendDuration(timeout)
}

// Reject writes a record "decline", which rejects a request with the given Retry-After.
func (r *Reply) Reject(id uint64, retryIn monotime.Micros) {
	r.startRecord(ActionReject, sizeU64+sizeU32)
	r.u64(id)
	r.appendDuration(retryIn)
}

// Fail writes a record "fail", which is the final failure of a request.
func (r *Reply) Fail(id uint64) {
	r.startRecord(ActionFail, sizeU64)
	r.u64(id)
}

// Cancel writes a record "revoke", which cancels an attempt of a request.
func (r *Reply) Cancel(id uint64, attempt int) {
	r.startRecord(ActionCancel, sizeU64+sizeU16)
	r.u64(id)
	r.u16(uint16(attempt))
}

// SetTimer writes a record "arm". After the delay, an EventTimer with the token arrives.
func (r *Reply) SetTimer(delay monotime.Micros, token uint32) {
	r.startRecord(ActionSetTimer, 2*sizeU32)
	r.appendDuration(delay)
	r.u32(token)
}

// Probe writes a record "sound_out", which starts a health check of an endpoint.
func (r *Reply) Probe(endpoint uint32) {
	r.startRecord(ActionProbe, sizeU32)
	r.u32(endpoint)
}

// Release writes a record "let_go", which states that an endpoint is no longer used.
func (r *Reply) Release(endpoint uint32) {
	r.startRecord(ActionRelease, sizeU32)
	r.u32(endpoint)
}

// AllPeers is the peer number with which Gossip sends to every peer.
const AllPeers uint32 = math.MaxUint32

// maxGossipBytes is the size of the longest message to a peer.
const maxGossipBytes = 256

// Gossip writes a record "write_peer", which sends a message to another instance. Data beyond maxGossipBytes is
// cut off.
func (r *Reply) Gossip(peer uint32, data []byte) {
	data = data[:min(len(data), maxGossipBytes)]
	r.startRecord(ActionGossip, sizeU32+sizeU16+len(data))
	r.u32(peer)
	r.u16(uint16(len(data)))
	r.frame = append(r.frame, data...)
}

// textRecord writes a record that consists of a text, which is cut off after 65535 bytes.
func (r *Reply) textRecord(c Code, line string) {
	line = line[:min(len(line), math.MaxUint16)]
	r.startRecord(c, sizeU16+len(line))
	r.u16(uint16(len(line)))
	r.frame = append(r.frame, line...)
}

// Log writes a record "trace", which is a line of the log.
func (r *Reply) Log(line string) { r.textRecord(ActionLog, line) }

// Exception writes a record "exception", which describes an internal error in one line.
func (r *Reply) Exception(line string) { r.textRecord(ActionException, line) }

// Watch writes a record "track", which starts or ends the watch of the endpoint list.
func (r *Reply) Watch(on bool) {
	r.startRecord(ActionWatch, 1)
	if on {
		r.frame = append(r.frame, 1)
	} else {
		r.frame = append(r.frame, 0)
	}
}

// ListAll writes a record "list_all", which requests the complete endpoint list.
func (r *Reply) ListAll() { r.startRecord(ActionListAll, 0) }
