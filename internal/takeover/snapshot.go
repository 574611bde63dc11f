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

// State is the snapshot that a predecessor sends to its successor, with its time.
type State struct {
	// TakenAt is the time of the snapshot by Monotonic, which is the same for both processes.
	TakenAt  int64            `json:"Taken"`
	Snapshot *engine.Snapshot `json:"Core"`
	// Reuse is the evidence on which connections to endpoints are reused; nil is none.
	Reuse *reuse.Snapshot `json:"Reuse,omitempty"`
}

// FormatVersion is the version of a State's encoding. A successor rejects a state of another version, and starts
// without what was learned.
const FormatVersion = 2

// magic is the start of an encoded state.
var magic = [4]byte{'D', 'L', 'S', 'S'}

// Offsets of the fields of an encoded state's header, in bytes. Numbers are in big endian.
const (
	versionOffset  = 4  // after magic; 4 bytes
	lengthOffset   = 8  // of the JSON; 8 bytes
	checksumOffset = 16 // CRC-32C of the JSON; 4 bytes
	headerSize     = 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrState is wrapped by all errors of DecodeState.
var ErrState = errors.New("what the other process learned is refused")

// Encode returns the encoded state: a header, and the JSON.
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

// DecodeState decodes a state. It fails with an error that wraps ErrState unless the state is complete and of this
// version.
func DecodeState(b []byte) (*State, error) {
	reject := func(format string, args ...any) (*State, error) {
		return nil, fmt.Errorf("%w: %s", ErrState, fmt.Sprintf(format, args...))
	}
	if len(b) < headerSize || !bytes.Equal(b[:versionOffset], magic[:]) {
		return reject("it is none")
	}
	if v := binary.BigEndian.Uint32(b[versionOffset:]); v != FormatVersion {
		return reject("version %d, not %d", v, FormatVersion)
	}
	text := b[headerSize:]
	if n := binary.BigEndian.Uint64(b[lengthOffset:]); n != uint64(len(text)) {
		return reject("%d of %d bytes", len(text), n)
	}
	if sum := crc32.Checksum(text, castagnoli); sum != binary.BigEndian.Uint32(b[checksumOffset:]) {
		return reject("its checksum is wrong")
	}
	s := &State{}
	if err := json.Unmarshal(text, s); err != nil {
		return reject("%v", err)
	}
	if s.Snapshot == nil {
		return reject("nothing is in it")
	}
	return s, nil
}
