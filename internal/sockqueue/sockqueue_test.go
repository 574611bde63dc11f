package sockqueue

import (
	"io"
	"net"
	"testing"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
)

// openWindow is a receive window in bytes that takes a segment of the largest size.
const openWindow = 64 << 10

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (sender, receiver *net.TCPConn) {
	t.Helper()
	client, server := connectOver(t, "tcp", "127.0.0.1:0")
	return client.(*net.TCPConn), server.(*net.TCPConn)
}

// connectOver returns the two ends of a connection to a listener at the given address.
func connectOver(t *testing.T, network, address string) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen(network, address)
	require.NoError(t, err)
	defer listener.Close()
	client, err = net.Dial(network, listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	server, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	return client, server
}

// The queues of a connection tell what its receiver has not read and what its sender still holds. The window is closed
// once the receiver's queue is full.
func TestQueuesOfReceiverThatReadsNothing(t *testing.T) {
	sender, receiver := connect(t)
	sending, err := sender.SyscallConn()
	require.NoError(t, err)
	receiving, err := receiver.SyscallConn()
	require.NoError(t, err)
	const sent = 10_000
	_, err = sender.Write(make([]byte, sent))
	require.NoError(t, err)
	scriptedpeer.Eventually(t, "the bytes arrive", func() bool { return Unread(receiving) == sent })
	scriptedpeer.Eventually(t, "the bytes are acknowledged", func() bool { return Unacknowledged(sending) == 0 })
	_, err = io.CopyN(io.Discard, receiver, sent)
	require.NoError(t, err)
	if unread := Unread(receiving); unread != 0 {
		t.Errorf("%d bytes unread after reading", unread)
	}
	if window := Window(receiving); window > 0 && window < openWindow/2 { // 0 on older kernels
		t.Errorf("window of an empty connection: %d", window)
	}
	go func() { _, _ = sender.Write(make([]byte, 32<<20)) }() // until the connection is closed
	scriptedpeer.Eventually(t, "the sender holds bytes", func() bool { return Unacknowledged(sending) > 0 })
	scriptedpeer.Eventually(t, "the window is closed", func() bool { return Window(receiving) < openWindow })
}

// The queues of a closed socket and of a connection without a descriptor are not known.
func TestQueuesOfClosedSocket(t *testing.T) {
	sender, _ := connect(t)
	raw, err := sender.SyscallConn()
	require.NoError(t, err)
	sender.Close()
	if n := Unread(raw); n != Unknown {
		t.Errorf("unread of a closed socket: %d", n)
	}
	if n := Unacknowledged(nil); n != Unknown {
		t.Errorf("unacknowledged without a descriptor: %d", n)
	}
}

// What the peer has written is in the queue of the receiver or in that of the peer, and nowhere else.
func TestPeer(t *testing.T) {
	for name, listener := range map[string]struct{ network, address string }{
		"IPv4":                   {"tcp4", "127.0.0.1:0"},
		"IPv4 on an IPv6 socket": {"tcp", "[::]:0"},
	} {
		t.Run(name, func(t *testing.T) {
			const written = 1_000_000
			client, server := connectOver(t, listener.network, listener.address)
			raw, err := server.(*net.TCPConn).SyscallConn()
			require.NoError(t, err)
			_, err = client.Write(make([]byte, written))
			require.NoError(t, err)
			scriptedpeer.Eventually(t, "all bytes are found", func() bool {
				return Unread(raw)+Peer(server).Unacknowledged == written
			})
			if n := Peer(server).Written; n != written {
				t.Errorf("%d bytes written, want %d", n, written)
			}
			_, err = io.CopyN(io.Discard, server, written)
			require.NoError(t, err)
			scriptedpeer.Eventually(t, "all bytes are read", func() bool { return Peer(server).Unacknowledged == 0 })
			if n := Peer(server).Written; n != written {
				t.Errorf("%d bytes written once they are read, want %d", n, written)
			}
		})
	}
}

// A peer that waits for space in its send buffer has filled that buffer.
func TestSendBufferOfBlockedPeer(t *testing.T) {
	sender, receiver := connect(t)
	go func() { _, _ = sender.Write(make([]byte, 32<<20)) }() // until the connection is closed
	scriptedpeer.Eventually(t, "the send buffer is full", func() bool {
		peer := Peer(receiver)
		return peer.SendBuffer > 0 && peer.SendBufferUsed >= peer.SendBuffer
	})
}

// The last bytes that have arrived are found without being read.
func TestUnreadTail(t *testing.T) {
	const text = "first bytes, last bytes"
	sender, receiver := connect(t)
	raw, err := receiver.SyscallConn()
	require.NoError(t, err)
	if tail, known := UnreadTail(raw, 4); len(tail) > 0 || !known {
		t.Errorf("tail %q of an empty queue, %v", tail, known)
	}
	_, err = io.WriteString(sender, text)
	require.NoError(t, err)
	scriptedpeer.Eventually(t, "the bytes arrive", func() bool { return Unread(raw) == int64(len(text)) })
	for n, want := range map[int]string{4: "ytes", 100: text} {
		if tail, known := UnreadTail(raw, n); string(tail) != want || !known {
			t.Errorf("tail of %d bytes: %q, %v", n, tail, known)
		}
	}
	receiver.Close()
	if _, known := UnreadTail(raw, 4); known {
		t.Error("the tail of a closed socket's queue is known")
	}
}

// addressedConn is a connection with other addresses than it has.
type addressedConn struct {
	net.Conn
	local, remote net.Addr
}

func (c addressedConn) LocalAddr() net.Addr  { return c.local }
func (c addressedConn) RemoteAddr() net.Addr { return c.remote }

// The queue of a peer on another host, of one that is gone and of one that is no TCP socket is not known.
func TestQueueOfUnknownPeer(t *testing.T) {
	_, server := connect(t)
	local := server.LocalAddr()
	unixClient, _ := connectOver(t, "unix", t.TempDir()+"/socket")
	const unusedPort = 1
	for name, conn := range map[string]net.Conn{
		"no such socket": addressedConn{server, local, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: unusedPort}},
		"another host":   addressedConn{server, local, &net.TCPAddr{IP: net.IPv4(192, 0, 2, 1), Port: unusedPort}},
		"no peer":        addressedConn{server, local, nil},
		"unix":           unixClient,
	} {
		if peer := Peer(conn); peer != unknownPeer {
			t.Errorf("%s: %+v", name, peer)
		}
	}
}
