package main

import (
	"bufio"
	"bytes"
	"container/heap"
	"encoding/binary"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
)

// All times are in microseconds.
const (
	millisecond   = 1_000
	second        = 1_000_000
	scriptLength  = 32 * second
	instances     = 4
	endpointCount = 14
	firstEndpoint = 100 // number of an endpoint
	classCount    = 5
	tenantCount   = 3
	startTime     = 5 * second
)

// classes are those of the settings below, in order.
var classes = [classCount]struct {
	giveUp int64
	stream bool
	key    bool
}{
	{giveUp: 900 * millisecond},
	{giveUp: 1200 * millisecond, key: true},
	{giveUp: 2 * second, key: true},
	{giveUp: 1500 * millisecond},
	{giveUp: 3 * second, stream: true},
}

// event is one record that is due for an instance.
type event struct {
	at          int64
	order       int // of events due at one instant
	instance    uint32
	incarnation int // the event is dropped where the instance has been restarted since; 0 is any incarnation
	records     [][]byte
	afterwards  func()
}

type events []*event

func (q events) Len() int { return len(q) }

func (q events) Swap(i, j int) {
	first := q[i]
	q[i] = q[j]
	q[j] = first
}

func (q *events) Push(x any) { *q = append(*q, x.(*event)) }

func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// request is one that a client made at an instance.
type request struct {
	class    int
	attempts []*attempt
	over     bool
}

type attempt struct {
	endpoint uint32
	started  int64
	over     bool
}

type endpoint struct {
	id     uint32
	zone   uint8
	kind   uint8
	cell   uint16
	state  uint8
	start  int64
	held   int
	served float32
	failed float32
}

type openKey struct {
	instance uint32
	id       uint64
}

// script is the world that simhost is played against. All randomness comes from one seeded source.
type script struct {
	seed         uint64
	rand         *rand.Rand
	now          int64
	queue        events
	order        int
	incarnations [instances]int
	endpoints    []*endpoint
	requests     map[openKey]*request
	nextID       uint64
}

// record plays the script of a seed against a program and writes all input that the program was given.
func record(program string, seed uint64, out io.Writer) error {
	cmd := exec.Command(program)
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	s := &script{
		seed:     seed,
		rand:     rand.New(rand.NewPCG(seed, 2)),
		now:      startTime,
		requests: map[openKey]*request{},
	}
	file := bufio.NewWriter(out)
	if err := s.play(io.MultiWriter(file, stdin), bufio.NewReader(stdout)); err != nil {
		return err
	}
	if err := stdin.Close(); err != nil {
		return err
	}
	if err := cmd.Wait(); err != nil {
		return err
	}
	return file.Flush()
}

// nextBatch takes the events of the next tick off the queue, and returns their records and what follows the reply.
func (s *script) nextBatch() (body bytes.Buffer, afterwards []func()) {
	s.now = s.queue[0].at
	current := int64(-1)
	for len(s.queue) > 0 && s.queue[0].at <= s.now+s.tick() {
		e := heap.Pop(&s.queue).(*event)
		if e.incarnation != 0 && e.incarnation != s.incarnations[e.instance] {
			continue
		}
		if current != int64(e.instance) {
			body.Write(rec(codeInstance, e.instance))
			current = int64(e.instance)
		}
		for _, r := range e.records {
			body.Write(r)
		}
		if e.afterwards != nil {
			afterwards = append(afterwards, e.afterwards)
		}
	}
	return body, afterwards
}

// play sends the script's batches, and reacts to each reply.
func (s *script) play(in io.Writer, out io.Reader) error {
	s.setUp()
	for batch := uint32(1); len(s.queue) > 0 && s.now < startTime+scriptLength; batch++ {
		body, afterwards := s.nextBatch()
		frame := binary.BigEndian.AppendUint32(nil, batch)
		frame = binary.BigEndian.AppendUint32(frame, uint32(16+body.Len()))
		frame = binary.BigEndian.AppendUint64(frame, uint64(s.now))
		if _, err := in.Write(append(frame, body.Bytes()...)); err != nil {
			return err
		}
		_, actions, err := readReply(out)
		if err != nil {
			return err
		}
		for _, f := range afterwards {
			f()
		}
		s.answer(actions)
	}
	return nil
}

// tick is how far events of one batch lie apart.
func (s *script) tick() int64 {
	if s.seed%2 == 0 {
		return millisecond
	}
	return 50
}

func (s *script) add(delay int64, instance uint32, incarnation int, afterwards func(), records ...[]byte) {
	s.order++
	at := s.now + max(delay, 0)
	e := &event{at: at, order: s.order, instance: instance, incarnation: incarnation, records: records,
		afterwards: afterwards}
	heap.Push(&s.queue, e)
}

func (s *script) setUp() {
	for i := range endpointCount {
		e := &endpoint{id: uint32(firstEndpoint + i), zone: uint8(i % 3), kind: uint8(i % 2), cell: uint16(i % 4)}
		s.endpoints = append(s.endpoints, e)
	}
	for i := range uint32(instances) {
		s.incarnations[i] = 1
		text := settings(s.seed, i)
		s.add(0, i, 0, nil, rec(codeStart, s.seed*10+uint64(i), uint32(len(text)), text))
		s.list(int64(i)*20*millisecond, i, 4)
		s.clients(i)
	}
	s.changes()
}

// list sends an instance the list of all endpoints, or of one that changed (kind 0).
func (s *script) list(delay int64, instance uint32, kind uint8) {
	number := uint8(s.rand.IntN(16))
	chosen := s.endpoints
	if kind == 0 {
		chosen = []*endpoint{s.endpoints[s.rand.IntN(len(s.endpoints))]}
	}
	fields := []any{number, uint32(len(chosen))}
	for _, e := range chosen {
		share := float32(1) / float32(len(s.endpoints))
		fields = append(fields, e.id, e.zone, e.kind, e.cell, e.state, share, uint64(e.start))
	}
	s.add(delay, instance, 0, nil, rec(codeManifest, fields...), rec(codeMembership, uint32(s.order), number, kind))
}

// load is the clients' demand relative to the endpoints' capacity: too much in the middle of the script.
func (s *script) load() float64 {
	switch t := (s.now - startTime) / second; {
	case t >= 10 && t < 14:
		return 7
	case t >= 22 && t < 24:
		return 0.05
	}
	return 0.6
}

// clients has requests come to an instance.
func (s *script) clients(instance uint32) {
	gap := int64(s.rand.ExpFloat64() * 30 * millisecond / s.load())
	s.add(gap, instance, 0, func() { s.clients(instance) }, s.request(instance, gap)...)
}

func (s *script) request(instance uint32, delay int64) [][]byte {
	s.nextID++
	id := s.nextID
	class := s.rand.IntN(classCount)
	var key uint64
	if classes[class].key {
		key = 1 + uint64(s.rand.IntN(400))
	}
	opts := uint8(0)
	hint := uint32(0)
	if s.rand.IntN(2) == 0 {
		opts |= 1
		hint = uint32(2*millisecond + s.rand.IntN(20*millisecond))
	}
	if s.rand.IntN(6) == 0 {
		opts |= 2
	}
	if class >= 1 && class <= 3 {
		opts |= 4
	}
	k := openKey{instance, id}
	s.requests[k] = &request{class: class}
	giveUp := classes[class].giveUp
	incarnation := s.incarnations[instance]
	forget := func() { delete(s.requests, k) }
	s.add(delay+giveUp, instance, incarnation, forget, rec(codeCancelledByClient, id))
	if s.rand.IntN(40) == 0 {
		s.add(delay+int64(s.rand.IntN(60))*millisecond, instance, incarnation, nil, rec(codeCancelledByClient, id))
	}
	deadline := uint64(s.now + delay + giveUp)
	tenant := uint16(s.rand.IntN(tenantCount))
	return [][]byte{rec(codeRequest, id, key, deadline, hint, opts, tenant, uint8(class))}
}

// changes has endpoints and instances come and go, and strange things be said.
func (s *script) changes() {
	everybody := func(kind uint8) {
		for i := range uint32(instances) {
			s.list(int64(s.rand.IntN(200))*millisecond, i, kind)
		}
	}
	e := s.endpoints[s.rand.IntN(len(s.endpoints))]
	instance := uint32(s.rand.IntN(instances))
	switch s.rand.IntN(12) {
	case 0:
		e.state = 1
		everybody(4)
	case 1:
		e.state = 3
		everybody(0)
	case 2, 3, 4:
		for _, e := range s.endpoints {
			if e.state != 0 {
				e.state = 0
				e.start = s.now
			}
		}
		everybody(4)
	case 5:
		s.list(0, instance, 3)
	case 6:
		s.add(0, instance, 0, nil, rec(codeMembership, uint32(s.order), uint8(0), uint8(2)))
	case 7:
		s.add(0, instance, 0, nil, rec(codeWhisper, uint16(1), uint16(3), "abc"))
	case 8:
		bad := "classes.count=1\nclasses.0.target=none\n"
		s.add(0, instance, 0, nil, rec(codeStop), rec(codeStart, uint64(1), uint32(len(bad)), bad))
		s.restart(instance)
	case 9:
		unknown := s.nextID + 1_000_000
		s.add(0, instance, 0, nil,
			rec(codeAnswer, unknown, uint16(0), e.id, uint16(200), uint32(900), uint8(1), uint8(0)))
		s.add(0, instance, 0, nil, rec(codeTimeoutFired, uint32(4_000_000_000)))
	case 10:
		nan := float32(math.NaN())
		s.add(0, instance, 0, nil, rec(codeHealthResult, e.id, uint16(200), uint32(700), uint8(2), []float32{nan, -5}))
	case 11:
		everybody(0)
	}
	s.add(int64(200+s.rand.IntN(600))*millisecond, instance, 0, s.changes,
		rec(codeHealthResult, e.id, uint16(504), uint32(250_000), uint8(0)))
}

func (s *script) restart(instance uint32) {
	s.incarnations[instance]++
	for k := range s.requests {
		if k.instance == instance {
			delete(s.requests, k)
		}
	}
	text := settings(s.seed, instance)
	s.add(0, instance, 0, nil, rec(codeStop), rec(codeStart, s.rand.Uint64(), uint32(len(text)), text))
	s.list(30*millisecond, instance, 3)
	s.list(250*millisecond, instance, 4)
}
