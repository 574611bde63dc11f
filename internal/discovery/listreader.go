package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// listReader decodes the lists of a response as they arrive. A list may span any number of lines. Each read that
// returns bytes restarts the timer that ends a silent watch.
type listReader struct {
	body           io.Reader
	silenceTimer   *time.Timer
	silenceTimeout time.Duration
	maxListBytes   int64
	bytesRead      int64
	listOffset     int64 // offset in the response, in bytes, at which the previous list ended
	decoder        *json.Decoder
}

func (w *Watcher) newListReader(body io.Reader, silenceTimer *time.Timer) *listReader {
	reader := &listReader{
		body:           body,
		silenceTimer:   silenceTimer,
		silenceTimeout: w.SilenceTimeout,
		maxListBytes:   int64(w.maxListBytes),
	}
	reader.decoder = json.NewDecoder(reader)
	return reader
}

// Read reads from the response, for the decoder. It returns an error if a list exceeds maxListBytes. Bytes
// between two lists count towards the limit of the next one; blank lines that keep a watch alive reach the limit
// only after months, and the watch is then opened again.
func (l *listReader) Read(buffer []byte) (int, error) {
	if l.bytesRead-l.listOffset > l.maxListBytes {
		return 0, fmt.Errorf("list exceeds %d bytes", l.maxListBytes)
	}
	n, err := l.body.Read(buffer)
	if n > 0 {
		l.silenceTimer.Reset(l.silenceTimeout)
		l.bytesRead += int64(n)
	}
	return n, err
}

// next returns the next list. It returns io.ErrUnexpectedEOF at the end of the response, because discovery must
// not end a watch.
func (l *listReader) next() (*List, error) {
	l.listOffset = l.decoder.InputOffset()
	list := &List{}
	err := l.decoder.Decode(list)
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case errors.As(err, new(*json.SyntaxError)), errors.As(err, new(*json.UnmarshalTypeError)):
		// The changes in a malformed list are lost. The next watch starts after the last valid list and receives
		// them again.
		return nil, fmt.Errorf("malformed list: %w", err)
	}
	return list, err
}
