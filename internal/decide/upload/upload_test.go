package upload

import (
	"testing"

	"dunlinsail/internal/monotime"
)

const (
	length = 6 << 20
	second = monotime.Second
)

// The time of a request counts from the last instant at which its last byte was certainly not sent, and from its
// arrival once that is known.
func TestStart(t *testing.T) {
	stalled := Observation{
		Arrival:        Arrival{Read: 3 << 20, Unread: 1 << 20, ClientSocket: UnknownSocket},
		Forwarded:      3 << 20,
		Unacknowledged: 2 << 20,
	}
	edited := func(edit func(*Observation)) Observation {
		o := stalled
		edit(&o)
		return o
	}
	unread := func(n int64) Observation { return edited(func(o *Observation) { o.Unread = n }) }
	acknowledged := edited(func(o *Observation) { o.Unacknowledged-- })
	forwarded := edited(func(o *Observation) { o.Forwarded++ })
	awaiting := edited(func(o *Observation) { o.AwaitsClient = true })
	openWindow := edited(func(o *Observation) { o.Window = 1 << 20 })
	arrived := unread(length - stalled.Read)
	early := Observation{
		Arrival:   Arrival{Read: 1 << 20, Unread: 1 << 19, ClientSocket: UnknownSocket},
		Forwarded: 1 << 20,
	}
	unsent := func(n, arriving int64) Observation {
		return edited(func(o *Observation) {
			o.Unread += arriving
			o.Unsent = n - arriving
			o.Unacknowledged -= arriving
		})
	}
	chunks := func(edit func(*Observation)) Observation {
		return edited(func(o *Observation) {
			o.ClientSocket = ClientSocket{
				Unsent:         1 << 20,
				Written:        5 << 20,
				SendBuffer:     4 << 20,
				SendBufferUsed: 1 << 20,
			}
			edit(o)
		})
	}
	written := chunks(func(*Observation) {})
	taken := chunks(func(o *Observation) { o.Forwarded++ })
	more := chunks(func(o *Observation) { o.Written++ })
	full := chunks(func(o *Observation) { o.SendBufferUsed = 4 << 20 })
	draining := chunks(func(o *Observation) { o.SendBufferUsed = 3 << 20 })
	drained := chunks(func(o *Observation) { o.SendBufferUsed = 2 << 20 })
	incomplete := chunks(func(o *Observation) { o.IsIncomplete = true })
	allIsRead := chunks(func(o *Observation) { o.AwaitsClient, o.Unread = true, 0 })
	beingRead := chunks(func(o *Observation) { o.AwaitsClient = true })
	const missing = length - 4<<20 // of what has arrived in stalled
	for name, tc := range map[string]struct {
		length        int64
		first, second Observation // at 1 s and 2 s
		fromLastByte  monotime.Micros
		whileTaking   monotime.Micros
	}{
		"no progress":                    {length, stalled, stalled, 1, 1},
		"no progress, in chunks":         {Unknown, stalled, stalled, 1, 1},
		"queues not known":               {length, unread(Unknown), unread(Unknown), 1, 1},
		"queues not known, awaiting":     {length, unread(Unknown), awaiting, 2, 2},
		"the endpoint acknowledges":      {length, stalled, acknowledged, 2, 2},
		"the endpoint takes a piece":     {length, stalled, forwarded, 2, 2},
		"the client sends":               {length, stalled, unread(1<<20 + 1), 2, 2},
		"the client has sent all so far": {length, unread(0), unread(0), 2, 2},
		"the window is open":             {length, openWindow, openWindow, 2, 2},
		"the last chunk may be unread":   {Unknown, openWindow, openWindow, 1, 1},
		"the last chunk may be read":     {Unknown, unread(0), unread(0), 1, 1},
		"the rest is too long":           {length, early, early, 2, 2},
		"all arrives":                    {length, stalled, arrived, 2, 2},
		"all has arrived":                {length, arrived, arrived, 1, 1},
		"all has arrived, and is taken":  {length, arrived, acknowledged, 1, 2},
		"the client has written all":     {length, unsent(missing, 0), unsent(missing, 0), 1, 1},
		"all written, and is taken":      {length, unsent(missing, 0), unsent(missing, 1<<19), 1, 2},
		"the last byte is not written":   {length, unsent(missing-1, 0), unsent(missing-1, 0), 2, 2},
		"the last byte is written late":  {length, unsent(missing-1, 0), unsent(missing, 0), 2, 2},
		"bytes had counted twice":        {length, unsent(missing, 0), unsent(missing-1, 0), 2, 2},
		"chunks: nothing is written":     {Unknown, written, written, 1, 1},
		"chunks: the endpoint takes":     {Unknown, written, taken, 1, 2},
		"chunks: more is written":        {Unknown, written, more, 2, 2},
		"chunks: the buffer is full":     {Unknown, full, full, 2, 2},
		"chunks: a full buffer drains":   {Unknown, full, draining, 2, 2},
		"chunks: a full buffer has room": {Unknown, full, drained, 1, 1},
		"chunks: more must follow":       {Unknown, incomplete, incomplete, 2, 2},
		"chunks: all is read":            {Unknown, allIsRead, allIsRead, 2, 2},
		"chunks: the rest is being read": {Unknown, beingRead, beingRead, 1, 1},
		"a pipelined request arrives":    {length, unread(9 << 20), unread(9 << 20), 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(tc.length)
			tracker.Observe(second, tc.first)
			tracker.Observe(2*second, tc.second)
			checkStart(t, tracker, tc.fromLastByte*second, tc.whileTaking*second)
		})
	}
}

// The time of a request counts at the latest from when no more of its body is read.
func TestStartAfterReading(t *testing.T) {
	awaiting := Observation{AwaitsClient: true}
	tracker := NewTracker(length)
	tracker.Observe(second, awaiting)
	tracker.Complete(2 * second)
	tracker.Observe(3*second, awaiting)
	checkStart(t, tracker, 2*second, 2*second)

	tracker = NewTracker(length)
	tracker.Observe(second, Observation{Arrival: Arrival{Unread: length}})
	tracker.Complete(2 * second)
	checkStart(t, tracker, second, 2*second)
}

// A client that may have been blocked, and writes nothing once it could, has written the last chunk.
func TestStartAfterFullSendBuffer(t *testing.T) {
	observation := Observation{Arrival: Arrival{Unread: 1 << 20, ClientSocket: ClientSocket{
		Unsent:         4 << 20,
		Written:        5 << 20,
		SendBuffer:     4 << 20,
		SendBufferUsed: 4 << 20,
	}}}
	tracker := NewTracker(Unknown)
	tracker.Observe(second, observation)
	tracker.Observe(2*second, observation)
	observation.SendBufferUsed = 2 << 20
	tracker.Observe(3*second, observation)
	checkStart(t, tracker, 3*second, 3*second)
	tracker.Observe(4*second, observation)
	checkStart(t, tracker, 3*second, 3*second)
	observation.Written++
	tracker.Observe(5*second, observation)
	checkStart(t, tracker, 5*second, 5*second)
}

// checkStart checks from when the time of a request counts, from its last byte and as long as the endpoint
// takes the body.
func checkStart(t *testing.T, tracker *Tracker, fromLastByte, whileTaking monotime.Micros) {
	t.Helper()
	if start := tracker.Start(true); start != fromLastByte {
		t.Errorf("from the last byte: %d us, want %d", start, fromLastByte)
	}
	if start := tracker.Start(false); start != whileTaking {
		t.Errorf("while the endpoint takes the body: %d us, want %d", start, whileTaking)
	}
}
