package takeover

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"syscall"
	"testing"

	decide "dunlinsail/internal/decide/takeover"
	"dunlinsail/internal/fake/require"
)

// The golden files were written by the build of commit 870f4ac. They must never be changed, because the two
// processes of a hot restart may be of different builds.

// TestStateOfEarlierBuild decodes a state of an earlier build in which every field is set, and checks that
// encoding it again yields the same bytes.
func TestStateOfEarlierBuild(t *testing.T) {
	golden, err := os.ReadFile("testdata/state.golden")
	require.NoError(t, err)
	state, err := DecodeState(golden)
	require.NoError(t, err)
	encoded, err := state.Encode()
	require.NoError(t, err)
	if !bytes.Equal(encoded, golden) {
		t.Errorf("encoded again:\n%s\nwant:\n%s", encoded[headerSize:], golden[headerSize:])
	}
}

// TestMessagesOfEarlierBuild checks that each kind of message is written as the packet of the earlier build,
// and that this packet is read as the same message.
func TestMessagesOfEarlierBuild(t *testing.T) {
	golden := goldenPackets(t)
	messages := map[string]Message{
		"hello":     HelloMessage(),
		"offer":     {Kind: decide.Offer, Payload: []byte("what is offered")},
		"ready":     {Kind: decide.Ready},
		"go":        {Kind: decide.Handover, Payload: []byte("state")},
		"prepared":  {Kind: decide.Prepared},
		"yours":     {Kind: decide.Activate},
		"done":      {Kind: decide.Done},
		"stopping":  {Kind: decide.Stopping},
		"refused":   {Kind: decide.Rejected, Payload: []byte("not ready in time")},
		"passed":    {Kind: decide.HandedOver},
		"took-back": {Kind: decide.Resumed},
		"handed":    {Kind: ConnectionHandedOver},
		"chunk":     {Kind: chunk, Payload: []byte("part")},
		"words":     {Kind: Cordons, Payload: []byte(`[{"Name":"s-0","Out":true,"At":1}]`)},
	}
	if len(golden) != len(messages) {
		t.Errorf("%d golden messages, %d here", len(golden), len(messages))
	}
	for name, m := range messages {
		t.Run(name, func(t *testing.T) {
			if golden[name] == nil {
				t.Fatal("no golden packet")
			}
			checkWritten(t, m, golden[name])
			checkRead(t, golden[name], m)
		})
	}
}

// goldenPackets returns the packets of the earlier build by the names of their messages.
func goldenPackets(t *testing.T) map[string][]byte {
	t.Helper()
	content, err := os.ReadFile("testdata/messages.golden")
	require.NoError(t, err)
	golden := map[string][]byte{}
	for line := range strings.Lines(string(content)) {
		name, encodedPacket, _ := strings.Cut(strings.TrimSpace(line), " ")
		if golden[name], err = hex.DecodeString(encodedPacket); err != nil {
			t.Fatal(err)
		}
	}
	return golden
}

// checkWritten checks that message m is written as the packet want.
func checkWritten(t *testing.T, m Message, want []byte) {
	t.Helper()
	sender, receiver := newConnPair(t)
	require.NoError(t, sender.Write(m))
	if got := readPacket(t, receiver); !bytes.Equal(got, want) {
		t.Errorf("written as %x, want %x", got, want)
	}
}

// checkRead checks that a packet is read as the message want.
func checkRead(t *testing.T, packet []byte, want Message) {
	t.Helper()
	sender, receiver := newConnPair(t)
	if _, err := sender.unixConn.Write(packet); err != nil {
		t.Fatal(err)
	}
	if want.Kind == chunk { // a chunk is the first part of the message that follows
		require.NoError(t, sender.Write(Message{Kind: decide.Ready}))
		want.Kind = decide.Ready
	}
	got, err := receiver.Read()
	require.NoError(t, err)
	if got.Kind != want.Kind || !bytes.Equal(got.Payload, want.Payload) || len(got.Files) != 0 {
		t.Errorf("read %d %q with %d files, want %d %q",
			got.Kind, got.Payload, len(got.Files), want.Kind, want.Payload)
	}
}

// TestLongMessageOfEarlierBuild checks how a long message is divided into packets, and that the last packet
// carries the open files.
func TestLongMessageOfEarlierBuild(t *testing.T) {
	sender, receiver := newConnPair(t)
	payload := bytes.Repeat([]byte("0123456789abcdef"), 4096+1)
	offer := Message{Kind: decide.Offer, Payload: payload, Sockets: []syscall.Conn{sender.unixConn}}
	require.NoError(t, sender.Write(offer))
	for i, want := range []struct {
		kind    byte
		payload []byte
		files   int
	}{
		{kind: 101, payload: payload[:32<<10]},
		{kind: 101, payload: payload[32<<10 : 64<<10]},
		{kind: 1, payload: payload[64<<10:], files: 1},
	} {
		buf := make([]byte, 1<<17)
		controlData := make([]byte, 1024)
		n, oobn, _, _, err := receiver.unixConn.ReadMsgUnix(buf, controlData)
		require.NoError(t, err)
		files, err := receivedFiles(controlData[:oobn])
		require.NoError(t, err)
		for _, f := range files {
			f.Close()
		}
		if buf[0] != want.kind || !bytes.Equal(buf[1:n], want.payload) || len(files) != want.files {
			t.Errorf("packet %d: kind %d, %d bytes, %d files", i, buf[0], n, len(files))
		}
	}
}

// newConnPair returns both ends of a connection, which are closed at the end of the test.
func newConnPair(t *testing.T) (sender, receiver *Conn) {
	t.Helper()
	sender, receiver, err := ConnPair()
	require.NoError(t, err)
	t.Cleanup(func() {
		sender.Close()
		receiver.Close()
	})
	return sender, receiver
}

// readPacket reads the next packet of a connection.
func readPacket(t *testing.T, c *Conn) []byte {
	t.Helper()
	buf := make([]byte, 1<<17)
	n, err := c.unixConn.Read(buf)
	require.NoError(t, err)
	return buf[:n]
}
