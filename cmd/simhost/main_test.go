package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
)

const settings = `classes.count=1
prices.probe=1000
classes.0.give-up=500000
classes.0.repeat=pure
classes.0.target=250000
contract.cold-from=0.2
contract.ramp-time=1000000
limits.most-tries=3
limits.probes=true
limits.cancel=true
reporting.fields=busy_reqs
reporting.how=probe
`

// rec returns a record with fields in big endian.
func rec(code byte, fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		if s, ok := f.(string); ok {
			f = []byte(s)
		}
		if err := binary.Write(&b, binary.BigEndian, f); err != nil {
			panic(err)
		}
	}
	out := binary.BigEndian.AppendUint32([]byte{code}, uint32(b.Len()))
	return append(out, b.Bytes()...)
}

// batch returns a frame of records at an instant.
func batch(number uint32, now uint64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, number)
	b = binary.BigEndian.AppendUint32(b, uint32(16+len(body)))
	b = binary.BigEndian.AppendUint64(b, now)
	return append(b, body...)
}

// at names the instance of the records that follow.
func at(i uint32) []byte { return rec(27, i) }

func startRecord(text string) []byte { return rec(16, uint64(5), uint32(len(text)), text) }

// manifest returns list 0, of ready endpoints.
func manifest(ids ...uint32) []byte {
	fields := []any{uint8(0), uint32(len(ids))}
	for _, id := range ids {
		fields = append(fields, id, uint8(0), uint8(0), uint16(0), uint8(0), float32(1), uint64(0))
	}
	return rec(26, fields...)
}

func members(list, kind uint8) []byte { return rec(17, uint32(1), list, kind) }

func request(id uint64, deadline uint64) []byte {
	return rec(18, id, uint64(0), deadline, uint32(0), uint8(0), uint16(0), uint8(0))
}

func answer(id uint64, endpoint uint32, status uint16, answered uint8) []byte {
	return rec(20, id, uint16(0), endpoint, status, uint32(3000), answered, uint8(0))
}

// drive returns what simhost writes for batches.
func drive(t *testing.T, batches ...[]byte) (out, stderr string, err error) {
	t.Helper()
	var o, e bytes.Buffer
	err = run(bytes.NewReader(bytes.Join(batches, nil)), &o, &e)
	return o.String(), e.String(), err
}

// actions returns the number of one reply and the codes of its records.
func actions(t *testing.T, reply []byte) (number uint32, codes []byte) {
	t.Helper()
	if int(binary.BigEndian.Uint32(reply[4:])) != len(reply) {
		t.Fatalf("reply of %d bytes has size %d", len(reply), binary.BigEndian.Uint32(reply[4:]))
	}
	for _, record := range replyRecords(reply) {
		codes = append(codes, record[0])
	}
	if int(binary.BigEndian.Uint32(reply[8:])) != len(codes) {
		t.Fatalf("%d records, %d in the header", len(codes), binary.BigEndian.Uint32(reply[8:]))
	}
	return binary.BigEndian.Uint32(reply), codes
}

// replyRecords returns the records of a reply.
func replyRecords(reply []byte) (records [][]byte) {
	for start := 12; start < len(reply); { // behind the header of the reply
		size := 5 + int(binary.BigEndian.Uint32(reply[start+1:])) // with the header of the record
		records = append(records, reply[start:start+size])
		start += size
	}
	return records
}

func TestEmptyBatchAndEnd(t *testing.T) {
	out, _, err := drive(t, batch(1, 100))
	if err != nil || out != "\x00\x00\x00\x01\x00\x00\x00\x0c\x00\x00\x00\x00" {
		t.Errorf("%x %v", out, err)
	}
}

func TestRequestIsDelivered(t *testing.T) {
	out, stderr, err := drive(t, batch(7, 1000, at(3), startRecord(settings), manifest(11, 12), members(0, 3),
		request(5, 500_000)))
	if err != nil || stderr != "" {
		t.Fatal(stderr, err)
	}
	number, codes := actions(t, []byte(out))
	if number != 7 || codes[0] != 92 || bytes.Count(codes, []byte{80}) != 1 {
		t.Errorf("number %d, codes %v", number, codes)
	}
}

func TestStopAndStartInOneBatch(t *testing.T) {
	out, _, err := drive(t,
		batch(1, 1000, at(3), startRecord(settings), manifest(11), members(0, 3), request(5, 500_000)),
		batch(2, 2000, at(3), rec(25), startRecord(settings), manifest(12), members(0, 3), answer(5, 11, 500, 0),
			request(6, 500_000)))
	require.NoError(t, err)
	first := int(binary.BigEndian.Uint32([]byte(out)[4:]))
	_, codes := actions(t, []byte(out)[first:])
	if bytes.Count(codes, []byte{80}) != 1 || bytes.IndexByte(codes, 81) >= 0 || bytes.IndexByte(codes, 82) >= 0 {
		t.Errorf("the new balancer knows a request of the old one: %v", codes)
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	script := func(instances ...uint32) [][]byte {
		var batches [][]byte
		records := [][]byte{manifest(11, 12, 13)}
		for _, i := range instances {
			records = append(records, at(i), startRecord(settings), members(0, 3))
		}
		batches = append(batches, batch(1, 1000, records...))
		for n := range uint64(30) {
			records = nil
			for _, i := range instances {
				records = append(records, at(i), request(100*uint64(i)+n, 1000*n+500_000))
			}
			batches = append(batches, batch(uint32(n+2), 1000*n+2000, records...))
		}
		return batches
	}
	shared, _, _ := drive(t, script(1, 2)...)
	again, _, _ := drive(t, script(1, 2)...)
	if shared != again {
		t.Fatal("two runs differ")
	}
	separate := ""
	for _, i := range []uint32{1, 2} {
		out, _, _ := drive(t, script(i)...)
		separate += out
	}
	got := recordCounts(shared)
	want := recordCounts(separate)
	if len(got) != len(want) {
		t.Fatalf("%d different records in one process, %d in two", len(got), len(want))
	}
	for record, n := range got {
		if want[record] != n {
			t.Errorf("record %x: %d times in one process, %d in two", record, n, want[record])
		}
	}
}

// recordCounts returns how often each record is in replies.
func recordCounts(replies string) map[string]int {
	counts := map[string]int{}
	for rest := []byte(replies); len(rest) > 0; {
		size := int(binary.BigEndian.Uint32(rest[4:]))
		for _, record := range replyRecords(rest[:size]) {
			counts[string(record)]++
		}
		rest = rest[size:]
	}
	return counts
}

func TestBadInputEndsTheProcess(t *testing.T) {
	good := batch(1, 1000, at(3), startRecord(settings))
	for _, c := range []struct {
		name  string
		input []byte
		want  string
	}{
		{"event before instance", batch(2, 1000, rec(22, uint32(1))), "timeout_fired at byte 16"},
		{"event before begin", batch(2, 1000, at(4), rec(22, uint32(1))), "instance 4 has not begun"},
		{"truncated", batch(2, 1000, at(3))[:20], "batch at byte 20"},
		{"overrun", batch(2, 1000, []byte{18, 0, 0, 1, 0}), "request at byte 17"},
	} {
		out, _, err := drive(t, good, c.input)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c.name, err)
		}
		if number, _ := actions(t, []byte(out)); number != 1 {
			t.Errorf("%s: something was written for the bad batch", c.name)
		}
	}
}

func TestUnknownEventIsReportedOnce(t *testing.T) {
	_, stderr, err := drive(t, batch(1, 1000, rec(99, uint32(1)), rec(99), at(3), startRecord(settings)))
	if err != nil || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, "event 99") {
		t.Errorf("%q %v", stderr, err)
	}
}

func TestBadSettingsAreAnException(t *testing.T) {
	for _, text := range []string{
		strings.Replace(settings, "repeat=pure", "repeat=never", 1),
		strings.Replace(settings, "target=250000", "target=-1", 1),
	} {
		out, _, err := drive(t, batch(1, 1000, at(3), startRecord(text)))
		require.NoError(t, err)
		if _, codes := actions(t, []byte(out)); codes[len(codes)-1] != 89 {
			t.Errorf("codes %v", codes)
		}
	}
}
