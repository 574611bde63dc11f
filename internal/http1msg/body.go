package http1msg

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
)

// FramingKind is how the end of a message's body is marked.
type FramingKind uint8

// The kinds of framing (RFC 9112 section 6.3).
const (
	NoBody      FramingKind = iota // the message has no body
	FixedLength                    // the body has Framing.Length bytes
	Chunked                        // the body consists of chunks, and ends with an empty chunk and trailer fields
	UntilClose                     // the body ends when the connection is closed; only in responses
)

// Framing determines where a message's body ends.
type Framing struct {
	Kind   FramingKind
	Length int64 // number of bytes if Kind is FixedLength
}

// Framing errors. Two recipients could disagree on where a message with such an error ends.
var (
	ErrContentLength     = errors.New("Content-Length makes no sense")
	ErrTransferEncoding  = errors.New("Transfer-Encoding is not chunked")
	ErrLengthAndEncoding = errors.New("both Content-Length and Transfer-Encoding")
	ErrMalformedChunk    = errors.New("a chunk makes no sense")
	ErrMalformedTrailer  = errors.New("a trailer makes no sense")
)

// RequestFraming returns the framing of a request's body.
func RequestFraming(h http.Header) (Framing, error) {
	f, known, err := declaredFraming(h)
	if err != nil || known {
		return f, err
	}
	return Framing{}, nil
}

// ResponseFraming returns the framing of a response's body. method is the method of the request; code and h are
// the status code and header of the response.
func ResponseFraming(method string, code int, h http.Header) (Framing, error) {
	f, known, err := declaredFraming(h)
	switch {
	case err != nil:
		return f, err
	case method == http.MethodHead || code < 200 || code == http.StatusNoContent || code == http.StatusNotModified:
		return Framing{}, nil // regardless of the header
	case !known:
		return Framing{Kind: UntilClose}, nil
	}
	return f, nil
}

// declaredFraming returns the framing that a header declares. known is false if the header declares no framing.
func declaredFraming(h http.Header) (f Framing, known bool, err error) {
	lengths := h["Content-Length"]
	encodings := h["Transfer-Encoding"]
	switch {
	case len(lengths) > 0 && len(encodings) > 0:
		return f, false, ErrLengthAndEncoding
	case len(encodings) > 1 || len(encodings) == 1 && !equalFold(encodings[0], "chunked"):
		return f, false, ErrTransferEncoding
	case len(encodings) == 1:
		return Framing{Kind: Chunked}, true, nil
	case len(lengths) > 1:
		return f, false, ErrContentLength
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return f, false, ErrContentLength
		}
		if n == 0 {
			return Framing{}, true, nil
		}
		return Framing{Kind: FixedLength, Length: int64(n)}, true, nil
	}
	return f, false, nil
}

// Body reads a message's body. Unlike a body of net/http, it can be read further after a temporary error of the
// connection, such as a deadline, and it accepts only chunks that end as RFC 9112 requires. Read returns io.EOF
// only at the end that the framing defines, and io.ErrUnexpectedEOF if the connection ends earlier. Body is not
// safe for concurrent use.
type Body struct {
	reader        *bufio.Reader
	kind          FramingKind
	remaining     int64 // bytes left of the body, or of the current chunk
	state         chunkState
	overheadBytes int // size of all chunk extensions, or of all trailer fields, so far
	trailer       http.Header
	done          bool
}

// chunkState is the part of a chunked body that is read next.
type chunkState uint8

const (
	chunkHeader  chunkState = iota // the line with the size of a chunk
	chunkData                      // the data of a chunk
	chunkEnd                       // CR LF after the data of a chunk
	chunkTrailer                   // a trailer field, or the empty line after all of them
)

const (
	// maxLineBytes is the maximum length of a chunk header or a trailer field line. It must be less than the
	// size of the reader's buffer.
	maxLineBytes = 2 << 10
	// MaxTrailerBytes is the maximum total size of the trailer fields of a message.
	MaxTrailerBytes = 8 << 10
	// maxExtensionBytes is the maximum total size of the chunk extensions of a message. Of each chunk header,
	// only the bytes beyond chunkSizeDigits count.
	maxExtensionBytes = 8 << 10
	// chunkSizeDigits is the maximum number of digits of a chunk size.
	chunkSizeDigits = 16
	// chunkSizeBase is the base of the number that states a chunk size.
	chunkSizeBase = 16
)

// NewBody returns a Body that reads from r with framing f. The buffer of r must have 4 KiB at least.
func NewBody(r *bufio.Reader, f Framing) *Body {
	return &Body{reader: r, kind: f.Kind, remaining: f.Length, done: f.Kind == NoBody}
}

// Done reports whether the body has been read to its end.
func (b *Body) Done() bool { return b.done }

// Trailer returns the trailer fields of a chunked body that has been read to its end.
func (b *Body) Trailer() http.Header { return b.trailer }

// Buffered returns how many bytes of data can be read without waiting, as far as that is known. Behind the data of a
// chunk it is 1 if the next chunk's data has begun to arrive.
func (b *Body) Buffered() int {
	if b.done {
		return 0
	}
	if b.kind == Chunked && b.state != chunkData {
		return b.bufferedBehindFraming()
	}
	n := b.reader.Buffered()
	if b.kind != UntilClose {
		n = int(min(int64(n), b.remaining))
	}
	return n
}

// bufferedBehindFraming returns 1 if the framing up to the next chunk's data is buffered, and a byte of that data. It
// returns 0 for the last chunk.
func (b *Body) bufferedBehindFraming() int {
	buffered, _ := b.reader.Peek(b.reader.Buffered())
	if b.state == chunkEnd {
		_, afterEnd, found := bytes.Cut(buffered, crlf)
		if !found {
			return 0
		}
		buffered = afterEnd
	}
	header, data, found := bytes.Cut(buffered, crlf)
	if b.state == chunkTrailer || !found || len(header) == 0 || len(data) == 0 || header[0] == '0' {
		return 0
	}
	return 1
}

// Read reads part of the body, as io.Reader describes.
func (b *Body) Read(p []byte) (int, error) {
	switch {
	case b.done:
		return 0, io.EOF
	case b.kind == Chunked:
		if err := b.advanceToData(); err != nil {
			return 0, err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	if b.kind != UntilClose && int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.reader.Read(p)
	if b.kind == UntilClose {
		b.done = errors.Is(err, io.EOF)
		return n, err
	}
	b.remaining -= int64(n)
	if b.remaining == 0 {
		if b.kind == FixedLength {
			b.done = true
		} else {
			b.state = chunkEnd
		}
		if errors.Is(err, io.EOF) {
			err = nil // the next read returns the error if more bytes are expected
		}
	}
	return n, unexpectedEOF(err)
}

// unexpectedEOF returns io.ErrUnexpectedEOF if err is io.EOF, and err otherwise.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// advanceToData reads framing up to the data of the next chunk, or to the end of the body.
func (b *Body) advanceToData() error {
	for b.state != chunkData {
		line, err := b.nextLine()
		if err != nil {
			return err
		}
		if err := b.processLine(line); err != nil {
			return err
		}
		_, _ = b.reader.Discard(len(line) + len(crlf)) // cannot fail, since nextLine has buffered these bytes
		if b.done {
			return nil
		}
	}
	return nil
}

// processLine interprets a line of the framing according to the state, and advances the state.
func (b *Body) processLine(line []byte) error {
	switch b.state {
	case chunkEnd:
		if len(line) > 0 {
			return ErrMalformedChunk
		}
		b.state = chunkHeader
	case chunkHeader:
		return b.processChunkHeader(line)
	case chunkTrailer:
		if len(line) == 0 {
			b.done = true
			return nil
		}
		if b.overheadBytes += len(line); b.overheadBytes > MaxTrailerBytes {
			return ErrMalformedTrailer
		}
		return b.addTrailer(line)
	}
	return nil
}

// processChunkHeader interprets the line with the size of a chunk. The trailer fields follow an empty chunk.
func (b *Body) processChunkHeader(line []byte) (err error) {
	if b.remaining, err = chunkSize(line); err != nil {
		return err
	}
	if b.overheadBytes += max(0, len(line)-chunkSizeDigits); b.overheadBytes > maxExtensionBytes {
		return ErrMalformedChunk
	}
	b.state = chunkData
	if b.remaining == 0 {
		b.state = chunkTrailer
		b.overheadBytes = 0
	}
	return nil
}

// nextLine returns the next line without its CR LF. It does not consume the line.
func (b *Body) nextLine() ([]byte, error) {
	for {
		buffered, _ := b.reader.Peek(b.reader.Buffered())
		if i := bytes.IndexByte(buffered, '\n'); i >= 0 {
			if i == 0 || buffered[i-1] != '\r' || bytes.IndexByte(buffered[:i-1], '\r') >= 0 {
				return nil, ErrMalformedChunk
			}
			return buffered[:i-1], nil
		}
		if len(buffered) > maxLineBytes {
			return nil, ErrMalformedChunk
		}
		if _, err := b.reader.Peek(len(buffered) + 1); err != nil && b.reader.Buffered() <= len(buffered) {
			return nil, unexpectedEOF(err)
		}
	}
}

// chunkSize returns the size that a chunk header states (RFC 9112 section 7.1). The header is a hexadecimal
// number, followed by chunk extensions, which are ignored.
func chunkSize(line []byte) (int64, error) {
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	if bytes.ContainsFunc(extension, isControl) {
		return 0, ErrMalformedChunk
	}
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > chunkSizeDigits {
		return 0, ErrMalformedChunk
	}
	n, err := strconv.ParseUint(string(digits), chunkSizeBase, 64) // ParseUint accepts neither a sign nor a prefix
	if err != nil || n > math.MaxInt64 || bytes.IndexByte(digits, '_') >= 0 {
		return 0, ErrMalformedChunk
	}
	return int64(n), nil
}

// addTrailer parses a trailer field line. It rejects fields that determine where the message ends or how it is
// routed, since both have been decided before the body was read (RFC 9110 section 6.5.1).
func (b *Body) addTrailer(line []byte) error {
	name, value, found := bytes.Cut(line, colon)
	if !found || !isToken(name) || bytes.ContainsFunc(value, isControl) {
		return ErrMalformedTrailer
	}
	key := http.CanonicalHeaderKey(string(name))
	if SingletonHeaders[key] || key == "Trailer" || IsHopByHop(key, nil) {
		return ErrMalformedTrailer
	}
	if b.trailer == nil {
		b.trailer = http.Header{}
	}
	b.trailer.Add(key, string(bytes.Trim(value, " \t")))
	return nil
}

// AppendChunkHeader appends the header of a chunk with n bytes of data to b. n must be at least 1. The caller
// must append the data and then CR LF.
func AppendChunkHeader(b []byte, n int) []byte {
	return append(strconv.AppendInt(b, int64(n), chunkSizeBase), crlf...)
}

// chunkHeaderSpace is the number of bytes that ChunkData reserves at the start of a buffer for the chunk
// header.
const chunkHeaderSpace = 16

// ChunkData returns the part of a buffer into which the data of a chunk is read, so that FrameChunk can add the
// header and the end of the chunk without copying the data. The buffer must be larger than 18 bytes.
func ChunkData(buf []byte) []byte { return buf[chunkHeaderSpace : len(buf)-len(crlf)] }

// FrameChunk returns the chunk whose data is the first n bytes of ChunkData(buf). n must be at least 1. The
// result is a slice of buf.
func FrameChunk(buf []byte, n int) []byte {
	header := AppendChunkHeader(nil, n)
	start := chunkHeaderSpace - len(header)
	copy(buf[start:], header)
	return append(buf[start:chunkHeaderSpace+n], crlf...)
}

// AppendLastChunk appends the end of a chunked body to b: the empty chunk, the trailer fields and an empty
// line.
func AppendLastChunk(b []byte, trailer http.Header) []byte {
	b = append(b, "0\r\n"...)
	if len(trailer) > 0 {
		var text bytes.Buffer
		_ = trailer.Write(&text) // writing to memory does not fail
		b = append(b, text.Bytes()...)
	}
	return append(b, crlf...)
}
