package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// listReader reads the lists of a response as they arrive, each of which may have any number of lines. Every byte that
// arrives restarts the timer that ends a silent watch.
type listReader struct {
	body           io.Reader
	silenceTimer   *time.Timer
	silenceTimeout time.Duration
	maxListBytes   int64
	bytesRead      int64
	listOffset     int64 // offset in bytes at which the list before ended
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

// Read reads for the decoder. Bytes between two lists count towards the limit of the next one. Blank lines reach it
// after months, and the watch is then opened again.
func (l *listReader) Read(buffer []byte) (int, error) {
	if l.bytesRead-l.listOffset > l.maxListBytes {
		return 0, fmt.Errorf("a list of over %d bytes", l.maxListBytes)
	}
	n, err := l.body.Read(buffer)
	if n > 0 {
		l.silenceTimer.Reset(l.silenceTimeout)
		l.bytesRead += int64(n)
	}
	return n, err
}

// next returns the next list. The end of the response is io.ErrUnexpectedEOF, since a watch does not end by itself.
func (l *listReader) next() (*List, error) {
	l.listOffset = l.decoder.InputOffset()
	list := &List{}
	err := l.decoder.Decode(list)
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case errors.As(err, new(*json.SyntaxError)), errors.As(err, new(*json.UnmarshalTypeError)):
		// The changes in it are lost. The next watch starts after the last valid list and repeats them.
		return nil, fmt.Errorf("malformed list: %w", err)
	}
	return list, err
}
