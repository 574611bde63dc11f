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

// FramingKind says how a message's body ends.
type FramingKind uint8

// The kinds of framing (RFC 9112 section 6.3).
const (
	NoBody      FramingKind = iota // there is no body
	FixedLength                    // after Length bytes
	Chunked                        // with a chunk of no bytes, and trailers
	UntilClose                     // with the connection: answers only
)

// Framing says where a message's body ends.
type Framing struct {
	Kind   FramingKind
	Length int64 // of Sized
}

// The errors of framing. Each is of a message that two readers could end in two places.
var (
	ErrContentLength     = errors.New("Content-Length makes no sense")
	ErrTransferEncoding  = errors.New("Transfer-Encoding is not chunked")
	ErrLengthAndEncoding = errors.New("both Content-Length and Transfer-Encoding")
	ErrMalformedChunk    = errors.New("a chunk makes no sense")
	ErrMalformedTrailer  = errors.New("a trailer makes no sense")
)

// RequestFraming returns how a request's body ends, by its header.
func RequestFraming(h http.Header) (Framing, error) {
	f, known, err := declaredFraming(h)
	if err != nil || known {
		return f, err
	}
	return Framing{}, nil
}

// ResponseFraming returns how an answer's body ends, by the request's method, its code and its header.
func ResponseFraming(method string, code int, h http.Header) (Framing, error) {
	f, known, err := declaredFraming(h)
	switch {
	case err != nil:
		return f, err
	case method == http.MethodHead || code < 200 || code == http.StatusNoContent || code == http.StatusNotModified:
		return Framing{}, nil // whatever its header says
	case !known:
		return Framing{Kind: UntilClose}, nil
	}
	return f, nil
}

// announced returns what a header says of the body.
func declaredFraming(h http.Header) (f Framing, known bool, err error) {
	lengths, encodings := h["Content-Length"], h["Transfer-Encoding"]
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

// Body reads a message's body. Unlike net/http's it may be read on after an error of the connection that passes, such
// as a deadline, and it takes no chunk that ends otherwise than RFC 9112 says. Read returns io.EOF only at the end that
// the framing names; where the connection ends before, it is io.ErrUnexpectedEOF.
type Body struct {
	reader    *bufio.Reader
	kind      FramingKind
	remaining int64 // of the length, or of the present chunk
	state     chunkState
	overhead  int // bytes of chunks' heads and trailers so far, of which there may be so many
	trailer   http.Header
	done      bool
}

type chunkState uint8

const (
	chunkHeader chunkState = iota
	chunkData
	chunkEnd
	chunkTrailer
)

const (
	// lineMost is the longest line of a chunk's head or of a trailer. It must fit into the reader's buffer.
	maxLineBytes = 2 << 10
	// MaxTrailerBytes is the most bytes that the trailers of a message may have, and extensionsMost the most that its
	// chunks' extensions may have, beyond the sixteen bytes that a chunk's head needs.
	MaxTrailerBytes   = 8 << 10
	maxExtensionBytes = 8 << 10
)

// NewBody returns the body that follows in r, whose buffer holds 4 KiB at least.
func NewBody(r *bufio.Reader, f Framing) *Body {
	return &Body{reader: r, kind: f.Kind, remaining: f.Length, done: f.Kind == NoBody}
}

// Done says whether the body has been read to its end.
func (b *Body) Done() bool { return b.done }

// Trailer returns the trailers of a chunked body that has been read to its end.
func (b *Body) Trailer() http.Header { return b.trailer }

// Buffered returns how many bytes of data can be read without waiting, as far as that is known.
func (b *Body) Buffered() int {
	if b.done || b.kind == Chunked && b.state != chunkData {
		return 0
	}
	n := b.reader.Buffered()
	if b.kind != UntilClose {
		n = int(min(int64(n), b.remaining))
	}
	return n
}

// Read reads a part of the body.
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
		b.done = err == io.EOF
		return n, err
	}
	b.remaining -= int64(n)
	if b.remaining == 0 {
		if b.kind == FixedLength {
			b.done = true
		} else {
			b.state = chunkEnd
		}
		if err == io.EOF {
			err = nil // if more is wanted, the next read says so
		}
	}
	return n, unexpectedEOF(err)
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// chunk goes on to where data of a chunk can be read, or to the end.
func (b *Body) advanceToData() error {
	for b.state != chunkData {
		line, err := b.peekLine()
		if err != nil {
			return err
		}
		switch b.state {
		case chunkEnd:
			if len(line) > 0 {
				return ErrMalformedChunk
			}
			b.state = chunkHeader
		case chunkHeader:
			if b.remaining, err = chunkSize(line); err != nil {
				return err
			}
			if b.overhead += max(0, len(line)-16); b.overhead > maxExtensionBytes {
				return ErrMalformedChunk
			}
			b.state = chunkData
			if b.remaining == 0 {
				b.state, b.overhead = chunkTrailer, 0
			}
		case chunkTrailer:
			if len(line) == 0 {
				_, _ = b.reader.Discard(len(crlf)) // line has them in the buffer
				b.done = true
				return nil
			}
			if b.overhead += len(line); b.overhead > MaxTrailerBytes {
				return ErrMalformedTrailer
			}
			if err := b.addTrailer(line); err != nil {
				return err
			}
		}
		_, _ = b.reader.Discard(len(line) + len(crlf)) // line has them in the buffer
	}
	return nil
}

// line returns the next line without its end, and leaves it in the buffer.
func (b *Body) peekLine() ([]byte, error) {
	for {
		have, _ := b.reader.Peek(b.reader.Buffered())
		if i := bytes.IndexByte(have, '\n'); i >= 0 {
			if i == 0 || have[i-1] != '\r' || bytes.IndexByte(have[:i-1], '\r') >= 0 {
				return nil, ErrMalformedChunk
			}
			return have[:i-1], nil
		}
		if len(have) > maxLineBytes {
			return nil, ErrMalformedChunk
		}
		if _, err := b.reader.Peek(len(have) + 1); err != nil && b.reader.Buffered() <= len(have) {
			return nil, unexpectedEOF(err)
		}
	}
}

// chunkSize reads a chunk's head (RFC 9112 section 7.1): its size in hexadecimal digits, and extensions, which are
// passed over.
func chunkSize(line []byte) (int64, error) {
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	if bytes.ContainsFunc(extension, isControl) {
		return 0, ErrMalformedChunk
	}
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > 16 {
		return 0, ErrMalformedChunk
	}
	n, err := strconv.ParseUint(string(digits), 16, 64) // takes neither a sign nor a prefix
	if err != nil || n > math.MaxInt64 || bytes.IndexByte(digits, '_') >= 0 {
		return 0, ErrMalformedChunk
	}
	return int64(n), nil
}

// addTrailer notes a trailer. One that decides where a message ends, or who asks for what, must not come behind the
// body, when all that has been settled (RFC 9110 section 6.5.1).
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

// AppendChunkHeader appends the head of a chunk of n bytes, 1 at least, to b; behind the bytes CR LF must follow.
func AppendChunkHeader(b []byte, n int) []byte {
	return append(strconv.AppendInt(b, int64(n), 16), crlf...)
}

// AppendLastChunk appends the end of a chunked body, with its trailers, to b.
func AppendLastChunk(b []byte, trailer http.Header) []byte {
	b = append(b, "0\r\n"...)
	if len(trailer) > 0 {
		var text bytes.Buffer
		_ = trailer.Write(&text) // writing to memory does not fail
		b = append(b, text.Bytes()...)
	}
	return append(b, crlf...)
}
