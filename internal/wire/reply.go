package wire

import (
	"encoding/binary"
	"math"

	"dunlinsail/internal/monotime"
)

// Reply builds the reply to one batch: a frame of action records. It reuses its buffer.
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

// Instance writes an as record: it names the instance of the actions that follow.
func (w *Reply) Instance(instance uint32) {
	w.startRecord(ActionInstance, 4)
	w.u32(instance)
}

// Send writes a deliver record.
func (w *Reply) Send(id uint64, endpoint uint32, timeout monotime.Micros) {
	w.startRecord(ActionSend, 16)
	w.u64(id)
	w.u32(endpoint)
	w.micros(timeout)
}

// Reject writes a decline record.
func (w *Reply) Reject(id uint64, retryIn monotime.Micros) {
	w.startRecord(ActionReject, 12)
	w.u64(id)
	w.micros(retryIn)
}

// Fail writes a fail record.
func (w *Reply) Fail(id uint64) {
	w.startRecord(ActionFail, 8)
	w.u64(id)
}

// Cancel writes a revoke record.
func (w *Reply) Cancel(id uint64, attempt int) {
	w.startRecord(ActionCancel, 10)
	w.u64(id)
	w.u16(uint16(attempt))
}

// SetTimer writes an arm record.
func (w *Reply) SetTimer(delay monotime.Micros, token uint32) {
	w.startRecord(ActionSetTimer, 8)
	w.micros(delay)
	w.u32(token)
}

// Probe writes a sound_out record.
func (w *Reply) Probe(endpoint uint32) {
	w.startRecord(ActionProbe, 4)
	w.u32(endpoint)
}

// Release writes a let_go record.
func (w *Reply) Release(endpoint uint32) {
	w.startRecord(ActionRelease, 4)
	w.u32(endpoint)
}

// AllPeers addresses Gossip to every peer.
const AllPeers uint32 = math.MaxUint32

// maxGossip is the longest message to a peer, in bytes.
const maxGossip = 256

// Gossip writes a write_peer record; data beyond maxGossip is cut off.
func (w *Reply) Gossip(peer uint32, data []byte) {
	data = data[:min(len(data), maxGossip)]
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

// Log writes a trace record.
func (w *Reply) Log(line string) { w.text(ActionLog, line) }

// Exception writes an exception record.
func (w *Reply) Exception(line string) { w.text(ActionException, line) }

// Watch writes a track record.
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
