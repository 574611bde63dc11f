package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Sizes and offsets in a frame, in bytes.
const (
	batchHeaderSize   = 16      // batch number, frame size and clock
	replyHeaderSize   = 12      // batch number, frame size and number of records
	recordHeaderSize  = 5       // code of the record and size of its fields
	entrySize         = 21      // one entry of an endpoint list
	maxFrameSize      = 1 << 30 // a frame that states a larger size is malformed
	bufferGrowth      = 1 << 20 // the buffer grows only as bytes arrive, so that a wrong frame size allocates little
	initialBufferSize = 1 << 16 // initial size of the buffer for a frame

	sizeU16 = 2 // sizes of unsigned integers, which are big endian
	sizeU32 = 4
	sizeU64 = 8

	offsetFrameSize = 4 // position of the frame size in the header of a batch or reply
	offsetClock     = 8 // position of the clock in the header of a batch
	offsetRecords   = 8 // position of the number of records in the header of a reply
)

// FrameError describes why a record or frame is malformed.
type FrameError struct {
	Record string // name of the record on the wire
	Offset int    // position in the frame, in bytes
	Reason string // what is wrong at this position
}

// Error returns the name of the record, the position in bytes and the reason.
func (e *FrameError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Record, e.Offset, e.Reason)
}

// ReadFrame reads one batch into buf, or into a larger buffer if buf is too small, and returns the buffer. The
// error is io.EOF if the input ends between two frames, and a *FrameError otherwise.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	if cap(buf) < batchHeaderSize {
		buf = make([]byte, initialBufferSize)
	}
	buf = buf[:batchHeaderSize]
	if n, err := io.ReadFull(r, buf); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, &FrameError{"batch header", n, "input ends inside the header"}
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
