package upstream

import (
	"errors"
	"io"
	"time"

	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/sockqueue"
	"dunlinsail/internal/sockwrite"
)

// This file forwards request bodies that are streamed.

// forwardBody forwards the streaming body, and then closes bodyWritten.
func (e *exchange) forwardBody() {
	complete := e.writeBody()
	close(e.bodyWritten) // before closing the connection: the reader of the response must see which side failed
	if !complete {
		e.conn.Conn.Close() // so that the endpoint does not take part of the body for the complete body
	}
}

// startOfTime returns the instant from which the time of the request counts, as known at the instant now.
func (e *exchange) startOfTime(now monotime.Micros) monotime.Micros {
	stream := e.request.Stream
	stream.observe(now, sockqueue.Unacknowledged(e.conn.raw))
	return stream.startOfTime(e.request.Policy.TimeFromLastByte)
}

// writeBody forwards the streaming body as it arrives. It returns false if reading the body from the client
// failed.
func (e *exchange) writeBody() bool {
	stream := e.request.Stream
	defer func() { stream.endReading(e.pool.options.Clock.Now()) }()
	buf := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buf)
	chunked := stream.Length < 0
	total := int64(0)
	for {
		stream.BeforeRead()
		if stream.aborted.Load() {
			return true
		}
		n, err := stream.read(http1msg.ChunkData(buf[:]))
		total += int64(n)
		if stream.MaxBytes >= 0 && total > stream.MaxBytes {
			n = 0
			err = ErrRequestBodyTooLong
		}
		piece := http1msg.ChunkData(buf[:])[:n]
		if n > 0 && chunked {
			piece = http1msg.FrameChunk(buf[:], n)
		}
		if n > 0 && !e.writeBodyPiece(piece) {
			return true // the endpoint may have responded early; if not, reading the response fails as well
		}
		switch {
		case errors.Is(err, io.EOF):
			if !chunked || e.writeBodyPiece(http1msg.AppendLastChunk(nil, stream.Body.Trailer())) {
				e.bodySent()
			}
			return true
		case err != nil:
			stream.err = err
			return false
		}
	}
}

// writeBodyPiece writes a piece of the streaming body, and reports whether it has been written. An endpoint that takes
// nothing for the idle timeout of the policy ends the attempt, unless it has responded.
func (e *exchange) writeBodyPiece(piece []byte) bool {
	stream := e.request.Stream
	write := sockwrite.Write{
		Conn:        e.conn,
		Raw:         e.conn.raw,
		IdleTimeout: e.request.Policy.IdleTimeout,
		OnWritten:   func(n int) { stream.forwarded.Add(int64(n)) },
		Aborted:     stream.aborted.Load, // finish may have set its deadline before, which each further one replaces
	}
	err := write.Do(piece)
	if isTimeout(err) && !e.headRead.Load() {
		e.responseTimer.expire()
	}
	return err == nil
}

// bodySent records that the last byte of the streaming body has been written.
func (e *exchange) bodySent() {
	e.pool.forwarded.Add(1)
	e.conn.SetWriteDeadline(time.Time{})
	e.sentAt.Store(e.pool.options.Clock.Now())
}
