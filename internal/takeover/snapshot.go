package takeover

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"dunlinsail/internal/engine"
)

// State is the snapshot that a predecessor sends to its successor.
type State struct {
	// TakenAt is on the host's monotonic clock, in microseconds: the same in all its processes.
	TakenAt  int64            `json:"Taken"`
	Snapshot *engine.Snapshot `json:"Core"`
}

// FormatVersion is that of a State's encoding. A state of another version is rejected: the successor then starts with
// what discovery sends.
const FormatVersion = 2

var magic = [4]byte{'D', 'L', 'S', 'S'}

// headerSize is magic, version, length and checksum.
const headerSize = 4 + 4 + 8 + 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrState is wrapped by the errors of DecodeState.
var ErrState = errors.New("what the other process learned is refused")

// Encode encodes the state: magic, version, length and CRC-32C of the JSON that follows.
func (s *State) Encode() ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	b.Grow(headerSize + len(text))
	b.Write(magic[:])
	b.Write(binary.BigEndian.AppendUint32(nil, FormatVersion))
	b.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text))))
	b.Write(binary.BigEndian.AppendUint32(nil, crc32.Checksum(text, castagnoli)))
	b.Write(text)
	return b.Bytes(), nil
}

// DecodeState decodes a state. Anything but a complete one of this version is an error that wraps ErrState.
func DecodeState(b []byte) (*State, error) {
	refused := func(format string, args ...any) (*State, error) {
		return nil, fmt.Errorf("%w: %s", ErrState, fmt.Sprintf(format, args...))
	}
	if len(b) < headerSize || !bytes.Equal(b[:4], magic[:]) {
		return refused("it is none")
	}
	if v := binary.BigEndian.Uint32(b[4:]); v != FormatVersion {
		return refused("version %d, not %d", v, FormatVersion)
	}
	text := b[headerSize:]
	if n := binary.BigEndian.Uint64(b[8:]); n != uint64(len(text)) {
		return refused("%d of %d bytes", len(text), n)
	}
	if sum := crc32.Checksum(text, castagnoli); sum != binary.BigEndian.Uint32(b[16:]) {
		return refused("its checksum is wrong")
	}
	s := &State{}
	if err := json.Unmarshal(text, s); err != nil {
		return refused("%v", err)
	}
	if s.Snapshot == nil {
		return refused("nothing is in it")
	}
	return s, nil
}
