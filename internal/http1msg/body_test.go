package http1msg

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
)

// read reads a body with framing f from text, to its end or to its first error. It also returns the Body.
func read(text string, f Framing) ([]byte, *Body, error) {
	b := NewBody(bufio.NewReader(strings.NewReader(text)), f)
	got, err := io.ReadAll(b)
	return got, b, err
}

// Body reads valid chunked bodies, and rejects malformed, oversized and truncated ones with the matching error.
func TestBodyReadsChunks(t *testing.T) {
	for _, tc := range []struct {
		text, want string
		err        error
	}{
		{"0\r\n\r\n", "", nil},
		{"3\r\nabc\r\n0\r\n\r\n", "abc", nil},
		{"3;a=b;c=\"d\"\r\nabc\r\n0a\r\n0123456789\r\n000\r\n\r\n", "abc0123456789", nil},
		{"3 \r\nabc\r\n0\r\nX-Sum: 7\r\n\r\n", "abc", nil},
		{"3\nabc\r\n0\r\n\r\n", "", ErrMalformedChunk},
		{"3\r\nabc\n0\r\n\r\n", "abc", ErrMalformedChunk},
		{"3\r\nabcd\r\n0\r\n\r\n", "abc", ErrMalformedChunk},
		{"+3\r\nabc\r\n0\r\n\r\n", "", ErrMalformedChunk},
		{"-3\r\nabc\r\n0\r\n\r\n", "", ErrMalformedChunk},
		{"0x3\r\nabc\r\n0\r\n\r\n", "", ErrMalformedChunk},
		{"3_0\r\nabc\r\n0\r\n\r\n", "", ErrMalformedChunk},
		{" 3\r\nabc\r\n0\r\n\r\n", "", ErrMalformedChunk},
		{"\r\nabc\r\n0\r\n\r\n", "", ErrMalformedChunk},
		{"3;a\rb\r\nabc\r\n0\r\n\r\n", "", ErrMalformedChunk},
		{"ffffffffffffffff\r\n", "", ErrMalformedChunk},
		{"10000000000000000\r\n", "", ErrMalformedChunk},
		{"3;" + strings.Repeat("x", 5000) + "\r\nabc\r\n0\r\n\r\n", "", ErrMalformedChunk},
		{"3\r\nab", "ab", io.ErrUnexpectedEOF},
		{"3\r\nabc", "abc", io.ErrUnexpectedEOF},
		{"3\r\nabc\r\n0\r\n", "abc", io.ErrUnexpectedEOF},
		{"0\r\nContent-Length: 5\r\n\r\n", "", ErrMalformedTrailer},
		{"0\r\nIdempotency-Key: 5\r\n\r\n", "", ErrMalformedTrailer},
		{"0\r\nConnection: x\r\n\r\n", "", ErrMalformedTrailer},
		{"0\r\nX : 5\r\n\r\n", "", ErrMalformedTrailer},
		{"0\r\n X: 5\r\n\r\n", "", ErrMalformedTrailer},
		{"0\r\nX: 5\n\r\n", "", ErrMalformedChunk},
		{"0\r\n" + strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 9) + "\r\n", "", ErrMalformedTrailer},
		{
			strings.Repeat("1;"+strings.Repeat("x", 500)+"\r\na\r\n", 20) + "0\r\n\r\n",
			strings.Repeat("a", 16), ErrMalformedChunk,
		},
	} {
		got, b, err := read(tc.text, Framing{Kind: Chunked})
		if string(got) != tc.want || !errors.Is(err, tc.err) || (err == nil) != b.Done() {
			t.Errorf("%.60q: body %q, error %v, want %q, %v", tc.text, got, err, tc.want, tc.err)
		}
	}
	if _, b, err := read("0\r\nX-Sum:\t7 \r\nx-sum: 8\r\n\r\n", Framing{Kind: Chunked}); err != nil ||
		!reflect.DeepEqual(b.Trailer(), http.Header{"X-Sum": {"7", "8"}}) {
		t.Errorf("trailer %v, error %v", b.Trailer(), err)
	}
}

// RequestFraming and ResponseFraming return the framing of a header, or the same error. Responses to HEAD, and
// with status 1xx, 204 and 304, have no body.
func TestFraming(t *testing.T) {
	header := func(pairs ...string) http.Header {
		h := http.Header{}
		for i := 0; i < len(pairs); i += 2 {
			h.Add(pairs[i], pairs[i+1])
		}
		return h
	}
	for _, tc := range []struct {
		header   http.Header
		request  Framing
		response Framing
		err      error
	}{
		{header(), Framing{}, Framing{Kind: UntilClose}, nil},
		{header("Content-Length", "0"), Framing{}, Framing{}, nil},
		{header("Content-Length", "5"), Framing{FixedLength, 5}, Framing{FixedLength, 5}, nil},
		{header("Transfer-Encoding", "Chunked"), Framing{Kind: Chunked}, Framing{Kind: Chunked}, nil},
		{header("Transfer-Encoding", "gzip, chunked"), Framing{}, Framing{}, ErrTransferEncoding},
		{
			header("Transfer-Encoding", "chunked", "Transfer-Encoding", "chunked"),
			Framing{}, Framing{}, ErrTransferEncoding,
		},
		{header("Transfer-Encoding", "chunked", "Content-Length", "5"), Framing{}, Framing{}, ErrLengthAndEncoding},
		{header("Content-Length", "5", "Content-Length", "5"), Framing{}, Framing{}, ErrContentLength},
		{header("Content-Length", "-5"), Framing{}, Framing{}, ErrContentLength},
		{header("Content-Length", "+5"), Framing{}, Framing{}, ErrContentLength},
		{header("Content-Length", "9223372036854775808"), Framing{}, Framing{}, ErrContentLength},
	} {
		if f, err := RequestFraming(tc.header); f != tc.request || !errors.Is(err, tc.err) {
			t.Errorf("request with header %v: framing %v, error %v", tc.header, f, err)
		}
		if f, err := ResponseFraming("GET", 200, tc.header); f != tc.response || !errors.Is(err, tc.err) {
			t.Errorf("response with header %v: framing %v, error %v", tc.header, f, err)
		}
		for _, noBody := range []struct {
			method string
			code   int
		}{{"HEAD", 200}, {"GET", 204}, {"GET", 304}, {"GET", 103}} {
			f, err := ResponseFraming(noBody.method, noBody.code, tc.header)
			if f.Kind != NoBody || !errors.Is(err, tc.err) {
				t.Errorf("response to %v with header %v: framing %v, error %v", noBody, tc.header, f, err)
			}
		}
	}
}

// No byte may be lost when a read deadline passes at any place in a body.
func TestBodyContinuesAfterDeadlines(t *testing.T) {
	text := "3;x=y\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nX-Sum: 7\r\n\r\n"
	reader := &temporarilyFailingReader{r: iotest.OneByteReader(strings.NewReader(text))}
	b := NewBody(bufio.NewReader(reader), Framing{Kind: Chunked})
	var got []byte
	for deadlinesPassed := 0; ; {
		p := make([]byte, 7)
		n, err := b.Read(p)
		got = append(got, p[:n]...)
		if errors.Is(err, errTemporary) {
			deadlinesPassed++
			continue
		}
		if errors.Is(err, io.EOF) {
			if deadlinesPassed < len(text)/2 {
				t.Errorf("only %d deadlines passed while the body was read", deadlinesPassed)
			}
			break
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if string(got) != "abc0123456789abcdef" || b.Trailer().Get("X-Sum") != "7" {
		t.Errorf("body %q, trailer %v", got, b.Trailer())
	}
}

// errTemporary is the error of a read whose deadline has passed.
var errTemporary = errors.New("a deadline")

// temporarilyFailingReader fails with errTemporary before each successful read.
type temporarilyFailingReader struct {
	r    io.Reader
	fail bool
}

func (f *temporarilyFailingReader) Read(p []byte) (int, error) {
	if f.fail = !f.fail; f.fail {
		return 0, errTemporary
	}
	return f.r.Read(p)
}

// For each accepted chunked body: net/http reads the same bytes, the result does not depend on the pieces in
// which the body arrives, and the body is read unchanged, with its trailer fields, after it was encoded again.
func FuzzChunks(f *testing.F) {
	for _, s := range []string{
		"0\r\n\r\n", "3\r\nabc\r\n0\r\nA: b\r\n\r\n", "3;x\r\nabc\r\n00\r\n\r\nnext",
		"3\nabc\n0\n\n", "-1\r\n", "f" + strings.Repeat("f", 16) + "\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got, b, err := read(string(text), Framing{Kind: Chunked})
		slow := NewBody(bufio.NewReader(iotest.OneByteReader(bytes.NewReader(text))), Framing{Kind: Chunked})
		gotSlow, errSlow := io.ReadAll(slow)
		if !bytes.Equal(got, gotSlow) || !errors.Is(errSlow, err) {
			t.Fatalf("%q: body %q, error %v if read at once; body %q, error %v byte by byte",
				text, got, err, gotSlow, errSlow)
		}
		if err != nil {
			return
		}
		std, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if err != nil || !bytes.Equal(std, got) {
			t.Fatalf("%q: body %q; net/http reads %q, error %v", text, got, std, err)
		}
		var reencoded []byte
		if len(got) > 0 {
			reencoded = append(append(AppendChunkHeader(nil, len(got)), got...), crlf...)
		}
		reencoded = AppendLastChunk(reencoded, b.Trailer())
		gotAgain, bodyAgain, err := read(string(reencoded), Framing{Kind: Chunked})
		if err != nil || !bytes.Equal(gotAgain, got) || len(bodyAgain.Trailer()) != len(b.Trailer()) {
			t.Errorf("re-encoded body %q: body %q, error %v", reencoded, gotAgain, err)
		}
	})
}

// Buffered counts the data of the next chunk only if that can be read without waiting.
func TestBufferedLooksBehindChunkFraming(t *testing.T) {
	for arrived, want := range map[string]int{
		"1\r\nx":                 0,
		"1\r\nx\r\n":             0,
		"1\r\nx\r\n2\r\n":        0,
		"1\r\nx\r\n2\r\ny":       1,
		"1\r\nx\r\n2;a=b\r\nyy":  1,
		"1\r\nx\r\n0\r\n":        0,
		"1\r\nx\r\n0\r\n\r\nGET": 0,
		"1\r\nx\r\n\r\n":         0,
	} {
		body := NewBody(bufio.NewReaderSize(strings.NewReader(arrived), 4<<10), Framing{Kind: Chunked})
		if n, err := body.Read(make([]byte, 8)); n != 1 || err != nil {
			t.Fatalf("%q: %d, %v", arrived, n, err)
		}
		if got := body.Buffered(); got != want {
			t.Errorf("%q: %d bytes buffered behind the first chunk, want %d", arrived, got, want)
		}
	}
}
