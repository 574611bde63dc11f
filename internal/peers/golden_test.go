package peers

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/fake/golden"
)

// The files under testdata were written by a build whose message types had no tags. They must never change, since
// instances of earlier and later builds exchange messages in this form.

// goldenEnvelopes returns an envelope with each type of message, by the name of the file with its encoded form.
func goldenEnvelopes() map[string]envelope {
	term := lease.Term{Holder: "instance-1", Incarnation: 0xfedcba9876543210, Round: 17}
	leaseRequest := &quota.LeaseRequest{
		Incarnation: 0x0123456789abcdef, Sequence: 23, Term: term, HeldSerial: 5,
		HeldTerm: lease.Term{Holder: "instance-0", Incarnation: 3, Round: 2},
		Demands: []quota.Demand{
			{Budget: "further", Requested: 12.5, Used: 7.25, Held: 40, Contributed: 3.1},
			{Budget: "tenant/one", Requested: 100, Used: 1e6, Held: 1, Contributed: 0.5},
		},
	}
	reported := &observations.Observations{
		Levels: []observations.OverloadLevel{
			{EndpointSet: "pool", Level: 0.75, Load: 0.3, Requests: 120, Failed: 13},
		},
		Outcomes: []observations.OutcomeCount{{Endpoint: "pool/s-1", Class: 2, Succeeded: 13.37, Failed: 4.5}},
	}
	grant := &quota.Grant{
		Incarnation: 0x0123456789abcdef, Sequence: 23, Term: term, Serial: 6, Duration: 2_000_000,
		Allocations: []quota.Allocation{{Budget: "further", Units: 40}, {Budget: "tenant/one", Units: 1}},
	}
	aggregate := &observations.Aggregate{
		Levels: []observations.OverloadLevel{
			{EndpointSet: "pool", Level: 0.5, Load: 0.25, Requests: 1200, Failed: 130},
		},
		Reporters: 9,
		Suspects:  []observations.Suspect{{Endpoint: "pool/s-1", Class: 2, AvoidProbability: 0.95}},
	}
	newLeaseMessage := func(kind lease.MessageKind) *lease.Message {
		return &lease.Message{Kind: kind, Incarnation: term.Incarnation, Round: 17}
	}
	deniedVote := newLeaseMessage(lease.VoteDenied)
	deniedVote.Holder = "instance-2"
	deniedVote.Remaining = 1_234_567
	messages := map[string]coordination.Message{
		"lease-ask":        {Lease: newLeaseMessage(lease.VoteRequest)},
		"lease-yes":        {Lease: newLeaseMessage(lease.VoteGranted)},
		"lease-no":         {Lease: deniedVote},
		"lease-drop":       {Lease: newLeaseMessage(lease.VoteReleased)},
		"quota-ask":        {Request: leaseRequest, Observations: reported},
		"quota-ask-empty":  {Request: &quota.LeaseRequest{Incarnation: 1, Sequence: 1}},
		"quota-grant":      {Grant: grant, Aggregate: aggregate},
		"quota-grant-none": {Grant: &quota.Grant{Incarnation: 1, Sequence: 1, Term: term}},
		"all-parts": {
			Lease:        &lease.Message{Kind: lease.VoteDenied, Incarnation: 1, Round: 2, Holder: "a", Remaining: 3},
			Request:      leaseRequest,
			Observations: reported,
			Grant:        grant,
			Aggregate:    aggregate,
		},
	}
	raftMessage := &consensus.Message{Raft: []byte{1, 2, 3}, Leader: "instance-0"}
	envelopes := map[string]envelope{
		"consensus": {From: "instance-1", To: "instance-2", Consensus: raftMessage},
	}
	for name, m := range messages {
		envelopes[name] = envelope{From: "instance-1", To: "instance-2", Message: m}
	}
	return envelopes
}

// Messages that an earlier build has encoded must be decoded to the same values.
func TestMessagesOfEarlierBuildsAreUnderstood(t *testing.T) {
	for name, want := range goldenEnvelopes() {
		t.Run(name, func(t *testing.T) {
			encoded := golden.Read(t, "messages", name+".cbor")
			var got envelope
			if err := decMode.Unmarshal(encoded, &got); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("decoded %+v, want %+v", got, want)
			}
		})
	}
}

// Messages must be encoded to the same bytes as by an earlier build, so that earlier builds can decode them.
func TestMessagesAreUnderstoodByEarlierBuilds(t *testing.T) {
	for name, message := range goldenEnvelopes() {
		t.Run(name, func(t *testing.T) {
			encoded, err := encMode.Marshal(message)
			if err != nil {
				t.Fatal(err)
			}
			want := golden.Read(t, "messages", name+".cbor")
			if !bytes.Equal(encoded, want) {
				t.Errorf("encoded as %x, want %x", encoded, want)
			}
			if message.Consensus != nil {
				return
			}
			encoded, err = Encode(message.From, message.To, message.Message)
			if err != nil || !bytes.Equal(encoded, want) {
				t.Errorf("Encode returns %x, %v, want %x", encoded, err, want)
			}
		})
	}
}

// The message "all-parts" must set every field of a message, because the golden tests above cannot detect a changed
// name of a field that has no value.
func TestGoldenMessagesFillEachField(t *testing.T) {
	golden.RequireFilled(t, "envelope", goldenEnvelopes()["all-parts"].Message)
}

// The JSON form of members and message counters must not change, since operators' tools read it.
func TestJSONForOperatorsKeepsItsForm(t *testing.T) {
	for name, value := range map[string]any{
		"member.json": &Member{
			Name: "instance-1", Address: "127.0.0.1:7", Alive: true, Since: time.Unix(1_700_000_000, 0).UTC(),
		},
		"figures.json": &Stats{Sent: 1, Received: 2, Bytes: 3, Dropped: 4, Malformed: 5},
	} {
		golden.CheckJSON(t, golden.Read(t, name), value)
	}
}
