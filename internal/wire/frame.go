package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Sizes in bytes.
const (
	batchHeaderSize   = 16      // batch number, frame size, clock
	replyHeaderSize   = 12      // batch number, frame size, number of records
	recordHeaderSize  = 5       // code, size of the fields
	entrySize         = 21      // an entry of an endpoint list
	maxFrameSize      = 1 << 30 // a larger frame is malformed
	bufferGrowth      = 1 << 20 // by which a frame's buffer grows as its bytes arrive: a stated size allocates nothing
	initialBufferSize = 1 << 16 // initial size of a frame's buffer

	sizeU16 = 2 // of integers, which are big endian
	sizeU32 = 4
	sizeU64 = 8

	offsetFrameSize = 4 // in the header of a batch or reply
	offsetClock     = 8 // in the header of a batch
	offsetRecords   = 8 // in the header of a reply
)

// FrameError is a malformed record or frame.
type FrameError struct {
	Record string // the record's name on the wire
	Offset int    // in its frame, in bytes
	Reason string
}

// Error names the record, the byte offset and the reason.
func (e *FrameError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Record, e.Offset, e.Reason)
}

// ReadFrame reads one batch into buf, or into a larger copy, which it returns. Its error is io.EOF only at the end of
// input between two frames, and otherwise a *FrameError.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	if cap(buf) < batchHeaderSize {
		buf = make([]byte, initialBufferSize)
	}
	buf = buf[:batchHeaderSize]
	if n, err := io.ReadFull(r, buf); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, &FrameError{"batch header", n, "input ends inside it"}
	}
	size := int(binary.BigEndian.Uint32(buf[offsetFrameSize:]))
	if size < batchHeaderSize || size > maxFrameSize {
		return nil, &FrameError{"batch header", offsetFrameSize, fmt.Sprintf("frame size %d is out of range", size)}
	}
	for received := batchHeaderSize; received < size; {
		step := min(size-received, bufferGrowth)
		if cap(buf) < received+step {
			larger := make([]byte, received, max(received+step, 2*cap(buf)))
			copy(larger, buf)
			buf = larger
		}
		buf = buf[:received+step]
		n, err := io.ReadFull(r, buf[received:])
		if err != nil {
			return nil, &FrameError{"batch", received + n, fmt.Sprintf("input ends inside a frame of %d bytes", size)}
		}
		received += step
	}
	return buf, nil
}
