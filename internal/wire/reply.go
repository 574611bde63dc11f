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
func (w *Reply) Reset(batch uint32) {
	w.frame = binary.BigEndian.AppendUint32(w.frame[:0], batch)
	w.frame = append(w.frame, 0, 0, 0, 0, 0, 0, 0, 0) // frame size and number of records: set by Bytes
	w.records = 0
}

// Bytes sets the frame size and the number of records, and returns the frame. The frame is valid until the next
// call of Reset.
func (w *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(w.frame[offsetFrameSize:], uint32(len(w.frame)))
	binary.BigEndian.PutUint32(w.frame[offsetRecords:], w.records)
	return w.frame
}

// startRecord appends the header of a record whose fields have size bytes.
func (w *Reply) startRecord(c Code, size int) {
	w.records++
	w.frame = append(w.frame, byte(c))
	w.u32(uint32(size))
}

func (w *Reply) u16(v uint16) { w.frame = binary.BigEndian.AppendUint16(w.frame, v) }
func (w *Reply) u32(v uint32) { w.frame = binary.BigEndian.AppendUint32(w.frame, v) }
func (w *Reply) u64(v uint64) { w.frame = binary.BigEndian.AppendUint64(w.frame, v) }

func (w *Reply) appendDuration(v monotime.Micros) { w.u32(uint32(min(max(v, 0), math.MaxUint32))) }

// Instance writes a record "as", which states the instance that the following actions belong to.
func (w *Reply) Instance(instance uint32) {
	w.startRecord(ActionInstance, sizeU32)
	w.u32(instance)
}

// Send writes a record "deliver", which sends an attempt of a request to an endpoint.
func (w *Reply) Send(id uint64, endpoint uint32, timeout monotime.Micros) {
	w.startRecord(ActionSend, sizeU64+2*sizeU32)
	w.u64(id)
	w.u32(endpoint)
	w.appendDuration(timeout)
}

// Reject writes a record "decline", which rejects a request with the given Retry-After.
func (w *Reply) Reject(id uint64, retryIn monotime.Micros) {
	w.startRecord(ActionReject, sizeU64+sizeU32)
	w.u64(id)
	w.appendDuration(retryIn)
}

// Fail writes a record "fail", which is the final failure of a request.
func (w *Reply) Fail(id uint64) {
	w.startRecord(ActionFail, sizeU64)
	w.u64(id)
}

// Cancel writes a record "revoke", which cancels an attempt of a request.
func (w *Reply) Cancel(id uint64, attempt int) {
	w.startRecord(ActionCancel, sizeU64+sizeU16)
	w.u64(id)
	w.u16(uint16(attempt))
}

// SetTimer writes a record "arm". After the delay, an EventTimer with the token arrives.
func (w *Reply) SetTimer(delay monotime.Micros, token uint32) {
	w.startRecord(ActionSetTimer, 2*sizeU32)
	w.appendDuration(delay)
	w.u32(token)
}

// Probe writes a record "sound_out", which starts a health check of an endpoint.
func (w *Reply) Probe(endpoint uint32) {
	w.startRecord(ActionProbe, sizeU32)
	w.u32(endpoint)
}

// Release writes a record "let_go", which states that an endpoint is no longer used.
func (w *Reply) Release(endpoint uint32) {
	w.startRecord(ActionRelease, sizeU32)
	w.u32(endpoint)
}

// AllPeers is the peer number with which Gossip sends to every peer.
const AllPeers uint32 = math.MaxUint32

// maxGossipBytes is the size of the longest message to a peer.
const maxGossipBytes = 256

// Gossip writes a record "write_peer", which sends a message to another instance. Data beyond maxGossipBytes is
// cut off.
func (w *Reply) Gossip(peer uint32, data []byte) {
	data = data[:min(len(data), maxGossipBytes)]
	w.startRecord(ActionGossip, sizeU32+sizeU16+len(data))
	w.u32(peer)
	w.u16(uint16(len(data)))
	w.frame = append(w.frame, data...)
}

// textRecord writes a record that consists of a text, which is cut off after 65535 bytes.
func (w *Reply) textRecord(c Code, line string) {
	line = line[:min(len(line), math.MaxUint16)]
	w.startRecord(c, sizeU16+len(line))
	w.u16(uint16(len(line)))
	w.frame = append(w.frame, line...)
}

// Log writes a record "trace", which is a line of the log.
func (w *Reply) Log(line string) { w.textRecord(ActionLog, line) }

// Exception writes a record "exception", which describes an internal error in one line.
func (w *Reply) Exception(line string) { w.textRecord(ActionException, line) }

// Watch writes a record "track", which starts or ends the watch of the endpoint list.
func (w *Reply) Watch(on bool) {
	w.startRecord(ActionWatch, 1)
	if on {
		w.frame = append(w.frame, 1)
	} else {
		w.frame = append(w.frame, 0)
	}
}

// ListAll writes a record "list_all", which requests the complete endpoint list.
func (w *Reply) ListAll() { w.startRecord(ActionListAll, 0) }
