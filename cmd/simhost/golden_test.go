package main

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"dunlinsail/internal/wire"
)

// goldenSettings are the settings of the balancers in the golden script, with placeholders for the kind of
// discovery and for whether probes are allowed.
const goldenSettings = `peers-total=3
zone=1
areas=a,b,c
skus=m1,m2
discovery=%s
tick=1000
limits.cancel=true
limits.probes=%v
limits.second-copies=true
limits.retry-after=true
limits.most-tries=3
limits.most-held=400
limits.max-retry-after=500000
contract.cold-from=0.2
contract.ramp-time=2000000
contract.fall-multiple=2.5
contract.overload-for=1000000
contract.ask-within=1000000
prices.cross-zone=0.05
prices.probe=0.002
goal.whole=1
goal.worst-window=0.2
over-share-worth=0.3
value-by=work
reporting.fields=busy_reqs,svc_ms,unheard_of
reporting.how=probe
classes.count=3
classes.0.name=read
classes.0.repeat=pure
classes.0.target=100000
classes.0.give-up=400000
classes.1.name=buy
classes.1.repeat=token
classes.1.group=zone
classes.1.window=200000
classes.1.target=100000
classes.1.give-up=400000
classes.1.credit=3
classes.1.late-value=0.5
classes.2.name=write
classes.2.repeat=side_effect
classes.2.target=150000
classes.2.give-up=500000
classes.2.stream=true
tenants.count=2
tenants.0.name=x
tenants.0.allowance-per-s=100
tenants.0.share=0.7
tenants.1.name=y
tenants.1.allowance-per-s=40
tenants.1.share=0.3
`

// entry is one endpoint of a numbered list on the wire.
type entry struct {
	id      uint32
	state   uint8
	started uint64
}

// entriesRecord encodes a numbered list of endpoint entries. Fields that entry does not have are derived from the
// endpoint's ID.
func entriesRecord(listNumber uint8, entries []entry) []byte {
	fields := []any{listNumber, uint32(len(entries))}
	for _, e := range entries {
		fields = append(fields, e.id, uint8(e.id%3), uint8(e.id%2), uint16(e.id%4), e.state, float32(1), e.started)
	}
	return encodeRecord(26, fields...)
}

// goldenScript generates pseudo-random events of all codes for two instances from a seed: requests, outcomes of
// each status, probes, timers, endpoint lists, a stop and a new start. The order of its random draws must not
// change, because the golden file depends on it.
type goldenScript struct {
	random  *rand.Rand
	entries []entry
	now     uint64 // current time in microseconds
	lastID  uint64 // ID of the latest request
}

// goldenStatuses are the statuses of outcomes. A status that occurs several times is drawn more often.
var goldenStatuses = []uint16{200, 200, 200, 200, 500, 503, 504, 502, 598, 499, 410}

// goldenBatches returns the encoded batches of the script for a seed.
func goldenBatches(seed uint64, discovery string, probes bool) [][]byte {
	settings := fmt.Sprintf(goldenSettings, discovery, probes)
	script := &goldenScript{
		random:  rand.New(rand.NewPCG(seed, 3)),
		entries: []entry{{id: 11}, {id: 12}, {id: 13}, {id: 14}, {id: 15}, {id: 16}},
		now:     1000,
	}
	batches := [][]byte{encodeBatch(1, 1000, entriesRecord(0, script.entries),
		instanceRecord(1), startRecord(settings), endpointListRecord(0, 3),
		instanceRecord(2), startRecord(settings), endpointListRecord(0, 3))}
	for n := uint32(2); n < 400; n++ {
		script.now += 1000 * (1 + script.random.Uint64N(10))
		records := [][]byte{instanceRecord(1 + uint32(script.random.IntN(2)))}
		for range 1 + script.random.IntN(6) {
			records = append(records, script.drawEvents()...)
		}
		if n%150 == 0 {
			records = append(records, encodeRecord(25), startRecord(settings), endpointListRecord(0, 3))
		}
		batches = append(batches, encodeBatch(n, script.now, records...))
	}
	return batches
}

// drawEvents returns the records of one randomly drawn kind of event.
func (s *goldenScript) drawEvents() [][]byte {
	random := s.random
	endpoint := 11 + uint32(random.IntN(6))
	earlier := s.lastID - random.Uint64N(min(s.lastID, 5)+1)
	status := goldenStatuses[random.IntN(len(goldenStatuses))]
	switch random.IntN(10) {
	case 0, 1, 2, 3:
		s.lastID++
		return [][]byte{encodeRecord(18, s.lastID, s.lastID, s.now+400_000, uint32(random.IntN(20_000)),
			uint8(random.IntN(8)), uint16(random.IntN(3)), uint8(random.IntN(4)))}
	case 4, 5:
		return [][]byte{encodeRecord(20, earlier, uint16(random.IntN(2)), endpoint, status,
			uint32(random.IntN(60_000)), uint8(random.IntN(2)), uint8(2), float32(random.IntN(5)), float32(4))}
	case 6:
		return [][]byte{encodeRecord(23, endpoint, status, uint32(500), uint8(2), float32(random.IntN(9)), float32(5))}
	case 7:
		token := uint32(random.IntN(3))
		if random.IntN(2) == 0 {
			token = uint32(1<<20 + 16 + random.IntN(8)) // token of a request's timer
		}
		return [][]byte{encodeRecord(22, token)}
	case 8:
		return [][]byte{
			encodeRecord(19, earlier, uint16(0), endpoint, uint32(3000)),
			encodeRecord(21, earlier),
			encodeRecord(24, uint16(2), uint16(3), "abc"),
		}
	default:
		return s.drawListEvents(endpoint)
	}
}

// drawListEvents returns the records of a change to one endpoint, in some draws followed by a complete endpoint
// list.
func (s *goldenScript) drawListEvents(endpoint uint32) [][]byte {
	changed := entry{id: endpoint}
	switch s.random.IntN(8) {
	case 0:
		changed.state = 1
	case 1:
		changed.state = 3
	case 2:
		changed.started = s.now - 5
	}
	records := [][]byte{entriesRecord(1, []entry{changed}), endpointListRecord(1, 0)}
	if choice := s.random.IntN(8); choice < 3 {
		records = append(records, entriesRecord(2, s.entries), endpointListRecord(2, []uint8{4, 3, 2}[choice]))
	}
	return records
}

// The replies of simhost to scripted input are compared as hashes with the golden file, which covers the decisions
// and the wire format. The texts of trace records are excluded. The golden file may be rewritten only by a change
// that is intended to alter decisions.
func TestRepliesAreUnchanged(t *testing.T) {
	golden, err := os.ReadFile("testdata/replies.golden")
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for seed := range uint64(3) {
		for _, discovery := range []string{"automatic", "subscribe"} {
			for _, probes := range []bool{true, false} {
				out, stderr, err := runBatches(t, goldenBatches(seed, discovery, probes)...)
				if err != nil || stderr != "" {
					t.Fatal(stderr, err)
				}
				lines = append(lines,
					fmt.Sprintf("%s probes=%v seed=%d", discovery, probes, seed)+summarizeReplies(out))
			}
		}
	}
	if got := strings.Join(lines, "\n") + "\n"; got != string(golden) {
		t.Errorf("got\n%swant\n%s", got, golden)
	}
}

// summarizeReplies returns the number of records of each action code in the replies, and a hash of all records
// except trace records.
func summarizeReplies(replies string) string {
	digest := sha256.New()
	counts := map[byte]int{}
	for remaining := []byte(replies); len(remaining) > 0; {
		size := int(binary.BigEndian.Uint32(remaining[4:]))
		digest.Write(remaining[:4])
		digest.Write(remaining[8:12])
		for _, record := range replyRecords(remaining[:size]) {
			counts[record[0]]++
			if record[0] != byte(wire.ActionLog) {
				digest.Write(record)
			}
		}
		remaining = remaining[size:]
	}
	summary := ""
	for code := byte(wire.ActionSend); code <= byte(wire.ActionInstance); code++ {
		summary += fmt.Sprintf(" %d:%d", code, counts[code])
	}
	return summary + " sha256=" + hex.EncodeToString(digest.Sum(nil)[:16])
}
