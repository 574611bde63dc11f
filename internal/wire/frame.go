package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Sizes in bytes.
const (
	batchHeader  = 16 // batch number, frame size, clock
	replyHeader  = 12 // batch number, frame size, number of records
	recordHeader = 5  // code, size of the fields
	entrySize    = 21 // of an endpoint list
	maxFrameSize = 1 << 30
	readStep     = 1 << 20 // a frame's buffer grows as its bytes arrive: a size alone takes no memory
)

// FrameError says which record is malformed, and where.
type FrameError struct {
	Record string // its name on the wire
	Offset int    // in its frame, in bytes
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
		step := min(size-have, readStep)
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
