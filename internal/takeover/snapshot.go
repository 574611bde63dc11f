package takeover

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"dunlinsail/internal/decide/reuse"
	"dunlinsail/internal/engine"
)

// State is the learned state that a predecessor sends to its successor, with the time of its snapshot.
type State struct {
	// TakenAt is the time of the snapshot in microseconds on the clock of Monotonic, which is the same in both
	// processes.
	TakenAt  int64            `json:"Taken"`
	Snapshot *engine.Snapshot `json:"Core"`
	// Reuse is the evidence on the reuse of connections to endpoints; nil if there is none.
	Reuse *reuse.Snapshot `json:"Reuse,omitempty"`
}

// FormatVersion is the version of the encoding of a State. A successor rejects a state with another version,
// and starts without learned state.
const FormatVersion = 2

// magic contains the first bytes of an encoded state.
var magic = [4]byte{'D', 'L', 'S', 'S'}

// Offsets and size of the header of an encoded state, in bytes. Numbers are big-endian.
const (
	versionOffset  = 4  // format version, 4 bytes
	lengthOffset   = 8  // length of the JSON, 8 bytes
	checksumOffset = 16 // CRC-32C of the JSON, 4 bytes
	headerSize     = 20
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// ErrInvalidState is wrapped by all errors that DecodeState returns.
var ErrInvalidState = errors.New("invalid state of the other process")

// Encode returns the encoded state: a header followed by the JSON.
func (state *State) Encode() ([]byte, error) {
	encodedState, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	buf.Grow(headerSize + len(encodedState))
	buf.Write(magic[:])
	buf.Write(binary.BigEndian.AppendUint32(nil, FormatVersion))
	buf.Write(binary.BigEndian.AppendUint64(nil, uint64(len(encodedState))))
	buf.Write(binary.BigEndian.AppendUint32(nil, crc32.Checksum(encodedState, castagnoliTable)))
	buf.Write(encodedState)
	return buf.Bytes(), nil
}

// DecodeState decodes a state. It returns an error that wraps ErrInvalidState if the state is incomplete,
// damaged, or of another version than FormatVersion.
func DecodeState(encoded []byte) (*State, error) {
	reject := func(format string, args ...any) (*State, error) {
		return nil, fmt.Errorf("%w: %s", ErrInvalidState, fmt.Sprintf(format, args...))
	}
	if len(encoded) < headerSize || !bytes.Equal(encoded[:versionOffset], magic[:]) {
		return reject("its header is missing or incomplete")
	}
	if version := binary.BigEndian.Uint32(encoded[versionOffset:]); version != FormatVersion {
		return reject("its version is %d, want %d", version, FormatVersion)
	}
	encodedState := encoded[headerSize:]
	if length := binary.BigEndian.Uint64(encoded[lengthOffset:]); length != uint64(len(encodedState)) {
		return reject("its JSON has %d bytes, want %d", len(encodedState), length)
	}
	if checksum := crc32.Checksum(encodedState, castagnoliTable); checksum !=
		binary.BigEndian.Uint32(encoded[checksumOffset:]) {
		return reject("its checksum does not match")
	}
	state := &State{}
	if err := json.Unmarshal(encodedState, state); err != nil {
		return reject("%v", err)
	}
	if state.Snapshot == nil {
		return reject("it contains no engine snapshot")
	}
	return state, nil
}
