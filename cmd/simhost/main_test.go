package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
)

// testSettings are the settings of the balancers in these tests, in the format of the wire.
const testSettings = `classes.count=1
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

// encodeRecord encodes a wire record: its code, the size of its fields, and the fields in big endian.
func encodeRecord(code byte, fields ...any) []byte {
	var body bytes.Buffer
	for _, field := range fields {
		if text, ok := field.(string); ok {
			field = []byte(text)
		}
		if err := binary.Write(&body, binary.BigEndian, field); err != nil {
			panic(err)
		}
	}
	out := binary.BigEndian.AppendUint32([]byte{code}, uint32(body.Len()))
	return append(out, body.Bytes()...)
}

// encodeBatch encodes a frame of records with its batch number and time in microseconds.
func encodeBatch(number uint32, now uint64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	frame := binary.BigEndian.AppendUint32(nil, number)
	frame = binary.BigEndian.AppendUint32(frame, uint32(16+len(body)))
	frame = binary.BigEndian.AppendUint64(frame, now)
	return append(frame, body...)
}

// instanceRecord encodes the event that sets the target instance of the records after it.
func instanceRecord(instance uint32) []byte { return encodeRecord(27, instance) }

// startRecord encodes the event that starts a balancer with the given settings and the seed 5.
func startRecord(settingsText string) []byte {
	return encodeRecord(16, uint64(5), uint32(len(settingsText)), settingsText)
}

// readyEntriesRecord encodes the numbered list 0 of endpoint entries, with ready endpoints of the given IDs.
func readyEntriesRecord(ids ...uint32) []byte {
	fields := []any{uint8(0), uint32(len(ids))}
	for _, id := range ids {
		fields = append(fields, id, uint8(0), uint8(0), uint16(0), uint8(0), float32(1), uint64(0))
	}
	return encodeRecord(26, fields...)
}

// endpointListRecord encodes the event that passes a numbered list of entries to the balancer, as an endpoint list
// of the given kind.
func endpointListRecord(list, kind uint8) []byte { return encodeRecord(17, uint32(1), list, kind) }

// requestRecord encodes the event of a new request with its deadline in microseconds.
func requestRecord(id uint64, deadline uint64) []byte {
	return encodeRecord(18, id, uint64(0), deadline, uint32(0), uint8(0), uint16(0), uint8(0))
}

// outcomeRecord encodes the outcome of a request's first attempt, with a latency of 3 ms. A nonzero value of final
// means that the request has its final response.
func outcomeRecord(id uint64, endpoint uint32, status uint16, final uint8) []byte {
	return encodeRecord(20, id, uint16(0), endpoint, status, uint32(3000), final, uint8(0))
}

// runBatches runs simhost on encoded batches and returns what it writes to standard output and standard error.
func runBatches(t *testing.T, batches ...[]byte) (out, stderr string, err error) {
	t.Helper()
	var outBuffer, errBuffer bytes.Buffer
	err = run(bytes.NewReader(bytes.Join(batches, nil)), &outBuffer, &errBuffer)
	return outBuffer.String(), errBuffer.String(), err
}

// actionCodes returns the batch number of a reply and the codes of its records. It checks the size and the number
// of records in the header.
func actionCodes(t *testing.T, reply []byte) (number uint32, codes []byte) {
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
	for start := 12; start < len(reply); { // after the header of the reply
		size := 5 + int(binary.BigEndian.Uint32(reply[start+1:])) // including the header of the record
		records = append(records, reply[start:start+size])
		start += size
	}
	return records
}

// A batch without events gets a reply without records, and the end of the input ends the run without an error.
func TestEmptyBatchAndEnd(t *testing.T) {
	out, _, err := runBatches(t, encodeBatch(1, 100))
	if err != nil || out != "\x00\x00\x00\x01\x00\x00\x00\x0c\x00\x00\x00\x00" {
		t.Errorf("output %x, error %v", out, err)
	}
}

// A request is sent to an endpoint once, and the reply has the number of its batch.
func TestRequestIsDelivered(t *testing.T) {
	out, stderr, err := runBatches(t, encodeBatch(7, 1000, instanceRecord(3), startRecord(testSettings),
		readyEntriesRecord(11, 12), endpointListRecord(0, 3), requestRecord(5, 500_000)))
	if err != nil || stderr != "" {
		t.Fatal(stderr, err)
	}
	number, codes := actionCodes(t, []byte(out))
	if number != 7 || codes[0] != 92 || bytes.Count(codes, []byte{80}) != 1 {
		t.Errorf("batch number %d, codes %v", number, codes)
	}
}

// A balancer that starts in the batch that stopped another one does not know the requests of that one.
func TestStopAndStartInOneBatch(t *testing.T) {
	out, _, err := runBatches(t,
		encodeBatch(1, 1000, instanceRecord(3), startRecord(testSettings), readyEntriesRecord(11),
			endpointListRecord(0, 3), requestRecord(5, 500_000)),
		encodeBatch(2, 2000, instanceRecord(3), encodeRecord(25), startRecord(testSettings),
			readyEntriesRecord(12), endpointListRecord(0, 3), outcomeRecord(5, 11, 500, 0), requestRecord(6, 500_000)))
	require.NoError(t, err)
	firstSize := int(binary.BigEndian.Uint32([]byte(out)[4:]))
	_, codes := actionCodes(t, []byte(out)[firstSize:])
	if bytes.Count(codes, []byte{80}) != 1 || bytes.IndexByte(codes, 81) >= 0 || bytes.IndexByte(codes, 82) >= 0 {
		t.Errorf("the new balancer acted on a request of the stopped one: codes %v", codes)
	}
}

// Two instances in one process take the same actions as in a process each, and two runs give the same output.
func TestInstancesAreIndependent(t *testing.T) {
	batchesFor := func(instances ...uint32) [][]byte {
		var batches [][]byte
		records := [][]byte{readyEntriesRecord(11, 12, 13)}
		for _, i := range instances {
			records = append(records, instanceRecord(i), startRecord(testSettings), endpointListRecord(0, 3))
		}
		batches = append(batches, encodeBatch(1, 1000, records...))
		for n := range uint64(30) {
			records = nil
			for _, i := range instances {
				records = append(records, instanceRecord(i), requestRecord(100*uint64(i)+n, 1000*n+500_000))
			}
			batches = append(batches, encodeBatch(uint32(n+2), 1000*n+2000, records...))
		}
		return batches
	}
	shared, _, _ := runBatches(t, batchesFor(1, 2)...)
	sharedAgain, _, _ := runBatches(t, batchesFor(1, 2)...)
	if shared != sharedAgain {
		t.Fatal("two runs differ")
	}
	separateReplies := ""
	for _, i := range []uint32{1, 2} {
		out, _, _ := runBatches(t, batchesFor(i)...)
		separateReplies += out
	}
	sharedCounts := recordCounts(shared)
	separateCounts := recordCounts(separateReplies)
	if len(sharedCounts) != len(separateCounts) {
		t.Fatalf("%d different records in one process, %d in two", len(sharedCounts), len(separateCounts))
	}
	for record, n := range sharedCounts {
		if separateCounts[record] != n {
			t.Errorf("record %x: %d times in one process, %d in two", record, n, separateCounts[record])
		}
	}
}

// recordCounts returns the number of occurrences of each record in replies.
func recordCounts(replies string) map[string]int {
	counts := map[string]int{}
	for remaining := []byte(replies); len(remaining) > 0; {
		size := int(binary.BigEndian.Uint32(remaining[4:]))
		for _, record := range replyRecords(remaining[:size]) {
			counts[string(record)]++
		}
		remaining = remaining[size:]
	}
	return counts
}

// A malformed batch ends the run with an error of one line that names the record or position, and gets no reply.
func TestBadInputEndsTheProcess(t *testing.T) {
	goodBatch := encodeBatch(1, 1000, instanceRecord(3), startRecord(testSettings))
	for _, tc := range []struct {
		name  string
		input []byte
		want  string
	}{
		{"event before instance", encodeBatch(2, 1000, encodeRecord(22, uint32(1))), "timeout_fired at byte 16"},
		{"event before start", encodeBatch(2, 1000, instanceRecord(4), encodeRecord(22, uint32(1))),
			"instance 4 has not started"},
		{"truncated", encodeBatch(2, 1000, instanceRecord(3))[:20], "batch at byte 20"},
		{"overrun", encodeBatch(2, 1000, []byte{18, 0, 0, 1, 0}), "request at byte 17"},
	} {
		out, _, err := runBatches(t, goodBatch, tc.input)
		if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", tc.name, err)
		}
		if number, _ := actionCodes(t, []byte(out)); number != 1 {
			t.Errorf("%s: the malformed batch got a reply", tc.name)
		}
	}
}

// An unknown event code is skipped and reported on standard error once.
func TestUnknownEventIsReportedOnce(t *testing.T) {
	_, stderr, err := runBatches(t, encodeBatch(1, 1000, encodeRecord(99, uint32(1)), encodeRecord(99),
		instanceRecord(3), startRecord(testSettings)))
	if err != nil || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, "event 99") {
		t.Errorf("standard error %q, error %v", stderr, err)
	}
}

// Invalid settings are reported as an exception record on the wire, and the run continues.
func TestBadSettingsAreAnException(t *testing.T) {
	for _, text := range []string{
		strings.Replace(testSettings, "repeat=pure", "repeat=never", 1),
		strings.Replace(testSettings, "target=250000", "target=-1", 1),
	} {
		out, _, err := runBatches(t, encodeBatch(1, 1000, instanceRecord(3), startRecord(text)))
		require.NoError(t, err)
		if _, codes := actionCodes(t, []byte(out)); codes[len(codes)-1] != 89 {
			t.Errorf("codes %v, last one is not an exception", codes)
		}
	}
}
