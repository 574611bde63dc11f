// Command simwire records a scripted input for bin/simhost, and sums up simhost's answers to a recorded input.
//
//	simwire record PROGRAM SEED >INPUT   plays seeded clients and endpoints against PROGRAM, writes its input
//	simwire digest [TEXT] <ANSWERS       writes counts and SHA-256 sums of the answers; all actions into TEXT
//
// The script needs nothing of the balancer's packages, so that it stays the same while their names change: it writes
// the records of the simulator's wire byte by byte. See .ci/decisions.
package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"sort"
	"strconv"
)

// Codes of the events that are sent.
const (
	codeStart             = 16
	codeMembership        = 17
	codeRequest           = 18
	codeHeaders           = 19
	codeAnswer            = 20
	codeCancelledByClient = 21
	codeTimeoutFired      = 22
	codeHealthResult      = 23
	codeWhisper           = 24
	codeStop              = 25
	codeManifest          = 26
	codeInstance          = 27
)

// Codes of the actions that come back.
const (
	codeDeliver   = 80
	codeDecline   = 81
	codeFail      = 82
	codeRevoke    = 83
	codeArm       = 84
	codeSoundOut  = 85
	codeTrace     = 88
	codeException = 89
	codeTrack     = 90
	codeListAll   = 91
	codeAs        = 92
)

var actionNames = map[byte]string{
	codeDeliver: "deliver", codeDecline: "decline", codeFail: "fail", codeRevoke: "revoke", codeArm: "arm",
	codeSoundOut: "sound_out", 86: "let_go", 87: "write_peer", codeTrace: "trace", codeException: "exception",
	codeTrack: "track", codeListAll: "list_all", codeAs: "as",
}

const (
	replyHeaderSize  = 12
	recordHeaderSize = 5
	digestEvery      = 200 // replies of one line of the digest
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "simwire:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	switch {
	case len(args) == 3 && args[0] == "record":
		seed, err := strconv.ParseUint(args[2], 10, 64)
		if err != nil {
			return err
		}
		return record(args[1], seed, os.Stdout)
	case len(args) >= 1 && len(args) <= 2 && args[0] == "digest":
		if len(args) == 1 {
			return digest(os.Stdin, io.Discard, os.Stdout)
		}
		file, err := os.Create(args[1])
		if err != nil {
			return err
		}
		return errors.Join(digest(os.Stdin, file, os.Stdout), file.Close())
	}
	return errors.New("usage: simwire record PROGRAM SEED | simwire digest [TEXT]")
}

// action is one record of a reply.
type action struct {
	code   byte
	fields []byte
}

// readReply reads the reply to one batch; io.EOF comes at the end of all replies only.
func readReply(in io.Reader) (batch uint32, actions []action, err error) {
	var header [replyHeaderSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(header[4:]))
	if size < replyHeaderSize {
		return 0, nil, fmt.Errorf("reply of %d bytes", size)
	}
	body := make([]byte, size-replyHeaderSize)
	if _, err := io.ReadFull(in, body); err != nil {
		return 0, nil, fmt.Errorf("cut-off reply: %w", err)
	}
	for len(body) > 0 {
		if len(body) < recordHeaderSize {
			return 0, nil, errors.New("cut-off record")
		}
		length := int(binary.BigEndian.Uint32(body[1:]))
		end := recordHeaderSize + length
		if end > len(body) {
			return 0, nil, errors.New("cut-off fields")
		}
		actions = append(actions, action{body[0], body[recordHeaderSize:end]})
		body = body[end:]
	}
	if want := int(binary.BigEndian.Uint32(header[8:])); want != len(actions) {
		return 0, nil, fmt.Errorf("%d records, header says %d", len(actions), want)
	}
	return binary.BigEndian.Uint32(header[:]), actions, nil
}

// digest prints the digests of all replies. The texts of trace and exception records are left out, since they may be
// improved; that a record comes, and when, is in.
func digest(in io.Reader, text, out io.Writer) error {
	in = bufio.NewReaderSize(in, 1<<20)
	lines := bufio.NewWriter(text)
	counts := map[byte]int{}
	all := sha256.New()
	part := sha256.New()
	var sums bytes.Buffer
	replies := 0
	for {
		batch, actions, err := readReply(in)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		for _, a := range actions {
			counts[a.code]++
			fields := hex.EncodeToString(a.fields)
			if a.code == codeTrace || a.code == codeException {
				fields = "-"
			}
			line := fmt.Sprintf("%d %s %s\n", batch, actionNames[a.code], fields)
			if _, err := io.WriteString(io.MultiWriter(lines, all, part), line); err != nil {
				return err
			}
		}
		replies++
		if replies%digestEvery == 0 {
			fmt.Fprintf(&sums, "replies to %d: %x\n", replies, part.Sum(nil)[:8])
			part.Reset()
		}
	}
	fmt.Fprintf(out, "replies %d\nsha256 %x\n", replies, all.Sum(nil))
	var codes []int
	for code := range counts {
		codes = append(codes, int(code))
	}
	sort.Ints(codes)
	for _, code := range codes {
		fmt.Fprintf(out, "%s %d\n", actionNames[byte(code)], counts[byte(code)])
	}
	if _, err := out.Write(sums.Bytes()); err != nil {
		return err
	}
	return lines.Flush()
}

// rec writes one record of the wire.
func rec(code byte, fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		switch v := f.(type) {
		case string:
			b.WriteString(v)
		case []float32:
			for _, x := range v {
				b.Write(binary.BigEndian.AppendUint32(nil, math.Float32bits(x)))
			}
		default:
			if err := binary.Write(&b, binary.BigEndian, f); err != nil {
				panic(err) // a field of this program's own is no number
			}
		}
	}
	out := binary.BigEndian.AppendUint32([]byte{code}, uint32(b.Len()))
	return append(out, b.Bytes()...)
}
