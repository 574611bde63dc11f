package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/fake/require"
)

// decodeHex decodes the concatenated hexadecimal digits of parts; spaces in them are ignored.
func decodeHex(tb testing.TB, parts ...string) []byte {
	tb.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(strings.Join(parts, ""), " ", ""))
	require.NoError(tb, err)
	return b
}

// batchFrame returns a batch that consists of a header and the given records.
func batchFrame(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	f := binary.BigEndian.AppendUint32(nil, 12)
	f = binary.BigEndian.AppendUint32(f, uint32(batchHeaderSize+len(body)))
	f = binary.BigEndian.AppendUint64(f, 0x805c5a)
	return append(f, body...)
}

// Example records from the specification of the protocol (WIRE), in hexadecimal.
const (
	exampleInstance   = "1b 00000004 00000003"
	exampleRequest    = "12 00000020 0005bf975d3a91c4 91f03b7c55d20a64 00000000008405da 00002ee0 01 0000 00"
	exampleTimer      = "16 00000004 0000004d"
	exampleClientGone = "15 00000008 000bf5a10e6f2b19"
	exampleHeaders    = "13 00000012 0005bf975d3a91c4 0000 03124a07 00002422"
	exampleOutcome    = "14 00000016 0005bf975d3a91c4 0000 03124a07 00c8 00004844 01 00"
	exampleProbe      = "17 00000017 2c9011f2 00c8 00000578 03 40e00000430c00003f1eb852"
	exampleGossip     = "18 00000008 0002 0004 68692037"
	exampleEntries    = "1a 0000002f 00 00000002 03124a07 00 00 0000 00 3f800000 0000000000000000" +
		"2c9011f2 01 00 0000 00 3fc00000 00000000005d1420"
	exampleEndpointList = "11 00000006 00000029 00 03"
)

// decodeAll decodes a valid frame and returns all its events.
func decodeAll(t *testing.T, d *Decoder, f []byte) []Event {
	t.Helper()
	if _, now, err := d.Reset(f); err != nil || now != 0x805c5a {
		t.Fatalf("clock %d, error %v", now, err)
	}
	var events []Event
	for {
		var e Event
		err := d.Next(&e)
		if errors.Is(err, io.EOF) {
			return events
		}
		require.NoError(t, err)
		e.Load = append([]float32(nil), e.Load...)
		e.Entries = append([]balancer.Endpoint(nil), e.Entries...)
		events = append(events, e)
	}
}

// The example records of the protocol's specification are decoded to the events that it describes.
func TestPageExamples(t *testing.T) {
	f := decodeHex(t, "0000000c 0000005d 0000000000805c5a", exampleInstance, exampleRequest, exampleTimer,
		"1b 00000004 00000005", exampleClientGone)
	got, err := ReadFrame(bytes.NewReader(f), nil)
	if err != nil || !bytes.Equal(got, f) {
		t.Fatalf("frame changed: %v", err)
	}
	events := decodeAll(t, new(Decoder), f)
	want := balancer.Request{ID: 0x5bf975d3a91c4, ObjectKey: 0x91f03b7c55d20a64, Deadline: 0x8405da,
		WorkHint: 12000, HasWorkHint: true}
	if len(events) != 5 || events[0].Instance != 3 || events[1].Request != want ||
		events[2].Token != 77 || events[3].Instance != 5 ||
		events[4].Outcome.ID != 0xbf5a10e6f2b19 {
		t.Errorf("decoded %+v", events)
	}
	events = decodeAll(t, new(Decoder), batchFrame(decodeHex(t,
		exampleHeaders, exampleOutcome, exampleProbe, exampleGossip, exampleEntries, exampleEndpointList)))
	if o := events[0].Outcome; o.ID != 0x5bf975d3a91c4 || o.Endpoint != 0x3124a07 || o.Latency != 0x2422 {
		t.Errorf("headers %+v", o)
	}
	if o := events[1].Outcome; o.Status != balancer.OK || o.Latency != 0x4844 || !o.Answered || len(o.Load) != 0 {
		t.Errorf("outcome %+v", o)
	}
	if h := events[2]; h.Endpoint != 0x2c9011f2 || h.Latency != 1400 || len(h.Load) != 3 || h.Load[0] != 7 ||
		h.Load[1] != 140 {
		t.Errorf("probe result %+v", h)
	}
	if w := events[3]; w.Peer != 2 || string(w.Message) != "hi 7" {
		t.Errorf("gossip %+v", w)
	}
	if m := events[5]; m.ListKind != balancer.ListCached || len(m.Entries) != 2 || m.Entries[1].Share != 1.5 ||
		m.Entries[1].Zone != 1 || m.Entries[1].StartTime != 0x5d1420 {
		t.Errorf("endpoint list %+v", m)
	}
}

// Reply encodes its actions as the specification of the protocol states.
func TestReplyExamples(t *testing.T) {
	var reply Reply
	reply.Reset(1)
	if got := reply.Bytes(); !bytes.Equal(got, decodeHex(t, "00000001 0000000c 00000000")) {
		t.Errorf("empty reply %x", got)
	}
	reply.Reset(12)
	reply.Instance(3)
	reply.Send(0x5bf975d3a91c4, 0x3124a07, 80000)
	reply.SetTimer(500000, 77)
	reply.Instance(5)
	reply.Log("two servers known")
	want := decodeHex(t, "0000000c 00000058 00000005 5c 00000004 00000003",
		"50 00000010 0005bf975d3a91c4 03124a07 00013880 54 00000008 0007a120 0000004d",
		"5c 00000004 00000005 58 00000013 0011 74776f2073657276657273206b6e6f776e")
	if got := reply.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
	reply.Reset(0)
	reply.Reject(0xbf5a10e6f2b19, 250000)
	reply.Fail(0xbf5a10e6f2b19)
	reply.Cancel(0x5bf975d3a91c4, 0)
	reply.Probe(0x2c9011f2)
	reply.Release(0x2c9011f2)
	reply.Gossip(AllPeers, []byte("hi 7"))
	reply.Exception("index out of range")
	reply.Watch(true)
	reply.ListAll()
	want = decodeHex(t, "51 0000000c 000bf5a10e6f2b19 0003d090 52 00000008 000bf5a10e6f2b19",
		"53 0000000a 0005bf975d3a91c4 0000 55 00000004 2c9011f2 56 00000004 2c9011f2",
		"57 0000000a ffffffff 0004 68692037 59 00000014 0012 696e646578206f7574206f662072616e6765",
		"5a 00000001 01 5b 00000000")
	if got := reply.Bytes()[replyHeaderSize:]; !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
}

func TestNumbersOutOfRangeAreClamped(t *testing.T) {
	var reply Reply
	reply.Reset(0)
	reply.SetTimer(-5, 1)
	reply.SetTimer(math.MaxInt64, 1)
	records := reply.Bytes()[replyHeaderSize:]
	if binary.BigEndian.Uint32(records[5:]) != 0 || binary.BigEndian.Uint32(records[18:]) != math.MaxUint32 {
		t.Errorf("delays are not clamped: %x", records)
	}
}

// An endpoint list event refers to the list that was received most recently under its list number, in this
// batch or an earlier one.
func TestListsAreResolvedInOrder(t *testing.T) {
	readyList := "1a 0000001a 00 00000001 00000001 00 00 0000 00 3f800000 0000000000000000"
	drainingList := "1a 0000001a 00 00000001 00000002 00 00 0000 01 3f800000 0000000000000000"
	d := new(Decoder)
	events := decodeAll(t, d, batchFrame(decodeHex(t,
		readyList, exampleEndpointList, drainingList, exampleEndpointList)))
	if events[1].Entries[0].ID != 1 || events[3].Entries[0].ID != 2 || events[3].Entries[0].State != balancer.Draining {
		t.Errorf("lists are not resolved in order: %+v", events)
	}
	events = decodeAll(t, d, batchFrame(decodeHex(t, "11 00000006 00000029 00 04", "11 00000006 00000029 09 02")))
	if events[0].ListKind != balancer.ListFull || events[0].Entries[0].ID != 2 {
		t.Error("a list is not retained for the next batch")
	}
	if events[1].ListKind != balancer.ListFailed || events[1].Entries != nil {
		t.Error("a failed call must not require a list")
	}
}

// A malformed record is reported with the name of the record and the reason, and as an error at a position
// behind the batch header.
func TestMalformedRecords(t *testing.T) {
	for _, test := range []struct{ name, records, wantRecord, wantReason string }{
		{"header cut", "12 0000", "record", "needs 5 bytes"},
		{"fields overrun", "12 00000021 00", "request", "overrun"},
		{"fields short", "15 00000004 00000000", "cancelled_by_client", "needs 8"},
		{"fields long", "16 00000005 0000004d 00", "timeout_fired", "too many"},
		{"load count overruns", "14 00000016 0005bf975d3a91c4 0000 03124a07 00c8 00004844 01 02", "answer", "needs 8"},
		{"config overruns", "10 0000000c 0000000000000000 00000009", "begin", "needs 9"},
		{"entries overrun", "1a 00000005 00 00000002", "manifest", "2 entries"},
		{"bad list number", "1a 00000005 10 00000000", "manifest", "list number 16"},
		{"list not received", "11 00000006 00000029 04 03", "membership", "not been received"},
		{"bad list kind", "11 00000006 00000029 00 07", "membership", "unknown kind 7"},
		{"bad status", "14 00000016 0005bf975d3a91c4 0000 03124a07 00c9 00004844 01 00", "answer", "status 201"},
		{"bad state", "1a 0000001a 00 00000001 00000001 00 00 0000 02 3f800000 0000000000000000", "manifest",
			"status 2"},
		{"whisper overruns", "18 00000008 0002 0005 68692037", "whisper", "needs 5"},
	} {
		d := new(Decoder)
		if _, _, err := d.Reset(batchFrame(decodeHex(t, test.records))); err != nil {
			t.Fatal(err)
		}
		var e Event
		err := d.Next(&e)
		var frameError *FrameError
		if !errors.As(err, &frameError) || frameError.Record != test.wantRecord ||
			!strings.Contains(frameError.Reason, test.wantReason) ||
			frameError.Offset < batchHeaderSize {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	for name, text := range map[string]string{
		"header cut":            "0000000c 000000",
		"size under the header": "0000000c 0000000f 0000000000805c5a",
		"frame cut":             "0000000c 00000020 0000000000805c5a 00",
		"size of gigabytes":     "0000000c ffffffff 0000000000805c5a 00",
	} {
		_, err := ReadFrame(bytes.NewReader(decodeHex(t, text)), nil)
		var frameError *FrameError
		if !errors.As(err, &frameError) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := ReadFrame(bytes.NewReader(nil), nil); !errors.Is(err, io.EOF) {
		t.Errorf("end of input between frames: %v", err)
	}
}

func FuzzDecoder(f *testing.F) {
	for _, records := range []string{exampleInstance, exampleRequest, exampleTimer, exampleClientGone, exampleHeaders,
		exampleOutcome, exampleProbe, exampleGossip, exampleEntries + exampleEndpointList, "ff 00000002 0102",
		"1a 00000005 00 ffffffff"} {
		f.Add(decodeHex(f, records))
	}
	f.Fuzz(func(t *testing.T, records []byte) {
		d := new(Decoder)
		if _, _, err := d.Reset(batchFrame(records)); err != nil {
			t.Fatal(err)
		}
		for n := 0; ; n++ {
			var e Event
			err := d.Next(&e)
			if err != nil {
				var frameError *FrameError
				if !errors.Is(err, io.EOF) && !errors.As(err, &frameError) {
					t.Fatalf("error is neither io.EOF nor a FrameError: %v", err)
				}
				return
			}
			if n > len(records) {
				t.Fatal("more records than bytes")
			}
		}
	})
}

const validSettings = `areas=a,b
classes.count=2
classes.0.name=x
classes.0.give-up=500000
classes.0.repeat=pure
classes.0.target=250000
classes.1.give-up=600000
classes.1.group=zone
classes.1.repeat=token
classes.1.target=300000
classes.1.window=400000
contract.cold-from=0.14
contract.ramp-time=23000000
discovery=subscribe
future.key=whatever
goal.whole=0.6
limits.most-tries=3
limits.probes=true
prices.probe=0.002
reporting.fields=busy_reqs,served_ps,brand_new
reporting.how=probe
tenants.count=1
tenants.0.allowance-per-s=137.0
tenants.0.name=t
value-by=work
`

func TestSettings(t *testing.T) {
	s, err := ParseSettings(validSettings)
	require.NoError(t, err)
	if len(s.Classes) != 2 || s.Classes[1].Idempotency != balancer.IdempotentByKey ||
		s.Classes[1].DedupScope != balancer.DedupZone ||
		s.Classes[1].DedupWindow != 400000 || !s.Subscribe || !s.WeightByWork ||
		s.Limits.MaxAttempts != 3 ||
		s.Goal.Overall != 0.6 || s.Tenants[0].Quota != 137 || s.Prices.Probe != 0.002 {
		t.Errorf("settings %+v", s)
	}
	if len(s.LoadMetrics) != 3 || s.LoadMetrics[0] != balancer.MetricInflight ||
		s.LoadMetrics[2] != balancer.MetricUnknown {
		t.Errorf("load metrics %v", s.LoadMetrics)
	}
	if _, err := balancer.New(s, 1, nil); err != nil {
		t.Errorf("balancer.New: %v", err)
	}
	if s, err = ParseSettings(strings.Replace(validSettings, "how=probe", "how=none", 1)); err != nil ||
		s.LoadMetrics != nil {
		t.Errorf("metrics without load reports: %v, error %v", s.LoadMetrics, err)
	}
}

// An invalid setting is an error that names the key of the setting.
func TestBadSettings(t *testing.T) {
	for _, test := range []struct{ oldText, newText, wantKey string }{
		{"classes.count=2", "classes.count=3", "classes.count"},
		{"classes.count=2\n", "", "classes.count"},
		{"classes.count=2", "classes.count=-1", "classes.count"},
		{"repeat=pure", "repeat=sometimes", "classes.0.repeat"},
		{"classes.0.target=250000\n", "", "classes.0.target"},
		{"window=400000", "window=soon", "classes.1.window"},
		{"cold-from=0.14", "cold-from=NaN", "contract.cold-from"},
		{"probes=true", "probes=maybe", "limits.probes"},
		{"discovery=subscribe", "discovery=magic", "discovery"},
		{"value-by=work", "no pair", "line 25"},
		{"value-by=work", "value-by=work\nlimits.may-tell=perhaps", "limits.may-tell"},
		{"value-by=work", "value-by=work\ntick=-1", "tick"},
		{"value-by=work", "value-by=work\ncontract.answer-slack=-1", "contract.answer-slack"},
	} {
		text := strings.Replace(validSettings, test.oldText, test.newText, 1)
		_, err := ParseSettings(text)
		var settingError *balancer.SettingError
		if !errors.As(err, &settingError) || settingError.Key != test.wantKey {
			t.Errorf("%s -> %s: %v", test.oldText, test.newText, err)
		}
	}
	// A value that can be parsed but is invalid is rejected by balancer.New.
	s, err := ParseSettings(strings.Replace(validSettings, "window=400000", "window=-1", 1))
	require.NoError(t, err)
	if _, err = balancer.New(s, 1, nil); err == nil || !strings.Contains(err.Error(), "Window=-1") {
		t.Errorf("negative window: %v", err)
	}
}
