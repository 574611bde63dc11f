package upload

// maxSegment is how many bytes of memory the kernel may leave free in a send buffer that is full for the writer: those
// of a segment of the largest size.
const maxSegment = 64 << 10

// ClientSocket is the state of the client's end of the connection as the kernel reports it. A number that the kernel
// does not report is Unknown.
type ClientSocket struct {
	// Unsent is the number of bytes in the client's send buffer. Bytes that have just arrived may count twice.
	Unsent int64
	// Written is the number of bytes that the client has written to the connection so far.
	Written int64
	// SendBuffer is the size of the client's send buffer, and SendBufferUsed how much of it is in use, in bytes of
	// memory.
	SendBuffer, SendBufferUsed int64
}

// UnknownSocket is the ClientSocket of a client of which the kernel reports nothing.
var UnknownSocket = ClientSocket{Unsent: Unknown, Written: Unknown, SendBuffer: Unknown, SendBufferUsed: Unknown}

// acknowledged returns how many bytes have left the send buffer.
func (s ClientSocket) acknowledged() int64 { return s.Written - s.Unsent }

// free returns how much of the send buffer is not in use.
func (s ClientSocket) free() int64 { return s.SendBuffer - s.SendBufferUsed }

// isWritable reports whether the kernel lets a blocked write go on: a third of the send buffer is free.
func (s ClientSocket) isWritable() bool { return s.free() >= s.SendBufferUsed/2 }

// chunkWriter follows what the client of a chunked body writes.
//
// The kernel reports the numbers of a ClientSocket one after another. They are consistent if nothing was written
// meanwhile: if the next observation has the same ClientSocket.Written.
type chunkWriter struct {
	written      int64 // ClientSocket.Written of the last observation
	examined     bool  // the last observation with the same number has been examined
	acknowledged int64 // ClientSocket.acknowledged of the last observation that was examined
	mayBeBlocked bool  // the last write may have filled the send buffer
	isIdle       bool  // the client writes nothing, although its send buffer has space
}

// observe records an observation of the client's socket.
func (w *chunkWriter) observe(socket ClientSocket) {
	w.isIdle = false
	if socket.Written == Unknown || socket.SendBuffer == Unknown {
		return
	}
	if socket.Written != w.written {
		w.written = socket.Written
		w.examined = false
		return
	}
	switch {
	case !w.examined:
		w.examined = true
		drained := socket.acknowledged() - w.acknowledged // since the last write, at most
		w.mayBeBlocked = socket.free() <= drained+maxSegment && !socket.isWritable()
		w.isIdle = !w.mayBeBlocked
	case !w.mayBeBlocked:
		w.isIdle = true
	case socket.isWritable():
		w.mayBeBlocked = false // the client, if it was blocked, writes by the next observation
	}
	w.acknowledged = socket.acknowledged()
}
